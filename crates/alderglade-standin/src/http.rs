//! A small server for stand-ins: a thread for each request, switched off by a flag.

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;
use tiny_http::{Request, Response, Server};

/// A stand-in that listens.
#[derive(Debug)]
pub struct Listening {
    address: SocketAddr,
    stopped: Arc<AtomicBool>,
}

impl Listening {
    /// Gives the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes no further requests.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

/// Listens on an address and hands each request to `handle` on a thread of its own.
///
/// # Panics
///
/// Where the address is taken: a stand-in without its address is of no use.
pub fn listen(address: &str, handle: impl Fn(Request) + Send + Sync + 'static) -> Listening {
    let server = Server::http(address).expect("stand-in listens");
    let address = server.server_addr().to_ip().expect("an IP address");
    let stopped = Arc::new(AtomicBool::new(false));
    let flag = stopped.clone();
    let handle = Arc::new(handle);
    thread::spawn(move || {
        while !flag.load(Ordering::Relaxed) {
            let Ok(next) = server.recv_timeout(Duration::from_millis(50)) else {
                return;
            };
            if let Some(request) = next {
                let handle = handle.clone();
                thread::spawn(move || handle(request));
            }
        }
    });
    Listening { address, stopped }
}

/// Answers with JSON.
pub fn json(request: Request, status: u16, body: &impl Serialize) {
    let text = serde_json::to_string(body).unwrap_or_default();
    let _ = request.respond(Response::from_string(text).with_status_code(status));
}

/// Reads a JSON body.
pub fn read<T: DeserializeOwned>(request: &mut Request) -> Option<T> {
    let mut text = String::new();
    request.as_reader().read_to_string(&mut text).ok()?;
    serde_json::from_str(&text).ok()
}
