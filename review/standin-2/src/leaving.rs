//! A worker leaves in order, and a host is asked to stop. The worker ends after the last of its answers, which are streams
//! without a length. Checked: no connection of a client closes before the whole answer, which the worker has sent.

use crate::host::Host;
use crate::http::{self, Message};
use crate::store::Store;
use crate::worker::{Runs, Worker};
use std::fmt::Write as _;
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const ZONES: [&str; 3] = ["muc-a", "muc-b", "nue-c"];
/// The streams that are open while the worker leaves.
const STREAMS: usize = 3;
const EVENTS: usize = 27;
const PAUSE: Duration = Duration::from_millis(100);
/// What a worker process that ends after its last answer is told.
pub const LEAVES: &str = "leaves";

/// Which of the two planned works happen.
#[derive(Clone, Copy, PartialEq)]
pub enum Parts {
    Both,
    /// The host is asked to stop; the worker stays.
    Stop,
    None,
}

pub fn config() -> String {
    r#"{"version":1,"routes":[{"name":"r-draft","host":"desk.example","path_prefix":"/draft/","kind":"stream","timeout_ms":10000,"target_latency_ms":300,"gap_target_ms":250,"priority":1,"service":"drafts","max_attempts":2,"public":true}],"services":[{"name":"drafts","health_path":"/health","max_conns":96,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#.to_string()
}

pub fn event(number: usize) -> String {
    format!("id: {number}\ndata: piece {number}\n\n")
}

fn whole_stream() -> String {
    (1..=EVENTS).map(event).collect()
}

/// Runs a worker as a process of its own: says its address and each stream that it has sent, and, if it leaves, ends once
/// it has sent all streams.
pub fn run_worker(id: &str, leaves: bool) -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    println!("{}", listener.local_addr()?);
    let sent = Arc::new(AtomicUsize::new(0));
    for stream in listener.incoming().flatten() {
        let (id, sent) = (id.to_string(), sent.clone());
        thread::spawn(move || serve(&id, stream, &sent, leaves));
    }
    Ok(())
}

fn serve(id: &str, mut stream: TcpStream, sent: &AtomicUsize, leaves: bool) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = http::read(&mut reader)? {
        let expected = request.header("alderglade-expect-instance");
        if expected.is_some_and(|expected| expected != id) {
            http::respond(&mut stream, 421, "", b"")?;
            continue;
        }
        if request.header("alderglade-request-id").is_none() {
            let instance = format!("Alderglade-Instance-Id: {id}\r\n");
            http::respond(&mut stream, 200, &instance, b"{}")?;
            continue;
        }
        send_stream(id, &request, &mut stream)?;
        if sent.fetch_add(1, Ordering::SeqCst) + 1 == STREAMS && leaves {
            std::process::exit(0);
        }
        return Ok(());
    }
    Ok(())
}

/// Sends a stream with neither a length nor chunks, and closes its connection in order.
fn send_stream(id: &str, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
    let request_id = request.header("alderglade-request-id").unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAlderglade-Request-Id: {request_id}\r\nAlderglade-Server-Stamp: {id}.{request_id}\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    println!("began {request_id}");
    for number in 1..=EVENTS {
        thread::sleep(PAUSE);
        stream.write_all(event(number).as_bytes())?;
    }
    stream.shutdown(Shutdown::Write)?;
    println!("sent {request_id}, all {EVENTS} events, and closed its connection");
    Ok(())
}

/// A worker process. It ends with this.
struct Leaver {
    process: Child,
    address: SocketAddr,
    said: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Leaver {
    fn start(leaves: bool) -> io::Result<Leaver> {
        let mode = if leaves { LEAVES } else { "stays" };
        let mut process = Command::new(std::env::current_exe()?)
            .args(["worker", "i-leaver", mode])
            .stdout(Stdio::piped())
            .spawn()?;
        let output = process.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let mut lines = BufReader::new(output).lines();
        let first = lines.next().ok_or(io::ErrorKind::UnexpectedEof)??;
        let address = first.parse().map_err(io::Error::other)?;
        let said = Arc::new(Mutex::new(Vec::new()));
        let hearing = said.clone();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                hearing.lock().unwrap().push((Instant::now(), line));
            }
        });
        Ok(Leaver {
            process,
            address,
            said,
        })
    }

    fn enter(&self, store: &Store, state: &str) {
        let (address, zone) = (self.address, ZONES[0]);
        let spec = format!(
            r#"{{"service":"drafts","address":"{address}","zone":"{zone}","version":"v1","slots":16,"state":"{state}","cold_left_ms":0,"stage":"both","models":[],"seq":1}}"#
        );
        store.put("servers", "i-leaver", &spec);
    }

    fn wait_until_all_began(&self) -> bool {
        for _ in 0..100 {
            let said = self.said.lock().unwrap();
            if said
                .iter()
                .filter(|(_, line)| line.starts_with("began"))
                .count()
                == STREAMS
            {
                return true;
            }
            drop(said);
            thread::sleep(Duration::from_millis(10));
        }
        false
    }
}

