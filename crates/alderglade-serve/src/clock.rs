//! The steady clock of the process, and waits by it. It goes on while the host is suspended, as the clocks of all others
//! do. The time of day is never asked: it may jump.
//!
//! The runtime's own timers stand still while the host is suspended. [`watch`] notices that it was, and wakes whoever waits
//! here, so that no wait ends later than a heartbeat after its time. Waits that are shorter than that use the runtime's.

use crate::event::{self, Record};
use alderglade_clock::{Instant, Suspension};
use alderglade_core::time::Time;
use std::sync::OnceLock;
use std::time::Duration;
use tokio::sync::Notify;

static START: OnceLock<Instant> = OnceLock::new();
/// Wakes whoever waits, after the host was suspended.
static RESUMED: Notify = Notify::const_new();

/// The time is over that was allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Elapsed;

/// Gives the time since the first call in this process.
pub fn now() -> Time {
    let start = START.get_or_init(Instant::now);
    let passed = start.elapsed().as_micros();
    Time(u64::try_from(passed).unwrap_or(u64::MAX))
}

/// Waits until a point in time is reached.
pub async fn sleep_until(at: Time) {
    wait_until(at, now, &RESUMED).await;
}

/// Waits for a span.
pub async fn sleep(span: Duration) {
    sleep_until(now() + span).await;
}

/// Gives what comes of a future within a span.
///
/// # Errors
///
/// Where nothing does.
pub async fn timeout<F: Future>(span: Duration, future: F) -> Result<F::Output, Elapsed> {
    timeout_at(now() + span, future).await
}

/// Gives what comes of a future before a point in time.
///
/// # Errors
///
/// Where nothing does.
pub async fn timeout_at<F: Future>(at: Time, future: F) -> Result<F::Output, Elapsed> {
    tokio::select! {
        biased;
        output = future => Ok(output),
        () = sleep_until(at) => Err(Elapsed),
    }
}

/// Waits for a span, and then until what has come meanwhile was taken.
///
/// A process that stood still finds all its timers due at once, and beside them the answers that they were waiting for.
/// Each turn lets the sockets be read and the tasks run that pass on what came.
pub async fn sleep_and_yield(span: Duration) {
    /// From the socket to whoever waits: the head of an answer, its body, and one to spare.
    const TURNS: usize = 3;
    sleep(span).await;
    for _ in 0..TURNS {
        tokio::task::yield_now().await;
    }
}

/// Waits until a clock reaches a point in time; looks again whenever `resumed` says that it may have gone on while timers
/// stood still.
pub async fn wait_until(at: Time, clock: impl Fn() -> Time, resumed: &Notify) {
    loop {
        let again = resumed.notified();
        let left = at.left(clock());
        if left.is_zero() {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(left) => {}
            () = again => {}
        }
    }
}

/// Looks whether the host was suspended, and wakes whoever waits if it was; called with each heartbeat.
pub fn watch(suspension: &mut Suspension) {
    if let Some(span) = suspension.look() {
        event::write(&Record::Suspended {
            span_ms: span.as_millis() as u64,
        });
        RESUMED.notify_waiters();
    }
}
