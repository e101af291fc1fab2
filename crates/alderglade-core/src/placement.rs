//! Selects the engine for the next request of a cell's queue.
//!
//! A short request goes to the engine with the earliest expected first token, and only while that
//! engine's backlog of short prompts is below a window. Requests thus wait in the queue, which
//! keeps order and fairness, and not in an engine. Long requests go to a bounded set of engines,
//! with one long prefill per engine at a time. They prefer engines that already run long requests,
//! so that the other engines stay fast.

use crate::engine_state::{Engine, MAX_CONTEXT_TOKENS};
use crate::request::Ticket;
use crate::time::Time;
use std::time::Duration;

/// Placement parameters.
#[derive(Debug, Clone, Copy)]
pub struct Config {
    /// Maximum number of short prompt tokens waiting for prefill in one engine.
    pub short_window_tokens: u64,
    /// KV memory of an engine that long requests leave free, in thousandths.
    pub headroom_per_mille: u64,
    /// Share of an engine's prefill rate that short requests may use during a long prefill, in thousandths.
    pub beside_per_mille: u64,
    /// Engines kept free of long prefills per engine that short prefills keep busy, in thousandths.
    pub spare_per_mille: u64,
    /// Whether long prefills are limited to a bounded set of engines.
    pub isolate: bool,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            short_window_tokens: 4_096,
            headroom_per_mille: 100,
            beside_per_mille: 500,
            spare_per_mille: 10_000,
            isolate: true,
        }
    }
}

/// Length of a typical short prompt. Engines are ranked by their expected time to its first token.
pub const TYPICAL_PROMPT_TOKENS: u64 = 1_000;

/// Pending long prefills and how urgent they are.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Prompt tokens that are queued or being prefilled.
    pub tokens: u64,
    /// Time until the deadline of the next long request.
    pub slack: Duration,
    /// Prefill rate of one engine, in tokens per second.
    pub rate: u64,
}

impl Demand {
    /// Returns the number of engines that prefill all tokens within half of the slack.
    fn engines_needed(self) -> usize {
        let seconds = self.slack.as_micros() as u64 / 2_000_000;
        let tokens_per_engine = self.rate.saturating_mul(seconds).max(1);
        usize::try_from(self.tokens.div_ceil(tokens_per_engine)).unwrap_or(usize::MAX)
    }
}

/// Returns how many of `open` engines may prefill long prompts, where short prefills use
/// `busy_per_mille` thousandths of one engine.
///
/// Several times the engines that short requests need are kept free of long prefills, because a
/// short request waits for a free engine. Long requests get more engines as their deadlines
/// approach. They always get at least one engine, so that they never starve, and leave at least one
/// to short requests if there are two or more.
pub fn max_long_engines(
    config: &Config,
    open: usize,
    busy_per_mille: u64,
    demand: Demand,
) -> usize {
    if !config.isolate {
        return open;
    }
    let spare_per_mille = busy_per_mille * config.spare_per_mille / 1_000;
    let spare = (spare_per_mille.div_ceil(1_000) as usize).max(1);
    let available = open.saturating_sub(spare);
    let max = open.saturating_sub(1);
    available.max(demand.engines_needed()).min(max).max(1)
}

/// Selects an engine for a short request, or `None` if no engine accepts it now.
pub fn pick_short<'a>(
    config: &Config,
    engines: impl Iterator<Item = &'a Engine>,
    ticket: &Ticket,
    now: Time,
) -> Option<&'a Engine> {
    engines
        .filter(|engine| accepts_short(config, engine, ticket, now))
        .min_by_key(|engine| (first_token(engine, ticket), engine.running.len()))
}

/// Selects an engine for a long request that fits into one engine.
///
/// The caller must have checked that one more engine may prefill a long prompt.
pub fn pick_long<'a>(
    config: &Config,
    engines: impl Iterator<Item = &'a Engine>,
    ticket: &Ticket,
    now: Time,
) -> Option<&'a Engine> {
    engines
        .filter(|engine| accepts_long(config, engine, ticket, now))
        .min_by_key(|engine| long_rank(engine, ticket))
}

/// Estimates the time to the first token of a short request on an engine.
///
/// The current step of the engine has to end first, which takes half a step on average. Short
/// prompts are then prefilled in chunks, which are smaller while streams decode. A long prompt uses
/// the part of each chunk that short prompts leave.
pub fn first_token(engine: &Engine, ticket: &Ticket) -> Duration {
    first_token_of(engine, engine.prefill_tokens(ticket))
}

