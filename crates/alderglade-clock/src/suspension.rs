//! How a process notices that its host was suspended.

use super::{Instant, read};
use rustix::time::ClockId;
use std::time::Duration;

/// A part by which the clocks differ that counts: two readings are some microseconds apart, more on a busy host.
const LEAST: Duration = Duration::from_millis(50);

/// Notices that the host was suspended, by the clock that stood still meanwhile.
#[derive(Debug, Default)]
pub struct Suspension {
    /// By how much the clock that goes on was ahead of the other at the last look.
    ahead: Option<Duration>,
}

impl Suspension {
    /// Gives how long the host has been suspended since the last look, if it was.
    pub fn look(&mut self) -> Option<Duration> {
        let stood_still = read(ClockId::Monotonic);
        let went_on = Instant::now().since_start();
        self.compare(went_on, stood_still)
    }

    /// As [`Suspension::look`], by these readings of the two clocks.
    pub fn compare(&mut self, went_on: Duration, stood_still: Duration) -> Option<Duration> {
        let ahead = went_on.saturating_sub(stood_still);
        let before = self.ahead.replace(ahead)?;
        let span = ahead.saturating_sub(before);
        (span >= LEAST).then_some(span)
    }
}
