//! Requests that are at the door of a host while it stops.

use crate::fleet::{Fleet, PATIENCE, Plan, WORKSPACE, assert_whole, get, wait, wall_ms};
use alderglade_standin::client::Answer;
use alderglade_standin::engine::Engine;
use alderglade_standin::fleet::{DESK, Folder, MODEL, REVIEW, token};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

/// Longer than a host once gave answers to leave it after its last request was done.
const LONGER_THAN_THE_FLUSH: Duration = Duration::from_secs(4);
/// Two answers of this size are more than sockets take in.
const LARGE: usize = 3_900_000;
/// Reading a prompt of this size takes a while.
const LARGEST_PROMPT: usize = 11_000_000;
/// A moment within that while.
const WHILE_IT_IS_READ: Duration = Duration::from_millis(20);

fn small() -> Plan<'static> {
    Plan {
        hosts_each: 1,
        engines_each: 1,
        ..Plan::default()
    }
}

/// Writes a request for tokens as it goes over the wire.
fn prompt(text: &str) -> Vec<u8> {
    let body = json!({"model": MODEL, "prompt": text, "prompt_tokens": 1_000, "max_tokens": 5, "class": DESK});
    let body = body.to_string();
    let head = format!(
        "POST /v1/generate HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\nContent-Length: {}\r\n\r\n",
        token(WORKSPACE),
        body.len()
    );
    (head + &body).into_bytes()
}

/// Writes a booking as it goes over the wire.
fn booking(key: &str, body: &str) -> Vec<u8> {
    let head = format!(
        "POST /v1/services/booking-api/confirm HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\n\
         Idempotency-Key: {key}\r\nIdempotency-Issued-Ms: {}\r\nContent-Length: {}\r\n\r\n",
        token(WORKSPACE),
        wall_ms(),
        body.len()
    );
    (head + body).into_bytes()
}

