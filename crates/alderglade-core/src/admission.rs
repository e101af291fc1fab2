//! Decides at the door whether a request can finish within its time.
//!
//! The wait is estimated from the work ahead of the request in its own lane, as far as its
//! workspace's share lets it wait behind others, and from the more urgent lanes. A request that
//! can't be in time is refused at once. It is told to come back within the time that the backlog
//! needs, spread over that time, since a burst that was refused together must not return together.

use crate::book::Engine;
use crate::lane::Lane;
use crate::queue::Queue;
use crate::request::{Id, Ticket};
use crate::time::Time;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The share of the time allowed that the estimate may fill, in thousandths.
pub const FILL_PER_MILLE: u64 = 970;
/// The shortest time to come back after.
const SOONEST: Duration = Duration::from_millis(200);
/// The longest time to come back after.
const LATEST: Duration = Duration::from_secs(60);

/// Bits of the number that spreads the times to come back.
const SPREAD_BITS: u32 = 20;

/// What the open engines of a cell can do together.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Capacity {
    /// How many engines are open.
    pub engines: u64,
    /// How many of them may prefill long prompts.
    pub long_engines: u64,
    /// Prefill tokens a second of one engine.
    pub rate: u64,
    /// Streams that fit at once.
    pub slots: u64,
    /// Streams that run.
    pub running: u64,
    /// How long a stream holds its slot, on average.
    pub hold: Duration,
    /// Step time while decoding.
    pub step: Duration,
    /// Step time while short prompts are prefilled beside what decodes.
    pub mixed_step: Duration,
    /// Prompt tokens of such a step.
    pub mixed_chunk: u64,
    /// Prompt tokens of long work that was granted and isn't prefilled yet.
    pub long_under_way: u64,
    /// Prompt tokens of short work that was granted and isn't prefilled yet.
    pub short_under_way: u64,
}

impl Capacity {
    /// Gives the prompt tokens that one engine prefills in a second beside what decodes.
    pub fn mixed_rate(&self) -> u64 {
        let micros = self.mixed_step.as_micros().max(1) as u64;
        (self.mixed_chunk * 1_000_000 / micros).max(1)
    }

    /// Adds what one open engine can do.
    pub fn add(&mut self, engine: &Engine, now: Time) {
        self.engines += 1;
        self.rate = self.rate.max(engine.rate);
        self.slots += engine.max_batch as u64;
        self.running += engine.running.len() as u64;
        self.step = self.step.max(engine.step_time());
        self.mixed_step = self.mixed_step.max(engine.mixed_step());
        self.mixed_chunk = self.mixed_chunk.max(engine.mixed_chunk);
        self.short_under_way += engine.short_backlog();
        self.long_under_way += engine.long_left(now);
    }
}

/// Estimates how long a request waits before an engine starts on it.
pub fn wait(queue: &Queue, capacity: &Capacity, ticket: &Ticket) -> Duration {
    if capacity.engines == 0 || capacity.rate == 0 {
        return Duration::MAX;
    }
    let own = queue.ahead(ticket.lane, &ticket.workspace, ticket.weight);
    let before: u64 = Lane::ALL
        .iter()
        .filter(|lane| **lane < ticket.lane && ticket.lane != Lane::Long)
        .map(|lane| queue.tokens(*lane))
        .sum();
    let (servers, under_way, rate) = match ticket.lane {
        Lane::Long => (
            capacity.long_engines.max(1),
            capacity.long_under_way,
            capacity.rate,
        ),
        Lane::Urgent | Lane::Standard => (
            capacity.engines,
            capacity.short_under_way,
            capacity.mixed_rate(),
        ),
    };
    let tokens = own + before + under_way;
    let prefill = Duration::from_micros(tokens * 1_000_000 / (rate * servers).max(1));
    prefill.max(slot_wait(queue, capacity, ticket.lane))
}

/// Estimates the wait for a stream to end, where all engines decode as many as they may.
fn slot_wait(queue: &Queue, capacity: &Capacity, lane: Lane) -> Duration {
    let ahead: usize = Lane::ALL
        .iter()
        .filter(|other| **other <= lane)
        .map(|other| queue.count(*other))
        .sum();
    let free = capacity.slots.saturating_sub(capacity.running);
    let short = (ahead as u64).saturating_sub(free);
    let micros = capacity.hold.as_micros() as u64 * short / capacity.slots.max(1);
    Duration::from_micros(micros)
}

/// Estimates how long a request runs once an engine starts on it.
///
/// While short prompts keep coming each step also prefills a chunk of them, and takes longer.
pub fn service(capacity: &Capacity, ticket: &Ticket, busy: bool) -> Duration {
    let (rate, step) = if busy && ticket.lane != Lane::Long {
        (capacity.mixed_rate(), capacity.mixed_step)
    } else {
        (capacity.rate, capacity.step)
    };
    let prefill = ticket.prompt * 1_000_000 / rate.max(1);
    let steps = u32::try_from(ticket.output_expected).unwrap_or(u32::MAX);
    Duration::from_micros(prefill) + step.saturating_mul(steps)
}

/// Says whether short prompts wait or are being prefilled.
pub fn is_busy(queue: &Queue, capacity: &Capacity) -> bool {
    let waiting = queue.tokens(Lane::Urgent) + queue.tokens(Lane::Standard);
    waiting + capacity.short_under_way > 0
}

/// Says whether the request may be let in.
///
/// # Errors
///
/// Gives the time to come back after where the request can't be in time.
pub fn admit(queue: &Queue, capacity: &Capacity, ticket: &Ticket) -> Result<(), Duration> {
    let wait = wait(queue, capacity, ticket);
    let busy = is_busy(queue, capacity);
    let needed = wait.saturating_add(service(capacity, ticket, busy));
    let allowed = ticket.time_left.as_micros() as u64 / 1_000 * FILL_PER_MILLE;
    if needed <= Duration::from_micros(allowed) {
        return Ok(());
    }
    Err(come_back(wait, ticket.id))
}

/// Spreads the time to come back over the time that the backlog needs.
pub fn come_back(backlog: Duration, id: Id) -> Duration {
    let span = backlog.clamp(SOONEST, LATEST);
    let mixed = xxh3_64_with_seed(&id.serial.to_le_bytes(), id.incarnation);
    let part = mixed >> (u64::BITS - SPREAD_BITS);
    let spread = (span.as_micros() as u64 * part) >> SPREAD_BITS;
    span / 2 + Duration::from_micros(spread)
}
