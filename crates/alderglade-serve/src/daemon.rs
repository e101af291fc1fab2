//! Starts and stops an entry host: opens its sockets, runs its tasks and ends when its work is done.

use crate::clock;
use crate::event::{self, Record};
use crate::node::Node;
use crate::{listen, peer};
use serde::Serialize;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};

/// How often a stopping host checks whether its work is done.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Why a host cannot start.
#[derive(Debug, Snafu)]
#[snafu(display("can't listen on {address}: is another process using it?"))]
pub struct Error {
    address: SocketAddr,
    source: std::io::Error,
}

/// The addresses on which a host listens. They differ from its settings if those leave the port to the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Addresses {
    /// Callers connect here.
    pub callers: SocketAddr,
    /// The balancer's readiness check.
    pub ready: SocketAddr,
    /// Other hosts: their notices over UDP, and over TCP whatever is too large for a datagram.
    pub peers: SocketAddr,
    /// Operators read metrics here, if configured.
    pub metrics: Option<SocketAddr>,
}

/// Opens all sockets and starts to serve.
///
/// # Errors
///
/// Returns an error if a required address is not available.
pub async fn start(node: &Rc<Node>) -> Result<Addresses, Error> {
    let settings = &node.settings;
    let ready = listener(settings.ready)?;
    let callers = listener(settings.callers)?;
    let metrics = settings.metrics.and_then(optional_listener);
    let (peers, copy_listener) = peer_sockets(settings.peers).await?;
    let addresses = Addresses {
        callers: callers.local_addr().unwrap_or(settings.callers),
        ready: ready.local_addr().unwrap_or(settings.ready),
        peers: peers.local_addr().unwrap_or(settings.peers),
        metrics: metrics
            .as_ref()
            .and_then(|listener| listener.local_addr().ok()),
    };
    if let Some(copy_listener) = copy_listener {
        tokio::task::spawn_local(peer::serve_copies(node.clone(), copy_listener));
    }
    if let Some(metrics) = metrics {
        tokio::task::spawn_local(listen::serve_metrics(node.clone(), metrics));
    }
    tokio::task::spawn_local(listen::serve_readiness(node.clone(), ready));
    tokio::task::spawn_local(listen::serve_callers(node.clone(), callers));
    tokio::task::spawn_local(peer::run(node.clone(), peers));
    event::write(&Record::Started {
        host: &settings.host,
        domain: &settings.domain,
        addresses,
    });
    Ok(addresses)
}

/// Opens the two sockets for other hosts on the same port. If the system picks the port, it must be free for both.
async fn peer_sockets(address: SocketAddr) -> Result<(UdpSocket, Option<TcpListener>), Error> {
    /// Maximum number of ports tried; the system seldom picks two in a row that are in use.
    const MAX_PORTS: usize = 8;
    let mut tries = 0;
    loop {
        let notice_socket = UdpSocket::bind(address).await.context(Snafu { address })?;
        let bound_address = notice_socket.local_addr().unwrap_or(address);
        let copy_listener = optional_listener(bound_address);
        tries += 1;
        if copy_listener.is_some() || address.port() != 0 || tries == MAX_PORTS {
            return Ok((notice_socket, copy_listener));
        }
    }
}

/// Opens a listener for operators or other hosts. The host serves without it if the port is in use by another
/// process.
fn optional_listener(address: SocketAddr) -> Option<TcpListener> {
    let opened = listener(address);
    if let Err(error) = &opened {
        let problem = error.to_string();
        event::write(&Record::ListenFault { problem: &problem });
    }
    opened.ok()
}

fn listener(address: SocketAddr) -> Result<TcpListener, Error> {
    listen::open(address).context(Snafu { address })
}

/// Stops a host. It accepts requests for a while and then refuses them, finishes its work, ends whatever is
/// unanswered shortly before the end, and returns when the process should exit.
///
/// A response that was produced must still be sent: if the process exited before its connection is closed, a caller
/// that reads slowly would lose it.
pub async fn stop(node: &Rc<Node>) {
    node.stop();
    while !node.has_finished() && !node.is_near_end() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    node.end_requests();
    // Counted from here, so that a host that is late still answers the requests that it ends.
    let end = clock::now() + node.flush_time();
    while !node.has_finished() && clock::now() < end {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    node.log_stopped();
}
