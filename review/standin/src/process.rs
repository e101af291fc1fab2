//! A worker as a process of its own, so that it can be killed.
//!
//! Its answers have neither a length nor chunks: they end with their connections. An export is long. A farewell is the last
//! answer of a worker that leaves: it ends right after that.

use crate::host;
use crate::http::{self, Request};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::time::Duration;

/// Pieces of an ordinary answer, and the pause before each.
pub const PIECES: usize = 20;
const PAUSE: Duration = Duration::from_millis(15);
/// The pause before each piece of a farewell, which takes 2.6 s: longer than `drain_ms`.
const FAREWELL_PAUSE: Duration = Duration::from_millis(130);
/// The length of an export, in bytes.
const EXPORT_BYTES: usize = 8 * 1024 * 1024;

/// Returns a piece of an ordinary answer.
fn piece(number: usize) -> String {
    format!("line {number:03} of the answer\n")
}

/// Returns the whole body of an ordinary answer.
pub fn whole_body() -> String {
    (0..PIECES).map(piece).collect()
}

/// Returns the same as an event of a stream.
fn event(number: usize) -> String {
    format!("id: {number}\ndata: {}\n\n", piece(number).trim_end())
}

/// Returns the whole body of a stream.
pub fn whole_stream() -> String {
    (0..PIECES).map(event).collect()
}

/// A worker process.
pub struct Process {
    pub id: String,
    pub address: SocketAddr,
    output: BufReader<ChildStdout>,
    child: Child,
}

impl Process {
    /// Starts a worker process, which tells its address.
    pub fn start(id: &str) -> Option<Process> {
        let mut child = Command::new(std::env::current_exe().ok()?)
            .args(["worker", id, "-"])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .ok()?;
        host::register(child.id());
        let mut line = String::new();
        let mut reader = BufReader::new(child.stdout.take()?);
        reader.read_line(&mut line).ok()?;
        Some(Process {
            id: id.to_string(),
            address: line.trim().parse().ok()?,
            output: reader,
            child,
        })
    }

    /// Waits until the worker has begun a farewell.
    pub fn wait_for_farewell(&mut self) {
        let _ = self.output.read_line(&mut String::new());
    }

    /// Returns the worker's entry in the store.
    pub fn entry(&self, zone: &str, state: &str) -> String {
        format!(
            "{{\"service\":\"booking-api\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":24,\"state\":\"{state}\",\"cold_left_ms\":0,\"seq\":1}}",
            self.address
        )
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        host::unregister(self.child.id());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Runs the worker until it is killed.
pub fn run(id: &str) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    println!("{}", listener.local_addr().expect("an address"));
    for stream in listener.incoming().flatten() {
        let id = id.to_string();
        std::thread::spawn(move || serve(stream, &id));
    }
}

/// Serves one request. The answer ends with the connection.
fn serve(stream: TcpStream, id: &str) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    let Some(request) = http::read_request(&mut reader) else {
        return;
    };
    let _ = answer(&mut writer, &request, id);
    let _ = writer.shutdown(Shutdown::Both);
}

fn answer(writer: &mut TcpStream, request: &Request, id: &str) -> std::io::Result<()> {
    let expected = request.header("Alderglade-Expect-Instance");
    if expected.is_some_and(|expected| expected != id) {
        let head = "HTTP/1.1 421 -\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
        return writer.write_all(head.as_bytes());
    }
    let request_id = request.header("Alderglade-Request-Id").unwrap_or_default();
    let is_stream = !request.target.starts_with("/slot/cancel/")
        && !request.target.starts_with("/slot/export/");
    let content_type = if is_stream {
        "text/event-stream"
    } else {
        "text/plain"
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\nAlderglade-Request-Id: {request_id}\r\nAlderglade-Server-Stamp: {id}.{request_id}\r\nConnection: close\r\n\r\n"
    );
    writer.write_all(head.as_bytes())?;
    if request.target.starts_with("/slot/export/") {
        let chunk = [b'x'; 64 * 1024];
        for _ in 0..EXPORT_BYTES / chunk.len() {
            writer.write_all(&chunk)?;
        }
        return Ok(());
    }
    if request.target.starts_with("/slot/farewell/") {
        println!("a farewell has begun");
        for number in 0..PIECES {
            std::thread::sleep(FAREWELL_PAUSE);
            writer.write_all(event(number).as_bytes())?;
        }
        writer.shutdown(Shutdown::Both)?;
        std::process::exit(0);
    }
    // A stream that another worker has begun goes on after its last event.
    let last = request.header("Last-Event-Id");
    let last: Option<usize> = last.and_then(|id| id.parse().ok());
    for number in last.map_or(0, |last| last + 1)..PIECES {
        std::thread::sleep(PAUSE);
        let piece = if is_stream {
            event(number)
        } else {
            piece(number)
        };
        writer.write_all(piece.as_bytes())?;
    }
    Ok(())
}
