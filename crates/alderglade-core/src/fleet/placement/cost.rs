//! The cost of a placement, as lost value of the running answers and of the prompt's own answer.

use super::timing::{pause, reading, to_millis};
use super::{Engine, Work};
use crate::fleet::load_table::PauseClass;

/// The share of an engine's slots above which short prompts go to the next engine while that one is below it. Where
/// engines are fuller than that, `spread` decides by the number of placements in transit.
const PACKED_SLOT_SHARE: f64 = 0.75;
/// The share of its value that a late answer still earns, as the users' sheets state it.
pub const LATE_VALUE: f64 = 0.25;
/// The extra cost of an engine in another failure domain, in milliseconds.
pub(super) const OTHER_DOMAIN_COST_MS: f64 = 2.0;

/// Returns the number of running answers at an engine above which short prompts go to the next one.
pub(super) fn packed_limit(engine: &Engine) -> f64 {
    f64::from(engine.profile.slots) * PACKED_SLOT_SHARE
}

/// Returns the number of running answers at an engine from which on long prompts are answered elsewhere: the packed
/// limit, which leaves some slots for short prompts whose placements are still in transit.
pub(super) fn long_answer_limit(engine: &Engine) -> i64 {
    packed_limit(engine) as i64
}

/// Returns the value of the short prompts that will arrive while `count` engines are occupied for the time of a part,
/// and that the other engines can't serve.
pub(super) fn displaced_value(pool: &[&Engine], count: usize, part: f64) -> f64 {
    /// How long a short answer runs, in milliseconds; the running ones arrived within this time.
    const SHORT_ANSWER_MS: f64 = 1_700.0;
    /// Parts up to this length leave room for short prompts in the same pass, in milliseconds.
    const SAME_PASS_PART_MS: f64 = 100.0;
    let short = pool
        .iter()
        .map(|engine| engine.load.value_at_risk[PauseClass::Short as usize]);
    let running = short.sum::<i64>() as f64 / 1_000.0;
    let capacity: f64 = pool.iter().map(|engine| packed_limit(engine)).sum();
    let engines_needed = running / (capacity / pool.len() as f64).max(1.0);
    let engines_left = (pool.len() - count) as f64;
    let unserved = (1.0 - engines_left / engines_needed.max(0.1)).clamp(0.0, 1.0);
    running / SHORT_ANSWER_MS * (part - SAME_PASS_PART_MS).max(0.0) * unserved
}

/// Returns the value that running answers lose because a part read at an engine makes them late.
pub(super) fn harm(engine: &Engine, part: f64) -> f64 {
    let before = pause(engine, 0.0);
    let after = before + part;
    PauseClass::ALL
        .iter()
        .zip(engine.load.value_at_risk)
        .map(|(class, thousandths)| {
            let value_at_risk = thousandths as f64 / 1_000.0 * (1.0 - LATE_VALUE);
            let tolerated = engine.pauses.tolerated_ms(*class);
            value_at_risk
                * (miss_probability(after, tolerated) - miss_probability(before, tolerated))
        })
        .sum()
}

/// Returns a small cost that orders engines with equal harm: less reading first, then those of the same domain.
pub(super) fn slowness(engine: &Engine, part: f64) -> f64 {
    /// The value of a millisecond; small compared to any harm.
    const VALUE_PER_MS: f64 = 1e-4;
    let distance = if engine.same_domain {
        0.0
    } else {
        OTHER_DOMAIN_COST_MS
    };
    VALUE_PER_MS * (reading(engine, part) + distance)
}

/// Estimates the probability that an expected time turns out to exceed a limit. It rises from 0 at 0.75 of the limit to
/// 1 at 1.15 of it.
pub(super) fn miss_probability(expected: f64, limit: f64) -> f64 {
    ((expected / limit - 0.75) / 0.4).clamp(0.0, 1.0)
}

/// Returns the probability that a prompt misses its latency objective if its first event is expected after
/// `first_event` milliseconds.
pub(super) fn late_probability(work: &Work, first_event: f64) -> f64 {
    miss_probability(
        to_millis(work.waited) + first_event,
        to_millis(work.objective),
    )
}
