//! The clock that is passed in: microseconds since a start that only one process knows.
//!
//! A [`Time`] never travels between processes; what travels is the [`Duration`] that remains.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A point in time, in microseconds since the start of the process (or of the scenario).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(pub u64);

impl Time {
    /// A point in time that is never reached.
    pub const NEVER: Time = Time(u64::MAX);

    /// Makes a point in time from whole milliseconds since the start.
    pub fn from_millis(millis: u64) -> Time {
        Time(millis * 1_000)
    }

    /// Gives the milliseconds since the start, rounded down.
    pub fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Gives the time that has passed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Gives the time left until this point, or zero if it has passed.
    pub fn left(self, now: Time) -> Duration {
        self.since(now)
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, span: Duration) -> Time {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, span: Duration) -> Time {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_sub(micros))
    }
}
