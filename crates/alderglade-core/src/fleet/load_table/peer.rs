//! What is known of another host from its notices.
//!
//! The reading that a peer has placed is remembered apart from what it holds: a whole notice drops the
//! holdings, and what was placed before it must not count as new work for the engine.

use super::queue::Entry;
use super::{Holding, Load, Notice};
use crate::Name;
use crate::fleet::incarnation::Key;
use crate::fleet::position::Position;
use crate::fleet::relay::StoreStatus;
use crate::time::Time;
use std::collections::HashMap;
use std::time::Duration;

/// The most reading that one notice adds to a server, in microseconds. What is more than a minute is a mistake, and must
/// not make the server seem busy for hours.
const MOST_ADDED: u64 = 60_000_000;

/// Another host.
#[derive(Debug)]
pub(super) struct Peer {
    /// Its failure domain.
    pub(super) domain: Name,
    /// Its lifetime.
    pub(super) incarnation: Position,
    /// The number of its last notice.
    sequence: u64,
    /// When that came.
    pub(super) heard: Time,
    /// The longest time until its next notice.
    pub(super) interval: Duration,
    /// Prompts that it is having read and that take up many engines at once.
    pub(super) multi_engine_prompts: u32,
    /// Prompts that wait there.
    pub(super) queue: Vec<Entry>,
    /// What it knows of the store.
    pub(super) store: StoreStatus,
    /// What it holds at each server.
    pub(super) loads: HashMap<Key, Load>,
    /// The reading that it has placed at each server, in microseconds.
    placed: HashMap<Key, u64>,
}

impl Peer {
    /// Makes a peer that was first heard of by a notice; holds nothing yet.
    pub(super) fn new(notice: &Notice, now: Time) -> Peer {
        Peer {
            domain: notice.domain.clone(),
            incarnation: notice.incarnation,
            sequence: 0,
            heard: now,
            interval: notice.interval(),
            multi_engine_prompts: 0,
            queue: Vec::new(),
            store: StoreStatus::default(),
            loads: HashMap::new(),
            placed: HashMap::new(),
        }
    }

    /// Says whether a notice tells nothing newer than what is known.
    pub(super) fn knows(&self, notice: &Notice) -> bool {
        let same = self.incarnation == notice.incarnation;
        self.incarnation > notice.incarnation || (same && self.sequence >= notice.sequence)
    }

    /// Takes all of a notice but its holdings.
    pub(super) fn hear(&mut self, notice: &Notice, now: Time) {
        self.sequence = notice.sequence;
        self.heard = now;
        self.interval = notice.interval();
        self.multi_engine_prompts = notice.multi_engine_prompts;
        let waiting = notice.waiting.iter();
        self.queue = waiting.map(|demand| Entry::new(*demand, now)).collect();
        self.store = notice.store;
    }

    /// Takes what it holds at a server; gives what it held there before.
    pub(super) fn hold(&mut self, holding: &Holding) -> Option<Load> {
        self.loads.insert(holding.server, holding.load)
    }

    /// Takes what it has placed at a server; gives how much of it is new, in microseconds of reading.
    pub(super) fn place(&mut self, holding: &Holding) -> u64 {
        let placed = holding.load.placed;
        let before = self.placed.insert(holding.server, placed);
        // Most of what is told of a server for the first time was placed long ago.
        let added = before.map_or(holding.added, |before| placed.saturating_sub(before));
        added.min(MOST_ADDED)
    }
}
