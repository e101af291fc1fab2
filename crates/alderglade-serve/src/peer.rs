//! Notices between entry hosts, over UDP: who holds what at which server.
//!
//! A notice that is lost is made good by the next one, so nothing is acknowledged or sent again.

use crate::clock;
use crate::event::{self, Record};
use crate::node::Node;
use alderglade_core::fleet::book::{Holding, Notice};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;

/// The time between two whole notices.
const HEARTBEAT: Duration = Duration::from_millis(250);
/// How long changes are collected before they are told; a fraction of the way between hosts.
const COLLECT: Duration = Duration::from_millis(1);
/// Holdings in one notice; about 1,200 bytes, below the usual size of a packet.
const HOLDINGS: usize = 24;
/// The largest notice that is read, in bytes.
const LARGEST: usize = 8 * 1024;

/// Sends and takes notices until the process ends.
pub async fn run(node: Rc<Node>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    let sequence = Rc::new(Cell::new(0));
    tokio::task::spawn_local(hear(node.clone(), socket.clone()));
    tokio::task::spawn_local(tell_changes(node.clone(), socket.clone(), sequence.clone()));
    let mut beat = tokio::time::interval(HEARTBEAT);
    beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        beat.tick().await;
        node.tick();
        let whole = node.state.borrow().book.whole();
        send(&node, &socket, &sequence, whole, true).await;
    }
}

async fn tell_changes(node: Rc<Node>, socket: Rc<UdpSocket>, sequence: Rc<Cell<u64>>) {
    loop {
        node.book_changed.notified().await;
        tokio::time::sleep(COLLECT).await;
        let changes = node.state.borrow_mut().book.take_changes();
        send(&node, &socket, &sequence, changes, false).await;
    }
}

async fn send(
    node: &Node,
    socket: &UdpSocket,
    sequence: &Cell<u64>,
    holdings: Vec<Holding>,
    whole: bool,
) {
    let mut chunks: Vec<Vec<Holding>> =
        holdings.chunks(HOLDINGS).map(<[Holding]>::to_vec).collect();
    if chunks.is_empty() {
        chunks.push(Vec::new());
    }
    for (number, holdings) in chunks.into_iter().enumerate() {
        sequence.set(sequence.get() + 1);
        let notice = notice(node, sequence.get(), holdings, whole && number == 0);
        match postcard::to_stdvec(&notice) {
            Ok(bytes) => send_to_all(node, socket, &bytes).await,
            Err(error) => tell_fault(&error.to_string()),
        }
    }
}

fn notice(node: &Node, sequence: u64, holdings: Vec<Holding>, whole: bool) -> Notice {
    let state = node.state.borrow();
    Notice {
        host: node.settings.host.clone(),
        domain: node.settings.domain.clone(),
        incarnation: node.incarnation.get(),
        sequence,
        whole,
        giants: state.book.own_giants(),
        leaving: state.directory.leaving(),
        holdings,
    }
}

async fn send_to_all(node: &Node, socket: &UdpSocket, bytes: &[u8]) {
    let hosts = node.state.borrow().hosts.clone();
    for host in hosts.iter().filter(|host| host.name != node.settings.host) {
        if let Err(error) = socket.send_to(bytes, host.address).await {
            // A host that is gone refuses; its entry in the store is replaced or removed.
            log::debug!("notice to {}: {error}", host.name);
        }
    }
}

async fn hear(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; LARGEST];
    loop {
        let length = match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => length,
            Err(error) => {
                log::debug!("a peer's socket refused a notice: {error}");
                tokio::time::sleep(COLLECT).await;
                continue;
            }
        };
        match postcard::from_bytes::<Notice>(&buffer[..length]) {
            Ok(notice) => take(&node, &notice),
            Err(error) => tell_fault(&error.to_string()),
        }
    }
}

fn take(node: &Node, notice: &Notice) {
    let now = clock::now();
    let mut state = node.state.borrow_mut();
    for id in &notice.leaving {
        state.directory.mark_leaving(id);
    }
    let joined = state.book.hear(notice, now);
    drop(state);
    if joined {
        event::write(&Record::PeerJoined {
            peer: &notice.host,
            incarnation: notice.incarnation,
        });
    }
}

fn tell_fault(problem: &str) {
    event::write(&Record::PeerFault { problem });
}
