//! How old the host's word of the store is, and whether keys may still be trusted.
//!
//! A key that is taken away must stop working within a bound on every host, also on one that is
//! cut off from the store. A host therefore trusts keys only while the store has confirmed, less
//! than that bound ago, that nothing newer exists.

use crate::time::Time;
use std::time::Duration;

/// What is taken off the bound for the time between the check and the work.
const MARGIN: Duration = Duration::from_millis(150);

/// The age of the last confirmation.
#[derive(Debug, Default)]
pub struct Freshness {
    confirmed: Option<Time>,
}

impl Freshness {
    /// Notes that the host knew everything the store had accepted by `at`.
    pub fn confirm(&mut self, at: Time) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Gives the time up to which the host knows all that the store had accepted.
    pub fn confirmed(&self) -> Option<Time> {
        self.confirmed
    }

    /// Gives the age of the last confirmation, if there was one.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed.map(|at| now.since(at))
    }

    /// Says whether a key may be trusted where a key taken away must be refused within `bound`.
    pub fn trusts_keys(&self, now: Time, bound: Duration) -> bool {
        self.age(now).is_some_and(|age| age + MARGIN < bound)
    }
}
