//! Starts and stops an entry host: opens its sockets, runs its tasks, ends when its work is done.

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

/// How often a stopping host looks whether its work is done.
const LOOK: Duration = Duration::from_millis(50);

/// Why a host can't start.
#[derive(Debug, Snafu)]
#[snafu(display("can't listen on {address}: is another process using it?"))]
pub struct Error {
    address: SocketAddr,
    source: std::io::Error,
}

/// Where a host really listens; differs from its settings where those leave the port to the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's question.
    pub ready: SocketAddr,
    /// For other hosts: for their notices over UDP, and over TCP for what is too large for one.
    pub peers: SocketAddr,
    /// For operators.
    pub metrics: Option<SocketAddr>,
}

/// Opens all sockets and starts to serve.
///
/// # Errors
///
/// Where an address can't be had.
pub async fn start(node: &Rc<Node>) -> Result<Addresses, Error> {
    let settings = &node.settings;
    let ready = listener(settings.ready)?;
    let callers = listener(settings.callers)?;
    let metrics = settings.metrics.and_then(optional_listener);
    let (peers, copies) = peer_sockets(settings.peers).await?;
    let addresses = Addresses {
        callers: callers.local_addr().unwrap_or(settings.callers),
        ready: ready.local_addr().unwrap_or(settings.ready),
        peers: peers.local_addr().unwrap_or(settings.peers),
        metrics: metrics
            .as_ref()
            .and_then(|listener| listener.local_addr().ok()),
    };
    if let Some(copies) = copies {
        tokio::task::spawn_local(peer::serve_copies(node.clone(), copies));
    }
    if let Some(metrics) = metrics {
        tokio::task::spawn_local(listen::metrics(node.clone(), metrics));
    }
    tokio::task::spawn_local(listen::ready(node.clone(), ready));
    tokio::task::spawn_local(listen::callers(node.clone(), callers));
    tokio::task::spawn_local(peer::run(node.clone(), peers));
    event::write(&Record::Started {
        host: &settings.host,
        domain: &settings.domain,
        addresses,
    });
    Ok(addresses)
}

/// Opens the two sockets for other hosts, on the same port: where the system picks it, on one that is free for both.
async fn peer_sockets(address: SocketAddr) -> Result<(UdpSocket, Option<TcpListener>), Error> {
    /// Ports that are tried; the system seldom picks two in a row that are taken.
    const TRIES: usize = 8;
    let mut tries = 0;
    loop {
        let notices = UdpSocket::bind(address).await.context(Snafu { address })?;
        let same = notices.local_addr().unwrap_or(address);
        let copies = optional_listener(same);
        tries += 1;
        if copies.is_some() || address.port() != 0 || tries == TRIES {
            return Ok((notices, copies));
        }
    }
}

/// Opens a listener for operators or other hosts. A host serves without: the port may be taken by another process.
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

/// Stops a host: takes requests for a while and refuses them then, finishes what it has, ends what is not answered shortly
/// before the end, and returns when the process should end.
///
/// An answer that was made has still to leave: to end before its connection is closed would lose it to a caller that reads
/// slowly.
pub async fn stop(node: &Rc<Node>) {
    node.stop();
    while !node.has_finished() && !node.is_near_end() {
        tokio::time::sleep(LOOK).await;
    }
    node.end_requests();
    // Counted from here: a host that is late still answers what it ends.
    let end = clock::now() + node.flush_time();
    while !node.has_finished() && clock::now() < end {
        tokio::time::sleep(LOOK).await;
    }
    node.log_stopped();
}
