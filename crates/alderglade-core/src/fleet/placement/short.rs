//! Chooses one engine for a short prompt: a late one of the order, as long as it answers in time there, so that
//! the early ones stay free of short answers for long prompts.

use super::cost::{self, OTHER_DOMAIN};
use super::{Decision, Engine, Plan, Work, chance, timing};
use std::time::Duration;

/// How much longer a short prompt waits to be at the last engine of the order than at the first, in ms.
/// It packs short prompts onto the last engines, so that long ones find engines without them.
const PACK: f64 = 144.0;
/// What a millisecond sooner is worth to a prompt that is in time anyway, in milliseconds of [`PACK`]: little, since nobody
/// gains by it, while a short answer on one more engine takes that engine from long prompts.
const SOONER: f64 = 0.2;
/// The most that chance adds to the cost of an engine, in milliseconds of [`PACK`], where there are far more engines than
/// read one prompt: it parts hosts that choose at the same moment.
const CHANCE: f64 = 100.0;
/// What a worth of one that is made late costs, the prompt's own or that of answers running there, in milliseconds: more
/// than the whole order, so that nothing is made late for the sake of packing.
const LATE: f64 = 500.0;
/// Reading takes up to this much longer than expected where other hosts' placements are still on their way.
const SLOWER: f64 = 1.25;
/// What a doubted engine costs, in milliseconds, so that it is taken when there is no other.
const DOUBTED: f64 = 5_000.0;
/// When a caller should come back where no engine is usable, which [`super::choose`] rules out.
const NO_CHOICE: Duration = Duration::from_millis(500);

/// Chooses the engine of a short prompt, or refuses it where its caller would have left by then.
pub(super) fn choose(work: &Work, engines: &[Engine], usable: &[&Engine]) -> Decision {
    let costs =
        candidates(engines, usable).map(|candidate| (cost(work, &candidate), candidate.engine));
    let best = costs.min_by(|a, b| a.0.total_cmp(&b.0));
    let best = best.map(|(_, engine)| engine);
    let Some(best) = best else {
        return Decision::Refuse(NO_CHOICE);
    };
    let part = best.profile.read(work.prompt);
    let first_event = timing::first_event(best, part);
    if first_event > timing::millis(work.time_left) {
        return Decision::Refuse(timing::span(first_event / 2.0));
    }
    Decision::Send(Plan {
        primary: best.id,
        helpers: Vec::new(),
        shares: Vec::new(),
        part,
        first_event: timing::span(first_event),
        multi_engine: false,
    })
}

/// An engine with its place in the order of the service.
struct Candidate<'a> {
    engine: &'a Engine,
    /// Its distance from the last engine, as a part of the order's length.
    from_end: f64,
    /// How far hosts may part, from `0.0` to `1.0`.
    apart: f64,
}

/// Gives the usable engines, which stand in the order of the service too, with their places.
fn candidates<'a>(
    engines: &'a [Engine],
    usable: &[&'a Engine],
) -> impl Iterator<Item = Candidate<'a>> {
    let mut usable = usable.iter().peekable();
    let last = engines.len().saturating_sub(1);
    let apart = chance::room(engines.len());
    engines
        .iter()
        .enumerate()
        .filter_map(move |(place, engine)| {
            usable.next_if(|next| next.id == engine.id)?;
            Some(Candidate {
                engine,
                from_end: (last - place) as f64 / engines.len() as f64,
                apart,
            })
        })
}

/// Gives what speaks against an engine, in milliseconds of [`PACK`].
fn cost(work: &Work, candidate: &Candidate<'_>) -> f64 {
    let engine = candidate.engine;
    let away = PACK * candidate.from_end;
    // An engine without answers would be quicker, but then it isn't free of them for long prompts: it
    // counts as if it were in the middle of a pass.
    let pass = timing::idle_pass(engine);
    let rest = engine.backlog.rest.max(pass / 2.0);
    let part = engine.profile.read(work.prompt);
    let reading = engine.backlog.queued + part;
    let late = LATE * made_late(work, engine, part);
    let chance = CHANCE * candidate.apart * chance::share(work, engine);
    SOONER * (rest + pass + reading) + late + away + chance + burden(work, engine)
}

/// Gives the worth that a prompt makes late at an engine that reads it in `part` milliseconds: its own, and that of the
/// answers that run there.
fn made_late(work: &Work, engine: &Engine, part: f64) -> f64 {
    let first_event = timing::first_event(engine, part);
    cost::lateness(work, SLOWER * first_event) + cost::harm(engine, SLOWER * part)
}

/// What speaks against an engine beside its time to the first event, in milliseconds.
fn burden(work: &Work, engine: &Engine) -> f64 {
    /// What a request that waits for a place costs: about one answer's time over the places.
    const NO_PLACE: f64 = 150.0;
    /// What an engine short of memory costs: a preempted answer is read anew.
    const NO_MEMORY: f64 = 1_000.0;
    /// What each running answer costs above those that an engine is packed with, in milliseconds: two cost more than all
    /// of the order, so that places are left for prompts whose placements are still on their way.
    const CROWDED: f64 = 80.0;
    let crowd = engine.load.running as f64 - cost::packed(engine);
    let mut burden = CROWDED * crowd.max(0.0);
    let over = engine.load.running + 1 - i64::from(engine.profile.slots);
    burden += NO_PLACE * over.max(0) as f64;
    if timing::free(engine) < work.memory as i64 {
        burden += NO_MEMORY;
    }
    if engine.suspect {
        burden += DOUBTED;
    }
    if !engine.same_domain {
        burden += OTHER_DOMAIN;
    }
    burden
}
