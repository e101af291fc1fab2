//! A stand-in of the platform's store: objects with revisions, watches, and an era that rises when the store comes back
//! from a copy. Each zone has an address of its own, at which the entries of entry hosts and workers in other zones lead over
//! a delayed link.

use crate::http::{self, Message};
use crate::link::{Cut, Links};
use std::collections::BTreeMap;
use std::io::{self, BufReader};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// The kinds whose objects have an address, and the field that names their zone.
const ADDRESSED: [(&str, &str); 2] = [
    ("alderglade-hosts", r#""domain":""#),
    ("servers", r#""zone":""#),
];

/// What the store holds, as of one moment.
#[derive(Clone, Default)]
pub struct Content {
    revision: u64,
    /// The revision and the content of each object, by kind and name.
    objects: BTreeMap<(String, String), (u64, String)>,
    /// The revision, kind and object of each change.
    history: Vec<(u64, String, String)>,
}

#[derive(Default)]
struct State {
    content: Content,
    era: u64,
    away: bool,
    open: Vec<TcpStream>,
}

/// The store.
#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    links: Links,
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        r#"{{"metadata":{{"name":"{name}","revision":{revision},"create_rev":1,"finalizers":[],"deleting":false}},"spec":{spec},"status":null}}"#
    )
}

/// Returns the text between two marks.
fn between<'a>(text: &'a str, before: &str, after: &str) -> Option<&'a str> {
    let start = text.find(before)? + before.len();
    let length = text[start..].find(after)?;
    Some(&text[start..start + length])
}

impl Content {
    fn put(&mut self, kind: &str, name: &str, spec: &str) -> String {
        self.revision += 1;
        let text = object(name, self.revision, spec);
        let key = (kind.to_string(), name.to_string());
        self.objects.insert(key, (self.revision, text.clone()));
        let change = (self.revision, kind.to_string(), text.clone());
        self.history.push(change);
        text
    }

    fn list(&self, kind: &str, after: &str) -> Vec<String> {
        let of_kind = self.objects.iter().filter(|((of, _), _)| of == kind);
        let later = of_kind.filter(|((_, name), _)| name.as_str() > after);
        later.map(|(_, (_, text))| text.clone()).collect()
    }

    fn changes(&self, kind: &str, after: u64) -> Vec<String> {
        let later = self
            .history
            .iter()
            .filter(|(revision, _, _)| *revision > after);
        later
            .filter(|(_, of, _)| of == kind)
            .map(|(_, _, text)| text.clone())
            .collect()
    }
}

