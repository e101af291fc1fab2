//! The demand of a queued prompt, which determines its rank in the wait queue of all hosts.

use super::hold_policy::{self, PLANNED_SHARE};
use super::{MAX_PARTS, SHORT_PROMPT_TOKENS, Work, due, slot_queue, timing};
use crate::fleet::load_table::Demand;
use crate::fleet::pass::EngineProfile;

/// The length of the pass that a part joins, in milliseconds: about that of an engine that writes a dozen answers.
const PASS_MS: f64 = 60.0;

/// Returns the demand of a prompt that waits for some of a service's `engines`.
///
/// A short prompt is due when its caller's first attempt would have been, so that a retry precedes new prompts. A long
/// one ranks by when it must be sent to be in time, or just before its caller would leave if it can't be; it is due only
/// when it may no longer be deferred, see [`super::due`].
pub fn demand(work: &Work, profile: &EngineProfile, engines: usize) -> Demand {
    let reading = profile.read_ms(work.prompt);
    let is_short = work.prompt < SHORT_PROMPT_TOKENS;
    let start = if is_short {
        let age = work.waited + slot_queue::age_at_arrival(work);
        PLANNED_SHARE * timing::to_millis(work.objective)
            - timing::to_millis(age)
            - reading
            - PASS_MS
    } else {
        latest_start(work, reading, engines)
    };
    let start = start + timing::to_millis(work.order_delay);
    let due = if is_short {
        start
    } else {
        long_due(work, start)
    };
    Demand {
        due_ms: due.floor() as i32,
        reading_ms: reading as u32,
    }
}

/// Returns when a long prompt is due that ranks by `start` until then; both are in milliseconds from now.
fn long_due(work: &Work, start: f64) -> f64 {
    /// The least time of a prompt that isn't due, in milliseconds.
    const NOT_DUE_MS: f64 = 1.0;
    let due = due::time_left(work);
    // Demands don't state their service, so prompts that some engines can't serve must not hold back others.
    if due <= 0.0 && work.queues_for_slots {
        return due;
    }
    start.max(NOT_DUE_MS)
}

/// Returns when a long prompt must be sent, in milliseconds from now.
fn latest_start(work: &Work, reading: f64, engines: usize) -> f64 {
    let fastest = reading / engines.clamp(1, MAX_PARTS) as f64 + PASS_MS;
    let in_time = PLANNED_SHARE * timing::to_millis(work.objective)
        - timing::to_millis(work.waited)
        - fastest;
    if in_time > 0.0 {
        return in_time;
    }
    hold_policy::first_event_time_left(work) - 2.0 * fastest
}
