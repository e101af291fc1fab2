//! How long callers of streams wait before they disconnect, and how long their servers may therefore be silent.
//!
//! A caller that disconnects gets nothing, however good the answer would have been. So a silent server is abandoned
//! while another one can still begin.

use std::time::Duration;

/// The minimum time for which a caller waits for the first or the next event. This and the two factors below are
/// specified in the platform's documentation for users.
const MIN_TIMEOUT: Duration = Duration::from_millis(2_000);
/// A caller waits for this multiple of the latency objective, if that is longer.
const OBJECTIVE_FACTOR: u32 = 4;
/// A caller waits for this multiple of the longest pause of an answer in time, if that is longer.
const PAUSE_FACTOR: u32 = 8;
/// Fraction of the caller's remaining timeout after which a silent server is abandoned. Another server needs the rest
/// to begin.
const SILENCE_FRACTION: f64 = 0.6;

/// Returns how long a caller waits for the first or the next event.
pub fn response_timeout(objective: Duration, longest_pause: Duration) -> Duration {
    MIN_TIMEOUT
        .max(objective * OBJECTIVE_FACTOR)
        .max(longest_pause * PAUSE_FACTOR)
}

/// Returns how long a server may be silent if `remaining` is left of the caller's timeout.
pub fn silence_timeout(remaining: Duration) -> Duration {
    remaining.mul_f64(SILENCE_FRACTION)
}
