//! What is expected of an engine from the load that all hosts hold there: times in milliseconds,
//! memory in tokens.

use super::Engine;
use std::time::Duration;

/// The part of an engine's memory that placements fill; the rest covers answers longer than expected.
const FILL: f64 = 0.92;

/// Gives the longest pause of the answers at an engine where a part of this length is read.
pub(super) fn pause(engine: &Engine, part: f64) -> f64 {
    idle_pass(engine) + engine.backlog.queued + part
}

/// Gives the time of a pass that reads nothing.
pub(super) fn idle_pass(engine: &Engine) -> f64 {
    let running = engine.load.running.max(0) as u32;
    let context = engine.load.memory.max(0) as u64;
    engine.profile.idle_pass(running, context)
}

/// Gives the time to the first event of a prompt whose part takes `part`: the rest of the pass that is
/// under way, then the one that reads what waits and the part itself.
pub(super) fn first_event(engine: &Engine, part: f64) -> f64 {
    let steps = if engine.load.running > 0 { 1.0 } else { 0.5 };
    engine.backlog.rest + steps * idle_pass(engine) + engine.backlog.queued + part
}

/// Gives the memory that placements may still fill.
pub(super) fn free(engine: &Engine) -> i64 {
    let most = engine.profile.memory_tokens as f64 * FILL;
    most as i64 - engine.load.memory
}

/// Gives a span in milliseconds.
pub(super) fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}

/// Gives the span of a number of milliseconds.
pub(super) fn span(millis: f64) -> Duration {
    Duration::from_secs_f64(millis / 1_000.0)
}
