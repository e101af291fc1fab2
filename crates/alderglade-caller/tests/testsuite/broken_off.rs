//! Answers whose writer is dropped before their closing line, as that of a thread that panics.

use alderglade_caller::answer::{Answer, Fallback, Token};
use alderglade_caller::listen::{Door, Handler, Request};
use bytes::Bytes;
use http::{HeaderMap, Method};
use http_body_util::BodyExt;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Streams as many lines as the path of the request says, and drops the answer.
struct Dropper;

impl Handler for Dropper {
    fn handle(&self, request: Request) {
        let lines = request.target.trim_start_matches('/').parse();
        let mut answer = Answer::new(request);
        for sequence in 0..lines.expect("a number") {
            let token = "text";
            answer.token(&Token { sequence, token });
        }
        // The lines leave the process before the answer is dropped.
        std::thread::sleep(Duration::from_millis(50));
    }

    fn turn_away(&self, _request: Request) {}
}

fn open_door() -> Door {
    let address = "127.0.0.1:0".parse().expect("an address");
    Door::open(address, 8, Arc::new(Dropper)).expect("a door")
}

/// Sends a request for this many lines.
fn send(door: &Door, lines: usize, version: &str) -> TcpStream {
    let mut caller = TcpStream::connect(door.address()).expect("a connection");
    let head = format!("POST /{lines} HTTP/{version}\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
    caller.write_all(head.as_bytes()).expect("a sent request");
    caller
}

/// Guards against an incomplete answer that looks whole to a caller of HTTP/1.0, because its connection is closed in order.
#[test]
fn an_answer_without_its_closing_line_is_reset_for_callers_of_http_1_0() {
    let door = open_door();
    let mut caller = send(&door, 3, "1.0");
    let mut received = Vec::new();
    let end = caller.read_to_end(&mut received);
    let text = String::from_utf8_lossy(&received);
    assert!(text.contains("sequence") && end.is_err(), "{text}");
}

/// Guards against an incomplete answer that looks whole because the queue to a slow caller was full as it was dropped.
#[test]
fn an_answer_without_its_closing_line_has_no_end_for_slow_callers() {
    /// The lines that are queued for a slow caller; one more would block.
    const QUEUED_LINES: u64 = 64;
    let (sender, mut receiver) = oneshot::channel();
    let mut answer = Answer::new(Request {
        method: Method::POST,
        target: "/".into(),
        headers: HeaderMap::new(),
        body: Ok(Bytes::new()),
        answer: sender,
        fallback: Fallback::default(),
    });
    for sequence in 0..QUEUED_LINES {
        let token = "text";
        assert!(answer.token(&Token { sequence, token }));
    }
    drop(answer);
    let response = receiver.try_recv().expect("the head of the answer");
    let runtime = tokio::runtime::Builder::new_current_thread().build();
    let body = response.into_body().collect();
    let body = runtime.expect("a runtime").block_on(body);
    assert!(body.is_err(), "{:?}", body.map(|body| body.to_bytes()));
}
