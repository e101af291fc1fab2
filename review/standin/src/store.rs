//! A stand-in of the platform's store: objects by kind and name, revisions and watches.
//!
//! Each host reaches it at an address of its own, so that it can be cut off from single hosts.

use crate::http::{self, Reply, Request, whole};
use crate::json;
use crate::links::Links;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
}

struct Event {
    revision: u64,
    kind: String,
    tombstone: bool,
    object: String,
}

#[derive(Default)]
struct Inner {
    revision: u64,
    era: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
    /// The hosts that are cut off.
    cut_off: BTreeSet<String>,
}

/// The store.
#[derive(Clone, Default)]
pub struct Store {
    inner: Arc<(Mutex<Inner>, Condvar)>,
    /// The network between the hosts, whose addresses differ from host to host.
    links: Arc<Mutex<Links>>,
}

impl Store {
    pub fn new() -> Store {
        let store = Store::default();
        {
            let mut inner = store.lock();
            inner.revision = 1;
            inner.era = 1;
        }
        store
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.0.lock().expect("no thread panicked")
    }

    /// Sets the network between the hosts.
    pub fn set_links(&self, links: Links) {
        *self.links.lock().expect("no thread panicked") = links;
    }

    /// Opens an address at which one host reaches the store.
    pub fn open(&self, host: &str) -> SocketAddr {
        let (store, host) = (self.clone(), host.to_string());
        http::serve(move |request| store.answer(&host, &request))
    }

    /// Writes an object as the operator or a server does. Returns the revision. An unchanged object is not written.
    pub fn put(&self, kind: &str, name: &str, spec: String) -> u64 {
        let mut inner = self.lock();
        let revision = inner.put(kind, name, spec);
        self.inner.1.notify_all();
        revision
    }

    /// Removes an object, as when a server has left.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut inner = self.lock();
        inner.remove(kind, name);
        self.inner.1.notify_all();
    }

    /// Cuts a host off from now on, or no longer: its calls are cut and new ones reset.
    pub fn cut_off(&self, host: &str, cut_off: bool) {
        let mut inner = self.lock();
        if cut_off {
            inner.cut_off.insert(host.to_string());
        } else {
            inner.cut_off.remove(host);
        }
        self.inner.1.notify_all();
    }

    fn answer(&self, host: &str, request: &Request) -> Reply {
        let (path, query) = request
            .target
            .split_once('?')
            .unwrap_or((&request.target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(key, _)| *key == name);
            found.and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let rest = path.strip_prefix("/v1/objects/").unwrap_or_default();
        let (kind, name) = match rest.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (rest, None),
        };
        let mut inner = self.lock();
        if inner.cut_off.contains(host) {
            return Reply::Close;
        }
        let (status, body) = match (request.method.as_str(), name, parameter("watch")) {
            ("GET", None, Some(after)) => {
                let wait = Duration::from_millis(parameter("wait_ms").unwrap_or(0));
                let Some(reply) = self.watch(inner, host, kind, after, wait) else {
                    return Reply::Close;
                };
                inner = self.lock();
                reply
            }
            ("GET", None, None) => (200, inner.list(kind)),
            ("GET", Some(name), _) => inner.read(kind, name),
            ("POST", None, _) => inner.create(kind, &request.body),
            ("PUT", Some(name), _) => inner.replace(kind, name, &request.body),
            ("DELETE", Some(name), _) => match inner.remove(kind, name) {
                true => (200, "{}".to_string()),
                false => (404, "{}".to_string()),
            },
            _ => (400, String::new()),
        };
        self.inner.1.notify_all();
        let links = self.links.lock().expect("no thread panicked");
        let body = links.view(host, body);
        let era = inner.era.to_string();
        let headers = [
            ("Content-Type", "application/json"),
            ("Store-Era", era.as_str()),
        ];
        whole(status, &headers, body)
    }

    /// Waits for changes of a kind after a revision. Returns `None` if the host is cut off meanwhile.
    fn watch(
        &self,
        mut inner: MutexGuard<'_, Inner>,
        host: &str,
        kind: &str,
        after: u64,
        wait: Duration,
    ) -> Option<(u16, String)> {
        let until = Instant::now() + wait;
        loop {
            if inner.cut_off.contains(host) {
                return None;
            }
            if after > inner.revision {
                return Some((410, String::new()));
            }
            let events = inner.events_after(kind, after);
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), inner.revision);
                let body = format!("{{\"events\":[{events}],\"current_rev\":{revision}}}");
                return Some((200, body));
            }
            let waited = self.inner.1.wait_timeout(inner, left);
            inner = waited.expect("no thread panicked").0;
        }
    }
}

