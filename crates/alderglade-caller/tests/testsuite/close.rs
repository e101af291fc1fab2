//! Closing a door while answers are being sent, connections are idle or requests are in transit.

use alderglade_caller::answer::{Answer, Closing, Token, Usage};
use alderglade_caller::listen::{Door, Handler, Request};
use alderglade_core::error::Kind;
use alderglade_core::request::{Id, Refusal};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Timeout for a condition that must become true; generous, because the tests measure no durations.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Lines of an answer; few enough to be queued for a slow caller without blocking the handler.
const ANSWER_LINES: u64 = 50;
/// Bytes of a line, so large that all lines together exceed the socket buffers.
const LINE_BYTES: usize = 512 * 1024;

/// Streams [`ANSWER_LINES`] lines, or only a closing line for `/short`.
struct Streamer {
    handled: AtomicBool,
}

impl Handler for Streamer {
    fn handle(&self, request: Request) {
        let text = "x".repeat(LINE_BYTES);
        let lines = if request.target == "/short" {
            0
        } else {
            ANSWER_LINES
        };
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

fn eventually(condition: &str, holds: impl Fn() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(
            start.elapsed() < TIMEOUT,
            "timed out waiting for: {condition}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A closed door must count a connection until its answer has been sent. During a rolling stop under load, a
/// process exited as soon as the handler had written the last line, which was still queued.
#[test]
fn a_closed_door_is_busy_until_answers_are_sent() {
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
    assert!(door.busy() > 0, "the answer hasn't been sent yet");
    let mut answer = Vec::new();
    caller.read_to_end(&mut answer).expect("the whole answer");
    assert!(
        answer.ends_with(b"0\r\n\r\n"),
        "it ends as a whole answer does"
    );
    assert!(answer.len() > ANSWER_LINES as usize * LINE_BYTES);
    eventually("the door is idle", || door.busy() == 0);
}

#[test]
fn a_closed_door_closes_idle_connections() {
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
    let mut remainder = Vec::new();
    assert_eq!(caller.read_to_end(&mut remainder).ok(), Some(0));
}

/// Keeps answers open, like requests that wait for a backend server; sets a fallback only for `/word`.
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
    eventually("both requests wait", || {
        handler.waiting.lock().expect("no panic").len() == 2
    });
    door.close();
    eventually("only the two connections are open", || door.busy() == 2);
    door.give_up();
    let [with_fallback, without_fallback] = callers.map(|mut caller| {
        let mut answer = String::new();
        caller.read_to_string(&mut answer).expect("an end");
        answer
    });
    assert!(with_fallback.starts_with("HTTP/1.1 504"), "{with_fallback}");
    assert!(with_fallback.contains("retry-after: 1"), "{with_fallback}");
    assert!(
        with_fallback.contains(r#""ran":"unknown""#),
        "{with_fallback}"
    );
    assert_eq!(without_fallback, "");
    eventually("the door is idle", || door.busy() == 0);
}

/// Reads an answer to its closing line, or to the end of the connection.
fn read_answer(caller: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    while !bytes.ends_with(b"}\n")
        && let Ok(read) = caller.read(&mut buffer)
        && read > 0
    {
        bytes.extend(&buffer[..read]);
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// A request sent before the close must be answered, on new connections and on kept ones. A closing door used
/// to close a connection on which a request had already been received.
#[test]
fn requests_sent_before_the_close_are_answered() {
    let handler = Arc::new(Streamer {
        handled: AtomicBool::new(false),
    });
    let address = "127.0.0.1:0".parse().expect("an address");
    let request = b"POST /short HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
    for round in 0..20 {
        let door = Door::open(address, 200, handler.clone()).expect("a door");
        let connect = |_| TcpStream::connect(door.address()).expect("a connection");
        let mut callers: Vec<TcpStream> = (0..20).map(connect).collect();
        for connected in &mut callers {
            connected.write_all(request).expect("sent");
            assert!(read_answer(connected).contains("finished"));
        }
        callers.extend((0..20).map(connect));
        for caller in &mut callers {
            caller.write_all(request).expect("sent");
        }
        door.close();
        let answers = callers.iter_mut().map(read_answer);
        let lost = answers.filter(|answer| !answer.contains("finished"));
        assert_eq!(lost.count(), 0, "of {} in round {round}", callers.len());
    }
}
