//! What a placement costs running answers and the prompt's own, in worth.

use super::timing::{first_event, millis, pause};
use super::{Engine, Work};
use crate::fleet::load_table::PauseClass;

/// The part of an engine's places above which short prompts go to the next one. Where placements of other
/// hosts are still on their way, the rest keeps prompts from waiting for a place.
const PACKED: f64 = 0.75;
/// What a late answer still earns, as a part of its worth. From the users' sheets.
pub const LATE_WORTH: f64 = 0.25;
/// What an engine in another failure domain costs, in milliseconds.
pub(super) const OTHER_DOMAIN: f64 = 2.0;

/// Gives the running answers at an engine above which short prompts go to the next one.
pub(super) fn packed(engine: &Engine) -> f64 {
    f64::from(engine.profile.slots) * PACKED
}

/// Gives the running answers at an engine from which on long prompts are answered elsewhere: those that it is packed
/// with, which leaves some places for short prompts whose placements are still on their way.
pub(super) fn crowded(engine: &Engine) -> i64 {
    packed(engine) as i64
}

/// Gives the worth of short prompts that will come while `count` engines are taken up for the time of a
/// part, and that the other engines can't take.
pub(super) fn crowding(pool: &[&Engine], count: usize, part: f64) -> f64 {
    /// How long a short answer runs, in milliseconds; what runs now came in this time.
    const LASTS: f64 = 1_700.0;
    /// Parts up to this long leave room for short prompts in the same pass, in milliseconds.
    const ROOM: f64 = 100.0;
    let short = pool
        .iter()
        .map(|engine| engine.load.at_risk[PauseClass::Short as usize]);
    let running = short.sum::<i64>() as f64 / 1_000.0;
    let room: f64 = pool.iter().map(|engine| packed(engine)).sum();
    let needed = running / (room / pool.len() as f64).max(1.0);
    let rest = (pool.len() - count) as f64;
    let unserved = (1.0 - rest / needed.max(0.1)).clamp(0.0, 1.0);
    running / LASTS * (part - ROOM).max(0.0) * unserved
}

/// Gives the worth of running answers that a part read at an engine makes late.
pub(super) fn harm(engine: &Engine, part: f64) -> f64 {
    let before = pause(engine, 0.0);
    let after = before + part;
    PauseClass::ALL
        .iter()
        .zip(engine.load.at_risk)
        .map(|(class, thousandths)| {
            let worth = thousandths as f64 / 1_000.0 * (1.0 - LATE_WORTH);
            let bears = engine.pauses.tolerated_ms(*class);
            worth * (over(after, bears) - over(before, bears))
        })
        .sum()
}

/// Orders engines that harm equally: less reading first, then the near ones.
pub(super) fn slowness(engine: &Engine, part: f64) -> f64 {
    /// Worth of a millisecond; small beside any harm.
    const PER_MS: f64 = 1e-4;
    let far = if engine.same_domain {
        0.0
    } else {
        OTHER_DOMAIN
    };
    PER_MS * (first_event(engine, part) + far)
}

/// Gives the chance that a time breaks a bound, between 0.75 and 1.15 of the bound.
pub(super) fn over(time: f64, bound: f64) -> f64 {
    ((time / bound - 0.75) / 0.4).clamp(0.0, 1.0)
}

/// Gives the chance that a prompt whose first event comes after this time misses its aim.
pub(super) fn lateness(work: &Work, first_event: f64) -> f64 {
    over(millis(work.waited) + first_event, millis(work.objective))
}
