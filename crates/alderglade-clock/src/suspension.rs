//! Detection of suspensions of the host.

use super::{Instant, read_clock};
use rustix::time::ClockId;
use std::time::Duration;

/// Smallest difference between the clocks that counts as a suspension. The two clocks are read some microseconds
/// apart, more on a busy host.
const MIN_SUSPENSION: Duration = Duration::from_millis(50);

/// Detects suspensions of the host by comparing a clock that continues during them with one that stops.
#[derive(Debug, Default)]
pub struct Suspension {
    /// Difference between the two clocks at the last check: the total duration of all suspensions.
    total_suspended: Option<Duration>,
}

impl Suspension {
    /// Returns how long the host has been suspended since the last call, or `None` if it wasn't.
    pub fn look(&mut self) -> Option<Duration> {
        let monotonic = read_clock(ClockId::Monotonic);
        let boottime = Instant::now().since_start();
        self.compare(boottime, monotonic)
    }

    /// Does the same as [`Suspension::look`] for the given readings of the clock that continues during
    /// suspensions (`boottime`) and the one that stops (`monotonic`).
    pub fn compare(&mut self, boottime: Duration, monotonic: Duration) -> Option<Duration> {
        let total_suspended = boottime.saturating_sub(monotonic);
        let previous = self.total_suspended.replace(total_suspended)?;
        let suspended = total_suspended.saturating_sub(previous);
        (suspended >= MIN_SUSPENSION).then_some(suspended)
    }
}
