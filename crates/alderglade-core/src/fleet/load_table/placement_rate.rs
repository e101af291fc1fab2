//! The rate at which all hosts place requests at engines.
//!
//! Placements of other hosts are unknown until their notices arrive, so the rate and the delay of notices determine how
//! many slots that look free are taken.

use crate::time::Time;

/// The time constant of the moving average, in seconds. Bursts begin within a second, and at 100 placements a second
/// the average still covers 50 of them.
const WINDOW_SECONDS: f64 = 0.5;

/// A moving average of placements per second.
#[derive(Debug, Default)]
pub(super) struct PlacementRate {
    per_second: f64,
    updated: Time,
}

impl PlacementRate {
    /// Records a number of placements.
    pub(super) fn record(&mut self, placements: u64, now: Time) {
        self.per_second = self.per_second(now) + placements as f64 / WINDOW_SECONDS;
        self.updated = now;
    }

    /// Returns the placements per second.
    pub(super) fn per_second(&self, now: Time) -> f64 {
        self.per_second * (-now.since(self.updated).as_secs_f64() / WINDOW_SECONDS).exp()
    }
}
