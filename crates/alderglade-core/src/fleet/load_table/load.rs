//! What is held at one backend server, in the terms that placement weighs.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Classes of pauses that running answers bear; see [`PauseClass`].
pub const PAUSE_CLASSES: usize = 3;

/// How long a pause between its events an answer bears and is still in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PauseClass {
    /// Less than 400 ms: interactive replies.
    Short,
    /// Less than 800 ms: digests.
    Middle,
    /// Longer.
    Long,
}

impl PauseClass {
    /// The bound between short and middle pauses, in milliseconds.
    const SHORT_BELOW: u128 = 400;
    /// The bound between middle and long pauses, in milliseconds.
    const MIDDLE_BELOW: u128 = 800;

    /// Gives the class of a pause.
    pub fn of(longest: Duration) -> PauseClass {
        match longest.as_millis() {
            0..PauseClass::SHORT_BELOW => PauseClass::Short,
            PauseClass::SHORT_BELOW..PauseClass::MIDDLE_BELOW => PauseClass::Middle,
            _ => PauseClass::Long,
        }
    }

    /// All classes, in the order of [`Load::at_risk`].
    pub const ALL: [PauseClass; PAUSE_CLASSES] =
        [PauseClass::Short, PauseClass::Middle, PauseClass::Long];
}

/// The pauses that the answers of a service bear: the shortest of each class that its routes allow.
///
/// Taken for 250, 600 and 1,000 ms where the routes allow 200, 500 and 800, short replies were made late by reading beside
/// them that their placement held to be harmless.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pauses([f64; PAUSE_CLASSES]);

impl Pauses {
    /// Takes the pauses that routes allow.
    pub fn of(allowed: impl Iterator<Item = Duration>) -> Pauses {
        let mut pauses = Pauses::default();
        let mut known = [false; PAUSE_CLASSES];
        for longest in allowed {
            let class = PauseClass::of(longest) as usize;
            let millis = longest.as_secs_f64() * 1_000.0;
            if !known[class] || millis < pauses.0[class] {
                pauses.0[class] = millis;
            }
            known[class] = true;
        }
        pauses
    }

    /// Gives the pause that answers of a class are sure to bear, in milliseconds.
    pub fn tolerated_ms(&self, class: PauseClass) -> f64 {
        self.0[class as usize]
    }
}

impl Default for Pauses {
    /// Takes what interactive replies, digests and the rest bear where no route of the class says so.
    fn default() -> Pauses {
        Pauses([250.0, 600.0, 1_000.0])
    }
}

/// What one host holds at one backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Reading that it has placed there in its lifetime, in microseconds; never falls.
    pub placed: u64,
    /// Memory that its requests need there, in tokens.
    pub memory: i64,
    /// Requests that were sent there and have not ended.
    pub running: i64,
    /// Worth of the running answers by the pause that they bear, in thousandths.
    pub at_risk: [i64; PAUSE_CLASSES],
}

impl Load {
    /// Takes more of everything. Figures wrap around, so that what an absurd notice has added is taken back to the bit.
    pub(super) fn add(&mut self, other: &Load) {
        self.placed = self.placed.wrapping_add(other.placed);
        self.memory = self.memory.wrapping_add(other.memory);
        self.running = self.running.wrapping_add(other.running);
        for (own, more) in self.at_risk.iter_mut().zip(other.at_risk) {
            *own = own.wrapping_add(more);
        }
    }

    /// Gives back what is held; what was placed stays so.
    pub(super) fn subtract(&mut self, other: &Load) {
        self.memory = self.memory.wrapping_sub(other.memory);
        self.running = self.running.wrapping_sub(other.running);
        for (own, less) in self.at_risk.iter_mut().zip(other.at_risk) {
            *own = own.wrapping_sub(less);
        }
    }

    /// Says whether nothing is held, whatever was placed.
    pub fn holds_nothing(&self) -> bool {
        let Load { placed, .. } = *self;
        *self
            == Load {
                placed,
                ..Load::default()
            }
    }
}
