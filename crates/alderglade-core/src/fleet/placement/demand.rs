//! What a long prompt needs while it waits: what its place in the line of all hosts follows from.

use super::{MOST_PARTS, SHORT_PROMPT, Work, patience, timing};
use crate::fleet::book::Demand;
use crate::fleet::pass::Figures;

/// The part of the aim at which a first event is planned; the rest is for estimates that are too low.
const PLANNED: f64 = 0.9;
/// What the pass takes that a part joins, about, in milliseconds.
const PASS: f64 = 60.0;

/// Gives what a long prompt needs that waits for engines of a service with so many of them; `None` for a short one,
/// which doesn't wait.
///
/// One that can't be in time any more is due when its caller would leave otherwise.
pub fn demand(work: &Work, figures: &Figures, engines: usize) -> Option<Demand> {
    if work.prompt < SHORT_PROMPT {
        return None;
    }
    let reading = figures.read(work.prompt);
    let quickest = reading / engines.clamp(1, MOST_PARTS) as f64 + PASS;
    let in_time = PLANNED * timing::millis(work.aim) - timing::millis(work.waited) - quickest;
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
