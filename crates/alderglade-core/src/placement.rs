//! Picks the engine for the request that goes next.
//!
//! Short work goes where its first token is expected soonest, and only while an engine's short
//! backlog is below a window: what waits, waits in the queue, where order and fairness hold, and
//! not in an engine. Long work goes to a bounded set of engines, one long prefill on each at a
//! time, and prefers engines that have long work already, so that the others stay fast.

use crate::book::{CONTEXT_BOUND, Engine};
use crate::request::Ticket;
use crate::time::Time;
use std::time::Duration;

/// The numbers that placement goes by. The defaults are those that the experiments chose.
#[derive(Debug, Clone, Copy)]
pub struct Config {
    /// Short prompt tokens that may wait within an engine.
    pub window: u64,
    /// KV memory that long work leaves free, in thousandths.
    pub headroom_per_mille: u64,
    /// The share of an engine's time that short work may take beside a long prefill, in thousandths.
    pub beside_per_mille: u64,
    /// Engines kept free of long prefill for each engine that short work keeps busy, in thousandths.
    pub spare_per_mille: u64,
    /// Whether long prefill keeps to a bounded set of engines.
    pub isolate: bool,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            window: 4_096,
            headroom_per_mille: 100,
            beside_per_mille: 500,
            spare_per_mille: 10_000,
            isolate: true,
        }
    }
}

/// A short prompt's length in tokens, by which engines are kept in order.
pub const TYPICAL_PROMPT: u64 = 1_000;

/// Long work that waits, and how soon it has to be done.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Prompt tokens that wait or are being prefilled.
    pub tokens: u64,
    /// The time that the most pressing request has left.
    pub slack: Duration,
    /// Prefill tokens a second of one engine.
    pub rate: u64,
}

impl Demand {
    /// Gives the engines that clear the work in half the time that is left.
    fn engines(self) -> usize {
        let within = self.slack.as_micros() as u64 / 2_000_000;
        let one = self.rate.saturating_mul(within).max(1);
        usize::try_from(self.tokens.div_ceil(one)).unwrap_or(usize::MAX)
    }
}

/// Says how many engines of `open` may prefill long prompts, when short work keeps `busy`
/// thousandths of an engine busy.
///
/// Long work leaves several times the engines that short work needs, because short work waits
/// for a free one; it gets more as its deadlines press. It always has one, so that it is never
/// starved, and leaves one wherever there are two.
pub fn long_bound(config: &Config, open: usize, busy_per_mille: u64, demand: Demand) -> usize {
    if !config.isolate {
        return open;
    }
    let wanted = busy_per_mille * config.spare_per_mille / 1_000;
    let spare = (wanted.div_ceil(1_000) as usize).max(1);
    let left = open.saturating_sub(spare);
    let most = open.saturating_sub(1);
    left.max(demand.engines()).min(most).max(1)
}

/// Picks an engine for short work, or none where all are busy enough.
pub fn pick_short<'a>(
    config: &Config,
    engines: impl Iterator<Item = &'a Engine>,
    ticket: &Ticket,
    now: Time,
) -> Option<&'a Engine> {
    engines
        .filter(|engine| takes_short(config, engine, ticket, now))
        .min_by_key(|engine| (first_token(engine, ticket), engine.running.len()))
}

/// Picks an engine for long work that one engine can hold.
///
/// The caller has made sure that another engine may prefill a long prompt at all.
pub fn pick_long<'a>(
    config: &Config,
    engines: impl Iterator<Item = &'a Engine>,
    ticket: &Ticket,
    now: Time,
) -> Option<&'a Engine> {
    engines
        .filter(|engine| takes_long(config, engine, ticket, now))
        .min_by_key(|engine| long_order(engine, ticket))
}

