//! The timing model of a model engine that batches continuously.
//!
//! Time advances step by step. A step gives one token to each stream that decodes and prefills a
//! chunk of the most urgent prompts. It takes a base time while anything decodes, grows with the
//! context in the batch, and with the tokens prefilled. Small prefixes stay cached while there is
//! room.

use alderglade_core::request::{Id, Prefix};
use std::collections::VecDeque;
use std::time::Duration;

/// What an engine is like.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// Prompt tokens prefilled in a second.
    pub rate: u64,
    /// Base time of a decode step.
    pub step: Duration,
    /// Time that each thousand tokens of context add to a step.
    pub per_1k_context: Duration,
    /// KV memory in tokens.
    pub kv_tokens: u64,
    /// Streams at once.
    pub max_batch: usize,
    /// Tokens prefilled in a step beside decoding streams.
    pub mixed_chunk: u64,
    /// Tokens prefilled in a step without decoding streams.
    pub chunk: u64,
    /// Memory for cached prefixes in tokens.
    pub cache_tokens: u64,
    /// Whether priorities are honoured; the naive baseline switches it off.
    pub priorities: bool,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            rate: 25_000,
            step: Duration::from_millis(15),
            per_1k_context: Duration::from_micros(20),
            kv_tokens: 400_000,
            max_batch: 64,
            mixed_chunk: 512,
            chunk: 2_048,
            cache_tokens: 60_000,
            priorities: true,
        }
    }
}

/// A prompt to serve.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// The request.
    pub id: Id,
    /// Tokens to prefill.
    pub prompt: u64,
    /// Tokens to generate, from `first` on.
    pub output: u64,
    /// The position of the first token to generate.
    pub first: u64,
    /// KV memory to take; `0` where it is reserved already.
    pub need: u64,
    /// Priority, `0` first.
    pub priority: u8,
    /// The shared beginning.
    pub prefix: Option<Prefix>,
}

/// A token that a step gave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Emitted {
    /// The request.
    pub id: Id,
    /// Its position in the answer.
    pub sequence: u64,
    /// Whether it is the last.
    pub last: bool,
}

#[derive(Debug, Clone)]
struct Stream {
    job: Job,
    prefill_left: u64,
    next: u64,
    order: u64,
}

impl Stream {
    fn decodes(&self) -> bool {
        self.prefill_left == 0
    }
}

/// The engine's batch.
#[derive(Debug, Clone)]
pub struct Batch {
    config: Config,
    streams: Vec<Stream>,
    used: u64,
    cached: VecDeque<Prefix>,
    evicted: Vec<u64>,
    order: u64,
    prefilled: u64,
}

impl Batch {
    /// Starts with nothing.
    pub fn new(config: Config) -> Batch {
        Batch {
            config,
            streams: Vec::new(),
            used: 0,
            cached: VecDeque::new(),
            evicted: Vec::new(),
            order: 0,
            prefilled: 0,
        }
    }

    /// Gives free KV memory in tokens.
    pub fn free(&self) -> u64 {
        self.config.kv_tokens - self.used
    }

    /// Gives the tokens prefilled so far.
    pub fn prefilled(&self) -> u64 {
        self.prefilled
    }

    /// Says whether nothing runs.
    pub fn is_idle(&self) -> bool {
        self.streams.is_empty()
    }

    /// Gives how many streams run.
    pub fn running(&self) -> usize {
        self.streams.len()
    }

    /// Takes memory for a reservation; says whether there is room.
    pub fn reserve(&mut self, tokens: u64) -> bool {
        let room = self.free() >= tokens;
        if room {
            self.used += tokens;
        }
        room
    }

    /// Gives memory of a reservation back.
    pub fn unreserve(&mut self, tokens: u64) {
        self.used -= tokens;
    }

