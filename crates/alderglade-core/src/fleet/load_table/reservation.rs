//! One request's part in the book: where it was placed and what it takes there.

use super::Load;
use crate::fleet::incarnation::Key;

/// One request's part in the book, from its placement to its end.
#[derive(Debug, Clone, PartialEq)]
pub struct Reservation {
    /// The server that answers.
    pub primary: Key,
    /// What it takes there.
    pub load: Load,
    /// The servers that read parts of the prompt, and what it takes there.
    pub helpers: Vec<Part>,
    /// Whether it takes up many engines at once while it is read.
    pub multi_engine: bool,
}

impl Reservation {
    /// Leaves the reading out that it brings to its servers.
    pub(super) fn without_reading(mut self) -> Reservation {
        self.load.placed = 0;
        for helper in &mut self.helpers {
            helper.load.placed = 0;
        }
        self
    }
}

/// What a request takes at a server that doesn't answer it.
#[derive(Debug, Clone, PartialEq)]
pub struct Part {
    /// The server.
    pub server: Key,
    /// What it takes there.
    pub load: Load,
}

/// Names a [`Reservation`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReservationId(pub(super) u64);
