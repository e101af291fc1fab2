//! Plans a long prompt over a given number of engines: which one answers, which ones read a part, and which ones
//! reserve memory. Computes the cost of the plan.

use super::cost::{self, LATE_VALUE};
use super::{Engine, MAX_PARTS, Plan, Share, Work, hold_policy, slots, timing};
use crate::fleet::incarnation::Key;

/// A prompt with parts longer than this counts as one that occupies many engines, of which few may be read at a time.
/// In milliseconds: about the pause that short replies tolerate.
const MULTI_ENGINE_PART_MS: f64 = 190.0;
/// The factor by which the first event can come later than expected if other prompts follow.
const FIRST_EVENT_OVERRUN: f64 = 1.4;
/// The cost of an answer that takes exactly its latency objective, as a share of its value; makes earlier plans
/// cheaper.
const DELAY_WEIGHT: f64 = 0.05;

/// A plan with its cost, in lost value.
pub(super) struct CostedPlan {
    /// The plan that the cost belongs to.
    pub plan: Plan,
    /// The value that other answers lose.
    pub harm: f64,
    /// The value that the prompt's own answer loses.
    own_loss: f64,
}

impl CostedPlan {
    /// Returns the value that all answers lose together.
    pub fn cost(&self) -> f64 {
        self.harm + self.own_loss
    }
}

/// Plans a prompt on the `count` engines of the pool where reading a part does the least harm.
///
/// Returns `None` if these engines together don't have enough free memory.
pub(super) fn plan(
    work: &Work,
    pool: &[&Engine],
    count: usize,
    part: f64,
    pressure: f64,
) -> Option<CostedPlan> {
    let ranked = rank(pool, part, count == 1);
    let chosen = &ranked[..count];
    let (primary, shares) = match writing_engine(work, pool, chosen, part) {
        Some(engine) => (engine, Vec::new()),
        None => engine_with_memory(work, &ranked, chosen)?,
    };
    let first_event = first_event(chosen, primary, part, pressure);
    let harm: f64 = chosen.iter().map(|engine| cost::harm(engine, part)).sum();
    let plan = Plan {
        primary: primary.id,
        helpers: helpers(chosen, primary),
        shares,
        part_ms: part,
        time_to_first_event: timing::from_millis(first_event),
        slot_wait: timing::from_millis(slots::wait_ms(primary)),
        multi_engine: part > MULTI_ENGINE_PART_MS,
    };
    Some(CostedPlan {
        plan,
        harm: harm + cost::displaced_value(pool, count, part),
        own_loss: own_loss(work, first_event),
    })
}

/// Orders engines by the harm that reading a part does there; among equals the faster ones come first. If the engine
/// that reads also `answers`, those with a free slot precede the others.
fn rank<'a>(pool: &[&'a Engine], part: f64, answers: bool) -> Vec<&'a Engine> {
    let mut ranked: Vec<(bool, f64, &Engine)> = pool
        .iter()
        .map(|engine| {
            let lacks_slot = answers && slots::free(engine) == 0;
            let cost = cost::harm(engine, part) + cost::slowness(engine, part);
            (lacks_slot, cost, *engine)
        })
        .collect();
    ranked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    ranked.into_iter().map(|(_, _, engine)| engine).collect()
}

/// Returns the engine that answers a prompt read by several engines: the one with the most running answers, of those
/// that can write this one too without making the others late.
///
/// While an engine writes an answer, it delays prompts that take long to read. Concentrating answers on engines that
/// write anyway leaves other engines free for these prompts.
fn writing_engine<'a>(
    work: &Work,
    pool: &[&'a Engine],
    chosen: &[&Engine],
    part: f64,
) -> Option<&'a Engine> {
    /// The maximum loss of value of running answers, on the scale of [`Work::value`].
    const MAX_HARM: f64 = 0.05;
    /// How much later than on the slowest chosen engine the part may be read, in milliseconds: about one pass.
    const MAX_EXTRA_DELAY_MS: f64 = 60.0;
    if chosen.len() < 2 {
        return None;
    }
    let latest = slowest_reading(chosen, part) + MAX_EXTRA_DELAY_MS;
    let writing = pool.iter().copied().filter(|engine| {
        let running = engine.load.running;
        running > 0 && running < cost::long_answer_limit(engine)
    });
    writing
        .filter(|engine| has_memory(engine, work))
        .filter(|engine| cost::harm(engine, part) < MAX_HARM)
        .filter(|engine| timing::first_event(engine, part) < latest)
        .max_by_key(|engine| engine.load.running)
}

