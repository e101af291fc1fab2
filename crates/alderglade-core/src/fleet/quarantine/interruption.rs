//! What servers have broken off, until it is known whether they have ended.

use crate::fleet::fingerprint::Fingerprint;
use crate::fleet::incarnation::Key;
use crate::time::Time;
use std::collections::BTreeSet;
use std::time::Duration;

/// How long it may take until it is known that a server has ended: its entry goes after three heartbeats of 1.2 s, and
/// the news may be some seconds on their way.
const DOUBTFUL: Duration = Duration::from_millis(8_000);
/// Breaks that are remembered, at most; more than all requests that one host has at the servers of a failure domain.
const REMEMBERED: usize = 512;

/// A request that a server broke off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Interruption {
    /// What was asked.
    pub(super) fingerprint: Fingerprint,
    /// The server, in one of its lifetimes.
    pub(super) server: Key,
    /// Whether the request is known to have begun to run there.
    pub(super) begun: bool,
    /// When.
    pub(super) at: Time,
}

/// The requests that servers broke off lately.
#[derive(Debug, Default)]
pub(super) struct Breaks(Vec<Interruption>);

impl Breaks {
    /// Adds one; the oldest goes where there are too many.
    pub(super) fn add(&mut self, interruption: Interruption) {
        if self.0.len() >= REMEMBERED {
            self.0.remove(0);
        }
        self.0.push(interruption);
    }

    /// Lists the servers that they were at.
    pub(super) fn servers(&mut self, now: Time) -> BTreeSet<Key> {
        self.0
            .retain(|interruption| now.since(interruption.at) < DOUBTFUL);
        self.0
            .iter()
            .map(|interruption| interruption.server)
            .collect()
    }

    /// Takes out those of a server.
    pub(super) fn take(&mut self, server: Key) -> Vec<Interruption> {
        let own = |interruption: &mut Interruption| interruption.server == server;
        self.0.extract_if(.., own).collect()
    }

    /// Drops those of a request.
    pub(super) fn clear(&mut self, fingerprint: Fingerprint) {
        self.0
            .retain(|interruption| interruption.fingerprint != fingerprint);
    }
}
