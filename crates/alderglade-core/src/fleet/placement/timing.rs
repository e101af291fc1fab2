//! Estimates for an engine from the load that all hosts hold there: times in milliseconds, memory in
//! tokens.

use super::{Engine, slots};

pub(super) use crate::time::{from_millis, to_millis};

/// The share of an engine's memory that placements may fill. The rest is for answers longer than expected.
const MAX_MEMORY_SHARE: f64 = 0.92;

/// Returns the pause of the running answers at an engine that reads a part of this length.
pub(super) fn pause(engine: &Engine, part: f64) -> f64 {
    idle_pass(engine) + engine.backlog.queued + part
}

/// Returns the length of a pass that reads no prompt.
pub(super) fn idle_pass(engine: &Engine) -> f64 {
    let running = engine.load.running.max(0) as u32;
    let context = engine.load.memory.max(0) as u64;
    engine.profile.idle_pass(running, context)
}

/// Returns the time to the first event of a prompt whose part takes `part` and that is answered at the engine: the time
/// until it has a slot, and the time to read it.
pub(super) fn first_event(engine: &Engine, part: f64) -> f64 {
    slots::wait_ms(engine) + reading(engine, part)
}

/// Returns the time until an engine has read a part that takes `part`: the rest of the current pass, then the pass that
/// reads the queued prompts and the part itself. Reading a part for another engine's answer needs no slot.
pub(super) fn reading(engine: &Engine, part: f64) -> f64 {
    let idle_passes = if engine.load.running > 0 { 1.0 } else { 0.5 };
    engine.backlog.pass_remaining + idle_passes * idle_pass(engine) + engine.backlog.queued + part
}

/// Returns the memory that placements may still fill; negative if they have filled more.
pub(super) fn free_memory(engine: &Engine) -> i64 {
    let limit = engine.profile.memory_tokens as f64 * MAX_MEMORY_SHARE;
    limit as i64 - engine.load.memory
}
