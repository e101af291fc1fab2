//! Lays a long prompt out over a given number of engines: who answers, who reads a part, who lends
//! memory; and gives what that costs.

use super::cost::{self, LATE_WORTH};
use super::{Engine, MAX_PARTS, Plan, Share, Work, patience, timing};
use crate::fleet::incarnation::Key;

/// A part longer than this takes up its engines for so long that few such prompts may be read at a
/// time, in milliseconds: about the pause that short replies bear.
const MULTI_ENGINE_PART: f64 = 190.0;
/// First events come up to this much later than expected when other prompts follow.
const MISS_FACTOR: f64 = 1.4;
/// What it costs to be answered as late as the aim, as a part of the worth; prefers what is sooner.
const DELAY: f64 = 0.05;

/// A plan with what it costs, in worth.
pub(super) struct Costed {
    /// The plan.
    pub plan: Plan,
    /// What other answers lose.
    pub harm: f64,
    /// What the prompt's own answer loses.
    own: f64,
}

impl Costed {
    /// Gives what all answers lose together.
    pub fn cost(&self) -> f64 {
        self.harm + self.own
    }
}

/// Plans a prompt on the `count` engines of the pool where a part does least harm, and gives the cost.
///
/// Returns `None` where these engines together have not got the memory.
pub(super) fn plan(
    work: &Work,
    pool: &[&Engine],
    count: usize,
    part: f64,
    pressure: f64,
) -> Option<Costed> {
    let ranked = rank(pool, part);
    let chosen = &ranked[..count];
    let (first, shares) = match beside_others(work, pool, chosen, part) {
        Some(engine) => (engine, Vec::new()),
        None => place_memory(work, &ranked, chosen)?,
    };
    let first_event = first_event(chosen, part, pressure);
    let harmed: f64 = chosen.iter().map(|engine| cost::harm(engine, part)).sum();
    let plan = Plan {
        primary: first.id,
        helpers: helpers(chosen, first),
        shares,
        part,
        first_event: timing::span(first_event),
        multi_engine: part > MULTI_ENGINE_PART,
    };
    Some(Costed {
        plan,
        harm: harmed + cost::crowding(pool, count, part),
        own: own_loss(work, first_event),
    })
}

/// Orders engines by the harm that a part does there, the quicker ones first where it is the same.
fn rank<'a>(pool: &[&'a Engine], part: f64) -> Vec<&'a Engine> {
    let mut ranked: Vec<(f64, &Engine)> = pool
        .iter()
        .map(|engine| {
            let cost = cost::harm(engine, part) + cost::slowness(engine, part);
            (cost, *engine)
        })
        .collect();
    ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
    ranked.into_iter().map(|(_, engine)| engine).collect()
}

/// Finds the engine that answers a prompt read by several: of those that write other answers, and can take this one
/// without making them late, the one that writes most.
///
/// An answer holds up prompts that take long to read for as long as it is written. Kept to engines that write
/// anyway, answers leave others free for such prompts.
fn beside_others<'a>(
    work: &Work,
    pool: &[&'a Engine],
    chosen: &[&Engine],
    part: f64,
) -> Option<&'a Engine> {
    /// Worth of running answers that may be lost, where an ordinary short reply is worth about one.
    const HARMLESS: f64 = 0.05;
    /// How much later than at the slowest chosen engine the part may be read, in milliseconds: about one pass.
    const LATER: f64 = 60.0;
    if chosen.len() < 2 {
        return None;
    }
    let latest = slowest(chosen, part) + LATER;
    let writing = pool.iter().copied().filter(|engine| {
        let running = engine.load.running;
        running > 0 && running < cost::crowded(engine)
    });
    writing
        .filter(|engine| has_room(engine, work))
        .filter(|engine| cost::harm(engine, part) < HARMLESS)
        .filter(|engine| timing::first_event(engine, part) < latest)
        .max_by_key(|engine| engine.load.running)
}

/// Finds the engine that answers: the chosen one with most memory, else the best of all that has
/// enough. Where none has, the memory is shared between the chosen ones.
fn place_memory<'a>(
    work: &Work,
    ranked: &[&'a Engine],
    chosen: &[&'a Engine],
) -> Option<(&'a Engine, Vec<Share>)> {
    let roomiest = chosen
        .iter()
        .max_by_key(|engine| timing::free(engine))
        .copied()?;
    if has_room(roomiest, work) {
        return Some((roomiest, Vec::new()));
    }
    match ranked.iter().find(|engine| has_room(engine, work)) {
        Some(engine) => Some((engine, Vec::new())),
        None => Some((roomiest, shares(work, chosen)?)),
    }
}

/// Says whether an engine has the memory free for the whole prompt and its answer.
fn has_room(engine: &Engine, work: &Work) -> bool {
    timing::free(engine) >= work.memory as i64
}

/// Gives the time to the first event in milliseconds, which the slowest of the chosen engines sets.
fn first_event(chosen: &[&Engine], part: f64, pressure: f64) -> f64 {
    // Parts of prompts that follow are read first, as much as there is to read.
    slowest(chosen, part * (1.0 + pressure))
}

/// Gives the time to the first event at the engine where it is longest, in milliseconds.
fn slowest(chosen: &[&Engine], part: f64) -> f64 {
    chosen
        .iter()
        .map(|engine| timing::first_event(engine, part))
        .fold(0.0, f64::max)
}

/// Gives what the prompt's own answer loses when its first event comes then.
fn own_loss(work: &Work, first_event: f64) -> f64 {
    let late = cost::lateness(work, first_event) * (1.0 - LATE_WORTH);
    let latest = patience::first_event_left(work).max(1.0);
    let missed = cost::over(first_event * MISS_FACTOR, latest) * LATE_WORTH;
    work.worth * (late + missed + DELAY * first_event / timing::millis(work.objective))
}

/// Lists the engines that read a part and don't answer.
fn helpers(chosen: &[&Engine], first: &Engine) -> Vec<Key> {
    let helpers = chosen.iter().filter(|engine| engine.id != first.id);
    let helpers = helpers.take(MAX_PARTS - 1);
    helpers.map(|engine| engine.id).collect()
}

/// Spreads the memory of a prompt that fits no single engine over the engines that read it.
fn shares(work: &Work, chosen: &[&Engine]) -> Option<Vec<Share>> {
    /// A share smaller than this isn't worth an order, in tokens.
    const SMALLEST: i64 = 4_096;
    let mut roomy: Vec<&Engine> = chosen.to_vec();
    roomy.sort_by_key(|engine| std::cmp::Reverse(timing::free(engine)));
    let mut missing = work.memory as i64;
    let mut shares = Vec::new();
    for engine in roomy {
        let tokens = timing::free(engine).min(missing);
        if tokens < SMALLEST.min(missing) {
            break;
        }
        shares.push(Share {
            server: engine.id,
            tokens: tokens as u64,
        });
        missing -= tokens;
        if missing <= 0 {
            return Some(shares);
        }
    }
    None
}
