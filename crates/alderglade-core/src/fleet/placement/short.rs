//! Chooses one engine for a short prompt.
//!
//! Engines late in the order of the service are preferred as long as the prompt is answered in time there, so that the
//! early ones stay free of short answers and can read long prompts.

use super::cost::{self, OTHER_DOMAIN_COST_MS};
use super::slot_queue::{Outlook, Verdict};
use super::{
    Decision, Engine, Plan, ServiceState, Work, jitter, slot_queue, slots, spread, timing,
};
use std::time::Duration;

/// How much longer a short prompt may wait for the last engine of the order than for the first, in milliseconds. This
/// packs short prompts onto the last engines, so that long ones find engines without them.
const PACKING_MS: f64 = 144.0;
/// The cost of a millisecond until the first event of a prompt that is in time anyway, in milliseconds of
/// [`PACKING_MS`]. It is low, since nobody gains by an earlier event, while a short answer on one more engine keeps
/// that engine from long prompts.
const LATENCY_WEIGHT: f64 = 0.2;
/// The maximum jitter in the cost of an engine, in milliseconds of [`PACKING_MS`], for services with far more engines
/// than read one prompt. It makes hosts that choose at the same moment choose different engines.
const MAX_JITTER_MS: f64 = 100.0;
/// The cost of making an answer with a value of one late, the prompt's own or one that runs there, in milliseconds. It
/// exceeds the cost of the whole order, so that packing makes no answer late.
const LATENESS_COST_MS: f64 = 500.0;
/// The factor by which reading can take longer than expected because notices of other hosts' placements are in transit.
const READ_TIME_FACTOR: f64 = 1.25;
/// The extra cost of a suspect engine, in milliseconds, so that it is used only if there is no other.
const SUSPECT_COST_MS: f64 = 5_000.0;
/// The retry delay for callers if no engine is usable, which [`super::choose`] rules out.
const NO_USABLE_ENGINE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Chooses the engine of a short prompt, holds it while no slot is free for it, or refuses it if it can't be in time.
///
/// An engine without a free slot is chosen only if no trusted engine has one.
pub(super) fn choose(
    work: &Work,
    engines: &[Engine],
    usable: &[&Engine],
    state: &ServiceState,
) -> Decision {
    let Some(outlook) = Outlook::of(usable) else {
        return Decision::Refuse(NO_USABLE_ENGINE_RETRY_DELAY);
    };
    let verdict = slot_queue::decide(work, &outlook, state.queued_before);
    let pool = slots::with_free_slot(usable);
    let pool = if pool.is_empty() { usable } else { &pool };
    let chosen = match verdict {
        Verdict::Hold(wait) => return Decision::Wait(wait),
        Verdict::Refuse(retry_delay) => return Decision::Refuse(retry_delay),
        Verdict::PlaceSoonest => soonest(work, pool),
        Verdict::Place => cheapest(work, engines, pool, state),
    };
    let Some(chosen) = chosen else {
        return Decision::Refuse(NO_USABLE_ENGINE_RETRY_DELAY);
    };
    let plan = plan(work, chosen);
    if plan.time_to_first_event > work.time_left {
        return Decision::Refuse(plan.time_to_first_event / 2);
    }
    Decision::Send(plan)
}

/// Returns the engine with the least cost, or one of the cheapest if they have few free slots.
fn cheapest<'a>(
    work: &Work,
    engines: &'a [Engine],
    pool: &[&'a Engine],
    state: &ServiceState,
) -> Option<&'a Engine> {
    let mut ranked: Vec<(f64, &Engine)> = candidates(engines, pool)
        .map(|candidate| (cost(work, &candidate), candidate.engine))
        .collect();
    ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
    let ranked: Vec<&Engine> = ranked.into_iter().map(|(_, engine)| engine).collect();
    spread::choose(work, &ranked, state.placements_per_second)
}

/// Returns the engine where the first event comes first, wherever it is in the order of the service. For a resumed stream,
/// running answers that it would make late count as well.
fn soonest<'a>(work: &Work, pool: &[&'a Engine]) -> Option<&'a Engine> {
    /// The maximum jitter, in milliseconds: less than the wait that one more request in the queue of an engine causes.
    const MAX_SOONEST_JITTER_MS: f64 = 30.0;
    let cost = |engine: &Engine| {
        if work.resumed {
            return resumption_cost(work, engine);
        }
        let part = engine.profile.read_ms(work.prompt);
        let jitter = MAX_SOONEST_JITTER_MS * jitter::jitter(work, engine);
        timing::first_event(engine, part) + jitter + drawbacks(work, engine)
    };
    let costs = pool.iter().map(|engine| (cost(engine), *engine));
    let best = costs.min_by(|a, b| a.0.total_cmp(&b.0));
    best.map(|(_, engine)| engine)
}

