//! The decision to hold a prompt: when to check it again, and the reason that is shown to operators.

use std::time::Duration;

/// How long a prompt is held until the next check, and why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wait {
    /// The time until the next check.
    pub recheck_after: Duration,
    /// The condition that the prompt waits for.
    pub reason: Reason,
}

/// Why a prompt is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// No set of engines has enough free memory.
    Memory,
    /// The limit of prompts that occupy many engines at once is reached.
    MultiEngine,
    /// The prompt would be late now, and may be in time once the engines have read their backlog.
    Busy,
    /// Other answers would lose more value than the prompt may cost them at present.
    Harm,
    /// Engines have no free slot for the prompt.
    Slots,
    /// Prompts that are due precede it.
    Order,
}

impl Reason {
    /// Returns the name of the reason in logs.
    pub fn label(self) -> &'static str {
        match self {
            Reason::Memory => "memory",
            Reason::MultiEngine => "giants",
            Reason::Busy => "busy",
            Reason::Harm => "harm",
            Reason::Slots => "slots",
            Reason::Order => "order",
        }
    }
}
