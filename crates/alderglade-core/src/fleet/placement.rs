//! Chooses the engines of a prompt by what the choice costs everybody.
//!
//! A prompt that is read beside running answers makes them pause for the whole pass. A choice is
//! therefore weighed by the worth of the answers that it would make late, the new one included.
//! Long prompts are read in parts by several engines, which makes each pause short; prompts too big
//! for that wait at their host until few answers would suffer, and less and less choosy as their own
//! time runs out. Some engines are left to short prompts.

use super::book::{Load, PauseClass};
use super::pass::Figures;
use crate::Name;
use std::time::Duration;

/// The reading time of one part that a long prompt is cut to, in milliseconds; from a trial on the
/// users' bench, where 50 ms was better than 150 ms.
const PART: f64 = 50.0;
/// The most engines that read one prompt: the one that answers and 16 helpers, as the engines allow.
pub const MOST_PARTS: usize = 17;
/// Prompts below this many tokens are short: they are read in one part and prefer quiet engines.
const SHORT_PROMPT: u64 = 12_000;
/// How much longer a short prompt waits to be at an engine one place further back in the order, in ms.
/// It packs short prompts onto the last engines, so that long ones find engines without them.
const PACK: f64 = 8.0;
/// Running answers at an engine above which short prompts go to the next one.
const PACKED: i64 = 10;
/// A part longer than this takes up its engines for so long that few such prompts may be read at a
/// time, in milliseconds: about the pause that short replies bear.
const GIANT_PART: f64 = 190.0;
/// Prompts that take up many engines, read at a time over all hosts.
const MOST_GIANTS: u32 = 2;
/// The part of an engine's memory that placements fill; the rest covers answers longer than expected.
const FILL: f64 = 0.92;
/// What a late answer still earns, as a part of its worth. From the users' sheets.
const LATE_WORTH: f64 = 0.25;
/// What a second of reading on one engine is worth to others when the engines read all the time; an
/// ordinary long prompt is worth about eight for each second that reading it takes.
const ENGINE_SECOND: f64 = 2.0;
/// First events come up to this much later than expected when other prompts follow.
const MISS_FACTOR: f64 = 1.4;
/// What it costs to be answered as late as the aim, as a part of the worth; prefers what is sooner.
const DELAY: f64 = 0.05;
/// What an engine in another failure domain costs, in milliseconds.
const OTHER_DOMAIN: f64 = 2.0;
/// What a doubted engine costs, in milliseconds, so that it is taken when there is no other.
const DOUBTED: f64 = 5_000.0;
/// How long a prompt is held before it is looked at again.
const LOOK_AGAIN: Duration = Duration::from_millis(15);
/// Engine counts that are tried for a prompt read in parts.
const PART_COUNTS: [usize; 9] = [1, 2, 3, 4, 6, 8, 11, 14, MOST_PARTS];

/// A prompt to be placed.
#[derive(Debug, Clone)]
pub struct Work {
    /// Its length in tokens.
    pub prompt: u64,
    /// The memory that it needs with its answer, in tokens.
    pub memory: u64,
    /// The time from its arrival to the first event that earns its full worth.
    pub aim: Duration,
    /// How long it has waited.
    pub waited: Duration,
    /// How long its caller still waits.
    pub left: Duration,
    /// What it is worth, where an ordinary short reply is worth about one.
    pub worth: f64,
    /// The pause that its answer bears.
    pub pauses: PauseClass,
    /// Servers that have failed it.
    pub avoid: Vec<Name>,
}

/// An engine that could take it.
#[derive(Debug, Clone)]
pub struct Engine {
    /// The server's identity.
    pub id: Name,
    /// What all hosts hold there.
    pub load: Load,
    /// Its timing.
    pub figures: Figures,
    /// Whether it is in the host's own failure domain.
    pub near: bool,
    /// Whether it should be passed over where others can serve.
    pub doubted: bool,
}

/// Memory to be set aside at an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// The engine.
    pub server: Name,
    /// The memory, in tokens.
    pub tokens: u64,
}