impl Store {
    /// Writes an object in the name of the operator or a worker. The return is the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.state.lock().unwrap().content.put(kind, name, spec);
        self.changed.notify_all();
    }

    /// Returns a copy of what the store holds.
    pub fn copy(&self) -> Content {
        self.state.lock().unwrap().content.clone()
    }

    /// Makes the store go away: open connections are reset, new ones closed.
    pub fn go_away(&self) {
        let mut state = self.state.lock().unwrap();
        state.away = true;
        for stream in state.open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.changed.notify_all();
    }

    /// Makes the store come back from a copy.
    pub fn come_back(&self, copy: Content) {
        let mut state = self.state.lock().unwrap();
        state.content = copy;
        state.era += 1;
        state.away = false;
    }

    /// Returns what cuts a zone off from the store and from the other zones.
    pub fn cut(&self) -> &Cut {
        &self.links.cut
    }

    /// Opens the address at which the hosts of a zone reach the store.
    pub fn open(self: &Arc<Store>, zone: &str) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (store, zone) = (self.clone(), zone.to_string());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, zone) = (store.clone(), zone.clone());
                thread::spawn(move || store.serve(&zone, stream));
            }
        });
        Ok(address)
    }

    fn serve(&self, zone: &str, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        {
            let mut state = self.state.lock().unwrap();
            if state.away {
                return Ok(());
            }
            state.open.push(stream.try_clone()?);
        }
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = http::read(&mut reader)? {
            self.links.cut.wait_until_healed(zone);
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.handle(zone, &request);
            self.links.cut.wait_until_healed(zone);
            let state = self.state.lock().unwrap();
            if state.away {
                break;
            }
            let headers = format!(
                "Content-Type: application/json\r\nStore-Era: {}\r\n",
                state.era
            );
            drop(state);
            http::respond(&mut stream, status, &headers, body.as_bytes())?;
        }
        Ok(())
    }

    fn handle(&self, zone: &str, request: &Message) -> (u16, String) {
        let target = request.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(known, _)| *known == name)
                .map(|(_, value)| value)
        };
        let mut parts = path.trim_start_matches("/v1/objects/").splitn(2, '/');
        let kind = parts.next().unwrap_or_default();
        let name = parts.next();
        let body = String::from_utf8_lossy(&request.body).into_owned();
        match (request.word(0), name) {
            ("GET", None) => {
                let watch = parameter("watch").and_then(|text| text.parse().ok());
                let wait = parameter("wait_ms").and_then(|text| text.parse().ok());
                match watch {
                    Some(after) => self.watch(zone, kind, after, wait.unwrap_or(0)),
                    None => self.list(zone, kind, parameter("after_rev").unwrap_or_default()),
                }
            }
            ("GET", Some(name)) => match self.find(kind, name) {
                Some((_, text)) => (200, self.view(zone, kind, text)),
                None => (404, "{}".to_string()),
            },
            ("POST" | "PUT", _) => self.write(kind, name, &body),
            _ => (400, "{}".to_string()),
        }
    }

    fn find(&self, kind: &str, name: &str) -> Option<(u64, String)> {
        let state = self.state.lock().unwrap();
        let key = (kind.to_string(), name.to_string());
        state.content.objects.get(&key).cloned()
    }

    fn write(&self, kind: &str, name: Option<&str>, body: &str) -> (u16, String) {
        let stated = between(body, r#""name":""#, "\"").unwrap_or_default();
        let revision =
            between(body, r#""revision":"#, "}").and_then(|text| text.parse::<u64>().ok());
        let spec = body
            .find(r#""spec":"#)
            .map(|at| &body[at + 7..body.len() - 1]);
        let Some(spec) = spec else {
            return (400, "{}".to_string());
        };
        let key = name.unwrap_or(stated);
        match (self.find(kind, key), name) {
            (Some((_, text)), None) => return (409, text),
            (None, Some(_)) => return (404, "{}".to_string()),
            (Some((held, text)), _) if revision.is_some_and(|stated| stated != held) => {
                return (409, text);
            }
            _ => {}
        }
        let text = self.state.lock().unwrap().content.put(kind, key, spec);
        self.changed.notify_all();
        (200, text)
    }

    fn list(&self, zone: &str, kind: &str, after: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let (items, revision) = (state.content.list(kind, after), state.content.revision);
        drop(state);
        let items: Vec<String> = items
            .into_iter()
            .map(|text| self.view(zone, kind, text))
            .collect();
        let items = items.join(",");
        (
            200,
            format!(r#"{{"items":[{items}],"truncated":false,"current_rev":{revision}}}"#),
        )
    }

    fn watch(&self, zone: &str, kind: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().unwrap();
        if after > state.content.revision {
            return (410, "{}".to_string());
        }
        let changes = loop {
            let changes = state.content.changes(kind, after);
            let left = end.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() || state.away {
                break changes;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        };
        let revision = state.content.revision;
        drop(state);
        let events = changes.into_iter().map(|text| {
            let object = self.view(zone, kind, text);
            format!(r#"{{"object":{object},"tombstone":false}}"#)
        });
        let events: Vec<String> = events.collect();
        let events = events.join(",");
        (
            200,
            format!(r#"{{"events":[{events}],"current_rev":{revision}}}"#),
        )
    }

    /// Returns an object as a zone sees it: hosts and workers of other zones are reached over a link.
    fn view(&self, zone: &str, kind: &str, text: String) -> String {
        let field = ADDRESSED.iter().find(|(known, _)| *known == kind);
        let home = field.and_then(|(_, field)| between(&text, field, "\""));
        let address = between(&text, r#""address":""#, "\"");
        let (Some(home), Some(address)) = (home, address) else {
            return text;
        };
        if home == zone {
            return text;
        }
        let link = address.parse().ok();
        let link = link.and_then(|to| self.links.lead(zone, home, to));
        match link {
            Some(link) => text.replacen(address, &link.to_string(), 1),
            None => text,
        }
    }
}
