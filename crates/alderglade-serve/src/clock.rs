//! The monotonic clock of the process and waits based on it. The clock continues while the host is suspended, as the
//! clocks of all other hosts do. The time of day is never used: it may jump.
//!
//! The runtime's own timers stop while the host is suspended. [`watch`] detects a suspension and wakes all waits of
//! this module, so that no wait ends later than one heartbeat after its time. Waits shorter than a heartbeat use the
//! runtime's timers.

use crate::event::{self, Record};
use alderglade_clock::{Instant, Suspension};
use alderglade_core::time::Time;
use std::sync::OnceLock;
use std::time::Duration;
use tokio::sync::Notify;

static START: OnceLock<Instant> = OnceLock::new();
/// Wakes all waits after the host was suspended.
static RESUMED: Notify = Notify::const_new();

/// The allowed time has elapsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Elapsed;

/// Returns the time since the first call in this process.
pub fn now() -> Time {
    let start = START.get_or_init(Instant::now);
    let passed = start.elapsed().as_micros();
    Time(u64::try_from(passed).unwrap_or(u64::MAX))
}

/// Waits until a point in time.
pub async fn sleep_until(at: Time) {
    wait_until(at, now, &RESUMED).await;
}

/// Waits for a duration.
pub async fn sleep(span: Duration) {
    sleep_until(now() + span).await;
}

/// Awaits a future for no longer than a duration.
///
/// # Errors
///
/// Returns an error if the future does not complete in time.
pub async fn timeout<F: Future>(span: Duration, future: F) -> Result<F::Output, Elapsed> {
    timeout_at(now() + span, future).await
}

/// Awaits a future until a point in time.
///
/// # Errors
///
/// Returns an error if the future does not complete in time.
pub async fn timeout_at<F: Future>(at: Time, future: F) -> Result<F::Output, Elapsed> {
    tokio::select! {
        biased;
        output = future => Ok(output),
        () = sleep_until(at) => Err(Elapsed),
    }
}

/// Waits for a duration, and then until data that arrived in the meantime has been processed.
///
/// After a pause of the whole process all of its timers are due at once, together with the responses that they were
/// waiting for. Each yield lets sockets be read and lets the tasks run that forward the data.
pub async fn sleep_and_yield(span: Duration) {
    /// Yields from the socket to the waiting task: the head of a response, its body, and one to spare.
    const YIELDS: usize = 3;
    sleep(span).await;
    for _ in 0..YIELDS {
        tokio::task::yield_now().await;
    }
}

/// Waits until a clock reaches a point in time. Checks the clock again after each notification of `resumed`: the
/// clock may have advanced while timers stood still.
pub async fn wait_until(at: Time, clock: impl Fn() -> Time, resumed: &Notify) {
    loop {
        let notified = resumed.notified();
        let left = at.left(clock());
        if left.is_zero() {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(left) => {}
            () = notified => {}
        }
    }
}

/// Checks whether the host was suspended, and wakes all waits if so. Called with each heartbeat.
pub fn watch(suspension: &mut Suspension) {
    if let Some(span) = suspension.look() {
        event::write(&Record::Suspended {
            span_ms: span.as_millis() as u64,
        });
        RESUMED.notify_waiters();
    }
}