/// Reads what still comes; a connection that is cut off ends it.
fn rest(socket: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut piece = vec![0; 1 << 16];
    while let Ok(read) = socket.read(&mut piece)
        && read > 0
    {
        bytes.extend_from_slice(&piece[..read]);
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Checks that an answer turns a request away that did not run, because the host stops.
fn assert_draining(answer: &str) {
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or_default();
    assert!(head.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(head.contains("retry-after: "), "{answer}");
    let closing: Value = serde_json::from_str(body).unwrap_or_default();
    let told = (&closing["kind"], &closing["ran"]);
    assert_eq!(told, (&json!("draining"), &json!("no")), "{answer}");
    assert!(closing["retry_after_ms"].as_u64() > Some(0), "{answer}");
}

fn assert_stops(fleet: &mut Fleet) {
    let status = fleet.hosts[0].process.wait(PATIENCE);
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
}

fn status_of(fleet: &Fleet) -> Value {
    let page = get(&format!(
        "http://{}/status",
        fleet.hosts[0].addresses.operators
    ));
    serde_json::from_str(&page.unwrap_or_default()).unwrap_or_default()
}

/// The process ended two seconds after its last request was done, whether or not the answer had left.
#[test]
fn a_stop_waits_for_answers_that_have_not_left() {
    let mut fleet = Fleet::start(&small());
    let mut caller = TcpStream::connect(&fleet.hosts[0].addresses.callers).expect("a connection");
    for key in ["a", "b"] {
        let body = key.repeat(LARGE);
        caller.write_all(&booking(key, &body)).expect("sent");
    }
    wait("both calls ran", || fleet.service.requests().len() == 2);
    wait("nothing is in hand", || status_of(&fleet)["inflight"] == 0);
    fleet.hosts[0].process.signal("TERM");
    thread::sleep(LONGER_THAN_THE_FLUSH);
    let answers = rest(&mut caller);
    for key in ["a", "b"] {
        assert!(
            answers.contains(&key.repeat(LARGE)),
            "the answer of {key} is not whole: {} bytes came",
            answers.len()
        );
    }
    assert_stops(&mut fleet);
}

/// The process ended while the body was still to come, and the caller was told nothing.
#[test]
fn a_body_that_comes_during_a_stop_is_told_that_it_did_not_run() {
    let mut fleet = Fleet::start(&small());
    let mut caller = TcpStream::connect(&fleet.hosts[0].addresses.callers).expect("a connection");
    let request = prompt("half of it comes late");
    let (early, late) = request.split_at(request.len() - 10);
    caller.write_all(early).expect("sent");
    thread::sleep(Duration::from_millis(200));
    fleet.hosts[0].process.signal("TERM");
    thread::sleep(LONGER_THAN_THE_FLUSH);
    // A connection that was cut off shows in the answer.
    let _ = caller.write_all(late);
    assert_draining(&rest(&mut caller));
    assert!(fleet.engines[0].with(|model| model.started().is_empty()));
    assert_stops(&mut fleet);
}

/// The host was let in by a picture from before the stop, and found nobody who decides any more.
#[test]
fn a_request_that_is_read_while_the_host_stops_is_told_so() {
    let mut fleet = Fleet::start(&small());
    let mut caller = TcpStream::connect(&fleet.hosts[0].addresses.callers).expect("a connection");
    let request = prompt(&"x".repeat(LARGEST_PROMPT));
    let (early, late) = request.split_at(request.len() - 1);
    caller.write_all(early).expect("sent");
    thread::sleep(Duration::from_millis(500));
    caller.write_all(late).expect("sent");
    thread::sleep(WHILE_IT_IS_READ);
    fleet.hosts[0].process.signal("TERM");
    let answer = rest(&mut caller);
    // On a busy machine the signal may come after the answer was begun; then it is whole.
    if !answer.contains(r#""finished":true"#) {
        assert_draining(&answer);
    }
    assert_stops(&mut fleet);
}

/// A signal that wasn't handled ended the process at once.
#[test]
fn a_hangup_is_a_planned_stop() {
    let mut fleet = Fleet::start(&small());
    let answer = thread::scope(|scope| {
        let sent = scope.spawn(|| fleet.generate(0, REVIEW, "hang up", 300_000, 60));
        wait("it runs", || {
            fleet.engines[0].with(|model| !model.started().is_empty())
        });
        fleet.hosts[0].process.signal("HUP");
        sent.join().expect("an answer")
    });
    assert_whole(&answer, "hang up", 60);
    assert_stops(&mut fleet);
}

/// A program that is ended when the test is over.
struct Program(Child);

impl Drop for Program {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Signals were handled only once the doors were open; before, SIGTERM ended the process at once.
#[test]
fn a_request_to_stop_during_the_start_is_a_planned_stop() {
    let platform = TcpListener::bind("127.0.0.1:0").expect("a platform that says nothing");
    let folder = Folder::new();
    let settings = json!({
        "name": "h0", "domain": "muc-a", "callers": "127.0.0.1:0", "peers": "127.0.0.1:0",
        "operators": "127.0.0.1:0", "platform": platform.local_addr().expect("an address"),
        "log_level": "WARN",
    });
    let path = folder.write("host-h0.json", &settings.to_string());
    let program = Path::new(env!("CARGO_BIN_EXE_alderglade-entry"));
    let started = Command::new(program)
        .arg("--settings")
        .arg(path)
        .stdout(Stdio::null())
        .spawn();
    let mut host = Program(started.expect("the program starts"));
    let asked = platform.accept().expect("the host asks the platform");
    let pid = host.0.id().to_string();
    let sent = Command::new("kill").args(["-s", "TERM", &pid]).status();
    assert!(sent.is_ok_and(|status| status.success()));
    let mut ended = None;
    wait("the host stops", || {
        ended = host.0.try_wait().expect("a child");
        ended.is_some()
    });
    assert!(ended.is_some_and(|status| status.success()), "{ended:?}");
    drop(asked);
}

/// What was at work when the time to stop was over was cut off without a word, and what waited was
/// told that its own time was over.
#[test]
fn at_the_end_of_the_time_to_stop_every_caller_is_told_what_became_of_it() {
    let mut fleet = Fleet::start(&Plan {
        hosts_each: 0,
        engines_each: 1,
        ..Plan::default()
    });
    fleet.start_host_with(
        "muc-a-h0",
        "muc-a",
        r#""log_level": "ERROR", "drain_limit_ms": 1000"#,
    );
    fleet.wait_ready();
    let answers: Vec<Answer> = thread::scope(|scope| {
        let send = |number: usize| {
            let fleet = &fleet;
            let text = format!("{number} is long");
            scope.spawn(move || fleet.generate(0, REVIEW, &text, 250_000, 60))
        };
        let sent: Vec<_> = (0..8).map(send).collect();
        wait("several wait for one", || {
            status_of(&fleet)["inflight"].as_u64() > Some(4)
        });
        fleet.hosts[0].process.signal("TERM");
        let answers = sent.into_iter().map(|one| one.join().expect("an answer"));
        answers.collect()
    });
    let started = fleet.engines[0].with(|model| model.started().len());
    let untold: Vec<&Answer> = answers
        .iter()
        .filter(|answer| answer.closing.is_none())
        .collect();
    assert!(untold.is_empty(), "cut off without a word: {untold:?}");
    let kept = answers.iter().filter(|answer| answer.ran() != "no").count();
    assert_eq!(kept, started, "only what was never sent did not run");
    for answer in answers.iter().filter(|answer| answer.ran() == "no") {
        assert_eq!(answer.kind(), "draining", "{answer:?}");
        assert!(answer.retry_after.is_some_and(|after| after >= 1));
    }
    assert_stops(&mut fleet);
    fleet.wait_memory_back();
}

/// A host with one engine that takes its model's time, and with so long to stop.
fn slow(drain_limit: Duration) -> Fleet {
    let mut fleet = Fleet::start(&Plan {
        hosts_each: 0,
        engines_each: 1,
        scale: 1.0,
        ..Plan::default()
    });
    let limit = drain_limit.as_millis();
    let more = format!(r#""log_level": "ERROR", "drain_limit_ms": {limit}"#);
    fleet.start_host_with("muc-a-h0", "muc-a", &more);
    fleet.wait_ready();
    fleet
}

/// Sends prompts of these lengths, of which the engine takes the first, and has the host stop.
fn stop_with(fleet: &Fleet, first: u64, others: [u64; 2]) -> (Answer, [Answer; 2]) {
    let engine = &fleet.engines[0];
    thread::scope(|scope| {
        let send = |tokens: u64| {
            scope.spawn(move || fleet.generate(0, REVIEW, "while it stops", tokens, 60))
        };
        let first = send(first);
        wait("one runs", || {
            engine.with(|model| model.started().len() == 1)
        });
        let others = others.map(send);
        wait("the others wait", || status_of(fleet)["inflight"] == 3);
        fleet.hosts[0].process.signal("TERM");
        let first = first.join().expect("an answer");
        (first, others.map(|other| other.join().expect("an answer")))
    })
}

fn assert_not_begun(answer: &Answer) {
    let told = (answer.status, answer.kind(), answer.ran());
    assert_eq!(told, (503, "draining", "no"), "{answer:?}");
    assert!(answer.retry_after.is_some_and(|after| after >= 1));
}

/// What was at work when the time to stop was over was cut off without a word.
#[test]
fn what_is_at_work_when_the_time_to_stop_is_over_is_answered() {
    let mut fleet = slow(Duration::from_secs(1));
    // Ten seconds of prefill, and five each.
    let (first, others) = stop_with(&fleet, 250_000, [125_000, 125_000]);
    let told = (first.kind(), first.ran());
    assert_eq!(told, ("expired_running", "unknown"), "{first:?}");
    others.iter().for_each(assert_not_begun);
    assert_stops(&mut fleet);
    fleet.wait_memory_back();
}

/// What waited was sent late in a stop, and cut off soon after.
#[test]
fn nothing_is_begun_that_the_time_to_stop_is_too_short_for() {
    let mut fleet = slow(Duration::from_secs(8));
    // Two seconds of prefill, and ten each.
    let (first, others) = stop_with(&fleet, 50_000, [250_000, 250_000]);
    assert_whole(&first, "while it stops", 60);
    others.iter().for_each(assert_not_begun);
    assert_eq!(fleet.engines[0].with(|model| model.started().len()), 1);
    assert_stops(&mut fleet);
    fleet.wait_memory_back();
}

/// A fleet whose engine takes two seconds and a half for a long prompt.
fn slower() -> Plan<'static> {
    Plan {
        scale: 5.0,
        ..small()
    }
}

/// Has a host stop in the middle of a prompt and does something meanwhile.
fn stop_meanwhile(fleet: &Fleet, tokens: u64, happens: impl FnOnce()) -> Answer {
    let begun = || {
        let started = |engine: &Engine| engine.with(|model| !model.started().is_empty());
        fleet.engines.iter().any(started)
    };
    thread::scope(|scope| {
        let sent = scope.spawn(|| fleet.generate(0, REVIEW, "in the middle", tokens, 60));
        wait("it runs", begun);
        fleet.hosts[0].process.signal("TERM");
        wait("the host stops", || status_of(fleet)["draining"] == true);
        happens();
        sent.join().expect("an answer")
    })
}

#[test]
fn further_orders_to_stop_cut_nothing_off() {
    let mut fleet = Fleet::start(&slower());
    let name = fleet.hosts[0].name.clone();
    let answer = stop_meanwhile(&fleet, 300_000, || {
        for signal in ["TERM", "HUP", "INT"] {
            fleet.hosts[0].process.signal(signal);
        }
        let drained = fleet.command(&["drain", &name]);
        assert!(drained.status.success(), "{drained:?}");
    });
    assert_whole(&answer, "in the middle", 60);
    assert_stops(&mut fleet);
}

#[test]
fn a_stopping_host_lets_nothing_in_over_new_or_kept_connections() {
    let mut fleet = Fleet::start(&slower());
    let address = fleet.hosts[0].addresses.callers.clone();
    let mut kept = TcpStream::connect(&address).expect("a connection");
    let answer = stop_meanwhile(&fleet, 300_000, || {
        let mut fresh = TcpStream::connect(&address).expect("a connection");
        for caller in [&mut kept, &mut fresh] {
            caller.write_all(&prompt("too late")).expect("sent");
            // Its answer ends with its line; a connection that is kept may stay open.
            caller.set_read_timeout(Some(PATIENCE)).expect("a limit");
        }
        for mut caller in [kept, fresh] {
            assert_draining(&rest(&mut caller));
        }
    });
    assert_whole(&answer, "in the middle", 60);
    assert_eq!(fleet.engines[0].with(|model| model.started().len()), 1);
    assert_stops(&mut fleet);
}

#[test]
fn what_breaks_off_during_a_stop_is_tried_again() {
    // Prefill takes a second and a half, within which the fault comes.
    let mut fleet = Fleet::start(&Plan {
        engines_each: 2,
        scale: 0.5,
        ..small()
    });
    let answer = stop_meanwhile(&fleet, 20_000, || {
        let runs = |engine: &&Engine| engine.with(|model| !model.started().is_empty());
        let engine = fleet.engines.iter().find(runs).expect("one runs it");
        engine.with(|model| model.faults.drop_after = Some(5));
    });
    assert_whole(&answer, "in the middle", 60);
    let started = |engine: &Engine| engine.with(|model| model.started().len());
    assert_eq!(fleet.engines.iter().map(started).sum::<usize>(), 2);
    assert_stops(&mut fleet);
}
