//! Peers to which this host sends nothing for a while: backend servers that asked for it, and hosts that gave no
//! answer.
//!
//! A server's request to back off concerns only the host that it answers. Other answers of the server in between
//! don't revoke it.

use crate::time::Time;
use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

/// The end of the backoff of each peer.
#[derive(Debug)]
pub struct Backoffs<K> {
    until: HashMap<K, Time>,
}

impl<K> Default for Backoffs<K> {
    fn default() -> Backoffs<K> {
        Backoffs {
            until: HashMap::new(),
        }
    }
}

impl<K: Hash + Eq> Backoffs<K> {
    /// Starts or extends a peer's backoff. Returns whether the peer had none before.
    pub fn note(&mut self, who: K, span: Duration, now: Time) -> bool {
        self.until.retain(|_, until| *until > now);
        let until = self.until.entry(who).or_insert(now);
        let was_open = *until <= now;
        *until = (*until).max(now + span);
        was_open
    }

    /// Returns how much longer a peer's backoff lasts, or zero if it has none.
    pub fn left(&self, who: &K, now: Time) -> Duration {
        let until = self.until.get(who);
        until.map_or(Duration::ZERO, |until| until.left(now))
    }
}
