//! How long callers of streams wait before they disconnect, and how long their servers may therefore be silent.
//!
//! A caller that disconnects gets nothing, however good the answer would have been. So a silent server is abandoned
//! while another one can still begin.

use crate::time::Time;
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

/// The event that the caller of a stream waits for, and how soon it must come to be in time.
///
/// For a stream that another server began, this is the next event after the last one that was relayed. The
/// objective of the first event has usually passed by then; measured by it, every engine would be equally late, and
/// none preferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Expectation {
    /// When the caller began to wait for the event.
    pub since: Time,
    /// The maximum time from then to the event for the answer to earn its full value.
    pub objective: Duration,
    /// Whether events of another server precede the event.
    pub resumed: bool,
}

impl Expectation {
    /// Returns the expectation of a stream's first event.
    pub fn first(arrived: Time, objective: Duration) -> Expectation {
        Expectation {
            since: arrived,
            objective,
            resumed: false,
        }
    }

    /// Returns the expectation of the next event, which could be relayed from `since` on, right after the last one.
    pub fn next(since: Time, longest_pause: Duration) -> Expectation {
        Expectation {
            since,
            objective: longest_pause,
            resumed: true,
        }
    }

    /// Returns how long the caller has waited for the event.
    pub fn waited(&self, now: Time) -> Duration {
        now.since(self.since)
    }
}

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
