//! The home's book of its engines: what each holds, owes and reports.
//!
//! Load reports come late. The book therefore counts what was granted since, and uses a report
//! only to learn of holdings it doesn't know and to notice an engine that has stopped answering.

use crate::Name;
use crate::lane::Lane;
use crate::request::{Id, Ticket};
use crate::settings::tree;
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// An engine without a report for this long gets no new work.
pub const REPORT_LIFE: Duration = Duration::from_secs(3);
/// Decode step time added by each thousand tokens of context in the batch, in microseconds.
const STEP_MICROS_PER_1K_CONTEXT: u64 = 20;
/// Bound on context tokens in a batch that serves short work: a step stays below 48 ms.
pub const CONTEXT_BOUND: u64 = 1_000_000;
/// How much of a shared prefix is expected to be still cached, in thousandths.
const HIT_PER_MILLE: u64 = 600;
/// Prefixes remembered for each engine.
const MOST_PREFIXES: usize = 512;

/// What an engine holds for somebody: a stream or a reservation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Holding {
    /// The request it is held for.
    pub request: Id,
    /// The entry host that asked for it.
    pub holder: Name,
    /// KV memory, in tokens.
    pub tokens: u64,
    /// How long it has been held.
    pub age: Duration,
}

/// An engine's report of its load.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The engine.
    pub engine: Name,
    /// Counts the engine's starts: what an earlier one held is gone.
    pub incarnation: u64,
    /// Whether it is leaving and wants no new work.
    pub leaving: bool,
    /// What it holds.
    pub holdings: Vec<Holding>,
    /// Prefixes that it has evicted since the last report; late, and some are missing.
    pub evicted: Vec<u64>,
}

/// A request that the home has granted to an engine.
#[derive(Debug, Clone)]
pub struct Running {
    /// The entry host that runs it.
    pub from: Name,
    /// Its lane.
    pub lane: Lane,
    /// Prompt tokens to prefill, as far as no cache serves them.
    pub prefill: u64,
    /// KV memory it takes here.
    pub need: u64,
    /// When it was granted.
    pub since: Time,
    /// When it has to be answered.
    pub deadline: Time,
    /// When it is expected to end.
    pub ends: Time,
    /// Whether its first token has come.
    pub decoding: bool,
    /// When a report last showed it.
    pub seen: Time,
}

/// What the home knows of one engine.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Its name.
    pub name: Name,
    /// KV memory, in tokens.
    pub kv_tokens: u64,
    /// Streams at once.
    pub max_batch: usize,
    /// Prefill rate in tokens a second.
    pub rate: u64,
    /// Step time when idle.
    pub step: Duration,
    /// Prompt tokens of a step while nothing decodes.
    pub chunk: u64,
    /// Prompt tokens of a step beside decoding streams.
    pub mixed_chunk: u64,
    /// Whether it is leaving; sticky for the incarnation.
    pub leaving: bool,
    /// Whether it failed a request and hasn't reported since.
    pub suspect: bool,
    /// When its last report came.
    pub reported: Time,
    /// Its incarnation as last reported.
    pub incarnation: u64,
    /// What runs there.
    pub running: HashMap<Id, Running>,
    /// Memory that a group being formed holds here, in tokens.
    pub reserved: u64,
    /// Short prompt tokens granted since the long prefill that is under way began.
    pub short_beside_long: u64,
    load: Load,
    prefixes: BTreeMap<u64, u64>,
}

/// Sums over what runs, kept up with each change so that a decision never walks the requests.
#[derive(Debug, Clone, Copy, Default)]
struct Load {
    need: u64,
    context: u64,
    prefill_short: u64,
    long_prefills: usize,
    longs: usize,
    long_since: Time,
    long_tokens: u64,
    decoding: usize,
}

impl Engine {
    /// Makes the book's page for an engine of the settings.
    pub fn new(name: &Name, engine: &tree::Engine, model: &tree::Model, now: Time) -> Engine {
        Engine {
            name: name.clone(),
            kv_tokens: engine.kv_tokens,
            max_batch: engine.max_batch,
            rate: model.prefill_tokens_per_second.max(1),
            step: Duration::from_millis(model.step_ms),
            chunk: model.chunk_tokens.max(1),
            mixed_chunk: model.mixed_chunk_tokens.max(1),
            leaving: false,
            suspect: false,
            reported: now,
            incarnation: 0,
            running: HashMap::new(),
            reserved: 0,
            short_beside_long: 0,
            load: Load::default(),
            prefixes: BTreeMap::new(),
        }
    }

    /// Gives the time that a step takes while short prompts are prefilled beside what decodes.
    pub fn mixed_step(&self) -> Duration {
        self.step_time() + Duration::from_micros(self.mixed_chunk * 1_000_000 / self.rate)
    }

    /// Says whether it may get new work.
    pub fn is_open(&self, now: Time) -> bool {
        self.is_live(now) && !self.suspect
    }

    /// Says whether it is there, though it may just have failed a request.
    pub fn is_live(&self, now: Time) -> bool {
        !self.leaving && now.since(self.reported) < REPORT_LIFE
    }

    /// Gives free KV memory in tokens, as the book has it.
    pub fn free(&self) -> u64 {
        self.kv_tokens
            .saturating_sub(self.load.need + self.reserved)
    }

