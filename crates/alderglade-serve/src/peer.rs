//! Messages between entry hosts, over UDP: the reservations at servers, and updates from the store. What is too large
//! for a message is copied over TCP on the same port.
//!
//! A later message makes up for one that was lost, so there are no acknowledgements and no retransmissions.

mod copy;
mod receive;
mod send;
mod startup_sync;

pub use copy::serve as serve_copies;

use crate::clock;
use crate::event::{self, Record};
use crate::node::Node;
use crate::transport;
use alderglade_clock::Suspension;
use alderglade_core::fleet::heartbeat;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;

/// How long changes are collected before they are sent; a fraction of the latency between hosts.
const BATCH_DELAY: Duration = Duration::from_millis(1);

/// Sends and receives messages until the process ends.
pub async fn run(node: Rc<Node>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    let sender = send::PeerSender::new(node.clone(), socket.clone());
    tokio::task::spawn_local(receive::run(node.clone(), socket));
    tokio::task::spawn_local(send_changes(node.clone(), sender.clone()));
    tokio::task::spawn_local(send_envelopes(node.clone(), sender.clone()));
    tokio::task::spawn_local(schedule_reports(node.clone()));
    tokio::task::spawn_local(startup_sync::run(node.clone()));
    let mut suspension = Suspension::default();
    let mut interval = tokio::time::interval(heartbeat::MIN_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    for beat in 0u64.. {
        interval.tick().await;
        clock::watch(&mut suspension);
        node.tick();
        if let Some(source) = node.config_source() {
            tokio::task::spawn_local(copy::copy_config(node.clone(), source));
        }
        if node.is_path_cut() {
            tokio::task::spawn_local(transport::probe(node.clone()));
        }
        sender.heartbeat().await;
        sender.request_confirmations(beat).await;
    }
}

/// Sends changes to peers as they occur, after a short delay in which changes are collected.
async fn send_changes(node: Rc<Node>, sender: send::PeerSender) {
    loop {
        node.notice_due.notified().await;
        tokio::time::sleep(BATCH_DELAY).await;
        sender.send_changes().await;
        sender.send_outbox().await;
    }
}

/// Has findings of the quarantine sent that are reported after a delay.
async fn schedule_reports(node: Rc<Node>) {
    loop {
        node.report_scheduled.notified().await;
        while let Some(delay) = node.next_report_in() {
            tokio::time::sleep(delay.max(BATCH_DELAY)).await;
            node.notice_due.notify_one();
            // The notice is sent after a delay, too.
            tokio::time::sleep(BATCH_DELAY * 2).await;
        }
    }
}

/// Sends messages to single hosts as soon as they are queued.
async fn send_envelopes(node: Rc<Node>, sender: send::PeerSender) {
    loop {
        node.envelopes_queued.notified().await;
        sender.send_envelopes().await;
    }
}

/// Logs that a message can't be encoded or decoded.
fn log_fault(problem: &str) {
    event::write(&Record::PeerFault { problem });
}