/// Returns the plan to send a short prompt to an engine.
pub(super) fn plan(work: &Work, engine: &Engine) -> Plan {
    let part = engine.profile.read_ms(work.prompt);
    Plan {
        primary: engine.id,
        helpers: Vec::new(),
        shares: Vec::new(),
        part_ms: part,
        time_to_first_event: timing::from_millis(timing::first_event(engine, part)),
        slot_wait: timing::from_millis(slots::wait_ms(engine)),
        multi_engine: false,
    }
}

/// An engine with its position in the order of the service.
struct Candidate<'a> {
    engine: &'a Engine,
    /// The distance from the last engine, as a share of the order's length.
    distance_from_end: f64,
    /// The factor for the jitter in its cost, from `0.0` to `1.0`.
    jitter_scale: f64,
}

/// Returns the usable engines with their positions. Both lists must be in the order of the service.
fn candidates<'a>(
    engines: &'a [Engine],
    usable: &[&'a Engine],
) -> impl Iterator<Item = Candidate<'a>> {
    let mut usable = usable.iter().peekable();
    let last = engines.len().saturating_sub(1);
    let jitter_scale = jitter::scale(engines.len());
    engines
        .iter()
        .enumerate()
        .filter_map(move |(position, engine)| {
            usable.next_if(|next| next.id == engine.id)?;
            Some(Candidate {
                engine,
                distance_from_end: (last - position) as f64 / engines.len() as f64,
                jitter_scale,
            })
        })
}

/// Returns the cost of choosing an engine, in milliseconds of [`PACKING_MS`].
fn cost(work: &Work, candidate: &Candidate<'_>) -> f64 {
    let engine = candidate.engine;
    let packing = PACKING_MS * candidate.distance_from_end;
    // An engine without answers would be faster, but answering there makes it less suitable for long prompts: it counts
    // as if it were in the middle of a pass.
    let pass = timing::idle_pass(engine);
    let pass_remaining = engine.backlog.pass_remaining.max(pass / 2.0);
    let part = engine.profile.read_ms(work.prompt);
    let reading = engine.backlog.queued + part;
    let lateness = LATENESS_COST_MS * value_made_late(work, engine, part);
    let jitter = MAX_JITTER_MS * candidate.jitter_scale * jitter::jitter(work, engine);
    LATENCY_WEIGHT * (pass_remaining + pass + reading)
        + lateness
        + packing
        + jitter
        + penalty(work, engine)
}

/// Returns the cost of continuing a stream at an engine, in milliseconds. Its caller notices every millisecond of the
/// pause, so the time to the next event counts in full, and no engine is kept free for long prompts.
///
/// When a server breaks a dozen streams, several hosts look for the earliest engine at the same moment. An engine that
/// is earlier by less than the time to read one such prompt gains nothing if two of them meet there; the jitter has
/// that size.
fn resumption_cost(work: &Work, engine: &Engine) -> f64 {
    let part = engine.profile.read_ms(work.prompt);
    let lateness = LATENESS_COST_MS * value_made_late(work, engine, part);
    let jitter = part * jitter::jitter(work, engine);
    timing::first_event(engine, part) + lateness + jitter + penalty(work, engine)
}

/// Returns the value that a prompt makes late at an engine that reads it in `part` milliseconds: of its own answer and
/// of the answers that run there.
fn value_made_late(work: &Work, engine: &Engine, part: f64) -> f64 {
    let first_event = timing::first_event(engine, part);
    cost::late_probability(work, READ_TIME_FACTOR * first_event)
        + cost::harm(engine, READ_TIME_FACTOR * part)
}

/// Returns the cost of an engine apart from its time to the first event, in milliseconds.
fn penalty(work: &Work, engine: &Engine) -> f64 {
    /// The cost of each running answer above the packed limit, in milliseconds. Two of them exceed the cost of the
    /// whole order, so that slots are left for prompts whose placements are still in transit.
    const CROWDING_COST_MS: f64 = 80.0;
    let excess = engine.load.running as f64 - cost::packed_limit(engine);
    CROWDING_COST_MS * excess.max(0.0) + slots::wait_ms(engine) + drawbacks(work, engine)
}

/// Returns the cost of an engine that has too little memory, is suspect or is in another failure domain, in milliseconds.
fn drawbacks(work: &Work, engine: &Engine) -> f64 {
    /// The cost of an engine without enough memory, where an answer may be preempted and read again.
    const NO_MEMORY_COST_MS: f64 = 1_000.0;
    let mut penalty = 0.0;
    if timing::free_memory(engine) < work.memory as i64 {
        penalty += NO_MEMORY_COST_MS;
    }
    if engine.suspect {
        penalty += SUSPECT_COST_MS;
    }
    if !engine.same_domain {
        penalty += OTHER_DOMAIN_COST_MS;
    }
    penalty
}