    /// Gives prompt tokens of short work that wait for prefill.
    pub fn short_backlog(&self) -> u64 {
        self.load.prefill_short
    }

    /// Gives how many long prompts are being prefilled.
    pub fn long_prefills(&self) -> usize {
        self.load.long_prefills
    }

    /// Gives how many long requests run.
    pub fn longs(&self) -> usize {
        self.load.longs
    }

    /// Gives the context tokens in the batch.
    pub fn context(&self) -> u64 {
        self.load.context
    }

    /// Gives how many streams decode.
    pub fn decoding(&self) -> usize {
        self.load.decoding
    }

    /// Gives when the long prefill that is under way was granted.
    pub fn long_since(&self) -> Time {
        self.load.long_since
    }

    /// Estimates the long prompt tokens that are granted and, by the clock, not yet prefilled.
    pub fn long_left(&self, now: Time) -> u64 {
        let micros = now.since(self.load.long_since).as_micros() as u64;
        self.load
            .long_tokens
            .saturating_sub(micros * self.rate / 1_000_000)
    }

    /// Estimates the time of one decode step.
    pub fn step_time(&self) -> Duration {
        let micros = self.load.context / 1_000 * STEP_MICROS_PER_1K_CONTEXT;
        self.step + Duration::from_micros(micros)
    }

    /// Estimates how many of a prompt's tokens have to be prefilled.
    ///
    /// Cache events come late and with gaps: an expected hit counts as a probability.
    pub fn prefill_of(&self, ticket: &Ticket) -> u64 {
        let cached = ticket
            .prefix
            .and_then(|prefix| self.prefixes.get(&prefix.key).copied())
            .unwrap_or(0);
        let saved = cached.min(ticket.prompt) * HIT_PER_MILLE / 1_000;
        ticket.prompt - saved
    }

    /// Estimates when `tokens` of memory will be free, as running work ends.
    pub fn free_at(&self, tokens: u64, now: Time) -> Time {
        let mut free = self.free();
        if free >= tokens {
            return now;
        }
        let mut ends: Vec<(Time, u64)> = self
            .running
            .values()
            .map(|running| (running.ends, running.need))
            .collect();
        ends.sort_unstable();
        for (end, need) in ends {
            free += need;
            if free >= tokens {
                return end.max(now);
            }
        }
        Time::NEVER
    }

    /// Notes that a prompt's shared beginning will be cached here.
    pub fn expect_prefix(&mut self, ticket: &Ticket) {
        if let Some(prefix) = ticket.prefix {
            self.remember(prefix.key, prefix.tokens);
        }
    }

    /// Notes that a request was granted here, or found here.
    pub fn grant(&mut self, id: Id, running: Running, now: Time) {
        self.release(id);
        self.load.decoding += usize::from(running.decoding);
        match running.lane {
            Lane::Long if running.decoding => self.load.longs += 1,
            Lane::Long => {
                self.load.longs += 1;
                self.load.long_tokens += running.prefill;
                self.load.long_prefills += 1;
                self.load.long_since = now;
                self.short_beside_long = 0;
            }
            Lane::Urgent | Lane::Standard if running.decoding => {}
            Lane::Urgent | Lane::Standard => {
                self.load.prefill_short += running.prefill;
                self.short_beside_long += running.prefill;
            }
        }
        self.load.need += running.need;
        self.load.context += running.need;
        self.running.insert(id, running);
    }

    /// Notes that a request's first token has come.
    pub fn first_token(&mut self, id: Id) {
        let Some(running) = self.running.get_mut(&id) else {
            return;
        };
        if running.decoding {
            return;
        }
        running.decoding = true;
        self.load.decoding += 1;
        let (lane, prefill) = (running.lane, running.prefill);
        self.end_prefill(lane, prefill);
    }

    /// Notes that a request has left; gives what the book had of it.
    pub fn release(&mut self, id: Id) -> Option<Running> {
        let running = self.running.remove(&id)?;
        if running.decoding {
            self.load.decoding -= 1;
        } else {
            self.end_prefill(running.lane, running.prefill);
        }
        if running.lane == Lane::Long {
            self.load.longs -= 1;
        }
        self.load.need -= running.need;
        self.load.context -= running.need;
        Some(running)
    }

    /// Takes in a report. A new incarnation holds nothing of the old one's.
    pub fn report(&mut self, report: &Report, now: Time) -> Vec<Id> {
        self.reported = now;
        self.suspect = false;
        let mut lost = Vec::new();
        if report.incarnation != self.incarnation {
            if self.incarnation != 0 {
                lost = self.running.keys().copied().collect();
                self.prefixes.clear();
            }
            self.incarnation = report.incarnation;
            self.leaving = false;
        }
        self.leaving |= report.leaving;
        for key in &report.evicted {
            self.prefixes.remove(key);
        }
        for id in &lost {
            self.release(*id);
        }
        lost
    }

    fn end_prefill(&mut self, lane: Lane, prefill: u64) {
        match lane {
            Lane::Long => {
                self.load.long_prefills -= 1;
                self.load.long_tokens -= prefill;
            }
            Lane::Urgent | Lane::Standard => self.load.prefill_short -= prefill,
        }
    }

    fn remember(&mut self, key: u64, tokens: u64) {
        if self.prefixes.len() >= MOST_PREFIXES {
            self.prefixes.pop_first();
        }
        self.prefixes.insert(key, tokens);
    }
}
