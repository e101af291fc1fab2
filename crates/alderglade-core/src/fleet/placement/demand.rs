//! The demand of a queued long prompt, which determines its rank in the wait queue of all hosts.

use super::hold_policy::{self, PLANNED_SHARE};
use super::{MAX_PARTS, SHORT_PROMPT_TOKENS, Work, timing};
use crate::fleet::load_table::Demand;
use crate::fleet::pass::EngineProfile;

/// The length of the pass that a part joins, in milliseconds: about that of an engine that writes a dozen answers.
const PASS_MS: f64 = 60.0;

/// Returns the demand of a long prompt that waits for some of a service's `engines`; `None` for a short prompt, which
/// doesn't wait.
///
/// A prompt that can no longer be in time is due just before its caller would leave.
pub fn demand(work: &Work, profile: &EngineProfile, engines: usize) -> Option<Demand> {
    if work.prompt < SHORT_PROMPT_TOKENS {
        return None;
    }
    let reading = profile.read_ms(work.prompt);
    let fastest = reading / engines.clamp(1, MAX_PARTS) as f64 + PASS_MS;
    let in_time = PLANNED_SHARE * timing::to_millis(work.objective)
        - timing::to_millis(work.waited)
        - fastest;
    let due = if in_time > 0.0 {
        in_time
    } else {
        hold_policy::first_event_time_left(work) - 2.0 * fastest
    };
    Some(Demand {
        due_ms: (due + timing::to_millis(work.order_delay)) as i32,
        reading_ms: reading as u32,
    })
}
