//! LOST: a worker that leaves ends right after its last answer, while the host that passes the answer on stops. No case of its own:
//! it shows what the entry of soak seed 1409 in KNOWN-RED.txt tells.

use crate::Verdict;
use crate::client::{self, KEY, Kind};
use crate::host::Host;
use crate::http;
use crate::process::{self, Process};
use crate::record::Record;
use crate::store::Store;
use std::path::Path;
use std::time::Duration;

const ZONES: [&str; 3] = ["muc-a", "muc-b", "nue-c"];

/// Plays it. With TROUBLE=leave the host isn't stopped, without trouble the worker stays, too; LOST counts only around planned work.
pub fn run(record: &Record, folder: &Path, trouble: bool) -> Verdict {
    let stops = trouble && std::env::var("TROUBLE").as_deref() != Ok("leave");
    let store = Store::new();
    store.put("config", "main", client::config(7, 2));
    let started = [Process::start("i-0"), Process::start("i-1")];
    let [Some(mut leaver), Some(successor)] = started else {
        return Verdict::CouldNotRun("a worker doesn't start".to_string());
    };
    store.put("servers", &leaver.id, leaver.entry(ZONES[0], "ready"));
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
    let front = hosts[0].front;
    let kind = if trouble { Kind::Farewell } else { Kind::Draft };
    let request = kind.request("stream-1", KEY);
    record.line("client sends stream-1 to h0");
    let caller =
        std::thread::spawn(move || http::exchange(front, &request, Duration::from_secs(8)));
    if trouble {
        leaver.wait_for_farewell();
        record.say("i-0 runs stream-1, and ends right after its answer, 2.6 s from now");
        store.put("servers", &successor.id, successor.entry(ZONES[1], "ready"));
        store.put("servers", &leaver.id, leaver.entry(ZONES[0], "draining"));
        record.say("i-0 says draining; i-1 takes its place");
    }
    if stops {
        hosts[0].signal("-TERM");
        record.say("h0 is asked to stop");
    }
    let answer = caller.join().ok().flatten();
    let whole = process::whole_stream();
    let got = answer.map(|answer| {
        let is_whole = answer.body.map(|body| body.as_slice() == whole.as_bytes());
        (answer.status, is_whole)
    });
    record.say(&format!(
        "the client gets status and whether the body is whole: {got:?}; no body: it was broken off"
    ));
    match got {
        Some((200, Some(true))) => Verdict::Held,
        _ if stops => Verdict::Broken,
        _ => {
            record.say("LOST doesn't count that: the host isn't stopped");
            Verdict::Held
        }
    }
}
