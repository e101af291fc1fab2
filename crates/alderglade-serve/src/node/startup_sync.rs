//! Queries to other hosts at startup.

use super::{Envelope, Node};
use alderglade_core::fleet::message::Message;
use rand::seq::IteratorRandom;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use tokio::sync::Notify;

/// A host's answer with the version of its configuration.
#[derive(Debug, Clone, Copy)]
struct ConfigAnswer {
    from: SocketAddr,
    version: u64,
}

/// The state of the queries at startup.
#[derive(Debug, Default)]
pub(super) struct StartupSync {
    /// Whether the store has listed the hosts.
    hosts_listed: Cell<bool>,
    /// Whether the queries are finished: other hosts were asked, or there are none.
    finished: Cell<bool>,
    answers: RefCell<Vec<ConfigAnswer>>,
    /// Wakes the tasks that wait for the next step.
    progress: Notify,
}

impl StartupSync {
    /// Returns whether the queries are finished.
    pub(super) fn is_finished(&self) -> bool {
        self.finished.get()
    }

    /// Returns whether the store has listed the hosts.
    pub(super) fn knows_hosts(&self) -> bool {
        self.hosts_listed.get()
    }

    /// Records that the store has listed the hosts.
    pub(super) fn record_hosts_listed(&self) {
        self.hosts_listed.set(true);
        self.progress.notify_waiters();
    }

    /// Records a host's answer.
    pub(super) fn record_answer(&self, from: SocketAddr, version: u64) {
        if !self.finished.get() {
            self.answers
                .borrow_mut()
                .push(ConfigAnswer { from, version });
            self.progress.notify_waiters();
        }
    }
}

impl Node {
    /// Waits until the store has listed the hosts and provided the configuration.
    pub async fn wait_for_hosts(&self) {
        loop {
            let progress = self.startup_sync.progress.notified();
            let startup_progress = self.startup_progress.notified();
            let has_config = self.state.borrow().config.is_some();
            if has_config && self.startup_sync.hosts_listed.get() {
                return;
            }
            tokio::select! {
                () = progress => {}
                () = startup_progress => {}
            }
        }
    }

    /// Asks up to `max_hosts` other hosts for a confirmation, which contains their configuration version. Returns the
    /// number of hosts asked.
    pub fn query_peers(&self, max_hosts: usize) -> usize {
        let own = &self.settings.host;
        let others = self
            .state
            .borrow()
            .hosts
            .addresses_except(|name| name == own);
        let asked = others.into_iter().sample(&mut rand::rng(), max_hosts);
        let request = self.create_confirmation_request();
        for to in &asked {
            let message = Message::ConfirmationRequest(request);
            self.queue_envelope(Envelope { to: *to, message });
        }
        asked.len()
    }

    /// Waits until `count` hosts have answered, or one of them has a newer configuration.
    pub async fn wait_for_answers(&self, count: usize) {
        loop {
            let progress = self.startup_sync.progress.notified();
            let answers = self.startup_sync.answers.borrow().len();
            if answers >= count || self.newer_config_source().is_some() {
                return;
            }
            progress.await;
        }
    }

    /// Returns a host that has reported a newer configuration than the one in force.
    pub fn newer_config_source(&self) -> Option<SocketAddr> {
        let answers = self.startup_sync.answers.borrow();
        let newest = answers.iter().max_by_key(|answer| answer.version)?;
        let in_force = self.state.borrow().config_version();
        (newest.version > in_force).then_some(newest.from)
    }

    /// Records that the queries are finished, and wakes the requests that wait for them.
    pub fn finish_startup_sync(&self) {
        self.startup_sync.finished.set(true);
        self.startup_progress.notify_waiters();
    }
}
