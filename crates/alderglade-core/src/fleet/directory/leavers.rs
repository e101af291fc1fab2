//! The servers that have said that they leave: an entry that lapses and is written again doesn't take that back.

use crate::fleet::incarnation::Key;
use crate::time::Time;
use std::collections::HashMap;
use std::time::Duration;

/// How long it is remembered of a server whose entry is gone: longer than the store is away, and than a leaving server
/// serves on.
const REMEMBERED: Duration = Duration::from_secs(60);

/// The lifetimes that leave, and when that was last said.
#[derive(Debug, Default)]
pub(super) struct Leavers {
    heard: HashMap<Key, Time>,
}

impl Leavers {
    /// Notes that a lifetime leaves.
    pub(super) fn note(&mut self, server: Key, now: Time) {
        self.heard.insert(server, now);
    }

    /// Says whether a lifetime leaves.
    pub(super) fn has(&self, server: Key) -> bool {
        self.heard.contains_key(&server)
    }

    /// Forgets what lies long back of servers that are not known any more.
    pub(super) fn expire(&mut self, is_known: impl Fn(Key) -> bool, now: Time) {
        self.heard
            .retain(|server, heard| is_known(*server) || now.since(*heard) < REMEMBERED);
    }
}
