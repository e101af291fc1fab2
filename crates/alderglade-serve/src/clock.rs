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

/// Waits for a span, and then until what has come meanwhile was taken.
///
/// A process that stood still finds all its timers due at once, and beside them the answers that they were waiting for.
/// Each turn lets the sockets be read and the tasks run that pass on what came.
pub async fn patience(span: Duration) {
    /// From the socket to whoever waits: the head of an answer, its body, and one to spare.
    const TURNS: usize = 3;
    tokio::time::sleep(span).await;
    for _ in 0..TURNS {
        tokio::task::yield_now().await;
    }
}