impl Inner {
    fn put(&mut self, kind: &str, name: &str, spec: String) -> u64 {
        let key = (kind.to_string(), name.to_string());
        if let Some(known) = self.objects.get(&key)
            && known.spec == spec
        {
            return known.revision;
        }
        self.revision += 1;
        let created = self.objects.get(&key).map_or(self.revision, |o| o.created);
        let object = Object {
            revision: self.revision,
            created,
            spec,
        };
        self.events.push(Event {
            revision: self.revision,
            kind: kind.to_string(),
            tombstone: false,
            object: encode(name, &object),
        });
        self.objects.insert(key, object);
        self.revision
    }

    fn remove(&mut self, kind: &str, name: &str) -> bool {
        let key = (kind.to_string(), name.to_string());
        let Some(object) = self.objects.remove(&key) else {
            return false;
        };
        self.revision += 1;
        self.events.push(Event {
            revision: self.revision,
            kind: kind.to_string(),
            tombstone: true,
            object: encode(name, &object),
        });
        true
    }

    fn events_after(&self, kind: &str, after: u64) -> Vec<String> {
        let events = self.events.iter();
        let events = events.filter(|event| event.revision > after && event.kind == kind);
        let encoded = events.map(|event| {
            format!(
                "{{\"tombstone\":{},\"object\":{}}}",
                event.tombstone, event.object
            )
        });
        encoded.collect()
    }

    fn list(&self, kind: &str) -> String {
        let objects = self.objects.iter().filter(|((of, _), _)| of == kind);
        let items: Vec<String> = objects
            .map(|((_, name), object)| encode(name, object))
            .collect();
        format!(
            "{{\"items\":[{}],\"truncated\":false,\"current_rev\":{}}}",
            items.join(","),
            self.revision
        )
    }

    fn read(&self, kind: &str, name: &str) -> (u16, String) {
        let key = (kind.to_string(), name.to_string());
        match self.objects.get(&key) {
            Some(object) => (200, encode(name, object)),
            None => (404, "{}".to_string()),
        }
    }

    fn create(&mut self, kind: &str, body: &[u8]) -> (u16, String) {
        let text = String::from_utf8_lossy(body);
        let metadata = json::member(&text, "metadata").unwrap_or("{}");
        let Some(name) = json::string(metadata, "name") else {
            return (400, String::new());
        };
        if let (200, object) = self.read(kind, name) {
            return (409, object);
        }
        let spec = json::member(&text, "spec").unwrap_or("null");
        self.put(kind, name, spec.to_string());
        self.read(kind, name)
    }

    fn replace(&mut self, kind: &str, name: &str, body: &[u8]) -> (u16, String) {
        let text = String::from_utf8_lossy(body);
        let key = (kind.to_string(), name.to_string());
        let Some(known) = self.objects.get(&key) else {
            return (404, "{}".to_string());
        };
        let metadata = json::member(&text, "metadata").unwrap_or("{}");
        if json::number(metadata, "revision").is_some_and(|stated| stated != known.revision) {
            return (409, encode(name, known));
        }
        let spec = json::member(&text, "spec").unwrap_or("null");
        self.put(kind, name, spec.to_string());
        self.read(kind, name)
    }
}

fn encode(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"create_rev\":{},\"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":null}}",
        object.revision, object.created, object.spec
    )
}
