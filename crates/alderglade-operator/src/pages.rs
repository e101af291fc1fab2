//! The pages of an entry host for operators and the balancer, by `rouille`.

use crate::metrics::Metrics;
use alderglade_core::cell;
use alderglade_core::membership::Card;
use rouille::{Request, Response};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Threads that serve pages.
const THREADS: usize = 4;
/// How often the serving thread looks for an end.
const LOOK: Duration = Duration::from_millis(500);

/// Why pages can't be served.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The address can't be listened on.
    #[snafu(display("can't listen for operators on {address}: {cause}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the HTTP library said.
        cause: String,
    },
}

/// A host's state as operators see it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The host.
    pub host: String,
    /// Its failure domain.
    pub domain: String,
    /// Whether it takes requests.
    pub ready: bool,
    /// Whether it is about to stop.
    pub draining: bool,
    /// The settings revision in force.
    pub revision: u64,
    /// Requests in hand.
    pub inflight: usize,
    /// Live hosts of the failure domain.
    pub peers: Vec<Card>,
    /// Load of the failure domain's cells, as last heard.
    pub cells: Vec<cell::Digest>,
    /// Work of the cells whose home it is.
    #[serde(default)]
    pub backlog: Vec<Backlog>,
}

/// Work of one cell.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Backlog {
    /// The cell.
    pub cell: String,
    /// Requests that wait.
    pub waiting: usize,
    /// Requests that run.
    pub running: usize,
}

/// What the pages ask the host for.
pub trait Host: Send + Sync + 'static {
    /// Gives its state.
    fn status(&self) -> Status;

    /// Begins a planned stop.
    fn drain(&self);
}

/// Starts serving pages and gives the address.
///
/// # Errors
///
/// Where the address is taken.
pub fn start(
    address: SocketAddr,
    host: Arc<dyn Host>,
    metrics: Metrics,
) -> Result<SocketAddr, Error> {
    let serve = move |request: &Request| route(request, host.as_ref(), &metrics);
    let server = rouille::Server::new(address, serve).map_err(|cause| Error::Listen {
        address,
        cause: cause.to_string(),
    })?;
    let server = server.pool_size(THREADS);
    let address = server.server_addr();
    std::thread::spawn(move || {
        loop {
            server.poll_timeout(LOOK);
        }
    });
    Ok(address)
}

fn route(request: &Request, host: &dyn Host, metrics: &Metrics) -> Response {
    match (request.method(), request.url().as_str()) {
        ("GET", "/healthz") => health(&host.status()),
        ("GET", "/metrics") => Response::text(metrics.text()),
        ("GET", "/status") => Response::json(&host.status()),
        ("POST", "/drain") => {
            host.drain();
            Response::text("draining\n").with_status_code(202)
        }
        _ => Response::text("no such page\n").with_status_code(404),
    }
}

/// What the balancer asks: may this host get new connections?
fn health(status: &Status) -> Response {
    if status.ready {
        return Response::text("ready\n");
    }
    let text = if status.draining {
        "draining\n"
    } else {
        "not ready\n"
    };
    Response::text(text).with_status_code(503)
}
