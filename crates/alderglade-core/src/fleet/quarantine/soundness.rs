//! Parts of prompts that were seen to be sound.

use crate::fleet::part::Part;
use crate::time::Time;
use std::collections::{BTreeSet, HashMap};

/// Maximum number of parts that are remembered, at about a hundred bytes each. Those that have not been seen for the longest
/// time are evicted first.
const MAX_PARTS: usize = 4_096;

/// The parts that this host has seen to be sound, with the latest time at which an answer to a prompt with the part began
/// that did not crash its server.
#[derive(Debug, Default)]
pub(super) struct Soundness {
    times: HashMap<Part, Time>,
    /// The same by time.
    order: BTreeSet<(Time, Part)>,
}

impl Soundness {
    /// Records that an answer to a prompt with the part began at a time and did not crash its server.
    pub(super) fn record(&mut self, part: Part, began: Time) {
        let former = self.times.get(&part).copied();
        if former >= Some(began) {
            return;
        }
        if let Some(former) = former {
            self.order.remove(&(former, part));
        }
        self.times.insert(part, began);
        self.order.insert((began, part));
        if self.order.len() > MAX_PARTS
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.times.remove(&oldest);
        }
    }

    /// Returns when the latest sound answer to a prompt with the part began.
    pub(super) fn last(&self, part: Part) -> Option<Time> {
        self.times.get(&part).copied()
    }

    /// Returns when the latest sound answer to any prompt with parts began.
    pub(super) fn latest(&self) -> Option<Time> {
        self.order.last().map(|(began, _)| *began)
    }

    /// Drops records of answers that began before a time.
    pub(super) fn expire(&mut self, before: Time) {
        while let Some((began, part)) = self.order.first().copied()
            && began < before
        {
            self.order.pop_first();
            self.times.remove(&part);
        }
    }
}
