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
    backoff_end: HashMap<K, Time>,
}

impl<K> Default for Backoffs<K> {
    fn default() -> Backoffs<K> {
        Backoffs {
            backoff_end: HashMap::new(),
        }
    }
}

impl<K: Hash + Eq> Backoffs<K> {
    /// Starts or extends a peer's backoff. Returns whether the peer had none before.
    pub fn extend(&mut self, peer: K, duration: Duration, now: Time) -> bool {
        self.backoff_end.retain(|_, backoff_end| *backoff_end > now);
        let backoff_end = self.backoff_end.entry(peer).or_insert(now);
        let had_none = *backoff_end <= now;
        *backoff_end = (*backoff_end).max(now + duration);
        had_none
    }

    /// Returns how much longer a peer's backoff lasts, or zero if it has none.
    pub fn remaining(&self, peer: &K, now: Time) -> Duration {
        let backoff_end = self.backoff_end.get(peer);
        backoff_end.map_or(Duration::ZERO, |backoff_end| backoff_end.left(now))
    }
}
