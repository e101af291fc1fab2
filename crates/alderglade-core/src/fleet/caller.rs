//! How long callers of streams wait before they leave, and how long their servers may therefore be silent.
//!
//! Who leaves gets nothing, however good the answer would have been: a silent server is given up while another one
//! can still begin.

use std::time::Duration;

/// A caller waits at least this long for the first or the next event. This and the two factors are from the users'
/// pages.
const LEAST: Duration = Duration::from_millis(2_000);
/// A caller waits for this many times the aim, if that is longer.
const AIMS: u32 = 4;
/// A caller waits for this many times the longest pause of an answer in time, if that is longer.
const PAUSES: u32 = 8;
/// The part of what is left of a caller's patience after which a silent server is given up: another one needs the
/// rest to begin.
const SILENT: f64 = 0.6;

/// Gives how long a caller waits for the first or the next event.
pub fn response_timeout(objective: Duration, longest_pause: Duration) -> Duration {
    LEAST.max(objective * AIMS).max(longest_pause * PAUSES)
}

/// Gives how long a server may be silent where the caller's patience has `left` to go.
pub fn silence_timeout(left: Duration) -> Duration {
    left.mul_f64(SILENT)
}
