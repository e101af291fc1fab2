//! Chooses the engines of a prompt by the total cost of the choice to all answers.
//!
//! While an engine reads a prompt, the answers running there pause for the whole pass. The cost of a choice is
//! therefore the value of the answers that it would make late, including the new one. Several engines read a long
//! prompt in parts, which keeps each pause short. Prompts too big for that wait at their host until few answers would
//! be late, and accept a higher cost as their own time runs out. Some engines are left to short prompts.
//!
//! `short` and `long` choose for the two kinds of prompts, and `parts` plans a long prompt over a number of engines.
//! `hold_policy` decides whether a long prompt should wait, and `slot_queue` whether a short one should. `due` serves long
//! prompts that may no longer wait. `demand` computes what the rank in the wait queue depends on, and `wait` describes the
//! wait to operators. All of them use `cost`, `timing` and `slots`. `jitter` keeps hosts that choose at the same moment from making the same choice, and
//! `spread` does where engines have few free slots.

mod cost;
mod demand;
mod due;
mod hold_policy;
mod jitter;
mod long;
mod parts;
mod short;
mod slot_queue;
mod slots;
mod spread;
mod timing;
mod wait;

pub use cost::LATE_VALUE;
pub use demand::demand;
pub use slot_queue::{Outlook, still_held};
pub use slots::{Slots, expected_answer_time};
pub use wait::{Reason, Wait};

use super::incarnation::Key;
use super::load_table::{Load, Pauses};
use super::pass::EngineProfile;
use super::progress::Backlog;
use std::time::Duration;

/// The maximum number of engines that read one prompt: the one that answers and 16 helpers, a limit of the engines.
pub const MAX_PARTS: usize = 17;
/// Prompts below this many tokens are short: they are read in one part and prefer quiet engines.
pub const SHORT_PROMPT_TOKENS: u64 = 12_000;
/// The retry delay for callers of a service without engines.
const NO_ENGINES_RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// A prompt to be placed.
#[derive(Debug, Clone)]
pub struct Work {
    /// The length of the prompt in tokens.
    pub prompt: u64,
    /// The memory that the prompt and its answer need, in tokens.
    pub memory: u64,
    /// The latency objective: the maximum time from arrival to the first event for the answer to earn its full value. For
    /// a resumed stream, the longest pause between events.
    pub objective: Duration,
    /// The time after which the caller leaves if no event has come, counted like `waited`.
    pub caller_timeout: Duration,
    /// How long the prompt has waited: since its arrival, or for a resumed stream since its last event.
    pub waited: Duration,
    /// How long the caller will still wait for the whole answer.
    pub time_left: Duration,
    /// Whether the caller was refused before and has retried.
    pub is_retry: bool,
    /// How long before this attempt the caller's first one arrived, as the remaining time that it states shows.
    pub earlier: Duration,
    /// Whether the prompt continues a stream that another server began.
    pub resumed: bool,
    /// How much later than its due time the prompt ranks in the wait queue, because others have a higher rank or because
    /// its workspace is over its share.
    pub order_delay: Duration,
    /// Whether the prompt competes for slots only with those that the wait queue lists: it may use all engines, and no
    /// other service has any. Otherwise it neither waits for slots nor is refused for lack of them.
    pub queues_for_slots: bool,
    /// Whether the prompt's workspace is far over its share of the engines while capacity is short.
    pub over_share: bool,
    /// The value of the answer, on a scale where an ordinary short reply has a value of about one.
    pub value: f64,
    /// Servers that have failed the prompt.
    pub avoid: Vec<Key>,
    /// Servers that read the prompt together and produced nothing. One of them may be faulty, but it isn't known which.
    pub stalled: Vec<Key>,
    /// A random number for this choice, which makes hosts that choose at the same moment choose differently; `None` if
    /// no other host chooses.
    pub random: Option<u64>,
}

