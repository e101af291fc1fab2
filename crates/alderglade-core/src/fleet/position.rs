//! Positions in the history of the store.
//!
//! The store may be restored from a copy that is some seconds old. Its revisions then go back and are assigned again to
//! other changes, so the same revision stands for a different history. Each restore increments the store's *era*. Only
//! era and revision together determine which of two positions is later.

use serde::{Deserialize, Serialize};

/// A revision of the store in one of its eras. Every position of a later era is later.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Number of times that the store has been restored from a copy, as it reports; `0` if it doesn't report it.
    pub era: u64,
    /// The revision within the era.
    pub revision: u64,
}

impl Position {
    /// Creates the position of a revision in an era.
    pub fn new(era: u64, revision: u64) -> Position {
        Position { era, revision }
    }

    /// Returns whether changes that start after this position can be applied on top of `known`: both are of the same
    /// era, and there is no gap between them.
    pub fn joins(&self, known: Position) -> bool {
        self.era == known.era && *self <= known
    }
}
