//! Lanes: the coarse order in which work is served.
//!
//! Three lanes are enough for the promise that short urgent work is never starved by long
//! reviews. A lane follows from the caller class and from the length of the prompt: a long
//! prompt is long work whatever its class says, because it holds an engine for seconds.

use serde::{Deserialize, Serialize};

/// How many lanes there are.
pub const COUNT: usize = 3;

/// Prompts with more tokens than this are long work.
pub const LONG_TOKENS: u64 = 32_768;

/// How urgent a caller class is, as its settings say.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// A person waits for the first token.
    Urgent,
    /// A person will read the answer soon.
    Normal,
    /// Nobody waits; the answer must come within its time.
    Batch,
}

/// The lane a request waits in, most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Lane {
    /// Short and urgent.
    Urgent,
    /// Short, not urgent.
    Standard,
    /// Long prompts, whatever their class.
    Long,
}

impl Lane {
    /// All lanes, most urgent first.
    pub const ALL: [Lane; COUNT] = [Lane::Urgent, Lane::Standard, Lane::Long];

    /// Picks the lane for a prompt of `tokens` tokens of a class with `priority`.
    pub fn of(priority: Priority, tokens: u64) -> Lane {
        if tokens > LONG_TOKENS {
            return Lane::Long;
        }
        match priority {
            Priority::Urgent => Lane::Urgent,
            Priority::Normal | Priority::Batch => Lane::Standard,
        }
    }

    /// Gives the position of the lane, `0` being the most urgent.
    pub fn index(self) -> usize {
        self as usize
    }

    /// Gives the priority number that model engines take, `0` being served first.
    pub fn engine_priority(self) -> u8 {
        self as u8
    }
}