/// A part of a prompt read by an engine that does not answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Part {
    /// The engine.
    pub server: Name,
    /// When the part is expected to have been read, counted from now.
    pub done: Duration,
}

/// A choice of engines.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The engine that answers.
    pub first: Name,
    /// The others that read a part.
    pub helpers: Vec<Part>,
    /// Memory to be set aside before the prompt is sent; empty where it fits the first engine.
    pub shares: Vec<Share>,
    /// The reading time of a part, in milliseconds.
    pub part: f64,
    /// When the first event is expected, counted from now.
    pub first_event: Duration,
    /// Whether it takes up many engines at once.
    pub giant: bool,
}

/// What to do with a prompt now.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Send it.
    Send(Plan),
    /// Look again after this time.
    Wait(Duration),
    /// It can't be answered in its time; it would help to come back after this.
    Refuse(Duration),
}

/// What concerns all engines of a service together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shared {
    /// Prompts being read that take up many engines.
    pub giants: u32,
    /// How much the engines have to read, from `0.0` (nothing) to `1.0` (all the time).
    pub pressure: f64,
}

/// Gives how much engines have to read now, on the scale of [`Shared::pressure`].
pub fn pressure(engines: &[Engine]) -> f64 {
    /// The mean reading that waits at engines that read nearly all the time, in milliseconds.
    const FULL: f64 = 120.0;
    if engines.is_empty() {
        return 0.0;
    }
    let reading = engines
        .iter()
        .map(|engine| engine.load.reading.max(0) as f64);
    let mean = reading.sum::<f64>() / 1_000.0 / engines.len() as f64;
    (mean / FULL).min(1.0)
}

/// Estimates what a prompt is worth from its length, on the scale of [`Work::worth`].
pub fn worth(prompt: u64) -> f64 {
    /// What any prompt is worth.
    const ANY: f64 = 1.0;
    /// What a thousand tokens add. Both fit the users' sheets, where prompts of 5, 45 and 133 thousand
    /// tokens are worth 1.3, 3.9 and 15, and within a kind the worth grows with the length.
    const PER_THOUSAND: f64 = 0.086;
    ANY + PER_THOUSAND * prompt as f64 / 1_000.0
}

/// Chooses the engines for a prompt, given all engines of its service in a stable order and the
/// state of the service as a whole.
pub fn choose(work: &Work, engines: &[Engine], state: &Shared) -> Decision {
    if engines.is_empty() {
        return Decision::Refuse(Duration::from_millis(1_000));
    }
    let usable: Vec<&Engine> = engines
        .iter()
        .filter(|engine| !work.avoid.contains(&engine.id))
        .collect();
    let usable = if usable.is_empty() {
        engines.iter().collect()
    } else {
        usable
    };
    if work.prompt < SHORT_PROMPT {
        return choose_short(work, engines, &usable);
    }
    choose_long(work, &usable, state)
}

fn choose_short(work: &Work, engines: &[Engine], usable: &[&Engine]) -> Decision {
    let from_end = |id: &Name| {
        let position = engines.iter().position(|engine| engine.id == *id);
        (engines.len() - 1 - position.unwrap_or(0)) as f64
    };
    let cost = |engine: &Engine| {
        let away = PACK * from_end(&engine.id);
        // An engine without answers would be quicker, but then it isn't free of them for long prompts.
        let passes = 1.5 * idle_pass(engine);
        let reading = waiting(engine) + read_time(engine, work.prompt);
        passes + reading + away + burden(work, engine)
    };
    let best = usable
        .iter()
        .min_by(|a, b| cost(a).total_cmp(&cost(b)))
        .copied();
    let Some(best) = best else {
        return Decision::Refuse(Duration::from_millis(500));
    };
    let part = read_time(best, work.prompt);
    let first_event = first_event(best, part);
    if first_event > millis(work.left) {
        return Decision::Refuse(Duration::from_secs_f64(first_event / 1_000.0 / 2.0));
    }
    Decision::Send(Plan {
        first: best.id.clone(),
        helpers: Vec::new(),
        shares: Vec::new(),
        part,
        first_event: Duration::from_secs_f64(first_event / 1_000.0),
        giant: false,
    })
}

