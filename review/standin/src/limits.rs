//! CONFIG, DENIED: a new configuration allows longer heads of requests, but connections that are open go on refusing them.

use crate::Verdict;
use crate::client::{self, KEY, Kind};
use crate::host::Host;
use crate::http::Kept;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Conduct, Worker};
use std::path::Path;
use std::time::Duration;

const ZONES: [&str; 3] = ["muc-a", "muc-b", "nue-c"];
const HOST_ZONES: [&str; 6] = ["muc-a", "muc-a", "muc-a", "muc-b", "muc-b", "nue-c"];
const WORKERS: usize = 3;
/// Connections that clients keep to each host.
const KEPT: usize = 5;
const OLD_LIMIT: usize = 8_192;
/// The head of a long request: within the new limit.
const LONG_HEAD: usize = 12_000;
const CONFIG_APPLY_MS: u64 = 2_000;

pub fn run(record: &Record, folder: &Path, trouble: bool) -> Verdict {
    let store = Store::new();
    let tenants = [("clinics", KEY)];
    let old_limit = if trouble {
        OLD_LIMIT
    } else {
        client::MAX_HEADER_BYTES
    };
    store.put(
        "config",
        "main",
        client::config_limited(7, 2, &tenants, old_limit),
    );
    let conduct = Conduct {
        work: Duration::from_millis(10),
        ..Conduct::default()
    };
    let workers: Vec<Worker> = (0..WORKERS)
        .map(|number| Worker::start(&format!("i-{number}"), 6, 24, conduct, record))
        .collect();
    for (number, worker) in workers.iter().enumerate() {
        let entry = worker.entry("booking-api", ZONES[number % ZONES.len()]);
        store.put("servers", worker.id(), entry);
    }
    let hosts: Vec<Host> = (0..6)
        .map(|number| Host::start(&format!("h{number}"), HOST_ZONES[number], &store, folder))
        .collect();
    if !hosts.iter().all(Host::wait_until_ready) {
        return Verdict::CouldNotRun("a host isn't ready".to_string());
    }
    record.say("all hosts are ready");
    std::thread::sleep(Duration::from_millis(4_000));
    let timeout = Duration::from_secs(6);
    let mut kept = Vec::new();
    for host in &hosts {
        for number in 0..KEPT {
            let Some(connection) = Kept::open(host.front, timeout) else {
                return Verdict::CouldNotRun("no connection".to_string());
            };
            kept.push((format!("{}-{number}", host.name), connection));
        }
    }
    let mut sent = 0;
    let mut ask = |label: &str, connection: &mut Kept, head: usize| {
        let id = format!("{label}-{sent}");
        sent += 1;
        let request = long_request(&id, head);
        record.line(&format!(
            "client sends {id}, a head of {} bytes",
            request.len()
        ));
        let answer = connection.exchange(&request);
        let status = answer.map(|answer| answer.status);
        record.line(&format!("client gets {status:?} for {id}"));
        status
    };
    for _ in 0..5 {
        for (label, connection) in &mut kept {
            if ask(label, connection, 0) != Some(200) {
                return Verdict::CouldNotRun("a short request isn't served".to_string());
            }
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    if trouble {
        let config = client::config_limited(8, 2, &tenants, client::MAX_HEADER_BYTES);
        store.put("config", "main", config);
        record.say("the store has taken version 8, which allows heads of 16,384 bytes");
    }
    let acked = record.now();
    while record.now() < acked + CONFIG_APPLY_MS + 3_000 {
        for (label, connection) in &mut kept {
            if ask(label, connection, 0) != Some(200) {
                return Verdict::CouldNotRun("a short request isn't served".to_string());
            }
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    let mut new_refused = 0;
    for host in &hosts {
        let mut connection = Kept::open(host.front, timeout).expect("a connection");
        let label = format!("{}-new", host.name);
        new_refused += u32::from(ask(&label, &mut connection, LONG_HEAD) != Some(200));
    }
    let mut refused = 0;
    for (label, connection) in &mut kept {
        refused += u32::from(ask(label, connection, LONG_HEAD) == Some(431));
    }
    let allowed = 5.0 + f64::from(sent) / 500.0;
    record.say(&format!(
        "{sent} requests; long ones refused with 431: {refused} of {} on kept connections, {new_refused} of {} on new ones; allowed: {allowed:.1}",
        kept.len(),
        hosts.len()
    ));
    if f64::from(refused) > allowed {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Returns a request whose head is longer by a prompt of many parts.
fn long_request(id: &str, head: usize) -> Vec<u8> {
    let text = String::from_utf8(Kind::Cancel.request(id, KEY)).expect("a text");
    let text = text.replace("Connection: close\r\n", "");
    let parts: Vec<String> = (0..head / 12)
        .map(|part| format!("{part:08x}:40"))
        .collect();
    if parts.is_empty() {
        return text.into_bytes();
    }
    let header = format!("Alderglade-Prompt-Prefix: {}\r\n\r\n", parts.join(","));
    let text = text.strip_suffix("\r\n").expect("the end of a head");
    format!("{text}{header}").into_bytes()
}
