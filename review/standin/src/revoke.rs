//! CONFIG: a revoked key works on for much longer than `revoke_ms` at a host that was restarted while another one was
//! frozen, and is cut off later.

use crate::Verdict;
use crate::client::{self, KEY, Kind, Log};
use crate::host::Host;
use crate::links::Links;
use crate::platform::Platform;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Conduct, Worker};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

const ZONES: [&str; 3] = ["muc-a", "muc-b", "nue-c"];
const HOST_ZONES: [&str; 6] = ["muc-a", "muc-a", "muc-a", "muc-b", "muc-b", "nue-c"];
const WORKERS: usize = 3;
/// How long the hosts run before anything happens.
const CALM: Duration = Duration::from_millis(30_000);
/// How long the store turns one host away.
const TURNED_AWAY: Duration = Duration::from_millis(1_500);
/// When another host freezes, from the beginning of that.
const FREEZES_AFTER: Duration = Duration::from_millis(900);
/// How long it is frozen.
const FROZEN: Duration = Duration::from_millis(3_000);
/// How long a killed process takes to be started again.
const RESTART: Duration = Duration::from_millis(200);
/// How long the restarted host runs before it is cut off: more than `contact_ms`.
const SETTLED: Duration = Duration::from_millis(4_000);
/// How long it is cut off.
const CUT: Duration = Duration::from_millis(9_000);
/// Requests with the revoked key to each of two hosts, each on a connection of its own.
const PROBES: u32 = 36;
const REVOKE_MS: u64 = 5_000;
/// The key that is taken away, and its tenant.
const REVOKED: &str = "key-2";

pub fn run(record: &Record, folder: &Path, trouble: bool) -> Verdict {
    let store = Store::new();
    let both = [("clinics", KEY), ("lab", REVOKED)];
    store.put("config", "main", client::config_with(7, 2, &both));
    let conduct = Conduct {
        work: Duration::from_millis(20),
        ..Conduct::default()
    };
    let workers: Vec<Worker> = (0..WORKERS)
        .map(|number| Worker::start(&format!("i-{number}"), 6, 24, conduct, record))
        .collect();
    for (number, worker) in workers.iter().enumerate() {
        let entry = worker.entry("booking-api", ZONES[number % ZONES.len()]);
        store.put("servers", worker.id(), entry);
    }
    let mut hosts: Vec<Host> = (0..6)
        .map(|number| Host::prepare(&format!("h{number}"), HOST_ZONES[number], &store, folder))
        .collect();
    let addresses: Vec<_> = hosts
        .iter()
        .map(|host| (host.name.clone(), host.peers))
        .collect();
    let links = Links::start(&addresses);
    store.set_links(links.clone());
    hosts.iter_mut().for_each(Host::launch);
    if !hosts.iter().all(Host::wait_until_ready) {
        return Verdict::CouldNotRun("a host isn't ready".to_string());
    }
    record.say("all hosts are ready");
    let log = Log::default();
    let stop = Arc::new(AtomicBool::new(false));
    let platform = Platform::start(&hosts, &HOST_ZONES, &stop);
    let clients: Vec<_> = hosts
        .iter()
        .map(|host| {
            let to = (host.name.clone(), host.front);
            let interval = Duration::from_millis(200);
            client::load(
                record,
                &log,
                to,
                "steady",
                Kind::Cancel,
                interval,
                &platform,
                &stop,
            )
        })
        .collect();
    std::thread::sleep(CALM);
    // With TROUBLE=cut only the cut at the end is played, for comparison.
    if trouble && std::env::var("TROUBLE").as_deref() != Ok("cut") {
        store.cut_off("h1", true);
        record.say("the store turns h1 away");
        std::thread::sleep(FREEZES_AFTER);
        hosts[0].signal("-STOP");
        record.say("h0 freezes");
        std::thread::sleep(TURNED_AWAY - FREEZES_AFTER);
        store.cut_off("h1", false);
        hosts[1].kill();
        record.say("the store serves h1 again, and h1's process is killed");
        std::thread::sleep(RESTART);
        hosts[1].launch();
        if !hosts[1].wait_until_ready() {
            return Verdict::CouldNotRun("h1 isn't ready".to_string());
        }
        record.say("h1 is started again and ready");
        std::thread::sleep(FROZEN - (TURNED_AWAY - FREEZES_AFTER) - RESTART);
        hosts[0].signal("-CONT");
        record.say("h0 wakes");
        std::thread::sleep(SETTLED);
    }
    record.say(&format!(
        "h1's own view: its store data is {:?} ms old",
        hosts[1].metric("alderglade_store_age_ms")
    ));
    // A host that is cut off says that it isn't ready, and gets no new connections. Those that are open stay with it. Each is at
    // rest for less than four fifths of `idle_timeout_ms` (15 s).
    let mut kept = Vec::new();
    for number in 0..PROBES {
        for host in [&hosts[1], &hosts[2]] {
            let id = format!("{}-opening-{number}", host.name);
            let Some(connection) = client::keep(record, &host.name, host.front, &id, REVOKED)
            else {
                return Verdict::CouldNotRun("a connection isn't served".to_string());
            };
            kept.push((host.name.clone(), connection));
        }
    }
    if trouble {
        store.cut_off("h1", true);
        links.cut("h1", true);
        record.say("h1 is cut off from the store and from all other hosts");
    }
    store.put(
        "config",
        "main",
        client::config_with(8, 2, &[("clinics", KEY)]),
    );
    let acked = record.now();
    record.say(&format!(
        "{REVOKED} is taken away: the store has taken version 8"
    ));
    let mut probes = Vec::new();
    let mut kept = kept.into_iter();
    while kept.len() > 0 {
        for (name, connection) in kept.by_ref().take(2) {
            let (record, log) = (record.clone(), log.clone());
            let id = format!("{name}-revoked-{}", record.now());
            probes.push(std::thread::spawn(move || {
                client::send_kept(&record, &log, &name, connection, &id, REVOKED);
            }));
        }
        std::thread::sleep(CUT / PROBES);
    }
    for probe in probes {
        let _ = probe.join();
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    judge(record, &log, &workers, acked)
}

/// Counts the requests with the revoked key that ran although they were sent more than `revoke_ms` after the key was taken
/// away.
fn judge(record: &Record, log: &Log, workers: &[Worker], acked: u64) -> Verdict {
    let sent = log.lock().expect("no thread panicked").clone();
    let steady = sent.iter().filter(|sent| sent.id.contains("steady"));
    let (all, served) = steady.fold((0, 0), |(all, served), sent| {
        (all + 1, served + u32::from(sent.status == Some(200)))
    });
    record.say(&format!(
        "{all} requests with the other key sent, {served} served"
    ));
    let arrivals: Vec<_> = workers.iter().flat_map(Worker::arrivals).collect();
    let late = sent
        .iter()
        .filter(|sent| sent.id.contains("revoked") && sent.at > acked + REVOKE_MS);
    let mut breaches = 0;
    for request in late {
        if arrivals
            .iter()
            .any(|arrival| arrival.ran && arrival.id == request.id)
        {
            breaches += 1;
            record.line(&format!(
                "BREACH {} ran, sent {} ms after its key was taken away",
                request.id,
                request.at - acked
            ));
        }
    }
    record.say(&format!(
        "{breaches} requests ran with the revoked key, sent more than {REVOKE_MS} ms after it was taken away"
    ));
    if breaches > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
