//! Messages between entry hosts, over UDP: who holds what at which server, and what the store has told; and copies of what is too
//! large for them, over TCP on the same port.
//!
//! A message that is lost is made good by a later one, so nothing is acknowledged or sent again.

mod copy;
mod hear;
mod startup_sync;
mod tell;

pub use copy::serve as serve_copies;

use crate::clock;
use crate::event::{self, Record};
use crate::node::Node;
use alderglade_clock::Suspension;
use alderglade_core::fleet::heartbeat;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;

/// How long changes are collected before they are told; a fraction of the way between hosts.
const COLLECT: Duration = Duration::from_millis(1);

/// Sends and takes messages until the process ends.
pub async fn run(node: Rc<Node>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    let teller = tell::Teller::new(node.clone(), socket.clone());
    tokio::task::spawn_local(hear::run(node.clone(), socket));
    tokio::task::spawn_local(tell_changes(node.clone(), teller.clone()));
    tokio::task::spawn_local(send_letters(node.clone(), teller.clone()));
    tokio::task::spawn_local(startup_sync::run(node.clone()));
    let mut suspension = Suspension::default();
    let mut beat = tokio::time::interval(heartbeat::MIN_INTERVAL);
    beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    for number in 0u64.. {
        beat.tick().await;
        clock::watch(&mut suspension);
        node.tick();
        if let Some(source) = node.config_source() {
            tokio::task::spawn_local(copy::take_config(node.clone(), source));
        }
        teller.heartbeat().await;
        teller.ask(number).await;
    }
}

/// Tells peers what has changed as soon as it has, but for the time in which changes are collected.
async fn tell_changes(node: Rc<Node>, teller: tell::Teller) {
    loop {
        node.loads_changed.notified().await;
        tokio::time::sleep(COLLECT).await;
        teller.changes().await;
        teller.outbox().await;
    }
}

/// Sends messages to single hosts as soon as they are written.
async fn send_letters(node: Rc<Node>, teller: tell::Teller) {
    loop {
        node.envelopes_queued.notified().await;
        teller.envelopes().await;
    }
}

/// Tells operators that a message can't be written or read.
fn tell_fault(problem: &str) {
    event::write(&Record::PeerFault { problem });
}
