//! A monotonic clock that continues while the host is suspended.
//!
//! The standard library's monotonic clock stops during a suspension. Measured by it, the age of a message, the expiry of
//! a lease or a caller's remaining time would lag behind what all other hosts measure. The wall clock continues, but may
//! jump.

mod suspension;

pub use suspension::Suspension;

use rustix::time::{ClockId, Timespec, clock_gettime};
use std::ops::Add;
use std::time::Duration;

/// A point in time, comparable only within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Instant(Duration);

impl Instant {
    /// Returns the current time.
    pub fn now() -> Instant {
        Instant(read_clock(ClockId::Boottime))
    }

    /// Returns the time since the host was started, including suspensions.
    pub fn since_start(self) -> Duration {
        self.0
    }

    /// Returns the time elapsed since this instant, or zero if it is in the future.
    pub fn elapsed(self) -> Duration {
        Instant::now().saturating_duration_since(self)
    }

    /// Returns the time from `earlier` to this instant, or zero if `earlier` is later.
    pub fn saturating_duration_since(self, earlier: Instant) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, duration: Duration) -> Instant {
        Instant(self.0.saturating_add(duration))
    }
}

/// Reads a clock that counts from the start of the host.
fn read_clock(clock: ClockId) -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(clock);
    let seconds = u64::try_from(tv_sec).unwrap_or(0);
    let nanos = u64::try_from(tv_nsec).unwrap_or(0);
    Duration::from_secs(seconds) + Duration::from_nanos(nanos)
}
