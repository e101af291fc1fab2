//! The state of another host, built from its notices.
//!
//! The reading that a peer has placed is stored apart from what it holds: a full notice drops the holdings, and reading
//! placed before that notice must not count as new work for the engine.

use super::queue::Entry;
use super::{Holding, Load, Notice};
use crate::Name;
use crate::fleet::heartbeat;
use crate::fleet::incarnation::Key;
use crate::fleet::position::Position;
use crate::fleet::relay::StoreStatus;
use crate::time::Time;
use std::collections::HashMap;
use std::time::Duration;

/// The maximum reading that one notice adds to a server, in microseconds. More than a minute is a mistake, and must not
/// make the server seem busy for hours.
const MAX_ADDED_MICROS: u64 = 60_000_000;

/// Another host.
#[derive(Debug)]
pub(super) struct Peer {
    /// The peer's failure domain.
    pub(super) domain: Name,
    pub(super) incarnation: Position,
    /// The sequence number of the last notice.
    sequence: u64,
    /// When the last notice arrived.
    pub(super) last_heard: Time,
    /// The maximum time until the next notice.
    pub(super) interval: Duration,
    /// The number of the peer's prompts that are being read and occupy many engines at once.
    pub(super) multi_engine_prompts: u32,
    /// The prompts queued there.
    pub(super) queue: Vec<Entry>,
    /// The peer's knowledge of the store.
    pub(super) store: StoreStatus,
    /// What the peer holds at each server.
    pub(super) loads: HashMap<Key, Load>,
    /// All reading that the peer has placed at each server, in microseconds.
    placed: HashMap<Key, u64>,
}

impl Peer {
    /// Creates a peer from its first notice, without any load or queued prompts yet.
    pub(super) fn new(notice: &Notice, now: Time) -> Peer {
        Peer {
            domain: notice.domain.clone(),
            incarnation: notice.incarnation,
            sequence: 0,
            last_heard: now,
            interval: notice.interval(),
            multi_engine_prompts: 0,
            queue: Vec::new(),
            store: StoreStatus::default(),
            loads: HashMap::new(),
            placed: HashMap::new(),
        }
    }

    /// Returns whether a notice is no newer than the last one applied.
    pub(super) fn is_up_to_date_with(&self, notice: &Notice) -> bool {
        let same_incarnation = self.incarnation == notice.incarnation;
        self.incarnation > notice.incarnation
            || (same_incarnation && self.sequence >= notice.sequence)
    }

    /// Returns whether the peer has been silent for so long that its prompts have probably left the queue. Short prompts wait
    /// for a fraction of their objective, and a host that holds one sends a notice when it begins and ends. Long ones wait
    /// for seconds, so only a peer that is no longer live has lost them. A killed host's entries would otherwise precede
    /// all others until its notices expire after some seconds.
    pub(super) fn may_have_lost_prompts(&self, are_short: bool, now: Time) -> bool {
        const MAX_SILENCE: Duration = Duration::from_millis(500);
        let max_silence = if are_short {
            MAX_SILENCE
        } else {
            heartbeat::liveness_timeout(self.interval)
        };
        now.since(self.last_heard) > max_silence
    }

    /// Applies a notice, except for its holdings.
    pub(super) fn update(&mut self, notice: &Notice, now: Time) {
        self.sequence = notice.sequence;
        self.last_heard = now;
        self.interval = notice.interval();
        self.multi_engine_prompts = notice.multi_engine_prompts;
        let demands = notice.queued.iter();
        self.queue = demands.map(|demand| Entry::new(*demand, now)).collect();
        self.store = notice.store;
    }

    /// Replaces what the peer holds at a server, and returns what it held there before.
    pub(super) fn set_load(&mut self, holding: &Holding) -> Option<Load> {
        self.loads.insert(holding.server, holding.load)
    }

    /// Updates the reading that the peer has placed at a server, and returns the part that is new, in microseconds.
    pub(super) fn update_placed(&mut self, holding: &Holding) -> u64 {
        let placed = holding.load.placed_micros;
        let before = self.placed.insert(holding.server, placed);
        // Most of the first total for a server was placed long ago.
        let added = before.map_or(holding.added, |before| placed.saturating_sub(before));
        added.min(MAX_ADDED_MICROS)
    }
}