/// What speaks against an engine beside its time to the first event, in milliseconds.
fn burden(work: &Work, engine: &Engine) -> f64 {
    /// What a request that waits for a place costs: about one answer's time over the places.
    const NO_PLACE: f64 = 150.0;
    /// What an engine short of memory costs: a preempted answer is read anew.
    const NO_MEMORY: f64 = 1_000.0;
    /// What each running answer above [`PACKED`] costs.
    const CROWDED: f64 = 15.0;
    let mut burden = CROWDED * (engine.load.running - PACKED).max(0) as f64;
    let over = engine.load.running + 1 - i64::from(engine.figures.slots);
    burden += NO_PLACE * over.max(0) as f64;
    if free(engine) < work.memory as i64 {
        burden += NO_MEMORY;
    }
    if engine.doubted {
        burden += DOUBTED;
    }
    if !engine.near {
        burden += OTHER_DOMAIN;
    }
    burden
}

fn choose_long(work: &Work, usable: &[&Engine], state: &Shared) -> Decision {
    let sound: Vec<&Engine> = usable
        .iter()
        .copied()
        .filter(|engine| !engine.doubted)
        .collect();
    let pool = if sound.is_empty() {
        usable.to_vec()
    } else {
        sound
    };
    let whole = read_time(pool[0], work.prompt);
    let widest = ((whole / PART).ceil() as usize).clamp(1, pool.len().min(MOST_PARTS));
    let mut best: Option<Costed> = None;
    for count in PART_COUNTS
        .into_iter()
        .filter(|count| *count < widest)
        .chain([widest])
    {
        let part = whole / count as f64;
        if let Some(costed) = plan_parts(work, &pool, count, part, state.pressure)
            && best
                .as_ref()
                .is_none_or(|least| costed.cost() < least.cost())
        {
            best = Some(costed);
        }
    }
    let quickest = whole / widest as f64 + idle_pass(pool[0]);
    match best {
        None => wait_or_refuse(work, quickest),
        Some(costed) if should_wait(work, &costed, quickest, whole, state) => {
            Decision::Wait(LOOK_AGAIN)
        }
        Some(costed) => Decision::Send(costed.plan),
    }
}

/// A plan with what it costs, in worth.
struct Costed {
    plan: Plan,
    /// What other answers lose.
    harm: f64,
    /// What the prompt's own answer loses.
    own: f64,
}

impl Costed {
    fn cost(&self) -> f64 {
        self.harm + self.own
    }
}

/// Says whether a prompt should wait for better conditions than those of its best plan.
fn should_wait(work: &Work, costed: &Costed, quickest: f64, whole: f64, state: &Shared) -> bool {
    /// A chance of being late above which a plan counts as late.
    const LATE: f64 = 0.5;
    let patience = patience(work, &costed.plan);
    let Shared { giants, pressure } = *state;
    if costed.plan.giant && giants >= MOST_GIANTS && patience < 1.0 {
        return true;
    }
    let late = lateness(work, millis(costed.plan.first_event)) > LATE;
    let may_be_in_time = lateness(work, quickest) < LATE;
    if late && may_be_in_time {
        return true;
    }
    let price = ENGINE_SECOND * pressure * whole / 1_000.0;
    costed.harm + price > patience * work.worth
}

/// Gives the cost, as a part of the prompt's own worth, at which it is sent: little while it can
/// wait, much when its time runs out.
fn patience(work: &Work, plan: &Plan) -> f64 {
    /// The cost that is always borne.
    const AT_FIRST: f64 = 0.3;
    /// The cost that is borne at the end.
    const AT_LAST: f64 = 1.2;
    let first_event = millis(plan.first_event);
    let waited = millis(work.waited);
    let in_time = millis(work.aim) * 0.9 - first_event;
    let last_start = waited + first_event_left(work) - first_event;
    let spent = if waited < in_time {
        waited / in_time.max(1.0)
    } else {
        let from = in_time.max(0.0);
        ((waited - from) / (last_start - from).max(1.0)).clamp(0.0, 1.0)
    };
    let worth = if waited < in_time { 1.0 } else { LATE_WORTH };
    worth * (AT_FIRST + (AT_LAST - AT_FIRST) * spent)
}

