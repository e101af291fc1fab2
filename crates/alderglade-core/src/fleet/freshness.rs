//! Age of the host's knowledge of the store, which decides whether API keys may still be trusted.
//!
//! A revoked key must stop working within a bound on every host, including hosts that are disconnected from the store.
//! A host therefore trusts keys only if the store has confirmed less than that bound ago that nothing newer exists.

use crate::time::Time;
use std::time::Duration;

/// Safety margin for the time between the check of a key and the work for the request.
const MARGIN: Duration = Duration::from_millis(150);

/// A confirmation of a time that is still to come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ahead;

/// The time of the last confirmation by the store.
#[derive(Debug, Default)]
pub struct Freshness {
    confirmed: Option<Time>,
}

impl Freshness {
    /// Records that the host knew everything that the store had accepted by `at`.
    ///
    /// # Errors
    ///
    /// Returns an error and records nothing if that time is still to come.
    pub fn confirm(&mut self, at: Time, now: Time) -> Result<(), Ahead> {
        if at > now {
            return Err(Ahead);
        }
        self.confirmed = self.confirmed.max(Some(at));
        Ok(())
    }

    /// Returns the time up to which the host knows everything that the store had accepted.
    pub fn confirmed(&self) -> Option<Time> {
        self.confirmed
    }

    /// Returns the age of the last confirmation, if there was one.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed.map(|at| now.since(at))
    }

    /// Returns whether keys may be trusted if a revoked key must be rejected within `bound`.
    pub fn trusts_keys(&self, now: Time, bound: Duration) -> bool {
        self.age(now).is_some_and(|age| age + MARGIN < bound)
    }
}
