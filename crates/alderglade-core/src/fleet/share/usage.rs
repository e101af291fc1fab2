//! Engine time of one workspace at one host, as a sum that decays.

use crate::time::Time;
use std::time::Duration;

/// The time constant of the sums. Long enough to contain the answers of several requests, which hold their slots for
/// some 2 s, and short enough that a burst of some 10 s counts while it lasts.
const TIME_CONSTANT: Duration = Duration::from_millis(4_000);

/// Returns the fraction of a sum that remains after some time.
pub(super) fn decay(elapsed: Duration) -> f64 {
    (-elapsed.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
}

/// The engine time that one workspace has used lately.
#[derive(Debug, Default)]
pub(super) struct Usage {
    /// The decayed sum, in milliseconds of engine time.
    used_ms: f64,
    /// The time up to which it has decayed.
    updated: Time,
}

impl Usage {
    /// Returns the sum at a time, in milliseconds of engine time.
    pub(super) fn at(&self, now: Time) -> f64 {
        self.used_ms * decay(now.since(self.updated))
    }

    /// Adds engine time in milliseconds, or takes away what was added in advance and not used.
    pub(super) fn add(&mut self, added_ms: f64, now: Time) {
        // What is taken away may have decayed already.
        self.used_ms = (self.at(now) + added_ms).max(0.0);
        self.updated = now;
    }
}
