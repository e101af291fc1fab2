//! How far a host knows the store.
//!
//! A store may come back from a copy some seconds old. Its revisions then go back, and are given out again for other
//! changes: the same number stands for another history. Each time it does, its *era* rises by one. Only both together say
//! what is later.

use serde::{Deserialize, Serialize};

/// A revision of the store in one of its eras. Whatever is of a later era is later.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// How often the store has come back from a copy, as it says; `0` where it doesn't.
    pub era: u64,
    /// The revision.
    pub revision: u64,
}

impl Position {
    /// Names a revision of an era.
    pub fn new(era: u64, revision: u64) -> Position {
        Position { era, revision }
    }

    /// Says whether changes that come after this position can be taken by whoever knows all up to `known`: it is of
    /// the same history, and nothing lies between.
    pub fn joins(&self, known: Position) -> bool {
        self.era == known.era && *self <= known
    }
}
