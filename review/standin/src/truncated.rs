//! MIXED: a worker is killed while it answers, and callers get the beginning of its answers as whole ones, because another
//! caller reads a long answer of that worker slowly.

use crate::Verdict;
use crate::client::{self, KEY, Kind};
use crate::host::Host;
use crate::http;
use crate::process::{self, Process};
use crate::record::Record;
use crate::store::Store;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const ZONES: [&str; 3] = ["muc-a", "muc-b", "nue-c"];
/// One of them is killed: a share of 0.125.
const WORKERS: usize = 8;
/// Callers of each host that read an export slowly.
const SLOW: usize = 16;
/// What a slow caller reads at a time, in bytes, and the pause before it reads on: some 40 KB a second.
const SLOW_BYTES: usize = 4 * 1024;
const SLOW_PAUSE: Duration = Duration::from_millis(100);
/// Requests to each host at the same time.
const BURST: usize = 32;
/// When the worker is killed, from their beginning: in the middle of the answers, which take 300 ms.
const KILLED_AFTER: Duration = Duration::from_millis(150);

pub fn run(record: &Record, folder: &Path, trouble: bool) -> Verdict {
    // With TROUBLE=kill nobody reads slowly, for comparison.
    let has_slow_callers = std::env::var("TROUBLE").as_deref() != Ok("kill");
    let store = Store::new();
    store.put("config", "main", client::config(7, 2));
    let mut workers = Vec::new();
    for number in 0..WORKERS {
        let Some(worker) = Process::start(&format!("i-{number}")) else {
            return Verdict::CouldNotRun("a worker doesn't start".to_string());
        };
        let entry = worker.entry(ZONES[number % ZONES.len()], "ready");
        store.put("servers", &worker.id, entry);
        workers.push(worker);
    }
    let hosts: Vec<Host> = ZONES
        .iter()
        .enumerate()
        .map(|(number, zone)| Host::start(&format!("h{number}"), zone, &store, folder))
        .collect();
    if !hosts.iter().all(Host::wait_until_ready) {
        return Verdict::CouldNotRun("a host isn't ready".to_string());
    }
    record.say("all hosts are ready");
    std::thread::sleep(Duration::from_millis(4_000));
    let stop = Arc::new(AtomicBool::new(false));
    if has_slow_callers {
        for host in &hosts {
            for number in 0..SLOW {
                let Ok(stream) = TcpStream::connect(host.front) else {
                    return Verdict::CouldNotRun("no connection".to_string());
                };
                let id = format!("{}-slow-{number}", host.name);
                let (record, stop) = (record.clone(), stop.clone());
                std::thread::spawn(move || read_slowly(&record, stream, &id, &stop));
            }
        }
        record.say(&format!(
            "{SLOW} callers of each host read an export slowly"
        ));
    }
    std::thread::sleep(Duration::from_millis(1_000));
    let answers: Arc<Mutex<Vec<_>>> = Arc::default();
    let mut callers = Vec::new();
    for host in &hosts {
        for number in 0..BURST {
            let (record, answers, front) = (record.clone(), answers.clone(), host.front);
            let id = format!("{}-{number}", host.name);
            callers.push(std::thread::spawn(move || {
                record.line(&format!("client sends {id}"));
                let request = kind_of(number).request(&id, KEY);
                let answer = http::exchange(front, &request, Duration::from_secs(6));
                let told = answer.as_ref().map(|answer| {
                    let length = answer.body.as_ref().map(Vec::len);
                    (answer.status, length)
                });
                record.line(&format!("client gets status and length {told:?} for {id}"));
                let mut answers = answers.lock().expect("no thread panicked");
                answers.push((id, kind_of(number), answer));
            }));
        }
    }
    std::thread::sleep(KILLED_AFTER);
    if trouble {
        workers[0].kill();
        record.say(&format!("{} is killed while it answers", workers[0].id));
    }
    for caller in callers {
        let _ = caller.join();
    }
    stop.store(true, Ordering::SeqCst);
    let results = std::mem::take(&mut *answers.lock().expect("no thread panicked"));
    let (mut served, mut truncated, mut truncated_streams) = (0, 0, 0);
    for (id, kind, answer) in &results {
        let whole = match kind {
            Kind::Draft => process::whole_stream(),
            _ => process::whole_body(),
        };
        let Some(answer) = answer else { continue };
        let Some(body) = answer.body.as_ref().filter(|_| answer.status == 200) else {
            continue;
        };
        if body.as_slice() == whole.as_bytes() {
            served += 1;
        } else {
            truncated += 1;
            truncated_streams += u32::from(*kind == Kind::Draft);
            record.line(&format!(
                "BREACH {kind:?} {id}: status 200, whole by its framing, {} of {} bytes; stamp {:?}",
                body.len(),
                whole.len(),
                answer.header("Alderglade-Server-Stamp")
            ));
        }
    }
    record.say(&format!(
        "{} requests, {served} whole answers, {truncated} beginnings of answers that look whole, {truncated_streams} of them streams",
        results.len()
    ));
    if results.len() != hosts.len() * BURST || served * 2 < results.len() {
        return Verdict::CouldNotRun("too few requests were served".to_string());
    }
    if truncated > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Returns what a caller asks for: every other one a stream.
fn kind_of(number: usize) -> Kind {
    if number % 2 == 0 {
        Kind::Cancel
    } else {
        Kind::Draft
    }
}

/// Sends a request with a long answer, and reads the answer slowly.
fn read_slowly(record: &Record, mut stream: TcpStream, id: &str, stop: &AtomicBool) {
    record.line(&format!("client sends {id}, and reads its answer slowly"));
    let _ = stream.write_all(&Kind::Export.request(id, KEY));
    let mut buffer = [0; SLOW_BYTES];
    let mut total = 0;
    while !stop.load(Ordering::SeqCst) {
        match stream.read(&mut buffer) {
            Ok(length) if length > 0 => total += length,
            _ => break,
        }
        std::thread::sleep(SLOW_PAUSE);
    }
    record.line(&format!(
        "client has read {total} bytes of the answer to {id}"
    ));
}
