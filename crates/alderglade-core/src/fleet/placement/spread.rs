//! Spreads short prompts over engines that have few free slots.
//!
//! Hosts rank engines alike and learn of each other's choices some milliseconds late. If an engine has fewer free slots
//! than there may be placements in transit, hosts that choose it at the same moment fill it beyond its slots although
//! others have some: in a burst with half of 648 slots in use, 19 of 54 engines had 13 to 16 requests on 12 slots and
//! 19 had none. There, the choice is random among engines with enough free slots together.

use super::{Engine, Work, cost, slots, timing};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The number of free slots among which each placement in transit is spread. At 16, an engine with one free slot is
/// chosen by another host at the same moment in 6 of 100 cases and one with two free slots by two other hosts in 1 of
/// 100; a larger number uses more engines that could read long prompts.
const FREE_SLOTS_PER_PLACEMENT: f64 = 16.0;
/// How much more probable than on the best engine a late answer may be on another one.
const MAX_EXTRA_LATENESS: f64 = 0.1;

/// Chooses among engines that are ordered by cost: the first one, if it has a slot for each placement in transit, else
/// one of those that precede the others, at random.
pub(super) fn choose<'a>(
    work: &Work,
    ranked: &[&'a Engine],
    placements_per_second: f64,
) -> Option<&'a Engine> {
    let best = *ranked.first()?;
    let in_transit = slots::placements_in_transit(placements_per_second);
    let free = slots::free(best);
    match work.random {
        Some(random) if free > 0 && f64::from(free) <= at_once(in_transit) => {
            let needed = in_transit * FREE_SLOTS_PER_PLACEMENT;
            Some(pick(&with_slots(work, ranked, needed), random).unwrap_or(best))
        }
        _ => Some(best),
    }
}

/// Returns how many placements are in transit at once if `mean` are on average: in 95 of 100 cases at most this many,
/// as placements come independently of each other.
fn at_once(mean: f64) -> f64 {
    mean + 2.0 * mean.sqrt()
}

/// Returns the first engines that have `needed` free slots together, without those where the prompt is more likely to be
/// late than on the first one.
fn with_slots<'a>(work: &Work, ranked: &[&'a Engine], needed: f64) -> Vec<&'a Engine> {
    let lateness = |engine: &Engine| {
        let part = engine.profile.read_ms(work.prompt);
        cost::late_probability(work, timing::first_event(engine, part))
    };
    let acceptable = ranked
        .first()
        .map_or(1.0, |best| lateness(best) + MAX_EXTRA_LATENESS);
    let mut found = 0.0;
    let engines = ranked.iter().copied();
    let engines = engines.filter(|engine| lateness(engine) <= acceptable);
    let engines = engines.take_while(|engine| {
        let is_needed = found < needed;
        found += f64::from(slots::free(engine));
        is_needed
    });
    engines.collect()
}

/// Picks an engine at random, with a probability in proportion to the square of its free slots: an engine with twice as
/// many bears four times as many choices at the same moment before the chance of a collision is the same.
fn pick<'a>(engines: &[&'a Engine], random: u64) -> Option<&'a Engine> {
    let weight = |engine: &Engine| u64::from(slots::free(engine)).pow(2);
    let total: u64 = engines.iter().map(|engine| weight(engine)).sum();
    let mut rest = xxh3_64_with_seed(b"spread", random).checked_rem(total)?;
    engines.iter().copied().find(|engine| {
        let found = rest < weight(engine);
        rest = rest.saturating_sub(weight(engine));
        found
    })
}
