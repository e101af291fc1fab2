//! Tracks whether a host reaches the store, by itself or through other hosts.
//!
//! A host whose store state grows stale must refuse requests that need a key. Callers should be sent elsewhere well
//! before that, so a host that loses the store reports it within a second. A host whose own calls to the store fail
//! keeps serving on the state that other hosts send, but shouldn't get new callers.

use crate::time::Time;
use std::time::Duration;

/// How long a host may get no sign of the store before it counts as disconnected. Long enough for a few calls in a
/// row to fail, or for another host to step in as a watcher; short compared with the five seconds after which a
/// disconnected host refuses keys.
pub const DISCONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// What a host observes of its connection to the store at a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// Whether its own last call to the store failed.
    pub call_failed: bool,
    /// Whether it queries the store itself, or hears from a host that does and gets answers.
    pub informed: bool,
    /// Whether it hears from no other failure domain, although it has before.
    pub isolated: bool,
    /// The time up to which it knows all that the store had accepted.
    pub confirmed: Option<Time>,
}

/// The state of a host's connection to the store.
#[derive(Debug, Default)]
pub struct Connectivity {
    /// When there was last a sign of the store.
    last_contact: Time,
    /// Since when it has heard from no other failure domain.
    isolated_since: Option<Time>,
    /// Whether the host is isolated and nothing has shown since that the store is reachable.
    unconfirmed_isolation: bool,
}

impl Connectivity {
    /// Records an observation. Returns whether the host has just become isolated, so that the store should be
    /// queried at once.
    pub fn observe(&mut self, observation: &Observation, now: Time) -> bool {
        let was_isolated = self.isolated_since.is_some();
        self.update_isolation(observation, now);
        if observation.informed && !observation.call_failed {
            self.last_contact = now;
        }
        observation.isolated && !was_isolated
    }

    /// Suspects the store of being unreachable while the host is isolated, until the store has confirmed something
    /// since.
    fn update_isolation(&mut self, observation: &Observation, now: Time) {
        let since = self.isolated_since.unwrap_or(now);
        self.isolated_since = observation.isolated.then_some(since);
        let confirmed = observation.confirmed.is_some_and(|at| at >= since);
        self.unconfirmed_isolation = observation.isolated && !confirmed;
    }

    /// Returns whether the host counts as disconnected from the store, and so should get no new connections.
    pub fn is_disconnected(&self, now: Time) -> bool {
        self.unconfirmed_isolation || now.since(self.last_contact) > DISCONNECT_TIMEOUT
    }
}
