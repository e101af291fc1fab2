//! A key is taken away, and the store comes back from a copy of before. Meanwhile the machines of one zone lose power and
//! start again, or one zone is cut off from the others and the store. Checked: no request runs that was sent with the key
//! later than `revoke_ms` after the acknowledgement.

use crate::balancer::Balancer;
use crate::host::Host;
use crate::http;
use crate::store::Store;
use crate::worker::{Run, Runs, Worker};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::fs;
use std::io::{self, BufReader, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The zones, and the number of machines in each, as on the sheet of terminwerk-muc.
const ZONES: [(&str, u8); 3] = [("muc-a", 3), ("muc-b", 2), ("nue-c", 1)];
/// The bound on keys that were taken away, as the settings state it.
const REVOKE: Duration = Duration::from_millis(5_000);
/// Connections that rest while a zone is cut off, and when requests are sent on them again.
const KEPT_CONNECTIONS: usize = 30;
const FIRST_KEPT: Duration = Duration::from_millis(5_600);
const KEPT_PAUSE: Duration = Duration::from_millis(50);
const KEPT_KEY: &str = "kept-key";
const TAKEN_KEY: &str = "taken-key";

/// What is done to a zone.
#[derive(Clone, Copy, PartialEq)]
pub enum Trouble {
    /// Its machines lose power and start again.
    PowerLoss { zone: &'static str },
    /// It is cut off from the others and the store.
    Cut { zone: &'static str },
}

/// Which of the two disruptions happen.
#[derive(Clone, Copy, PartialEq)]
pub enum Parts {
    Both,
    /// The store comes back from a copy; the zone is left alone.
    Copy,
    /// Something is done to the zone; the store is left alone.
    Zone,
    None,
}

/// A request of a client.
struct Sent {
    at: Instant,
    host: String,
    key: &'static str,
    id: String,
    status: u16,
}

type Log = Arc<Mutex<Vec<Sent>>>;

fn config(version: u32, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let keys = keys.join(",");
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-confirm","host":"desk.example","path_prefix":"/confirm/","kind":"non_idempotent","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"booking-api","max_attempts":1,"public":false}}],"services":[{{"name":"booking-api","health_path":"/health","max_conns":96,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"clinic","api_keys":[{keys}],"priority":1}}]}}"#
    )
}

/// Sends one request. The time that counts is that before its first byte.
fn send(
    stream: TcpStream,
    host: &str,
    key: &'static str,
    id: String,
    option: &str,
) -> (Sent, Option<TcpStream>) {
    let head = format!(
        "POST /confirm/1 HTTP/1.1\r\nHost: desk.example\r\nAlderglade-Request-Id: {id}\r\nAlderglade-Deadline-Ms: 2000\r\nAlderglade-Credential: {key}\r\n{option}Content-Length: 1\r\n\r\nx"
    );
    let at = Instant::now();
    let mut reader = BufReader::new(stream);
    let answered = reader.get_mut().write_all(head.as_bytes());
    let answer = answered
        .and_then(|()| http::read(&mut reader))
        .ok()
        .flatten();
    let is_kept = answer.as_ref().is_some_and(|answer| {
        let connection = answer.header("connection").unwrap_or_default();
        !connection.eq_ignore_ascii_case("close")
    });
    let sent = Sent {
        at,
        host: host.to_string(),
        key,
        id,
        status: answer.map_or(0, |answer| answer.status()),
    };
    (sent, is_kept.then(|| reader.into_inner()))
}

/// Sends requests to a host on new connections, one after the other, as long as the platform gives it any.
fn call_on(
    (place, host, to): (usize, String, SocketAddr),
    key: &'static str,
    balancer: Balancer,
    log: Log,
    stop: Arc<AtomicBool>,
) {
    const PAUSE: Duration = Duration::from_millis(25);
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(PAUSE);
        if !balancer.uses(place) {
            continue;
        }
        number += 1;
        let id = format!("{host}-{key}-{number}");
        // A machine without power takes no connection.
        if let Ok(stream) = http::connect(to, Duration::from_secs(3)) {
            let (sent, _) = send(stream, &host, key, id, "Connection: close\r\n");
            log.lock().unwrap().push(sent);
        }
    }
}

