//! The load at one backend server, in the terms that placement decides by.

use crate::time::to_millis;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The number of pause classes; see [`PauseClass`].
pub const PAUSE_CLASSES: usize = 3;

/// The longest pause between two events that an answer tolerates without being late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PauseClass {
    /// Less than 400 ms: interactive replies.
    Short,
    /// Less than 800 ms: digests.
    Medium,
    /// Longer.
    Long,
}

impl PauseClass {
    /// Pauses below this length are short, in milliseconds.
    const SHORT_LIMIT_MS: u128 = 400;
    /// Pauses below this length that aren't short are medium, in milliseconds.
    const MEDIUM_LIMIT_MS: u128 = 800;

    /// Returns the class of an answer whose longest tolerated pause is `longest`.
    pub fn of(longest: Duration) -> PauseClass {
        match longest.as_millis() {
            0..PauseClass::SHORT_LIMIT_MS => PauseClass::Short,
            PauseClass::SHORT_LIMIT_MS..PauseClass::MEDIUM_LIMIT_MS => PauseClass::Medium,
            _ => PauseClass::Long,
        }
    }

    /// All classes, in the order of [`Load::value_at_risk`].
    pub const ALL: [PauseClass; PAUSE_CLASSES] =
        [PauseClass::Short, PauseClass::Medium, PauseClass::Long];
}

/// The pauses that the answers of a service tolerate: for each class the shortest one that a route allows.
///
/// The defaults of 250, 600 and 1,000 ms are too long if the routes allow 200, 500 and 800 ms: placement then considers
/// reading beside short replies harmless when it makes them late.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pauses([f64; PAUSE_CLASSES]);

impl Pauses {
    /// Computes the pauses of a service from the longest pause that each of its routes allows.
    pub fn of(allowed: impl Iterator<Item = Duration>) -> Pauses {
        let mut pauses = Pauses::default();
        let mut stated = [false; PAUSE_CLASSES];
        for longest in allowed {
            let class = PauseClass::of(longest) as usize;
            let millis = to_millis(longest);
            if !stated[class] || millis < pauses.0[class] {
                pauses.0[class] = millis;
            }
            stated[class] = true;
        }
        pauses
    }

    /// Returns the pause that all answers of a class tolerate, in milliseconds.
    pub fn tolerated_ms(&self, class: PauseClass) -> f64 {
        self.0[class as usize]
    }
}

impl Default for Pauses {
    /// Returns the pauses of interactive replies, digests and other answers, for classes without a route that states
    /// one.
    fn default() -> Pauses {
        Pauses([250.0, 600.0, 1_000.0])
    }
}

/// What one host holds at one backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The time for all reading that the host has placed there during its incarnation, in microseconds; never
    /// decreases.
    pub placed_micros: u64,
    /// The memory that its requests need there, in tokens.
    pub memory: i64,
    /// The number of requests sent there that have not ended.
    pub running: i64,
    /// The value of the running answers in each pause class, in thousandths.
    pub value_at_risk: [i64; PAUSE_CLASSES],
}

impl Load {
    /// Adds all figures of another load. The sums wrap around, so subtracting an absurd load again restores them
    /// exactly.
    pub(super) fn add(&mut self, other: &Load) {
        self.placed_micros = self.placed_micros.wrapping_add(other.placed_micros);
        self.memory = self.memory.wrapping_add(other.memory);
        self.running = self.running.wrapping_add(other.running);
        for (own, more) in self.value_at_risk.iter_mut().zip(other.value_at_risk) {
            *own = own.wrapping_add(more);
        }
    }

    /// Subtracts what another load holds. `placed_micros` stays, since it never decreases.
    pub(super) fn subtract(&mut self, other: &Load) {
        self.memory = self.memory.wrapping_sub(other.memory);
        self.running = self.running.wrapping_sub(other.running);
        for (own, less) in self.value_at_risk.iter_mut().zip(other.value_at_risk) {
            *own = own.wrapping_sub(less);
        }
    }

    /// Returns whether nothing is held, regardless of `placed_micros`.
    pub fn holds_nothing(&self) -> bool {
        let Load {
            placed_micros: placed,
            ..
        } = *self;
        *self
            == Load {
                placed_micros: placed,
                ..Load::default()
            }
    }
}
