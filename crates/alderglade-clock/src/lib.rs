//! A steady clock that goes on while the host is suspended.
//!
//! The standard library's stands still then: all that is held by it (how old a word is, until when a lease is good, how
//! long a caller still waits) would be younger than it is to everybody else. The time of day goes on, but may jump.

mod suspension;

pub use suspension::Suspension;

use rustix::time::{ClockId, Timespec, clock_gettime};
use std::ops::Add;
use std::time::Duration;

/// A point in time, of use only within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Instant(Duration);

impl Instant {
    /// Gives the present.
    pub fn now() -> Instant {
        Instant(read(ClockId::Boottime))
    }

    /// Gives the time since the host was started, that in which it was suspended among it.
    pub fn since_start(self) -> Duration {
        self.0
    }

    /// Gives the time since this point, or zero where it lies ahead.
    pub fn elapsed(self) -> Duration {
        Instant::now().saturating_duration_since(self)
    }

    /// Gives the time since `earlier`, or zero where that is later.
    pub fn saturating_duration_since(self, earlier: Instant) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, span: Duration) -> Instant {
        Instant(self.0.saturating_add(span))
    }
}

/// Reads a clock that has run since the host was started.
fn read(clock: ClockId) -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(clock);
    let seconds = u64::try_from(tv_sec).unwrap_or(0);
    let nanos = u64::try_from(tv_nsec).unwrap_or(0);
    Duration::from_secs(seconds) + Duration::from_nanos(nanos)
}