/// Returns an engine with enough free memory to answer, if possible with a free slot: the chosen one with the most
/// memory, else the best-ranked one of the pool. If there is none, the chosen engines share the memory.
fn engine_with_memory<'a>(
    work: &Work,
    ranked: &[&'a Engine],
    chosen: &[&'a Engine],
) -> Option<(&'a Engine, Vec<Share>)> {
    let roomiest = chosen
        .iter()
        .max_by_key(|engine| (slots::free(engine) > 0, timing::free_memory(engine)))
        .copied()?;
    let can_answer = |engine: &Engine| slots::free(engine) > 0 && has_memory(engine, work);
    if can_answer(roomiest) {
        return Some((roomiest, Vec::new()));
    }
    let answering = ranked.iter().find(|engine| can_answer(engine));
    let with_memory = || {
        let engines = chosen.iter().chain(ranked);
        let engines = engines.filter(|engine| has_memory(engine, work));
        engines.min_by(|a, b| slots::wait_ms(a).total_cmp(&slots::wait_ms(b)))
    };
    match answering.or_else(with_memory) {
        Some(engine) => Some((engine, Vec::new())),
        None => Some((roomiest, split_memory(work, chosen)?)),
    }
}

/// Returns whether an engine has enough free memory for the whole prompt and its answer.
fn has_memory(engine: &Engine, work: &Work) -> bool {
    timing::free_memory(engine) >= work.memory as i64
}

/// Returns the expected time to the first event in milliseconds. The slowest of the chosen engines determines it, or
/// the answering one if it has no free slot.
fn first_event(chosen: &[&Engine], primary: &Engine, part: f64, pressure: f64) -> f64 {
    // Parts of later prompts may be read first; the higher the pressure, the more of them.
    let part = part * (1.0 + pressure);
    let slowest = slowest_reading(chosen, part);
    if slots::free(primary) > 0 {
        return slowest;
    }
    slowest.max(timing::first_event(primary, part))
}

/// Returns the time until the slowest of the chosen engines has read its part, in milliseconds.
fn slowest_reading(chosen: &[&Engine], part: f64) -> f64 {
    chosen
        .iter()
        .map(|engine| timing::reading(engine, part))
        .fold(0.0, f64::max)
}

/// Returns the value that the prompt's own answer loses if its first event comes after `first_event` milliseconds.
fn own_loss(work: &Work, first_event: f64) -> f64 {
    let late = cost::late_probability(work, first_event) * (1.0 - LATE_VALUE);
    let latest = hold_policy::first_event_time_left(work).max(1.0);
    let missed = cost::miss_probability(first_event * FIRST_EVENT_OVERRUN, latest) * LATE_VALUE;
    work.value * (late + missed + DELAY_WEIGHT * first_event / timing::to_millis(work.objective))
}

/// Returns the chosen engines that read a part and don't answer.
fn helpers(chosen: &[&Engine], primary: &Engine) -> Vec<Key> {
    let helpers = chosen.iter().filter(|engine| engine.id != primary.id);
    let helpers = helpers.take(MAX_PARTS - 1);
    helpers.map(|engine| engine.id).collect()
}

/// Splits the memory of a prompt that fits no single engine between the engines that read it.
fn split_memory(work: &Work, chosen: &[&Engine]) -> Option<Vec<Share>> {
    /// A smaller share isn't worth a reservation order, in tokens.
    const MIN_SHARE_TOKENS: i64 = 4_096;
    let mut roomy: Vec<&Engine> = chosen.to_vec();
    roomy.sort_by_key(|engine| std::cmp::Reverse(timing::free_memory(engine)));
    let mut missing = work.memory as i64;
    let mut shares = Vec::new();
    for engine in roomy {
        let tokens = timing::free_memory(engine).min(missing);
        if tokens < MIN_SHARE_TOKENS.min(missing) {
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
