//! The wait queue of prompts, shared by all hosts.
//!
//! Each host reports to its peers which prompts wait for engines there, and all hosts rank them by the same rule. Hosts
//! therefore agree on the next prompt without asking each other: a prompt starts once fewer prompts precede it than may
//! be read at the same time. Without the queue the first host to look takes the engines, and prompts with little time
//! left lose them to others with plenty. Over 33 simulated days the queue earned 8 in 1,000 more of the total value,
//! and 1 in 100 more of the value of the longest prompts.
//!
//! A long prompt that is due may no longer be deferred: it precedes all long prompts that aren't due. Small prompts go first
//! among those that can wait, which serves more of them in the same time, and large ones among those that are due, because
//! the others have been served before.
//!
//! Short prompts wait for slots and long ones for engines that may read them, so they are counted apart: neither kind
//! delays the other.

use crate::time::Time;
use serde::{Deserialize, Serialize};

/// How much a second of reading delays the rank of a prompt that can wait, in seconds: one that takes a second longer to
/// read ranks like one due this much later.
const READING_WEIGHT: f64 = 0.2;
/// The same for a prompt that is due, which ranks like one due earlier.
const DUE_READING_WEIGHT: f64 = -0.2;
/// A prompt doesn't wait for one that is due if it takes less than this share of the other one's reading time, because it
/// hardly delays it.
const PASSING_SHARE: f64 = 0.1;

/// Identifies a prompt in the wait queue of its host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueuedId(pub(super) u64);

/// What a queued prompt needs, as sent between hosts. Times are relative to now, so clock differences don't matter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The time until the prompt is due, in milliseconds; negative if that moment has passed. A short prompt is due when it
    /// must be sent to be in time, a long one when it may no longer be deferred.
    pub due_ms: i32,
    /// How long one engine would take to read the prompt, in milliseconds.
    pub reading_ms: u32,
}

impl Demand {
    /// Returns whether the prompt is short, if short ones are read in less than `limit` milliseconds.
    pub fn is_short(&self, limit: f64) -> bool {
        is_short(self.reading_ms, limit)
    }
}

fn is_short(reading_ms: u32, limit: f64) -> bool {
    // The reading time was rounded down.
    f64::from(reading_ms) < limit.floor()
}

/// How many prompts of its kind, short or long, precede a queued prompt.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Precedence {
    /// All of them.
    pub all: u32,
    /// Long prompts that are due and that it may not pass; `0` for a short prompt.
    pub due: u32,
}

/// The numbers of prompts in the wait queue.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QueueLengths {
    /// Short prompts, which wait for slots.
    pub short: usize,
    /// Long prompts.
    pub long: usize,
}

/// A prompt in the wait queue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Entry {
    /// When the prompt is due, in milliseconds of this host's clock.
    due_ms: i64,
    /// How long one engine would take to read it, in milliseconds.
    reading_ms: u32,
}

impl Entry {
    /// Creates an entry from a demand that is relative to `now`.
    pub(super) fn new(demand: Demand, now: Time) -> Entry {
        Entry {
            due_ms: millis(now) + i64::from(demand.due_ms),
            reading_ms: demand.reading_ms,
        }
    }

    /// Returns what the prompt needs, relative to `now`.
    pub(super) fn demand(&self, now: Time) -> Demand {
        let time_left = self.due_ms - millis(now);
        let due_ms = time_left.clamp(i64::from(i32::MIN), i64::from(i32::MAX));
        Demand {
            due_ms: due_ms as i32,
            reading_ms: self.reading_ms,
        }
    }

    /// Returns whether the prompt is short, if short ones are read in less than `limit` milliseconds.
    pub(super) fn is_short(&self, limit: f64) -> bool {
        is_short(self.reading_ms, limit)
    }

    /// Returns the prompt as it ranks at its own host, given that its demand arrived from there in a notice. Demands state
    /// the time left when they are sent, so each ranks later at other hosts by the delay of the notice. Short prompts
    /// are due a few milliseconds apart, and without the correction each host considers its own ones next.
    pub(super) fn as_sent(&self) -> Entry {
        /// The usual delay of a notice, in milliseconds. It is rather too low: if it were too high, two hosts would each
        /// wait for the other one's prompt.
        const MIN_NOTICE_DELAY_MS: i64 = 5;
        Entry {
            due_ms: self.due_ms - MIN_NOTICE_DELAY_MS,
            ..*self
        }
    }

    /// Returns whether this prompt precedes another one, if both can wait or both are short.
    pub(super) fn is_before(&self, other: &Entry) -> bool {
        self.rank(READING_WEIGHT) < other.rank(READING_WEIGHT)
    }

    /// Returns whether this long prompt precedes another one.
    pub(super) fn is_long_before(&self, other: &Entry, now: Time) -> bool {
        match (self.is_due(now), other.is_due(now)) {
            (true, true) => self.rank(DUE_READING_WEIGHT) < other.rank(DUE_READING_WEIGHT),
            (false, false) => self.is_before(other),
            (is_due, _) => is_due,
        }
    }

    /// Returns whether this long prompt is due and a later one has to wait for it.
    pub(super) fn holds_back(&self, later: &Entry, now: Time) -> bool {
        let least = PASSING_SHARE * f64::from(self.reading_ms);
        self.is_due(now) && f64::from(later.reading_ms) >= least
    }

    fn is_due(&self, now: Time) -> bool {
        self.due_ms <= millis(now)
    }

    /// The due time in milliseconds, delayed by the weighted reading time; lower ranks go first.
    fn rank(&self, reading_weight: f64) -> f64 {
        self.due_ms as f64 + reading_weight * f64::from(self.reading_ms)
    }
}

fn millis(time: Time) -> i64 {
    (time.0 / 1_000) as i64
}
