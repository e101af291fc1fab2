//! Chooses the engines of a prompt by what the choice costs everybody.
//!
//! A prompt that is read beside running answers makes them pause for the whole pass. A choice is
//! therefore weighed by the worth of the answers that it would make late, the new one included.
//! Long prompts are read in parts by several engines, which makes each pause short; prompts too big
//! for that wait at their host until few answers would suffer, and less and less choosy as their own
//! time runs out. Some engines are left to short prompts.
//!
//! `short` and `long` choose for the two kinds of prompts, and `parts` lays a long prompt out over engines. `patience` says
//! whether it should wait, `demand` what its place in the line of waiting prompts goes by, and `wait` holds what operators are
//! told of it. They all weigh by `cost` and `timing`, and `chance` keeps hosts from choosing alike.

mod chance;
mod cost;
mod demand;
mod long;
mod parts;
mod patience;
mod short;
mod timing;
mod wait;

pub use cost::LATE_WORTH;
pub use demand::demand;
pub use wait::{Reason, Wait};

use super::incarnation::Key;
use super::load_table::{Load, Pauses};
use super::pass::EngineProfile;
use super::progress::Backlog;
use std::time::Duration;

/// The most engines that read one prompt: the one that answers and 16 helpers, as the engines allow.
pub const MAX_PARTS: usize = 17;
/// Prompts below this many tokens are short: they are read in one part and prefer quiet engines.
pub const SHORT_PROMPT_TOKENS: u64 = 12_000;
/// When a caller should come back to a service that no engine serves.
const NO_ENGINES: Duration = Duration::from_millis(1_000);

/// A prompt to be placed.
#[derive(Debug, Clone)]
pub struct Work {
    /// Its length in tokens.
    pub prompt: u64,
    /// The memory that it needs with its answer, in tokens.
    pub memory: u64,
    /// The time from its arrival to the first event that earns its full worth.
    pub objective: Duration,
    /// The time from its arrival to the first event after which its caller leaves.
    pub caller_timeout: Duration,
    /// How long it has waited.
    pub waited: Duration,
    /// How long its caller still waits.
    pub time_left: Duration,
    /// Whether its caller was refused before and has come back.
    pub is_retry: bool,
    /// What it is worth, where an ordinary short reply is worth about one.
    pub worth: f64,
    /// Servers that have failed it.
    pub avoid: Vec<Key>,
    /// Servers that read it together when nothing came of it: one of them may be sick, and nobody says which.
    pub stalled: Vec<Key>,
    /// A number drawn by chance for this look, by which hosts that choose at the same moment choose differently; `None`
    /// where no other host chooses.
    pub random: Option<u64>,
}

/// An engine that could take it.
#[derive(Debug, Clone)]
pub struct Engine {
    /// The server.
    pub id: Key,
    /// What all hosts hold there.
    pub load: Load,
    /// What it does before it turns to a prompt that is placed now.
    pub backlog: Backlog,
    /// Its timing.
    pub profile: EngineProfile,
    /// The pauses that its answers bear.
    pub pauses: Pauses,
    /// Whether it is in the host's own failure domain.
    pub same_domain: bool,
    /// Whether it should be passed over where others can serve.
    pub suspect: bool,
}

/// Memory to be set aside at an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// The engine.
    pub server: Key,
    /// The memory, in tokens.
    pub tokens: u64,
}

/// A choice of engines.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The engine that answers.
    pub primary: Key,
    /// The others that read a part.
    pub helpers: Vec<Key>,
    /// Memory to be set aside before the prompt is sent; empty where it fits the first engine.
    pub shares: Vec<Share>,
    /// The reading time of a part, in milliseconds.
    pub part: f64,
    /// When the first event is expected, counted from now.
    pub first_event: Duration,
    /// Whether it takes up many engines at once.
    pub multi_engine: bool,
}

/// What to do with a prompt now.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Send it.
    Send(Plan),
    /// Look again later.
    Wait(Wait),
    /// It can't be answered in its time; it would help to come back after this.
    Refuse(Duration),
}

/// What concerns all engines of a service together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceState {
    /// Prompts being read that take up many engines.
    pub multi_engine_prompts: u32,
    /// Waiting prompts that go before this one, over all hosts.
    pub queued_before: u32,
    /// How much the engines have to read, from `0.0` (nothing) to `1.0` (all the time).
    pub pressure: f64,
    /// How many engines there are.
    pub engines: usize,
}

/// Gives how much engines have to read now, on the scale of [`Shared::pressure`].
pub fn pressure(engines: &[Engine]) -> f64 {
    /// The mean reading that waits at engines that read nearly all the time, in milliseconds.
    const FULL: f64 = 120.0;
    if engines.is_empty() {
        return 0.0;
    }
    let reading = engines.iter().map(|engine| engine.backlog.total());
    let mean = reading.sum::<f64>() / engines.len() as f64;
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
pub fn choose(work: &Work, engines: &[Engine], state: &ServiceState) -> Decision {
    if engines.is_empty() {
        return Decision::Refuse(NO_ENGINES);
    }
    let usable = usable(work, engines);
    if work.prompt < SHORT_PROMPT_TOKENS {
        return short::choose(work, engines, &usable);
    }
    long::choose(work, &usable, state)
}

/// Lists the engines that have not failed the prompt, or all where each of them has.
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