impl Drop for Leaver {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Asks for a stream and returns what arrived until the connection closed.
pub fn ask(to: SocketAddr, id: &str) -> io::Result<Vec<u8>> {
    let mut stream = http::connect(to, Duration::from_secs(12))?;
    let head = format!(
        "POST /draft/1 HTTP/1.1\r\nHost: desk.example\r\nAlderglade-Request-Id: {id}\r\nAlderglade-Deadline-Ms: 10000\r\nAlderglade-Token-Count: 500,20\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx"
    );
    stream.write_all(head.as_bytes())?;
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    // A reset ends the answer as well.
    while let Ok(length) = stream.read(&mut buffer) {
        if length == 0 {
            break;
        }
        bytes.extend_from_slice(&buffer[..length]);
    }
    Ok(bytes)
}

/// Returns the body of a response in chunks, and whether its last chunk has arrived.
pub fn unchunk(bytes: &[u8]) -> (String, bool) {
    let text = String::from_utf8_lossy(bytes);
    let Some((_, mut rest)) = text.split_once("\r\n\r\n") else {
        return (String::new(), false);
    };
    let mut body = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).unwrap_or(0);
        if size == 0 {
            return (body, true);
        }
        let Some(piece) = after.get(..size) else {
            break;
        };
        body.push_str(piece);
        rest = after.get(size + 2..).unwrap_or_default();
    }
    (body, false)
}

/// Plays the case; returns whether the rule held.
pub fn play(folder: &Path, record: &Path, parts: Parts) -> io::Result<bool> {
    let store = Arc::new(Store::default());
    store.put("config", "main", &config());
    let leaver = Leaver::start(parts == Parts::Both)?;
    leaver.enter(&store, "ready");
    let mut hosts = Vec::new();
    for (number, zone) in ZONES.iter().enumerate() {
        let address = store.open(zone)?;
        hosts.push(Host::start(
            folder,
            number as u8 + 1,
            zone,
            &ZONES,
            address,
        )?);
    }
    if !hosts
        .iter()
        .all(|host| host.wait_until_ready(Duration::from_secs(10)))
    {
        return Err(io::Error::other("a host did not become ready"));
    }
    thread::sleep(Duration::from_millis(3_500));
    let start = Instant::now();
    let callers = hosts[0].callers;
    let ids: Vec<String> = (1..=STREAMS)
        .map(|number| format!("draft-{number}"))
        .collect();
    let asked = ids.iter().map(|id| {
        let id = id.clone();
        thread::spawn(move || ask(callers, &id).map(|bytes| (Instant::now(), bytes)))
    });
    let asked: Vec<_> = asked.collect();
    if !leaver.wait_until_all_began() {
        return Err(io::Error::other("the worker did not get all streams"));
    }
    let mut events = vec![(
        start,
        format!("clients ask {} for {STREAMS} streams", hosts[0].name),
    )];
    if parts == Parts::Both {
        let successor = Worker::start("i-next", "drafts", ZONES[1], &Runs::default())?;
        successor.enter(&store);
        leaver.enter(&store, "draining");
        events.push((
            Instant::now(),
            "the worker says draining, another one has come".to_string(),
        ));
    }
    if parts != Parts::None {
        hosts[0].ask_to_stop()?;
        events.push((
            Instant::now(),
            format!("{} is asked to stop (SIGTERM)", hosts[0].name),
        ));
    }
    let mut held = true;
    for (id, answer) in ids.iter().zip(asked) {
        let (at, bytes) = answer
            .join()
            .map_err(|_| io::Error::other("a client failed"))??;
        let (body, is_ended) = unchunk(&bytes);
        let is_whole = is_ended && body == whole_stream();
        held &= is_whole;
        let end = if is_ended {
            "with the last chunk"
        } else {
            "BROKEN: closed without the last chunk"
        };
        let of = body.matches("data:").count();
        events.push((
            at,
            format!("the client has {of} of {EVENTS} events of {id}, {end}"),
        ));
    }
    let said = leaver.said.lock().unwrap().clone();
    let sent = said
        .iter()
        .filter(|(_, line)| line.starts_with("sent"))
        .count();
    events.extend(
        said.into_iter()
            .map(|(at, line)| (at, format!("worker: {line}"))),
    );
    events.sort();
    let mut text = String::from("times in ms from the clients' requests\n");
    for (at, what) in &events {
        let _ = writeln!(text, "{:>6} {what}", at.duration_since(start).as_millis());
    }
    fs::write(record, text)?;
    if sent < STREAMS {
        return Err(io::Error::other("the worker has not sent all streams"));
    }
    Ok(held)
}
