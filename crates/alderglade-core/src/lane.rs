//! Lanes: the coarse priority order of requests.
//!
//! Three lanes suffice to guarantee that long prompts never starve short urgent requests. The lane
//! depends on the caller class and the prompt length. A long prompt always goes to the long lane,
//! whatever its class, because it occupies an engine for seconds.

use serde::{Deserialize, Serialize};

/// Number of lanes.
pub const COUNT: usize = 3;

/// Prompts with more tokens than this go to the long lane.
pub const LONG_TOKENS: u64 = 32_768;

/// The priority of a caller class, from the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// A person waits for the first token.
    Urgent,
    /// A person will read the answer soon.
    Normal,
    /// Nobody waits for the answer; it only has to meet its deadline.
    Batch,
}

/// The lane in which a request waits. The variants are ordered, most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Lane {
    /// Short prompts of urgent classes.
    Urgent,
    /// Short prompts of other classes.
    Standard,
    /// Long prompts of any class.
    Long,
}

impl Lane {
    /// All lanes, most urgent first.
    pub const ALL: [Lane; COUNT] = [Lane::Urgent, Lane::Standard, Lane::Long];

    /// Returns the lane for a prompt with `tokens` tokens of a class with `priority`.
    pub fn of(priority: Priority, tokens: u64) -> Lane {
        if tokens > LONG_TOKENS {
            return Lane::Long;
        }
        match priority {
            Priority::Urgent => Lane::Urgent,
            Priority::Normal | Priority::Batch => Lane::Standard,
        }
    }

    /// Returns the position of the lane in [`Lane::ALL`]; `0` is the most urgent.
    pub fn index(self) -> usize {
        self as usize
    }

    /// Returns the priority number sent to model engines, which serve `0` first.
    pub fn engine_priority(self) -> u8 {
        self as u8
    }
}
