//! Admission control: decides whether a request can finish within its time limit.
//!
//! The wait is estimated from the more urgent lanes and from the work ahead of the request in its
//! own lane, limited by the fair share of its workspace. A request that can't finish in time is
//! refused immediately. Its retry time follows the time that the backlog needs, with jitter, so
//! that a burst of refused requests doesn't return all at once.

use crate::engine_state::Engine;
use crate::lane::Lane;
use crate::queue::Queue;
use crate::request::{Id, Ticket};
use crate::time::Time;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Share of a request's remaining time that the estimate may use, in thousandths.
pub const MAX_FILL_PER_MILLE: u64 = 970;
/// Lower bound for the base of a retry time, before jitter.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Upper bound for the base of a retry time, before jitter.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Random bits of the jitter of a retry time.
const JITTER_BITS: u32 = 20;

/// Combined capacity and load of a cell's open engines.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Capacity {
    /// Number of open engines.
    pub engines: u64,
    /// Number of open engines that may prefill long prompts.
    pub long_engines: u64,
    /// Prefill rate of one engine, in tokens per second.
    pub rate: u64,
    /// Maximum number of concurrent streams.
    pub slots: u64,
    /// Number of running streams.
    pub running: u64,
    /// Average time that a stream occupies its slot.
    pub slot_time: Duration,
    /// Duration of a decode step.
    pub step: Duration,
    /// Duration of a step that also prefills a chunk of short prompts.
    pub mixed_step: Duration,
    /// Prompt tokens prefilled in a mixed step.
    pub mixed_chunk: u64,
    /// Prompt tokens of granted long requests that are not prefilled yet.
    pub long_pending_tokens: u64,
    /// Prompt tokens of granted short requests that are not prefilled yet.
    pub short_pending_tokens: u64,
}

impl Capacity {
    /// Returns the prefill rate of one engine in mixed steps, in tokens per second.
    pub fn mixed_rate(&self) -> u64 {
        let micros = self.mixed_step.as_micros().max(1) as u64;
        (self.mixed_chunk * 1_000_000 / micros).max(1)
    }

    /// Adds the capacity and load of one open engine.
    pub fn add(&mut self, engine: &Engine, now: Time) {
        self.engines += 1;
        self.rate = self.rate.max(engine.rate);
        self.slots += engine.max_batch as u64;
        self.running += engine.running.len() as u64;
        self.step = self.step.max(engine.step_time());
        self.mixed_step = self.mixed_step.max(engine.mixed_step());
        self.mixed_chunk = self.mixed_chunk.max(engine.mixed_chunk);
        self.short_pending_tokens += engine.short_backlog();
        self.long_pending_tokens += engine.long_tokens_left(now);
    }
}

/// Estimates how long a request waits until an engine starts it.
pub fn queue_wait(queue: &Queue, capacity: &Capacity, ticket: &Ticket) -> Duration {
    if capacity.engines == 0 || capacity.rate == 0 {
        return Duration::MAX;
    }
    let own = queue.tokens_ahead(ticket.lane, &ticket.workspace, ticket.weight);
    let more_urgent: u64 = Lane::ALL
        .iter()
        .filter(|lane| **lane < ticket.lane && ticket.lane != Lane::Long)
        .map(|lane| queue.tokens(*lane))
        .sum();
    let (engines, pending, rate) = match ticket.lane {
        Lane::Long => (
            capacity.long_engines.max(1),
            capacity.long_pending_tokens,
            capacity.rate,
        ),
        Lane::Urgent | Lane::Standard => (
            capacity.engines,
            capacity.short_pending_tokens,
            capacity.mixed_rate(),
        ),
    };
    let tokens = own + more_urgent + pending;
    let prefill = Duration::from_micros(tokens * 1_000_000 / (rate * engines).max(1));
    prefill.max(stream_slot_wait(queue, capacity, ticket.lane))
}

/// Estimates how long a request waits for a free stream slot.
fn stream_slot_wait(queue: &Queue, capacity: &Capacity, lane: Lane) -> Duration {
    let ahead: usize = Lane::ALL
        .iter()
        .filter(|other| **other <= lane)
        .map(|other| queue.count(*other))
        .sum();
    let free = capacity.slots.saturating_sub(capacity.running);
    let missing = (ahead as u64).saturating_sub(free);
    let micros = capacity.slot_time.as_micros() as u64 * missing / capacity.slots.max(1);
    Duration::from_micros(micros)
}

/// Estimates how long a request runs once an engine has started it.
///
/// While short prompts keep arriving (`busy`), each step also prefills a chunk of them and takes
/// longer.
pub fn service_time(capacity: &Capacity, ticket: &Ticket, busy: bool) -> Duration {
    let (rate, step) = if busy && ticket.lane != Lane::Long {
        (capacity.mixed_rate(), capacity.mixed_step)
    } else {
        (capacity.rate, capacity.step)
    };
    let prefill = ticket.prompt * 1_000_000 / rate.max(1);
    let steps = u32::try_from(ticket.output_expected).unwrap_or(u32::MAX);
    Duration::from_micros(prefill) + step.saturating_mul(steps)
}

/// Returns whether short prompts are waiting or being prefilled.
pub fn has_short_prefill(queue: &Queue, capacity: &Capacity) -> bool {
    let waiting = queue.tokens(Lane::Urgent) + queue.tokens(Lane::Standard);
    waiting + capacity.short_pending_tokens > 0
}

/// Checks whether a request can finish within its remaining time.
///
/// # Errors
///
/// Returns the time after which the caller should retry if the request can't finish in time.
pub fn admit(queue: &Queue, capacity: &Capacity, ticket: &Ticket) -> Result<(), Duration> {
    let wait = queue_wait(queue, capacity, ticket);
    let busy = has_short_prefill(queue, capacity);
    let needed = wait.saturating_add(service_time(capacity, ticket, busy));
    let allowed = ticket.time_left.as_micros() as u64 / 1_000 * MAX_FILL_PER_MILLE;
    if needed <= Duration::from_micros(allowed) {
        return Ok(());
    }
    Err(jittered_retry_after(wait, ticket.id))
}

/// Returns a retry time: the time that the backlog needs, within bounds, times 0.5 to 1.5.
///
/// The jitter is a hash of the request's identity, so that it is deterministic.
pub fn jittered_retry_after(backlog: Duration, id: Id) -> Duration {
    let span = backlog.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    let hash = xxh3_64_with_seed(&id.serial.to_le_bytes(), id.incarnation);
    let fraction = hash >> (u64::BITS - JITTER_BITS);
    let jitter = (span.as_micros() as u64 * fraction) >> JITTER_BITS;
    span / 2 + Duration::from_micros(jitter)
}
