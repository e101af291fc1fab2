//! The slots of engines: which ones are free, how long a prompt waits for one, and how many become free per second.
//!
//! An engine writes as many answers at once as it has slots; other requests wait in its queue until an answer ends. In
//! bursts of short prompts this wait is longer than everything else: with 741 requests at engines with 648 slots, the
//! median first event came after 397 ms, of which 131 ms were reading and passes. Of the prompts placed at an engine
//! with 12 requests on 12 slots 42 in 100 missed an objective of 300 ms, and with 14 over 80.

use super::{Engine, timing};
use crate::fleet::pass::EngineProfile;
use std::time::Duration;

/// The time after which all hosts know of a placement, in milliseconds: two hops between failure domains, and the time
/// for which changes are collected before they are sent.
pub(super) const NOTICE_DELAY_MS: f64 = 10.0;

/// The memory that a short prompt and its answer need, in tokens: somewhat more than the usual 5,000 and 1,500.
const SHORT_PROMPT_MEMORY_TOKENS: i64 = 8_000;

/// The slots of a set of engines.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Slots {
    /// The number of free slots.
    pub free: u32,
    /// The number of requests that wait for a slot in the queues of engines.
    pub waiting: u32,
    /// The number of slots that become free per second while all of them are in use.
    pub freed_per_second: f64,
}

impl Slots {
    /// Sums up the slots of some engines.
    pub fn of<'a>(engines: impl Iterator<Item = &'a Engine>) -> Slots {
        engines.fold(Slots::default(), |sum, engine| Slots {
            free: sum.free.saturating_add(free(engine)),
            waiting: sum.waiting.saturating_add(waiting(engine)),
            freed_per_second: sum.freed_per_second + freed_per_second(engine),
        })
    }

    /// Returns the time until a prompt has a slot that `before` other prompts precede, in milliseconds. The requests in
    /// the queues of engines precede it too.
    pub(super) fn wait_ms(&self, before: u32) -> f64 {
        if before < self.free {
            return 0.0;
        }
        let slots_needed = f64::from(before - self.free) + f64::from(self.waiting) + 1.0;
        slots_needed / self.freed_per_second * 1_000.0
    }
}

/// Returns the time for which an answer of `output` tokens holds its slot if it needs a pass of `pass_ms` milliseconds
/// for each stride.
pub fn expected_answer_time(profile: &EngineProfile, output: u64, pass_ms: f64) -> Duration {
    /// More strides are a mistake of the caller that states the output.
    const MAX_STRIDES: u64 = 1_000_000;
    let strides = output.div_ceil(u64::from(profile.stride.max(1)));
    let strides = strides.clamp(1, MAX_STRIDES);
    timing::from_millis(strides as f64 * pass_ms)
}

/// Returns the number of free slots of an engine that short prompts can use: a prompt without memory isn't admitted, and
/// those behind it in the engine's queue aren't either.
///
/// An engine that holds a share of a long prompt's memory has few running answers and hardly any memory left. While all
/// other slots were in use, short prompts were placed on such engines and began up to 1.4 s late.
pub(super) fn free(engine: &Engine) -> u32 {
    let slots = i64::from(engine.profile.slots);
    let free = slots.saturating_sub(engine.load.running.max(0));
    let with_memory = timing::free_memory(engine) / SHORT_PROMPT_MEMORY_TOKENS;
    u32::try_from(free.min(with_memory)).unwrap_or(0)
}

/// Returns the time until an engine has a slot for a prompt that is placed there now, in milliseconds.
pub(super) fn wait_ms(engine: &Engine) -> f64 {
    if free(engine) > 0 {
        return 0.0;
    }
    (f64::from(waiting(engine)) + 1.0) / freed_per_second(engine) * 1_000.0
}

/// Returns the number of requests that wait for a slot in the queue of an engine.
fn waiting(engine: &Engine) -> u32 {
    let excess = engine
        .load
        .running
        .saturating_sub(i64::from(engine.profile.slots));
    u32::try_from(excess.max(0)).unwrap_or(u32::MAX)
}

/// Returns the engines that aren't suspect, or all of them if each is.
pub(super) fn trusted<'a>(engines: &[&'a Engine]) -> Vec<&'a Engine> {
    let trusted = engines.iter().copied().filter(|engine| !engine.suspect);
    let trusted: Vec<&Engine> = trusted.collect();
    if trusted.is_empty() {
        return engines.to_vec();
    }
    trusted
}

/// Returns the engines with a free slot that aren't suspect.
pub(super) fn with_free_slot<'a>(engines: &[&'a Engine]) -> Vec<&'a Engine> {
    let engines = engines.iter().copied();
    engines
        .filter(|engine| !engine.suspect && free(engine) > 0)
        .collect()
}

/// Returns the number of placements that other hosts don't know of yet.
pub(super) fn placements_in_transit(placements_per_second: f64) -> f64 {
    placements_per_second * NOTICE_DELAY_MS / 1_000.0
}

/// Returns the number of slots of an engine that become free per second while all of them are in use.
fn freed_per_second(engine: &Engine) -> f64 {
    /// The shortest answer time that counts, in seconds: less than a pass is a mistake.
    const MIN_ANSWER_SECONDS: f64 = 0.05;
    let answer_time = engine.answer_time.as_secs_f64().max(MIN_ANSWER_SECONDS);
    f64::from(engine.profile.slots.max(1)) / answer_time
}