    /// Takes a job; says whether there is room for it.
    pub fn submit(&mut self, job: Job) -> bool {
        if self.streams.len() >= self.config.max_batch || !self.reserve(job.need) {
            return false;
        }
        let hit = self.hit(job.prefix);
        self.order += 1;
        self.streams.push(Stream {
            prefill_left: job.prompt.saturating_sub(hit).max(1),
            next: job.first,
            order: self.order,
            job,
        });
        true
    }

    /// Stops a job; says whether it ran.
    pub fn cancel(&mut self, id: Id) -> bool {
        let Some(position) = self.streams.iter().position(|stream| stream.job.id == id) else {
            return false;
        };
        let stream = self.streams.swap_remove(position);
        self.used -= stream.job.need;
        true
    }

    /// Gives the prefixes evicted since it was last asked.
    pub fn take_evicted(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.evicted)
    }

    /// Runs one step: gives the time it takes and the tokens it gives at its end.
    pub fn step(&mut self) -> (Duration, Vec<Emitted>) {
        let decoding = self
            .streams
            .iter()
            .filter(|stream| stream.decodes())
            .count();
        let time = self.decode_time(decoding) + self.prefill_chunk(decoding > 0);
        (time, self.emit())
    }

    fn decode_time(&self, decoding: usize) -> Duration {
        if decoding == 0 {
            return Duration::ZERO;
        }
        let decodes = |stream: &&Stream| stream.decodes();
        let contexts = self
            .streams
            .iter()
            .filter(decodes)
            .map(|s| s.job.prompt + s.next);
        let context: u64 = contexts.sum();
        self.config.step + self.config.per_1k_context * u32::try_from(context / 1_000).unwrap_or(0)
    }

    /// Prefills a chunk, the most urgent prompts first; a prompt that is done decodes next.
    fn prefill_chunk(&mut self, mixed: bool) -> Duration {
        let chunk = if mixed {
            self.config.mixed_chunk
        } else {
            self.config.chunk
        };
        let honoured = self.config.priorities;
        let mut waiting: Vec<&mut Stream> = self
            .streams
            .iter_mut()
            .filter(|stream| !stream.decodes())
            .collect();
        waiting.sort_by_key(|s| (if honoured { s.job.priority } else { 0 }, s.order));
        let mut left = chunk;
        for stream in waiting {
            let part = stream.prefill_left.min(left);
            stream.prefill_left -= part;
            left -= part;
        }
        let done = chunk - left;
        self.prefilled += done;
        Duration::from_micros(done * 1_000_000 / self.config.rate)
    }

    fn emit(&mut self) -> Vec<Emitted> {
        let mut emitted = Vec::new();
        let mut over = Vec::new();
        for stream in self.streams.iter_mut().filter(|stream| stream.decodes()) {
            let last = stream.next + 1 >= stream.job.output;
            emitted.push(Emitted {
                id: stream.job.id,
                sequence: stream.next,
                last,
            });
            stream.next += 1;
            if last {
                over.push((stream.job.id, stream.job.prefix));
            }
        }
        for (id, prefix) in over {
            self.cancel(id);
            self.cache(prefix);
        }
        emitted
    }

    fn hit(&self, prefix: Option<Prefix>) -> u64 {
        let Some(wanted) = prefix else {
            return 0;
        };
        let cached = self.cached.iter().find(|cached| cached.key == wanted.key);
        cached.map_or(0, |cached| cached.tokens.min(wanted.tokens))
    }

    /// Caches a prefix as the newest; the oldest make room.
    fn cache(&mut self, prefix: Option<Prefix>) {
        let Some(prefix) = prefix else {
            return;
        };
        self.cached.retain(|cached| cached.key != prefix.key);
        self.cached.push_back(prefix);
        let size = |cached: &VecDeque<Prefix>| cached.iter().map(|p| p.tokens).sum::<u64>();
        while size(&self.cached) > self.config.cache_tokens {
            if let Some(oldest) = self.cached.pop_front() {
                self.evicted.push(oldest.key);
            }
        }
    }
}
