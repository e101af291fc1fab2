//! Interrupted requests, kept until it is known whether their servers have crashed.

use super::Identity;
use crate::fleet::fingerprint::Fingerprint;
use crate::fleet::incarnation::Key;
use crate::time::Time;
use std::collections::BTreeSet;
use std::time::Duration;

/// How long it may take to learn that a server has crashed. Its entry is dropped after three heartbeats of 1.2 s, and
/// the change may take some seconds to arrive.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(8_000);
/// Maximum number of interruptions that are remembered. This exceeds all requests that one host has at the servers of a
/// failure domain.
const MAX_INTERRUPTIONS: usize = 512;

/// A request that a server interrupted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Interruption {
    /// The request.
    pub(super) request: Identity,
    /// The incarnation of the server.
    pub(super) server: Key,
    /// How long the request had run there, if it is known to have begun.
    pub(super) ran: Option<Duration>,
    /// Time of the interruption.
    pub(super) at: Time,
}

/// Recent interruptions, oldest first.
#[derive(Debug, Default)]
pub(super) struct Interruptions(Vec<Interruption>);

impl Interruptions {
    /// Adds an interruption, evicting the oldest one if there are too many.
    pub(super) fn add(&mut self, interruption: Interruption) {
        if self.0.len() >= MAX_INTERRUPTIONS {
            self.0.remove(0);
        }
        self.0.push(interruption);
    }

    /// Drops expired interruptions and returns the servers of the others.
    pub(super) fn servers(&mut self, now: Time) -> BTreeSet<Key> {
        self.0
            .retain(|interruption| now.since(interruption.at) < CONFIRMATION_TIMEOUT);
        self.0
            .iter()
            .map(|interruption| interruption.server)
            .collect()
    }

    /// Removes and returns the interruptions at a server.
    pub(super) fn take(&mut self, server: Key) -> Vec<Interruption> {
        let is_at_server = |interruption: &mut Interruption| interruption.server == server;
        self.0.extract_if(.., is_at_server).collect()
    }

    /// Drops the interruptions of a request.
    pub(super) fn clear(&mut self, fingerprint: Fingerprint) {
        self.0
            .retain(|interruption| interruption.request.fingerprint != fingerprint);
    }
}