/// Estimates the time to the first token of a short prompt with `tokens` uncached tokens.
pub fn first_token_of(engine: &Engine, tokens: u64) -> Duration {
    let short_tokens = engine.short_backlog() + tokens;
    let is_decoding = engine.decoding() > 0;
    let chunk = if is_decoding {
        engine.mixed_chunk
    } else {
        engine.chunk
    };
    let steps = short_tokens.div_ceil(chunk);
    let decode_step = if is_decoding {
        engine.step_time()
    } else {
        Duration::ZERO
    };
    let has_long_prefill = engine.long_prefills() > 0;
    let tokens = if has_long_prefill {
        steps * chunk
    } else {
        short_tokens
    };
    let current_chunk = if has_long_prefill || engine.short_backlog() > 0 {
        chunk
    } else {
        0
    };
    let current_step = (decode_step + prefill_time(engine, current_chunk)) / 2;
    let steps = u32::try_from(steps).unwrap_or(u32::MAX);
    current_step + decode_step.saturating_mul(steps) + prefill_time(engine, tokens)
}

fn prefill_time(engine: &Engine, tokens: u64) -> Duration {
    Duration::from_micros(tokens * 1_000_000 / engine.rate)
}

/// Returns whether an engine has room for another short prompt of the typical length.
pub fn has_room(config: &Config, engine: &Engine) -> bool {
    let backlog = engine.short_backlog();
    let within_window =
        backlog == 0 || backlog + TYPICAL_PROMPT_TOKENS <= config.short_window_tokens;
    within_window && engine.running.len() < engine.max_batch
}

/// Returns whether a short request may be granted to an engine now.
pub fn accepts_short(config: &Config, engine: &Engine, ticket: &Ticket, now: Time) -> bool {
    let has_room =
        engine.free() >= ticket.kv_tokens_needed() && engine.running.len() < engine.max_batch;
    let backlog = engine.short_backlog();
    let within_window = backlog == 0 || backlog + ticket.prompt <= config.short_window_tokens;
    let allowed = ticket.avoid.as_ref() != Some(&engine.name);
    let within_context = engine.context() + ticket.kv_tokens_needed() <= MAX_CONTEXT_TOKENS;
    engine.is_open(now)
        && has_room
        && within_window
        && allowed
        && within_context
        && fits_beside_long(config, engine, ticket, now)
}

/// Returns whether a short request stays within the share of an engine that short requests may use
/// during a long prefill. The share lets the long prefill end.
fn fits_beside_long(config: &Config, engine: &Engine, ticket: &Ticket, now: Time) -> bool {
    if engine.long_prefills() == 0 {
        return true;
    }
    let micros = now.since(engine.long_prefill_since()).as_micros() as u64;
    let possible = engine.rate * micros / 1_000_000 + config.short_window_tokens;
    let allowed = possible * config.beside_per_mille / 1_000;
    engine.short_beside_long + ticket.prompt <= allowed
}

fn accepts_long(config: &Config, engine: &Engine, ticket: &Ticket, now: Time) -> bool {
    let fits = ticket.kv_tokens_needed() <= long_room(config, engine);
    let allowed = ticket.avoid.as_ref() != Some(&engine.name);
    engine.is_open(now) && fits && allowed
}

/// Returns the KV memory in tokens that an engine has for another long prompt. It is zero while the
/// engine prefills a long prompt.
pub fn long_room(config: &Config, engine: &Engine) -> u64 {
    let busy = engine.long_prefills() > 0 || engine.running.len() >= engine.max_batch;
    let headroom = engine.kv_tokens * config.headroom_per_mille / 1_000;
    if busy {
        0
    } else {
        engine.free().saturating_sub(headroom)
    }
}

/// Sort key for long requests: engines that run long requests come first, then those that save the
/// most prefill, then those with the least short work.
fn long_rank(engine: &Engine, ticket: &Ticket) -> (bool, u64, u64, usize) {
    let has_no_long = engine.long_requests() == 0;
    let cached = ticket.prompt - engine.prefill_tokens(ticket);
    (
        has_no_long,
        u64::MAX - cached,
        engine.short_backlog(),
        engine.running.len(),
    )
}
