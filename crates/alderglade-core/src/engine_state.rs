//! The home's state of its engines: memory, load and reports.
//!
//! Load reports arrive late. The state therefore counts every grant itself. A report is used only to
//! find unknown holdings and to detect an engine that has stopped answering.

use crate::Name;
use crate::lane::Lane;
use crate::request::{Id, Ticket};
use crate::settings::tree;
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// An engine that hasn't reported for this long gets no new work.
pub const REPORT_TIMEOUT: Duration = Duration::from_secs(3);
/// Decode step time added per 1,000 context tokens in the batch, in microseconds.
const STEP_MICROS_PER_1K_CONTEXT: u64 = 20;
/// Maximum context tokens of a batch that accepts short requests. It keeps a step below 48 ms.
pub const MAX_CONTEXT_TOKENS: u64 = 1_000_000;
/// Probability that a shared prefix is still cached, in thousandths.
const PREFIX_HIT_PER_MILLE: u64 = 600;
/// Maximum number of prefixes tracked per engine.
const MAX_PREFIXES: usize = 512;

/// Memory that an engine holds for an entry host: a stream or a reservation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Holding {
    /// The request that uses the memory.
    pub request: Id,
    /// The entry host that requested the memory.
    pub holder: Name,
    /// KV memory, in tokens.
    pub tokens: u64,
    /// How long the memory has been held.
    pub age: Duration,
}

/// An engine's report of its load.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The engine.
    pub engine: Name,
    /// Identifies one start of the engine; holdings of an earlier incarnation are gone.
    pub incarnation: u64,
    /// Whether the engine is leaving and accepts no new work.
    pub leaving: bool,
    /// All memory that the engine holds.
    pub holdings: Vec<Holding>,
    /// Keys of prefixes evicted since the last report. They arrive late and may be incomplete.
    pub evicted: Vec<u64>,
}

/// A request that the home has granted to an engine, or found in its report.
#[derive(Debug, Clone)]
pub struct Running {
    /// The entry host that sent it.
    pub from: Name,
    /// The lane of the request.
    pub lane: Lane,
    /// Prompt tokens to prefill, without those expected in the cache.
    pub prefill: u64,
    /// KV memory used at this engine, in tokens.
    pub need: u64,
    /// When it was granted.
    pub since: Time,
    /// The time by which it has to be answered.
    pub deadline: Time,
    /// When it is expected to end.
    pub expected_end: Time,
    /// Whether the first token has arrived.
    pub decoding: bool,
    /// When it was granted or last seen in a report.
    pub last_seen: Time,
}

/// The home's state of one engine.
#[derive(Debug, Clone)]
pub struct Engine {
    /// The engine's name.
    pub name: Name,
    /// Total KV memory, in tokens.
    pub kv_tokens: u64,
    /// Maximum number of concurrent streams.
    pub max_batch: usize,
    /// Prefill rate in tokens per second.
    pub rate: u64,
    /// Duration of a decode step with an empty context.
    pub step: Duration,
    /// Prompt tokens prefilled per step while no stream decodes.
    pub chunk: u64,
    /// Prompt tokens prefilled per step while streams decode.
    pub mixed_chunk: u64,
    /// Whether the engine is leaving; stays set for the incarnation.
    pub leaving: bool,
    /// Whether the engine failed a request and hasn't reported since.
    pub suspect: bool,
    /// When the last report arrived.
    pub reported: Time,
    /// The incarnation in the last report; `0` before the first report.
    pub incarnation: u64,
    /// The requests that are granted to the engine.
    pub running: HashMap<Id, Running>,
    /// Memory set aside for a gang that is being formed, in tokens.
    pub reserved: u64,
    /// Short prompt tokens granted since the current long prefill began.
    pub short_beside_long: u64,
    load: Load,
    prefixes: BTreeMap<u64, u64>,
}

/// Totals over the running requests. They are updated with each change, so that a decision never
/// iterates over the requests.
#[derive(Debug, Clone, Copy, Default)]
struct Load {
    need: u64,
    context: u64,
    prefill_short: u64,
    long_prefills: usize,
    long_requests: usize,
    long_prefill_since: Time,
    long_tokens: u64,
    decoding: usize,
}

impl Engine {
    /// Creates the state of an engine from its settings.
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

    /// Estimates the duration of a decode step that also prefills a chunk of short prompts.
    pub fn mixed_step(&self) -> Duration {
        self.step_time() + Duration::from_micros(self.mixed_chunk * 1_000_000 / self.rate)
    }

    /// Returns whether the engine may get new work.
    pub fn is_open(&self, now: Time) -> bool {
        self.is_live(now) && !self.suspect
    }

