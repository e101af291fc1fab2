//! Servers that have announced that they are leaving. An entry that lapses and is written again doesn't revoke that.

use crate::fleet::incarnation::Key;
use crate::time::Time;
use std::collections::HashMap;
use std::time::Duration;

/// How long the announcement is kept after the server's entry is gone. This exceeds both an outage of the store and the
/// time for which a leaving server goes on serving.
const RETENTION: Duration = Duration::from_secs(60);

/// Leaving incarnations, with the time of the last announcement.
#[derive(Debug, Default)]
pub(super) struct Leavers {
    announced: HashMap<Key, Time>,
}

impl Leavers {
    /// Records that an incarnation is leaving.
    pub(super) fn record(&mut self, server: Key, now: Time) {
        self.announced.insert(server, now);
    }

    /// Returns whether an incarnation is leaving.
    pub(super) fn contains(&self, server: Key) -> bool {
        self.announced.contains_key(&server)
    }

    /// Forgets announcements of unknown servers that are older than [`RETENTION`].
    pub(super) fn expire(&mut self, is_known: impl Fn(Key) -> bool, now: Time) {
        self.announced
            .retain(|server, at| is_known(*server) || now.since(*at) < RETENTION);
    }
}