/// A candidate engine for a prompt.
#[derive(Debug, Clone)]
pub struct Engine {
    /// The server.
    pub id: Key,
    /// What all hosts together hold there.
    pub load: Load,
    /// The work that the engine finishes before it starts on a prompt placed now.
    pub backlog: Backlog,
    /// The engine's timing.
    pub profile: EngineProfile,
    /// How long an answer holds its slot there.
    pub answer_time: Duration,
    /// The pauses that its answers tolerate.
    pub pauses: Pauses,
    /// Whether the engine is in the host's own failure domain.
    pub same_domain: bool,
    /// Whether to skip the engine if others can serve.
    pub suspect: bool,
}

/// Memory to reserve at an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// The engine that reserves the memory.
    pub server: Key,
    /// The amount of memory, in tokens.
    pub tokens: u64,
}

/// A choice of engines.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The engine that answers.
    pub primary: Key,
    /// The other engines that read a part.
    pub helpers: Vec<Key>,
    /// Memory to reserve before the prompt is sent; empty if it fits into the primary engine.
    pub shares: Vec<Share>,
    /// The reading time of a part, in milliseconds.
    pub part_ms: f64,
    /// The expected time from now to the first event.
    pub time_to_first_event: Duration,
    /// The part of this time for which the prompt waits for a slot of the engine that answers.
    pub slot_wait: Duration,
    /// Whether the prompt occupies many engines at once.
    pub multi_engine: bool,
}

/// What to do with a prompt now.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Send the prompt to these engines.
    Send(Plan),
    /// Hold the prompt and check again later.
    Wait(Wait),
    /// Refuse the prompt, since it can't be answered in its time; the caller should retry after this delay.
    Refuse(Duration),
}

/// The state of a service as a whole.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceState {
    /// The number of prompts being read that occupy many engines at once.
    pub multi_engine_prompts: u32,
    /// The number of queued prompts that precede this one, over all hosts: of short ones if it is short, else of long
    /// ones.
    pub queued_before: u32,
    /// The number among them that are due and that this one may not pass; `0` for a short prompt.
    pub due_before: u32,
    /// How busy the engines are with reading, from `0.0` (idle) to `1.0` (reading all the time).
    pub pressure: f64,
    /// The number of engines.
    pub engines: usize,
    /// The number of requests that all hosts place per second.
    pub placements_per_second: f64,
}

/// Returns how busy engines are with reading now, on the scale of [`ServiceState::pressure`].
pub fn pressure(engines: &[Engine]) -> f64 {
    /// The mean backlog of engines that read nearly all the time, in milliseconds.
    const FULL_LOAD_MS: f64 = 120.0;
    if engines.is_empty() {
        return 0.0;
    }
    let backlogs = engines.iter().map(|engine| engine.backlog.total());
    let mean = backlogs.sum::<f64>() / engines.len() as f64;
    (mean / FULL_LOAD_MS).min(1.0)
}

/// Estimates the value of a prompt from its length, on the scale of [`Work::value`].
pub fn value(prompt: u64) -> f64 {
    /// The value of a prompt regardless of its length.
    const BASE: f64 = 1.0;
    /// The value that a thousand tokens add. Both constants fit the users' sheets, where prompts of 5, 45 and 133
    /// thousand tokens have values of 1.3, 3.9 and 15, and within a kind the value grows with the length.
    const PER_THOUSAND_TOKENS: f64 = 0.086;
    BASE + PER_THOUSAND_TOKENS * prompt as f64 / 1_000.0
}

/// Chooses the engines for a prompt; `engines` are all engines of its service in a stable order.
pub fn choose(work: &Work, engines: &[Engine], state: &ServiceState) -> Decision {
    if engines.is_empty() {
        return Decision::Refuse(NO_ENGINES_RETRY_DELAY);
    }
    let usable = usable(work, engines);
    if work.prompt < SHORT_PROMPT_TOKENS {
        return short::choose(work, engines, &usable, state);
    }
    long::choose(work, &usable, state)
}

/// Returns the engines that have not failed the prompt, or all engines if each of them has.
fn usable<'a>(work: &Work, engines: &'a [Engine]) -> Vec<&'a Engine> {
    let usable: Vec<&Engine> = engines
        .iter()
        .filter(|engine| !work.avoid.contains(&engine.id))
        .collect();
    if usable.is_empty() {
        return engines.iter().collect();
    }
    usable
}
