//! The steady clock of the process. The time of day is never asked: it may jump.

use alderglade_core::time::Time;
use std::sync::OnceLock;
use std::time::Duration;
use tokio::time::Instant;

static START: OnceLock<Instant> = OnceLock::new();

/// Gives the time since the first call in this process.
pub fn now() -> Time {
    let start = START.get_or_init(Instant::now);
    let passed = start.elapsed().as_micros();
    Time(u64::try_from(passed).unwrap_or(u64::MAX))
}

/// Gives the instant at which a point in time is reached.
pub fn instant(at: Time) -> Instant {
    let start = START.get_or_init(Instant::now);
    *start + Duration::from_micros(at.0)
}
