//! Whether a host is in reach of the store, by itself or through other hosts.
//!
//! A host whose word of the store grows old must refuse what needs a key. Callers should be sent
//! elsewhere well before that, so a host that has lost its way to the store says so within a second. One that
//! the store refuses goes on by other hosts' word, but is no place for new callers.

use crate::time::Time;
use std::time::Duration;

/// How long a host may be without a sign of the store before it counts as cut off. Long enough for a few
/// calls in a row to fail, or for another host to step in as a watcher; short beside the five seconds
/// after which a host that is cut off refuses keys.
pub const DISCONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// What a host sees of its way to the store at a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// Whether its last own call to the store has failed.
    pub call_failed: bool,
    /// Whether it asks the store itself, or hears a host that does and is answered.
    pub informed: bool,
    /// Whether it hears nobody of any other failure domain, though it has before.
    pub isolated: bool,
    /// Up to when it knows all that the store had accepted.
    pub confirmed: Option<Time>,
}

/// A host's way to the store.
#[derive(Debug, Default)]
pub struct Connectivity {
    /// When there was last a sign of the store.
    last_sign: Time,
    /// Since when it has heard nobody of any other failure domain.
    isolated_since: Option<Time>,
    /// Whether nothing has shown yet that the store is in reach although the host is isolated.
    suspected: bool,
}

impl Connectivity {
    /// Takes what the host sees now. Returns whether the host has just become isolated, so that the store
    /// should be asked at once.
    pub fn observe(&mut self, observation: &Observation, now: Time) -> bool {
        let was_isolated = self.isolated_since.is_some();
        self.note_isolation(observation, now);
        if observation.informed && !observation.call_failed {
            self.last_sign = now;
        }
        observation.isolated && !was_isolated
    }

    /// Suspects the store of being out of reach while the host is isolated, until it has confirmed something since.
    fn note_isolation(&mut self, observation: &Observation, now: Time) {
        let since = self.isolated_since.unwrap_or(now);
        self.isolated_since = observation.isolated.then_some(since);
        let confirmed = observation.confirmed.is_some_and(|at| at >= since);
        self.suspected = observation.isolated && !confirmed;
    }

    /// Says whether the host counts as cut off from the store, and so should get no new connections.
    pub fn is_disconnected(&self, now: Time) -> bool {
        self.suspected || now.since(self.last_sign) > DISCONNECT_TIMEOUT
    }
}
