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
    /// For notices of other hosts, over UDP.
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
    let metrics = settings.metrics.and_then(metrics_listener);
    let address = settings.peers;
    let peers = UdpSocket::bind(address).await.context(Snafu { address })?;
    let addresses = Addresses {
        callers: callers.local_addr().unwrap_or(settings.callers),
        ready: ready.local_addr().unwrap_or(settings.ready),
        peers: peers.local_addr().unwrap_or(settings.peers),
        metrics: metrics
            .as_ref()
            .and_then(|listener| listener.local_addr().ok()),
    };
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

/// Opens the listener for operators. A host serves without one: its port may be taken by another process.
fn metrics_listener(address: SocketAddr) -> Option<TcpListener> {
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
    while !node.has_finished() && !node.is_near_its_end() {
        tokio::time::sleep(LOOK).await;
    }
    node.end_requests();
    // Counted from here: a host that is late still answers what it ends.
    let end = clock::now() + node.flush_time();
    while !node.has_finished() && clock::now() < end {
        tokio::time::sleep(LOOK).await;
    }
    node.tell_stopped();
}