/// Estimates the time to the first token of short work on an engine.
///
/// The engine's present step has to end first, on average half of it. Then short prompts are
/// prefilled in chunks, smaller ones beside decoding streams; a long prompt fills up what the
/// short ones leave of each chunk.
pub fn first_token(engine: &Engine, ticket: &Ticket) -> Duration {
    first_token_of(engine, engine.prefill_of(ticket))
}

/// Estimates the time to the first token of a short prompt of `tokens` that nothing caches.
pub fn first_token_of(engine: &Engine, tokens: u64) -> Duration {
    let work = engine.short_backlog() + tokens;
    let decodes = engine.decoding() > 0;
    let chunk = if decodes {
        engine.mixed_chunk
    } else {
        engine.chunk
    };
    let steps = work.div_ceil(chunk);
    let base = if decodes {
        engine.step_time()
    } else {
        Duration::ZERO
    };
    let fills = engine.long_prefills() > 0;
    let tokens = if fills { steps * chunk } else { work };
    let under_way = if fills || engine.short_backlog() > 0 {
        chunk
    } else {
        0
    };
    let rest = (base + prefill_time(engine, under_way)) / 2;
    let steps = u32::try_from(steps).unwrap_or(u32::MAX);
    rest + base.saturating_mul(steps) + prefill_time(engine, tokens)
}

fn prefill_time(engine: &Engine, tokens: u64) -> Duration {
    Duration::from_micros(tokens * 1_000_000 / engine.rate)
}

/// Says whether an engine has room for another short prompt of the typical length.
pub fn has_room(config: &Config, engine: &Engine) -> bool {
    let backlog = engine.short_backlog();
    let window = backlog == 0 || backlog + TYPICAL_PROMPT <= config.window;
    window && engine.running.len() < engine.max_batch
}

/// Says whether an engine takes this short request now.
pub fn takes_short(config: &Config, engine: &Engine, ticket: &Ticket, now: Time) -> bool {
    let room = engine.free() >= ticket.need() && engine.running.len() < engine.max_batch;
    let backlog = engine.short_backlog();
    let window = backlog == 0 || backlog + ticket.prompt <= config.window;
    let wanted = ticket.avoid.as_ref() != Some(&engine.name);
    let context = engine.context() + ticket.need() <= CONTEXT_BOUND;
    engine.is_open(now)
        && room
        && window
        && wanted
        && context
        && beside(config, engine, ticket, now)
}

/// Short work beside a long prefill keeps to a share of the engine, so that the long one ends.
fn beside(config: &Config, engine: &Engine, ticket: &Ticket, now: Time) -> bool {
    if engine.long_prefills() == 0 {
        return true;
    }
    let micros = now.since(engine.long_since()).as_micros() as u64;
    let could = engine.rate * micros / 1_000_000 + config.window;
    let may = could * config.beside_per_mille / 1_000;
    engine.short_beside_long + ticket.prompt <= may
}

fn takes_long(config: &Config, engine: &Engine, ticket: &Ticket, now: Time) -> bool {
    let room = ticket.need() <= long_room(config, engine);
    let wanted = ticket.avoid.as_ref() != Some(&engine.name);
    engine.is_open(now) && room && wanted
}

/// Gives the memory in tokens that an engine has for another long prompt: none while it prefills
/// one.
pub fn long_room(config: &Config, engine: &Engine) -> u64 {
    let busy = engine.long_prefills() > 0 || engine.running.len() >= engine.max_batch;
    let kept = engine.kv_tokens * config.headroom_per_mille / 1_000;
    if busy {
        0
    } else {
        engine.free().saturating_sub(kept)
    }
}

/// Engines with long work come first, then those with the least short work.
fn long_order(engine: &Engine, ticket: &Ticket) -> (bool, u64, u64, usize) {
    let fresh = engine.longs() == 0;
    let saved = ticket.prompt - engine.prefill_of(ticket);
    (
        fresh,
        u64::MAX - saved,
        engine.short_backlog(),
        engine.running.len(),
    )
}
