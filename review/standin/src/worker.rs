//! A stand-in of a plain worker: it runs requests and answers them, as PROTOCOL.md says of a sound one.

use crate::http::{Reply, Request, Server, whole};
use crate::record::Record;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// One arrival of a request at a worker.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Milliseconds since the start.
    pub at: u64,
    /// The client's id of the request.
    pub id: String,
    /// Whether the worker started to work on it.
    pub ran: bool,
}

/// What a worker does besides serving.
#[derive(Debug, Clone, Copy, Default)]
pub struct Conduct {
    /// How long a request takes.
    pub work: Duration,
    /// How long a confirmation takes, which may run once at most.
    pub confirmation_work: Duration,
}

struct Inner {
    id: String,
    slots: usize,
    queue: usize,
    conduct: Conduct,
    running: AtomicUsize,
    ended: AtomicBool,
    arrivals: Mutex<Vec<Arrival>>,
    record: Record,
}

/// A worker; clones share it.
#[derive(Clone)]
pub struct Worker {
    inner: Arc<Inner>,
    server: Server,
    pub address: SocketAddr,
}

impl Worker {
    pub fn start(
        id: &str,
        slots: usize,
        queue: usize,
        conduct: Conduct,
        record: &Record,
    ) -> Worker {
        let inner = Arc::new(Inner {
            id: id.to_string(),
            slots,
            queue,
            conduct,
            running: AtomicUsize::new(0),
            ended: AtomicBool::new(false),
            arrivals: Mutex::default(),
            record: record.clone(),
        });
        let served = inner.clone();
        let server = Server::start(move |request| served.handle(&request));
        Worker {
            inner,
            address: server.address,
            server,
        }
    }

    pub fn id(&self) -> &str {
        &self.inner.id
    }

    /// Returns what the worker writes of itself in the store.
    pub fn entry(&self, service: &str, zone: &str) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{},\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1}}",
            self.address, self.inner.slots
        )
    }

    /// Ends the worker: its port and its connections are closed, and what it works on is lost.
    pub fn end(&self) {
        self.inner.ended.store(true, Ordering::SeqCst);
        self.server.end();
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.inner
            .arrivals
            .lock()
            .expect("no thread panicked")
            .clone()
    }
}

impl Inner {
    fn handle(&self, request: &Request) -> Reply {
        if self.ended.load(Ordering::SeqCst) {
            return Reply::Close;
        }
        let expected = request.header("Alderglade-Expect-Instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return whole(421, &[("Alderglade-Instance-Id", self.id.as_str())], "");
        }
        if request.target == "/health" {
            return whole(200, &[("Alderglade-Instance-Id", self.id.as_str())], "");
        }
        let Some(id) = request.header("Alderglade-Request-Id") else {
            return whole(400, &[("Alderglade-Not-Run", "1")], "");
        };
        let before = self.running.fetch_add(1, Ordering::SeqCst);
        let full = before >= self.slots + self.queue;
        let what = if full { "refuses" } else { "runs" };
        let at = self.record.line(&format!("worker {} {what} {id}", self.id));
        self.arrivals
            .lock()
            .expect("no thread panicked")
            .push(Arrival {
                at,
                id: id.to_string(),
                ran: !full,
            });
        let echo = ("Alderglade-Request-Id", id);
        if full {
            self.running.fetch_sub(1, Ordering::SeqCst);
            return whole(503, &[echo, ("Alderglade-Not-Run", "1")], "");
        }
        let conduct = self.conduct;
        let is_confirmation = request.target.starts_with("/slot/confirm/");
        std::thread::sleep(if is_confirmation {
            conduct.confirmation_work
        } else {
            conduct.work
        });
        self.running.fetch_sub(1, Ordering::SeqCst);
        if self.ended.load(Ordering::SeqCst) {
            self.record
                .line(&format!("worker {} ended while it ran {id}", self.id));
            return Reply::Close;
        }
        let stamp = format!("{}.{id}", self.id);
        whole(
            200,
            &[echo, ("Alderglade-Server-Stamp", stamp.as_str())],
            "done",
        )
    }
}
