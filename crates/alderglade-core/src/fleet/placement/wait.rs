//! What is said of a prompt that is held back: when to look again, and why it waits, for operators.

use std::time::Duration;

/// A prompt is held back for now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wait {
    /// When to look again.
    pub recheck_after: Duration,
    /// Why it is held.
    pub reason: Reason,
}

/// Why a prompt is held back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// No engines together have the memory free.
    Memory,
    /// As many prompts as may take up many engines at once are being read.
    MultiEngine,
    /// It would be late now, and may be in time when the engines have read what they have.
    Busy,
    /// Others would lose more by it than it gains.
    Harm,
}

impl Reason {
    /// Gives the name of the reason in logs.
    pub fn label(self) -> &'static str {
        match self {
            Reason::Memory => "memory",
            Reason::MultiEngine => "giants",
            Reason::Busy => "busy",
            Reason::Harm => "harm",
        }
    }
}
