//! Backend servers that want nothing more from this host for a while.
//!
//! What a server says so concerns the host that it answers, and no other; another answer in between doesn't take it back.

use super::incarnation::Key;
use crate::time::Time;
use std::collections::HashMap;
use std::time::Duration;

/// Until when servers want nothing.
#[derive(Debug, Default)]
pub struct Backoffs {
    until: HashMap<Key, Time>,
}

impl Backoffs {
    /// Notes that a server wants nothing for a span; says whether it was open before.
    pub fn note(&mut self, server: Key, span: Duration, now: Time) -> bool {
        self.until.retain(|_, until| *until > now);
        let until = self.until.entry(server).or_insert(now);
        let was_open = *until <= now;
        *until = (*until).max(now + span);
        was_open
    }

    /// Gives how long a server still wants nothing.
    pub fn left(&self, server: Key, now: Time) -> Duration {
        let until = self.until.get(&server);
        until.map_or(Duration::ZERO, |until| until.left(now))
    }
}
