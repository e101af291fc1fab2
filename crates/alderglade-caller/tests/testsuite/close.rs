//! A door that closes while answers are under way.

use alderglade_caller::answer::{Answer, Closing, Token, Usage};
use alderglade_caller::listen::{Door, Handler, Request};
use alderglade_core::error::Kind;
use alderglade_core::request::{Id, Refusal};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long something that should happen may take; generous, because nothing is timed.
const PATIENCE: Duration = Duration::from_secs(20);
/// Lines of an answer; fewer than wait for a slow caller without holding up the handler.
const LINES: u64 = 50;
/// Bytes of a line: all lines together are more than sockets take in.
const LINE: usize = 512 * 1024;

struct Streamer {
    handled: AtomicBool,
}

impl Handler for Streamer {
    fn handle(&self, request: Request) {
        let text = "x".repeat(LINE);
        let lines = if request.target == "/short" { 0 } else { LINES };
        let mut answer = Answer::new(request);
        for sequence in 0..lines {
            let token = Token {
                sequence,
                token: &text,
            };
            assert!(answer.token(&token));
        }
        assert!(answer.close(200, &Closing::finished(Id::default(), Usage::default())));
        self.handled.store(true, Ordering::SeqCst);
    }

    fn turn_away(&self, _request: Request) {}
}

fn eventually(what: &str, holds: impl Fn() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < PATIENCE, "never: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// From a rolling stop under load: the process ended when the handler had written its last line, which
/// still waited to be sent.
#[test]
fn a_closed_door_is_busy_until_answers_have_left() {
    let handler = Arc::new(Streamer {
        handled: AtomicBool::new(false),
    });
    let address = "127.0.0.1:0".parse().expect("an address");
    let door = Door::open(address, 8, handler.clone()).expect("a door");
    let mut caller = TcpStream::connect(door.address()).expect("a connection");
    caller
        .write_all(b"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
        .expect("sent");
    eventually("the handler is done", || {
        handler.handled.load(Ordering::SeqCst)
    });
    door.close();
    assert!(door.busy() > 0, "the answer has not left yet");
    let mut answer = Vec::new();
    caller.read_to_end(&mut answer).expect("the whole answer");
    assert!(
        answer.ends_with(b"0\r\n\r\n"),
        "it ends as a whole answer does"
    );
    assert!(answer.len() > LINES as usize * LINE);
    eventually("the door is idle", || door.busy() == 0);
}

#[test]
fn a_closed_door_ends_connections_at_rest() {
    let handler = Arc::new(Streamer {
        handled: AtomicBool::new(false),
    });
    let address = "127.0.0.1:0".parse().expect("an address");
    let door = Door::open(address, 8, handler).expect("a door");
    let mut caller = TcpStream::connect(door.address()).expect("a connection");
    caller
        .write_all(b"POST /short HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
        .expect("sent");
    let mut answer = Vec::new();
    while !answer.ends_with(b"}\n") {
        let mut byte = [0];
        caller.read_exact(&mut byte).expect("the answer");
        answer.extend(byte);
    }
    door.close();
    eventually("the door is idle", || door.busy() == 0);
    let mut rest = Vec::new();
    assert_eq!(caller.read_to_end(&mut rest).ok(), Some(0));
}

/// A request's thread that waits for a backend server; it has set a fallback or not.
struct Waiter {
    waiting: Mutex<Vec<Answer>>,
}

impl Handler for Waiter {
    fn handle(&self, request: Request) {
        let sets_fallback = request.target == "/word";
        let answer = Answer::new(request);
        if sets_fallback {
            let refusal = Refusal::new(Kind::ExpiredRunning, Duration::from_secs(1));
            let closing = Closing::failed(Id::default(), refusal, None, Usage::default());
            answer.set_fallback(refusal.kind.row().status, closing);
        }
        self.waiting.lock().expect("no panic").push(answer);
    }

    fn turn_away(&self, _request: Request) {}
}

#[test]
fn answers_that_are_given_up_end_with_their_fallback() {
    let handler = Arc::new(Waiter {
        waiting: Mutex::default(),
    });
    let address = "127.0.0.1:0".parse().expect("an address");
    let door = Door::open(address, 8, handler.clone()).expect("a door");
    let callers = ["/word", "/none"].map(|target| {
        let mut caller = TcpStream::connect(door.address()).expect("a connection");
        let head = format!("POST {target} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
        caller.write_all(head.as_bytes()).expect("sent");
        caller
    });
    eventually("both wait", || {
        handler.waiting.lock().expect("no panic").len() == 2
    });
    door.close();
    eventually("only they are left", || door.busy() == 2);
    door.give_up();
    let [told, untold] = callers.map(|mut caller| {
        let mut answer = String::new();
        caller.read_to_string(&mut answer).expect("an end");
        answer
    });
    assert!(told.starts_with("HTTP/1.1 504"), "{told}");
    assert!(told.contains("retry-after: 1"), "{told}");
    assert!(told.contains(r#""ran":"unknown""#), "{told}");
    assert_eq!(untold, "");
    eventually("the door is idle", || door.busy() == 0);
}

/// Reads an answer to its closing line, or to the end of the connection.
fn answer(caller: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut piece = [0; 4_096];
    while !bytes.ends_with(b"}\n")
        && let Ok(read) = caller.read(&mut piece)
        && read > 0
    {
        bytes.extend(&piece[..read]);
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// A connection was closed although a request had come over it, which had been sent in good faith.
#[test]
fn a_request_that_has_come_when_the_door_closes_is_answered() {
    let handler = Arc::new(Streamer {
        handled: AtomicBool::new(false),
    });
    let address = "127.0.0.1:0".parse().expect("an address");
    let request = b"POST /short HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
    for round in 0..20 {
        let door = Door::open(address, 200, handler.clone()).expect("a door");
        let connect = |_| TcpStream::connect(door.address()).expect("a connection");
        let mut callers: Vec<TcpStream> = (0..20).map(connect).collect();
        for kept in &mut callers {
            kept.write_all(request).expect("sent");
            assert!(answer(kept).contains("finished"));
        }
        callers.extend((0..20).map(connect));
        for caller in &mut callers {
            caller.write_all(request).expect("sent");
        }
        door.close();
        let answers = callers.iter_mut().map(answer);
        let lost = answers.filter(|answer| !answer.contains("finished"));
        assert_eq!(lost.count(), 0, "of {} in round {round}", callers.len());
    }
}