/// Gives the time within which the first event must come, in milliseconds: before the answer has no
/// time left to be written, and before the caller gives up.
fn first_event_left(work: &Work) -> f64 {
    /// What an answer takes after its first event, at most, in milliseconds.
    const WRITING: f64 = 2_000.0;
    /// Callers leave when they have waited this many times the aim. From the users' pages.
    const AIMS: f64 = 4.0;
    /// They wait at least this long, in milliseconds.
    const LEAST: f64 = 2_000.0;
    /// What is kept for estimates that are too low, in milliseconds.
    const MARGIN: f64 = 300.0;
    let caller = (AIMS * millis(work.aim)).max(LEAST) - millis(work.waited);
    caller.min(millis(work.left) - WRITING) - MARGIN
}

fn wait_or_refuse(work: &Work, reading: f64) -> Decision {
    if first_event_left(work) < reading {
        return Decision::Refuse(Duration::from_millis(2_000));
    }
    Decision::Wait(LOOK_AGAIN)
}

/// Plans a prompt on `count` engines of the pool and gives the cost, in worth.
fn plan_parts(
    work: &Work,
    pool: &[&Engine],
    count: usize,
    part: f64,
    pressure: f64,
) -> Option<Costed> {
    let mut ranked: Vec<(f64, &Engine)> = pool
        .iter()
        .map(|engine| (harm(engine, part) + slowness(engine, part), *engine))
        .collect();
    ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
    // Parts of prompts that follow are read first, as much as there is to read.
    let chosen: Vec<&Engine> = ranked[..count].iter().map(|(_, engine)| *engine).collect();
    let roomiest = chosen.iter().max_by_key(|engine| free(engine)).copied()?;
    let (first, shares) = if free(roomiest) >= work.memory as i64 {
        (roomiest, Vec::new())
    } else {
        let first = ranked.iter().map(|(_, engine)| *engine);
        let other = first
            .clone()
            .find(|engine| free(engine) >= work.memory as i64);
        match other {
            Some(engine) => (engine, Vec::new()),
            None => (roomiest, shares(work, &chosen)?),
        }
    };
    let harmed: f64 = chosen.iter().map(|engine| harm(engine, part)).sum();
    let first_event = chosen
        .iter()
        .map(|engine| first_event(engine, part * (1.0 + pressure)))
        .fold(0.0, f64::max);
    let late = lateness(work, first_event) * (1.0 - LATE_WORTH);
    let missed = over(first_event * MISS_FACTOR, first_event_left(work).max(1.0)) * LATE_WORTH;
    let own = work.worth * (late + missed + DELAY * first_event / millis(work.aim));
    let harmed = harmed + crowding(pool, count, part);
    let helpers = chosen.iter().filter(|engine| engine.id != first.id);
    let helpers: Vec<Part> = helpers
        .take(MOST_PARTS - 1)
        .map(|engine| Part {
            server: engine.id.clone(),
            done: expected(engine, part),
        })
        .collect();
    let plan = Plan {
        first: first.id.clone(),
        helpers,
        shares,
        part,
        first_event: Duration::from_secs_f64(first_event / 1_000.0),
        giant: part > GIANT_PART,
    };
    Some(Costed {
        plan,
        harm: harmed,
        own,
    })
}

