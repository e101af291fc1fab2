//! The demand of a queued prompt, which determines its rank in the wait queue of all hosts.

use super::hold_policy::{self, PLANNED_SHARE};
use super::{MAX_PARTS, SHORT_PROMPT_TOKENS, Work, slot_queue, timing};
use crate::fleet::load_table::Demand;
use crate::fleet::pass::EngineProfile;

/// The length of the pass that a part joins, in milliseconds: about that of an engine that writes a dozen answers.
const PASS_MS: f64 = 60.0;

/// Returns the demand of a prompt that waits for some of a service's `engines`.
///
/// A long prompt that can no longer be in time is due just before its caller would leave. A short one is due when its
/// caller's first attempt would have been, so that a retry precedes new prompts.
pub fn demand(work: &Work, profile: &EngineProfile, engines: usize) -> Demand {
    let reading = profile.read_ms(work.prompt);
    let due = if work.prompt < SHORT_PROMPT_TOKENS {
        let age = work.waited + slot_queue::age_at_arrival(work);
        PLANNED_SHARE * timing::to_millis(work.objective)
            - timing::to_millis(age)
            - reading
            - PASS_MS
    } else {
        long_due(work, reading, engines)
    };
    Demand {
        due_ms: (due + timing::to_millis(work.order_delay)).floor() as i32,
        reading_ms: reading as u32,
    }
}

/// Returns when a long prompt must be sent, in milliseconds from now.
fn long_due(work: &Work, reading: f64, engines: usize) -> f64 {
    let fastest = reading / engines.clamp(1, MAX_PARTS) as f64 + PASS_MS;
    let in_time = PLANNED_SHARE * timing::to_millis(work.objective)
        - timing::to_millis(work.waited)
        - fastest;
    if in_time > 0.0 {
        return in_time;
    }
    hold_policy::first_event_time_left(work) - 2.0 * fastest
}
