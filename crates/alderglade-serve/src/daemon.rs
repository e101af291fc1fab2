//! Starts and stops an entry host: opens its sockets, runs its tasks, ends when its work is done.

use crate::event::{self, Record};
use crate::node::Node;
use crate::{listen, peer};
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;

/// How often a stopping host looks whether its work is done.
const LOOK: Duration = Duration::from_millis(50);
/// The least time between the request to stop and the end, so that the balancer sends nobody here.
const LEAST: Duration = Duration::from_millis(3_300);

/// Why a host can't start.
#[derive(Debug, Snafu)]
#[snafu(display("can't listen on {address}: is another process using it?"))]
pub struct Error {
    address: SocketAddr,
    source: std::io::Error,
}

/// Opens all sockets and starts to serve.
///
/// # Errors
///
/// Where an address can't be had.
pub async fn start(node: &Rc<Node>) -> Result<(), Error> {
    let settings = &node.settings;
    let open = |address| listen::open(address).context(Snafu { address });
    let ready = open(settings.ready)?;
    let callers = open(settings.callers)?;
    let address = settings.peers;
    let peers = UdpSocket::bind(address).await.context(Snafu { address })?;
    if let Some(address) = settings.metrics {
        tokio::task::spawn_local(listen::metrics(node.clone(), open(address)?));
    }
    tokio::task::spawn_local(listen::ready(node.clone(), ready));
    tokio::task::spawn_local(listen::callers(node.clone(), callers));
    tokio::task::spawn_local(peer::run(node.clone(), peers));
    event::write(&Record::Started {
        host: &settings.host,
        domain: &settings.domain,
    });
    Ok(())
}

/// Stops a host: takes no new connections, finishes what it has, and returns when the process should
/// end.
pub async fn stop(node: &Rc<Node>) {
    node.stop();
    while let (Some(passed), Some(left)) = (node.stopping_for(), node.ends_in()) {
        let done = node.in_flight() == 0 && passed >= LEAST;
        if done || left.is_zero() {
            break;
        }
        tokio::time::sleep(LOOK).await;
    }
    let cut_off = node.in_flight();
    event::write(&Record::Stopped { cut_off });
}
