//! Detects engines that seem to work more slowly than their service states.
//!
//! The pauses between an answer's events are the engine's passes. One long pass is caused by the prefill of a prompt.
//! Several in a row justify asking the engine, which knows how slow it is.
//!
//! An engine that only takes part in the prefill of a prompt shows in no pauses. The first event of a prompt is as
//! late as the slowest of its engines. If it is very late, each of them is asked.

use std::time::Duration;

/// A pause is long from this multiple of a pass without prefill. Busy engines spend about as much time on prefill
/// as on their token steps.
const LONG_PAUSE_FACTOR: f64 = 2.2;
/// The number of long pauses in a row that make an engine suspect.
const SUSPICIOUS_PAUSES: u32 = 3;
/// An engine with this slowdown, relative to the stated times, is skipped if others can serve. A lower slowdown is
/// within the normal variation among the engines of one service.
const SLOW_FACTOR: f64 = 1.5;

/// A first event later than this multiple of the estimate is suspicious: estimates of busy engines are often half too
/// low.
const LATE_FACTOR: f64 = 2.0;
/// The additional time by which it must be late: about the pass of a long prompt that the estimate didn't include.
const LATE_MARGIN: Duration = Duration::from_millis(250);

/// Returns whether an engine with this slowdown, relative to the stated times, is slow.
pub fn is_slow(slowdown: f64) -> bool {
    slowdown >= SLOW_FACTOR
}

/// Returns whether a prompt's first event took so much longer than expected that one of its engines may be slow.
pub fn is_late(expected: Duration, took: Duration) -> bool {
    took > expected.mul_f64(LATE_FACTOR) + LATE_MARGIN
}

/// Detects a slow engine from the pauses of one answer.
#[derive(Debug, Default)]
pub struct PauseMonitor {
    /// Long pauses in a row.
    long_pauses: u32,
}

impl PauseMonitor {
    /// Records a pause. `idle_pass` is the length of a pass without prefill, in the same unit. Returns whether the
    /// engine should be asked how slow it is.
    pub fn record_pause(&mut self, pause: f64, idle_pass: f64) -> bool {
        if pause < LONG_PAUSE_FACTOR * idle_pass {
            self.long_pauses = 0;
            return false;
        }
        self.long_pauses += 1;
        self.long_pauses.is_multiple_of(SUSPICIOUS_PAUSES)
    }
}
