//! A minimal HTTP/1.1: a server with a thread for each connection, and one exchange of a client.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A request as a stand-in received it.
#[derive(Debug, Clone, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

/// What a stand-in does with a request.
pub enum Reply {
    /// A whole answer with a length.
    Whole(u16, Vec<(String, String)>, Vec<u8>),
    /// Nothing: the connection is closed.
    Close,
}

pub fn whole(status: u16, headers: &[(&str, &str)], body: impl Into<Vec<u8>>) -> Reply {
    let headers = headers
        .iter()
        .map(|(name, value)| (name.to_string(), value.to_string()));
    Reply::Whole(status, headers.collect(), body.into())
}

/// A server, which ends like a process: its port is closed, and all of its connections.
#[derive(Clone)]
pub struct Server {
    pub address: SocketAddr,
    ended: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves connections on a free port.
    pub fn start(handler: impl Fn(Request) -> Reply + Send + Sync + 'static) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.set_nonblocking(true).expect("no blocking");
        let server = Server {
            address: listener.local_addr().expect("an address"),
            ended: Arc::default(),
            open: Arc::default(),
        };
        let (served, handler) = (server.clone(), Arc::new(handler));
        std::thread::spawn(move || {
            while !served.ended.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let mut open = served.open.lock().expect("no thread panicked");
                open.retain(|stream| stream.peer_addr().is_ok());
                open.extend(stream.try_clone());
                let handler = handler.clone();
                std::thread::spawn(move || serve_connection(stream, &*handler));
            }
            drop(listener);
            for stream in served.open.lock().expect("no thread panicked").drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        });
        server
    }

    /// Closes the port and all connections.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
    }
}

/// Serves connections on a free port until the process ends.
pub fn serve(handler: impl Fn(Request) -> Reply + Send + Sync + 'static) -> SocketAddr {
    Server::start(handler).address
}

fn serve_connection(stream: TcpStream, handler: &(dyn Fn(Request) -> Reply + Send + Sync)) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        match handler(request) {
            Reply::Whole(status, headers, body) => {
                if writer.write_all(&encode(status, &headers, &body)).is_err() {
                    return;
                }
            }
            Reply::Close => break,
        }
    }
    let _ = writer.shutdown(Shutdown::Both);
}

pub fn encode(status: u16, headers: &[(String, String)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

/// Reads a request. Returns `None` if the connection ends.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let first = read_line(reader)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_string(), words.next()?.to_string());
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers, false)?;
    Some(Request {
        method,
        target,
        headers,
        body,
    })
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(count) if count > 0 && line.ends_with('\n') => {
            Some(line.trim_end_matches(['\r', '\n']).to_string())
        }
        _ => None,
    }
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_string(), value.trim().to_string()));
    }
}

/// Reads a body with a length or in chunks; with `to_end` also one that ends with its connection. Returns `None` if it
/// breaks off.
fn read_body(
    reader: &mut BufReader<TcpStream>,
    headers: &[(String, String)],
    to_end: bool,
) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    if find(headers, "transfer-encoding").is_some() {
        loop {
            let size = read_line(reader)?;
            let size = usize::from_str_radix(size.split(';').next()?.trim(), 16).ok()?;
            if size == 0 {
                while !read_line(reader)?.is_empty() {}
                return Some(body);
            }
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk).ok()?;
            body.extend_from_slice(&chunk);
            read_line(reader)?;
        }
    }
    match find(headers, "content-length").and_then(|length| length.parse().ok()) {
        Some(length) => {
            body.resize(length, 0);
            reader.read_exact(&mut body).ok()?;
        }
        None if to_end => {
            reader.read_to_end(&mut body).ok()?;
        }
        None => {}
    }
    Some(body)
}

/// An answer as a client got it.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    /// The body; `None` if it broke off.
    pub body: Option<Vec<u8>>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// Sends a request on a connection of its own. Returns `None` if there is no answer.
pub fn exchange(to: SocketAddr, request: &[u8], timeout: Duration) -> Option<Answer> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(timeout));
    exchange_on(stream, request)
}

/// A connection that a client keeps for many requests.
pub struct Kept {
    reader: BufReader<TcpStream>,
}

impl Kept {
    pub fn open(to: SocketAddr, timeout: Duration) -> Option<Kept> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(timeout));
        let reader = BufReader::new(stream);
        Some(Kept { reader })
    }

    /// Sends a request and reads the answer. Returns `None` if there is none.
    pub fn exchange(&mut self, request: &[u8]) -> Option<Answer> {
        self.reader.get_mut().write_all(request).ok()?;
        let first = read_line(&mut self.reader)?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        let headers = read_headers(&mut self.reader)?;
        let body = read_body(&mut self.reader, &headers, false);
        Some(Answer {
            status,
            headers,
            body,
        })
    }
}

/// Sends a request on an open connection and reads the answer.
pub fn exchange_on(mut stream: TcpStream, request: &[u8]) -> Option<Answer> {
    stream.write_all(request).ok()?;
    let mut reader = BufReader::new(stream);
    let first = read_line(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader)?;
    let body = read_body(&mut reader, &headers, true);
    Some(Answer {
        status,
        headers,
        body,
    })
}
