//! Answers of plain services, by how they are framed and how they end.

use alderglade_backend::service::{self, Call, End};
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

const BODY: &str = "the whole answer";

/// How the connection of an answer ends, and what becomes of its server.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Ending {
    /// It is closed in order.
    Closed,
    /// It is reset.
    Reset,
    /// The server's process ends: nothing listens any more, and the connection is closed.
    Crash,
    /// The same, but something still accepts a connection, and closes it at once.
    CrashBehindProxy,
    /// The process ends, and the next one already listens and answers.
    Restart,
}

/// The heads of answers of each framing, with the body as it is written.
fn framings() -> [(&'static str, String, String); 4] {
    let length = BODY.len();
    let chunks = format!("{length:x}\r\n{BODY}\r\n0\r\n\r\n");
    [
        (
            "length",
            format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n"),
            BODY.into(),
        ),
        (
            "chunked",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".into(),
            chunks,
        ),
        ("close", "HTTP/1.1 200 OK\r\n\r\n".into(), BODY.into()),
        ("HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\n".into(), BODY.into()),
    ]
}

/// Accepts a connection that arrives in time.
fn accept_within(listener: &TcpListener, limit: Duration) -> Option<TcpStream> {
    let socket = SockRef::from(listener);
    socket.set_read_timeout(Some(limit)).expect("a time limit");
    listener.accept().ok().map(|(stream, _)| stream)
}

/// Calls a server whose connection ends after these bytes.
fn call(bytes: String, ending: Ending) -> End {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = Vec::new();
        while !request.ends_with(b"ask") {
            let mut byte = [0];
            stream.read_exact(&mut byte).expect("a request");
            request.extend(byte);
        }
        stream.write_all(bytes.as_bytes()).expect("a sent answer");
        if ending == Ending::Reset {
            // The bytes arrive before the reset.
            std::thread::sleep(Duration::from_millis(30));
            let linger = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            linger.expect("a socket option");
        }
        let open = (ending != Ending::Crash).then_some(listener);
        if let Some(listener) = open.as_ref().filter(|_| ending == Ending::Restart) {
            // What connected to the process ends with it.
            let connected = accept_within(listener, Duration::from_millis(100));
            std::thread::sleep(Duration::from_millis(50));
            drop(connected);
        }
        drop(stream);
        match open {
            Some(listener) if ending == Ending::Restart => {
                let mut open = Vec::new();
                let limit = Duration::from_millis(500);
                while let Some(mut next) = accept_within(&listener, limit) {
                    next.set_read_timeout(Some(limit)).expect("a time limit");
                    if next.read(&mut [0; 1_024]).is_ok() {
                        let head = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                        next.write_all(head).expect("a sent answer");
                    }
                    open.push(next);
                }
                None
            }
            Some(listener) if ending == Ending::CrashBehindProxy => {
                drop(listener.accept());
                None
            }
            open => open,
        }
    });
    let address = address.to_string();
    let end = service::call(&Call {
        address: &address,
        path: "/x",
        request: "1".into(),
        body: b"ask",
        limit: Duration::from_secs(5),
    });
    drop(server.join().expect("no panic"));
    end
}

#[test]
fn whole_answers_are_passed_on_in_all_framings() {
    for (framing, head, body) in framings() {
        let end = call(head + &body, Ending::Closed);
        let expected = End::Answered {
            status: 200,
            body: BODY.into(),
        };
        assert_eq!(end, expected, "{framing}");
    }
}

/// Guards against an answer that looks whole although its server reset the connection, or closed it before the end that
/// the answer states.
#[test]
fn an_answer_that_is_broken_off_is_not_passed_on() {
    for (framing, head, body) in framings() {
        let part = head + &body[..body.len() / 2];
        assert_eq!(call(part.clone(), Ending::Reset), End::Broke, "{framing}");
        if framing == "length" || framing == "chunked" {
            assert_eq!(call(part, Ending::Closed), End::Broke, "{framing}");
        }
    }
}

/// Guards against the first part of an answer without a length that counts as whole because its server's process ended.
#[test]
fn an_answer_whose_server_ends_under_it_is_not_passed_on() {
    for (framing, head, body) in framings() {
        let part = head + &body[..body.len() / 2];
        assert_eq!(call(part, Ending::Crash), End::Broke, "{framing}");
    }
}

/// Guards against the same where something accepts connections in place of the server: its kernel for a moment, or a proxy.
#[test]
fn a_connection_that_is_closed_at_once_is_no_sign_of_a_living_server() {
    let [_, _, (_, close, body), (_, http10, _)] = framings();
    for head in [close, http10] {
        let part = head + &body[..body.len() / 2];
        assert_eq!(call(part, Ending::CrashBehindProxy), End::Broke);
    }
}

/// Guards against the same where the server's next process accepts connections and answers.
#[test]
fn the_next_process_is_no_sign_that_the_one_that_answered_lived() {
    let [_, _, (_, close, body), (_, http10, _)] = framings();
    for head in [close, http10] {
        let part = head + &body[..body.len() / 2];
        assert_eq!(call(part, Ending::Restart), End::Broke);
    }
}