    /// Returns whether the engine reports and is not leaving. It may have failed a request.
    pub fn is_live(&self, now: Time) -> bool {
        !self.leaving && now.since(self.reported) < REPORT_TIMEOUT
    }

    /// Describes whether the engine may get new work, and why not.
    pub fn describe(&self, now: Time) -> String {
        let silent = now.since(self.reported);
        let state = if self.leaving {
            "leaving".to_string()
        } else if silent >= REPORT_TIMEOUT {
            format!("without a report for {} ms", silent.as_millis())
        } else if self.suspect {
            format!("suspect, last report {} ms ago", silent.as_millis())
        } else {
            "open".to_string()
        };
        format!("{} {state}", self.name)
    }

    /// Returns the free KV memory in tokens, by the home's own accounting.
    pub fn free(&self) -> u64 {
        self.kv_tokens
            .saturating_sub(self.load.need + self.reserved)
    }

    /// Returns the prompt tokens of short requests that are not prefilled yet.
    pub fn short_backlog(&self) -> u64 {
        self.load.prefill_short
    }

    /// Returns the number of long prompts being prefilled.
    pub fn long_prefills(&self) -> usize {
        self.load.long_prefills
    }

    /// Returns the number of running long requests.
    pub fn long_requests(&self) -> usize {
        self.load.long_requests
    }

    /// Returns the context tokens in the batch.
    pub fn context(&self) -> u64 {
        self.load.context
    }

    /// Returns the number of decoding streams.
    pub fn decoding(&self) -> usize {
        self.load.decoding
    }

    /// Returns when the latest long prefill was granted.
    pub fn long_prefill_since(&self) -> Time {
        self.load.long_prefill_since
    }

    /// Estimates the granted long prompt tokens that are not prefilled yet, from the elapsed time.
    pub fn long_tokens_left(&self, now: Time) -> u64 {
        let micros = now.since(self.load.long_prefill_since).as_micros() as u64;
        self.load
            .long_tokens
            .saturating_sub(micros * self.rate / 1_000_000)
    }

    /// Estimates the duration of one decode step.
    pub fn step_time(&self) -> Duration {
        let micros = self.load.context / 1_000 * STEP_MICROS_PER_1K_CONTEXT;
        self.step + Duration::from_micros(micros)
    }

    /// Estimates how many tokens of a prompt have to be prefilled.
    ///
    /// Cache events arrive late and with gaps, so an expected hit is weighted by a probability.
    pub fn prefill_tokens(&self, ticket: &Ticket) -> u64 {
        let cached = ticket
            .prefix
            .and_then(|prefix| self.prefixes.get(&prefix.key).copied())
            .unwrap_or(0);
        let expected_hit = cached.min(ticket.prompt) * PREFIX_HIT_PER_MILLE / 1_000;
        ticket.prompt - expected_hit
    }

    /// Estimates when `tokens` of memory will be free, from the expected ends of running requests.
    pub fn free_at(&self, tokens: u64, now: Time) -> Time {
        let mut free = self.free();
        if free >= tokens {
            return now;
        }
        let mut ends: Vec<(Time, u64)> = self
            .running
            .values()
            .map(|running| (running.expected_end, running.need))
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

    /// Records that the prompt's shared prefix will be cached at this engine.
    pub fn record_prefix(&mut self, ticket: &Ticket) {
        if let Some(prefix) = ticket.prefix {
            self.insert_prefix(prefix.key, prefix.tokens);
        }
    }

    /// Adds a request that was granted to this engine or found in its report.
    pub fn grant(&mut self, id: Id, running: Running, now: Time) {
        self.release(id);
        self.load.decoding += usize::from(running.decoding);
        match running.lane {
            Lane::Long if running.decoding => self.load.long_requests += 1,
            Lane::Long => {
                self.load.long_requests += 1;
                self.load.long_tokens += running.prefill;
                self.load.long_prefills += 1;
                self.load.long_prefill_since = now;
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

    /// Records the first token of a request, which ends its prefill.
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

    /// Removes and returns a request that has ended.
    pub fn release(&mut self, id: Id) -> Option<Running> {
        let running = self.running.remove(&id)?;
        if running.decoding {
            self.load.decoding -= 1;
        } else {
            self.end_prefill(running.lane, running.prefill);
        }
        if running.lane == Lane::Long {
            self.load.long_requests -= 1;
        }
        self.load.need -= running.need;
        self.load.context -= running.need;
        Some(running)
    }

    /// Applies a report. Returns the requests that were lost because the engine has restarted.
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

    fn insert_prefix(&mut self, key: u64, tokens: u64) {
        if self.prefixes.len() >= MAX_PREFIXES {
            self.prefixes.pop_first();
        }
        self.prefixes.insert(key, tokens);
    }
}