/// Sends two requests on one connection, which rests until the second one: for less than four fifths of the idle time-out.
fn call_on_kept(
    host: String,
    to: SocketAddr,
    key: &'static str,
    number: usize,
    at: Instant,
    log: Log,
) {
    let id = |which| format!("{host}-{key}-kept-{number}-{which}");
    let Ok(stream) = http::connect(to, Duration::from_secs(3)) else {
        return;
    };
    let (sent, kept) = send(stream, &host, key, id("first"), "");
    log.lock().unwrap().push(sent);
    if let Some(stream) = kept {
        sleep_until(at);
        let (sent, _) = send(stream, &host, key, id("second"), "");
        log.lock().unwrap().push(sent);
    }
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Plays the case; returns whether the rule held.
pub fn play(folder: &Path, record: &Path, trouble: Trouble, parts: Parts) -> io::Result<bool> {
    let store = Arc::new(Store::default());
    let runs: Runs = Arc::default();
    store.put("config", "main", &config(1, &[KEPT_KEY, TAKEN_KEY]));
    let mut workers = Vec::new();
    for (number, (zone, _)) in ZONES.iter().enumerate() {
        workers.push(Worker::start(
            &format!("i-{number}"),
            "booking-api",
            zone,
            &runs,
        )?);
    }
    workers.iter().for_each(|worker| worker.enter(&store));
    let zones = ZONES.map(|(zone, _)| zone);
    let mut hosts = Vec::new();
    for (zone, machines) in ZONES {
        let address = store.open(zone)?;
        for _ in 0..machines {
            let number = hosts.len() as u8 + 1;
            hosts.push(Host::start(folder, number, zone, &zones, address)?);
        }
    }
    if !hosts
        .iter()
        .all(|host| host.wait_until_ready(Duration::from_secs(10)))
    {
        return Err(io::Error::other("a host did not become ready"));
    }
    thread::sleep(Duration::from_secs(3));

    let (log, stop) = (Log::default(), Arc::new(AtomicBool::new(false)));
    let balancer = Balancer::start(&hosts);
    let mut callers = Vec::new();
    for (place, host) in hosts.iter().enumerate() {
        for key in [KEPT_KEY, TAKEN_KEY] {
            let to = (place, host.name.clone(), host.callers);
            let (balancer, log, stop) = (balancer.clone(), log.clone(), stop.clone());
            callers.push(thread::spawn(move || call_on(to, key, balancer, log, stop)));
        }
    }
    thread::sleep(Duration::from_secs(1));
    let mut events = Vec::new();
    // Opened before anything happens; a connection that is open stays with its node.
    if let Trouble::Cut { zone } = trouble {
        for host in hosts.iter().filter(|host| host.zone == zone) {
            for number in 0..KEPT_CONNECTIONS {
                let at = Instant::now() + FIRST_KEPT + KEPT_PAUSE * number as u32;
                let (name, to, log) = (host.name.clone(), host.callers, log.clone());
                let call = move || call_on_kept(name, to, TAKEN_KEY, number, at, log);
                callers.push(thread::spawn(call));
            }
        }
        thread::sleep(Duration::from_millis(200));
    }
    let copy = store.copy();
    events.push((Instant::now(), "the store's copy is of this moment"));
    thread::sleep(Duration::from_millis(200));
    let (is_copied, is_struck) = (
        matches!(parts, Parts::Both | Parts::Copy),
        matches!(parts, Parts::Both | Parts::Zone),
    );
    if let Trouble::Cut { zone } = trouble
        && is_struck
    {
        store.cut().set(Some(zone));
        events.push((Instant::now(), "a zone is cut off"));
    }
    thread::sleep(Duration::from_millis(100));
    store.put("config", "main", &config(2, &[KEPT_KEY]));
    let acked = Instant::now();
    events.push((acked, "a config without the key is acknowledged"));
    let after = |millis| acked + Duration::from_millis(millis);
    if parts != Parts::None {
        let back = match trouble {
            Trouble::PowerLoss { .. } => 4_900,
            Trouble::Cut { .. } => 5_200,
        };
        sleep_until(after(back - 1_000));
        if is_copied {
            store.go_away();
            events.push((Instant::now(), "the store goes away"));
        }
        if let Trouble::PowerLoss { zone } = trouble
            && is_struck
        {
            sleep_until(after(back - 500));
            let struck = hosts.iter_mut().filter(|host| host.zone == zone);
            struck.for_each(Host::kill);
            events.push((Instant::now(), "the machines of a zone lose power"));
        }
        sleep_until(after(back));
        if is_copied {
            store.come_back(copy);
            events.push((Instant::now(), "the store is back from the copy"));
        }
        match trouble {
            _ if !is_struck => {}
            Trouble::PowerLoss { zone } => {
                for host in hosts.iter_mut().filter(|host| host.zone == zone) {
                    host.spawn()?;
                }
                events.push((Instant::now(), "these machines start again"));
            }
            Trouble::Cut { .. } => {
                sleep_until(after(5_400));
                store.cut().set(None);
                events.push((Instant::now(), "the cut heals"));
            }
        }
        sleep_until(after(back + 1_000));
        if is_copied {
            workers.iter().for_each(|worker| worker.enter(&store));
            store.put("config", "main", &config(2, &[KEPT_KEY]));
            events.push((Instant::now(), "operator and workers have written again"));
        }
    }
    sleep_until(after(8_500));
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    drop(hosts);

    let (log, runs) = (log.lock().unwrap(), runs.lock().unwrap());
    let served = log
        .iter()
        .filter(|sent| sent.key == KEPT_KEY && sent.status == 200);
    if served.count() < 100 {
        return Err(io::Error::other("hardly any request was served"));
    }
    let by_id: BTreeMap<&str, &Run> = runs.iter().map(|run| (run.request.as_str(), run)).collect();
    let is_late = |sent: &&Sent| sent.key == TAKEN_KEY && sent.at > acked + REVOKE;
    let late: Vec<&Sent> = log.iter().filter(is_late).collect();
    let broken: Vec<&&Sent> = late
        .iter()
        .filter(|sent| by_id.contains_key(sent.id.as_str()))
        .collect();
    let mut text = String::new();
    let millis = |at: Instant| match at.checked_duration_since(acked) {
        Some(span) => span.as_millis() as i64,
        None => -(acked.duration_since(at).as_millis() as i64),
    };
    let _ = writeln!(
        text,
        "times in ms from the acknowledgement of the config that takes the key away"
    );
    for (at, what) in &events {
        let _ = writeln!(text, "{:>6} {what}", millis(*at));
    }
    let _ = writeln!(
        text,
        "{} requests with the key sent later than {} ms, {} of them run",
        late.len(),
        REVOKE.as_millis(),
        broken.len()
    );
    for sent in log.iter() {
        let run = by_id.get(sent.id.as_str());
        let run = run.map_or("not run".to_string(), |run| {
            format!(
                "run at {} ms by {} for {}",
                millis(run.at),
                run.worker,
                run.tenant
            )
        });
        let mark = if broken.iter().any(|other| other.id == sent.id) {
            " BROKEN"
        } else {
            ""
        };
        let (at, host, key) = (millis(sent.at), &sent.host, sent.key);
        let _ = writeln!(
            text,
            "{at:>6} {host} {key} {} answered {}, {run}{mark}",
            sent.id, sent.status
        );
    }
    fs::write(record, text)?;
    Ok(broken.is_empty())
}