/// Spreads the memory of a prompt that fits no single engine over the engines that read it.
fn shares(work: &Work, chosen: &[&Engine]) -> Option<Vec<Share>> {
    /// A share smaller than this isn't worth an order, in tokens.
    const SMALLEST: i64 = 4_096;
    let mut roomy: Vec<&Engine> = chosen.to_vec();
    roomy.sort_by_key(|engine| std::cmp::Reverse(free(engine)));
    let mut missing = work.memory as i64;
    let mut shares = Vec::new();
    for engine in roomy {
        let tokens = free(engine).min(missing);
        if tokens < SMALLEST.min(missing) {
            break;
        }
        shares.push(Share {
            server: engine.id.clone(),
            tokens: tokens as u64,
        });
        missing -= tokens;
        if missing <= 0 {
            return Some(shares);
        }
    }
    None
}

fn expected(engine: &Engine, part: f64) -> Duration {
    Duration::from_secs_f64(first_event(engine, part) / 1_000.0)
}

/// Gives the worth of short prompts that will come while `count` engines are taken up for the time of a
/// part, and that the other engines can't take.
fn crowding(pool: &[&Engine], count: usize, part: f64) -> f64 {
    /// How long a short answer runs, in milliseconds; what runs now came in this time.
    const LASTS: f64 = 1_700.0;
    /// Parts up to this long leave room for short prompts in the same pass, in milliseconds.
    const ROOM: f64 = 100.0;
    let short = pool
        .iter()
        .map(|engine| engine.load.at_risk[PauseClass::Short as usize]);
    let running = short.sum::<i64>() as f64 / 1_000.0;
    let needed = running / PACKED as f64;
    let rest = (pool.len() - count) as f64;
    let unserved = (1.0 - rest / needed.max(0.1)).clamp(0.0, 1.0);
    running / LASTS * (part - ROOM).max(0.0) * unserved
}

/// Gives the worth of running answers that a part read at an engine makes late.
fn harm(engine: &Engine, part: f64) -> f64 {
    let before = pause(engine, 0.0);
    let after = pause(engine, part);
    PauseClass::ALL
        .iter()
        .zip(engine.load.at_risk)
        .map(|(class, thousandths)| {
            let worth = thousandths as f64 / 1_000.0 * (1.0 - LATE_WORTH);
            worth * (over(after, class.bears()) - over(before, class.bears()))
        })
        .sum()
}

/// Orders engines that harm equally: less reading first, then the near ones.
fn slowness(engine: &Engine, part: f64) -> f64 {
    /// Worth of a millisecond; small beside any harm.
    const PER_MS: f64 = 1e-4;
    let far = if engine.near { 0.0 } else { OTHER_DOMAIN };
    PER_MS * (first_event(engine, part) + far)
}

/// Gives the chance that a time breaks a bound, between 0.75 and 1.15 of the bound.
fn over(time: f64, bound: f64) -> f64 {
    ((time / bound - 0.75) / 0.4).clamp(0.0, 1.0)
}

fn lateness(work: &Work, first_event: f64) -> f64 {
    over(millis(work.waited) + first_event, millis(work.aim))
}

fn pause(engine: &Engine, part: f64) -> f64 {
    idle_pass(engine) + waiting(engine) + part
}

fn idle_pass(engine: &Engine) -> f64 {
    let running = engine.load.running.max(0) as u32;
    let context = engine.load.memory.max(0) as u64;
    engine.figures.idle_pass(running, context)
}

/// Gives the time to the first event of a prompt whose part takes `part`: half a pass that is under
/// way, what waits, the part itself and the steps of its pass.
fn first_event(engine: &Engine, part: f64) -> f64 {
    let passes = if engine.load.running > 0 { 1.5 } else { 0.5 };
    passes * idle_pass(engine) + waiting(engine) + part
}

/// Gives the reading that waits at an engine, in milliseconds.
fn waiting(engine: &Engine) -> f64 {
    engine.load.reading.max(0) as f64 / 1_000.0
}

fn free(engine: &Engine) -> i64 {
    let most = engine.figures.memory_tokens as f64 * FILL;
    most as i64 - engine.load.memory
}

fn read_time(engine: &Engine, prompt: u64) -> f64 {
    engine.figures.read(prompt)
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}
