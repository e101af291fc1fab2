//! What other hosts tell one that has just started.

use super::{Envelope, Node};
use crate::clock;
use alderglade_core::fleet::message::{ConfirmationRequest, Message};
use rand::seq::IteratorRandom;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use tokio::sync::Notify;

/// A host's word of its configuration.
#[derive(Debug, Clone, Copy)]
struct Advice {
    from: SocketAddr,
    version: u64,
}

/// The questions of a host that has just started, and the answers.
#[derive(Debug, Default)]
pub(super) struct StartupSync {
    /// Whether the store has listed the hosts.
    hosts_listed: Cell<bool>,
    /// Whether it is over: others were asked, or there are none.
    over: Cell<bool>,
    answers: RefCell<Vec<Advice>>,
    /// Wakes whoever waits for the next step.
    step: Notify,
}

impl StartupSync {
    /// Says whether it is over.
    pub(super) fn is_over(&self) -> bool {
        self.over.get()
    }

    /// Says whether the store has listed the hosts.
    pub(super) fn knows_hosts(&self) -> bool {
        self.hosts_listed.get()
    }

    /// Notes that the store has listed the hosts.
    pub(super) fn note_hosts(&self) {
        self.hosts_listed.set(true);
        self.step.notify_waiters();
    }

    /// Takes a host's answer.
    pub(super) fn note_answer(&self, from: SocketAddr, version: u64) {
        if !self.over.get() {
            self.answers.borrow_mut().push(Advice { from, version });
            self.step.notify_waiters();
        }
    }
}

impl Node {
    /// Waits until the store has listed the hosts and given the configuration.
    pub async fn wait_for_hosts(&self) {
        loop {
            let step = self.startup_sync.step.notified();
            let learnt = self.learnt.notified();
            let has_config = self.state.borrow().config.is_some();
            if has_config && self.startup_sync.hosts_listed.get() {
                return;
            }
            tokio::select! {
                () = step => {}
                () = learnt => {}
            }
        }
    }

    /// Asks some other hosts how old their word of the store is, which tells their version too; gives how many.
    pub fn query_peers(&self, most: usize) -> usize {
        let own = &self.settings.host;
        let others = self.state.borrow().hosts.addresses_but(|name| name == own);
        let asked = others.into_iter().sample(&mut rand::rng(), most);
        let asked_us = clock::now().0;
        for to in &asked {
            let message = Message::ConfirmationRequest(ConfirmationRequest { asked_us });
            self.queue_envelope(Envelope { to: *to, message });
        }
        asked.len()
    }

    /// Waits until so many hosts have answered, or one of them has a newer configuration.
    pub async fn wait_for_answers(&self, enough: usize) {
        loop {
            let step = self.startup_sync.step.notified();
            let answers = self.startup_sync.answers.borrow().len();
            if answers >= enough || self.newer_config_source().is_some() {
                return;
            }
            step.await;
        }
    }

    /// Gives a host that has told of a newer configuration than the one in force.
    pub fn newer_config_source(&self) -> Option<SocketAddr> {
        let answers = self.startup_sync.answers.borrow();
        let newest = answers.iter().max_by_key(|advice| advice.version)?;
        let in_force = self.state.borrow().config_version();
        (newest.version > in_force).then_some(newest.from)
    }

    /// Notes that others were asked, and wakes requests that wait for it.
    pub fn finish_startup_sync(&self) {
        self.startup_sync.over.set(true);
        self.learnt.notify_waiters();
    }
}
