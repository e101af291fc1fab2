//! A stand-in of a worker of a plain service. It answers each request at once and records what it ran.

use crate::http::{self, Message};
use crate::store::Store;
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// A request that a worker ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    pub worker: String,
    pub request: String,
    pub tenant: String,
}

/// What all workers ran.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A worker.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    runs: Runs,
}

impl Worker {
    /// Starts a worker.
    pub fn start(id: &str, service: &str, zone: &str, runs: &Runs) -> io::Result<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let worker = Worker {
            id: id.to_string(),
            service: service.to_string(),
            zone: zone.to_string(),
            address: listener.local_addr()?,
            runs: runs.clone(),
        };
        let serving = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = serving.clone();
                thread::spawn(move || worker.serve(stream));
            }
        });
        Ok(worker)
    }

    /// Writes the worker's entry to the store.
    pub fn enter(&self, store: &Store) {
        let Worker {
            id,
            service,
            zone,
            address,
            ..
        } = self;
        let spec = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":6,"state":"ready","cold_left_ms":0,"stage":"both","models":[],"seq":1}}"#
        );
        store.put("servers", id, &spec);
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = http::read(&mut reader)? {
            self.answer(&request, &mut stream)?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
        let id = &self.id;
        let instance = format!("Alderglade-Instance-Id: {id}\r\n");
        let expected = request.header("alderglade-expect-instance");
        if expected.is_some_and(|expected| expected != id) {
            return http::respond(stream, 421, &instance, b"");
        }
        let Some(request_id) = request.header("alderglade-request-id") else {
            // Health and reports.
            return http::respond(stream, 200, &instance, b"{}");
        };
        self.runs.lock().unwrap().push(Run {
            at: Instant::now(),
            worker: id.clone(),
            request: request_id.to_string(),
            tenant: request
                .header("alderglade-tenant")
                .unwrap_or_default()
                .to_string(),
        });
        let headers = format!(
            "Alderglade-Request-Id: {request_id}\r\nAlderglade-Server-Stamp: {id}.{request_id}\r\n"
        );
        http::respond(stream, 200, &headers, b"done")
    }
}
