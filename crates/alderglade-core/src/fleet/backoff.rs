//! Whom this host asks nothing for a while: backend servers that want nothing more from it, hosts that gave no answer.
//!
//! What a server says so concerns the host that it answers, and no other; another answer in between doesn't take it back.

use crate::time::Time;
use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

/// Until when nothing is asked of some.
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
    /// Notes that one is asked nothing for a span; says whether it was open before.
    pub fn note(&mut self, who: K, span: Duration, now: Time) -> bool {
        self.until.retain(|_, until| *until > now);
        let until = self.until.entry(who).or_insert(now);
        let was_open = *until <= now;
        *until = (*until).max(now + span);
        was_open
    }

    /// Gives how long one is still asked nothing.
    pub fn left(&self, who: &K, now: Time) -> Duration {
        let until = self.until.get(who);
        until.map_or(Duration::ZERO, |until| until.left(now))
    }
}
