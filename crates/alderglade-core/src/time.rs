//! Points in time, in microseconds since a start that is local to the process.
//!
//! The core receives the current time as an argument. A [`Time`] is never sent to another process;
//! messages carry the remaining [`Duration`] instead.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A point in time, in microseconds since the start of the process (or of the scenario).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(pub u64);

impl Time {
    /// A point in time that is never reached.
    pub const NEVER: Time = Time(u64::MAX);

    /// Creates a point in time from milliseconds since the start.
    pub fn from_millis(millis: u64) -> Time {
        Time(millis * 1_000)
    }

    /// Returns the milliseconds since the start, rounded down.
    pub fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time remaining until this point, or zero if it has passed.
    pub fn left(self, now: Time) -> Duration {
        self.since(now)
    }
}

/// Converts a duration to milliseconds.
pub fn to_millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

/// Converts milliseconds to a duration.
///
/// # Panics
///
/// Panics if the number is negative, infinite or not a number.
pub fn from_millis(millis: f64) -> Duration {
    Duration::from_secs_f64(millis / 1_000.0)
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
