//! Clients: requests at a steady rate, each on a connection of its own.

use crate::http::{self, Answer, Kept};
use crate::platform::Platform;
use crate::record::Record;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A request that a client sent.
#[derive(Debug, Clone)]
pub struct Sent {
    /// Milliseconds since the start.
    pub at: u64,
    pub id: String,
    /// The host that it was sent to.
    pub host: String,
    /// The status of the answer; `None` if there was none.
    pub status: Option<u16>,
}

/// The longest head of a request, as in the deployments.
pub const MAX_HEADER_BYTES: usize = 16_384;

/// The key that stays valid.
pub const KEY: &str = "key-1";

/// What the clients sent.
pub type Log = Arc<Mutex<Vec<Sent>>>;

/// What clients ask for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// An idempotent request.
    Cancel,
    /// A request that may run once at most.
    Confirm,
    /// An idempotent request with a long answer.
    Export,
    /// A stream that may be resumed.
    Draft,
    /// A stream that may run once at most.
    Farewell,
}

impl Kind {
    /// Returns the bytes of a request with a key, on a connection that is kept.
    pub fn kept_request(self, id: &str, key: &str) -> Vec<u8> {
        let text = String::from_utf8(self.request(id, key)).expect("a text");
        text.replace("Connection: close\r\n", "").into_bytes()
    }

    /// Returns the bytes of a request with a key.
    pub fn request(self, id: &str, key: &str) -> Vec<u8> {
        let line = match self {
            Kind::Cancel => "GET /slot/cancel/1",
            Kind::Confirm => "POST /slot/confirm/1",
            Kind::Export => "GET /slot/export/1",
            Kind::Draft => "POST /slot/draft/1",
            Kind::Farewell => "POST /slot/farewell/1",
        };
        format!(
            "{line} HTTP/1.1\r\nHost: clinic.example\r\nAlderglade-Request-Id: {id}\r\nAlderglade-Deadline-Ms: 4000\r\nAlderglade-Credential: {key}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        )
        .into_bytes()
    }
}

/// Sends one request, and records it and its answer.
pub fn send(
    record: &Record,
    log: &Log,
    host: &str,
    to: SocketAddr,
    kind: Kind,
    id: &str,
    key: &str,
) -> Option<Answer> {
    let at = record.line(&format!("client sends {id} to {host}"));
    let answer = http::exchange(to, &kind.request(id, key), Duration::from_secs(6));
    let status = answer.as_ref().map(|answer| answer.status);
    let told = status.map_or("nothing".to_string(), |status| status.to_string());
    record.line(&format!("client gets {told} for {id}"));
    log.lock().expect("no thread panicked").push(Sent {
        at,
        id: id.to_string(),
        host: host.to_string(),
        status,
    });
    answer
}

/// Sends requests to one host at a steady rate, each on a connection of its own, while the platform gives it new
/// connections, until `stop` is set.
pub fn load(
    record: &Record,
    log: &Log,
    host: (String, SocketAddr),
    label: &str,
    kind: Kind,
    interval: Duration,
    platform: &Platform,
    stop: &Arc<AtomicBool>,
) -> JoinHandle<()> {
    let (record, log, stop) = (record.clone(), log.clone(), stop.clone());
    let platform = platform.clone();
    let label = label.to_string();
    std::thread::spawn(move || {
        let mut due = Instant::now();
        let mut workers = Vec::new();
        for number in 0.. {
            if stop.load(Ordering::SeqCst) {
                break;
            }
            let (record, log, (name, to)) = (record.clone(), log.clone(), host.clone());
            if platform.uses(&name) {
                let id = format!("{name}-{label}-{number}");
                workers.push(std::thread::spawn(move || {
                    send(&record, &log, &name, to, kind, &id, KEY);
                }));
            }
            due += interval;
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
        }
        for worker in workers {
            let _ = worker.join();
        }
    })
}

/// Opens a connection with a request that must be served, to be kept at rest and used later.
pub fn keep(record: &Record, host: &str, to: SocketAddr, id: &str, key: &str) -> Option<Kept> {
    let mut kept = Kept::open(to, Duration::from_secs(6))?;
    record.line(&format!("client opens a connection to {host} with {id}"));
    let answer = kept.exchange(&Kind::Cancel.kept_request(id, key))?;
    (answer.status == 200).then_some(kept)
}

/// Sends a request on a connection that was kept, and records it and its answer.
pub fn send_kept(record: &Record, log: &Log, host: &str, mut kept: Kept, id: &str, key: &str) {
    let at = record.line(&format!("client sends {id} to {host} on a kept connection"));
    let answer = kept.exchange(&Kind::Cancel.kept_request(id, key));
    let status = answer.map(|answer| answer.status);
    record.line(&format!("client gets {status:?} for {id}"));
    log.lock().expect("no thread panicked").push(Sent {
        at,
        id: id.to_string(),
        host: host.to_string(),
        status,
    });
}

/// Returns a configuration with an idempotent and a non-idempotent route to a service of plain workers.
pub fn config(version: u64, max_attempts: u32) -> String {
    config_with(version, max_attempts, &[("clinics", KEY)])
}

/// Returns the same with these tenants and their keys.
pub fn config_with(version: u64, max_attempts: u32, tenants: &[(&str, &str)]) -> String {
    config_limited(version, max_attempts, tenants, MAX_HEADER_BYTES)
}

/// Returns the same with a limit on the heads of requests.
pub fn config_limited(
    version: u64,
    max_attempts: u32,
    tenants: &[(&str, &str)],
    max_header_bytes: usize,
) -> String {
    let tenants: Vec<String> = tenants
        .iter()
        .map(|(name, key)| format!(r#"{{"name":"{name}","api_keys":["{key}"]}}"#))
        .collect();
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            r#"{{"name":"r-{name}","host":"clinic.example","path_prefix":"/slot/{name}/","kind":"{kind}","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"booking-api","max_attempts":{attempts},"public":false,"sticky":false,"resumable":{}}}"#,
            name == "draft"
        )
    };
    format!(
        r#"{{"version":{version},"routes":[{},{},{},{},{}],"services":[{{"name":"booking-api","health_path":"/health","max_conns":96,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":{max_header_bytes},"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{}]}}"#,
        route("cancel", "idempotent", max_attempts),
        route("confirm", "non_idempotent", 1),
        route("export", "idempotent", max_attempts),
        route("draft", "stream", max_attempts),
        route("farewell", "stream", 1),
        tenants.join(","),
    )
}
