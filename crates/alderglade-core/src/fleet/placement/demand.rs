//! What a long prompt needs while it waits: what its place in the line of all hosts follows from.

use super::patience::{self, PLANNED};
use super::{MAX_PARTS, SHORT_PROMPT_TOKENS, Work, timing};
use crate::fleet::load_table::Demand;
use crate::fleet::pass::EngineProfile;

/// What the pass takes that a part joins, in milliseconds: about that of an engine that writes a dozen answers.
const PASS: f64 = 60.0;

/// Gives what a long prompt needs that waits for engines of a service with so many of them; `None` for a short one,
/// which doesn't wait.
///
/// One that can't be in time any more is due when its caller would leave otherwise.
pub fn demand(work: &Work, profile: &EngineProfile, engines: usize) -> Option<Demand> {
    if work.prompt < SHORT_PROMPT_TOKENS {
        return None;
    }
    let reading = profile.read(work.prompt);
    let quickest = reading / engines.clamp(1, MAX_PARTS) as f64 + PASS;
    let in_time = PLANNED * timing::millis(work.objective) - timing::millis(work.waited) - quickest;
    let due = if in_time > 0.0 {
        in_time
    } else {
        patience::first_event_left(work) - 2.0 * quickest
    };
    Some(Demand {
        due_ms: due as i32,
        reading_ms: reading as u32,
    })
}
