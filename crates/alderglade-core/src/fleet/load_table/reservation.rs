//! One request's entry in the load table: where it was placed and what it uses there.

use super::Load;
use crate::fleet::incarnation::Key;

/// One request's entry in the load table, from its placement to its end.
#[derive(Debug, Clone, PartialEq)]
pub struct Reservation {
    /// The server that answers.
    pub primary: Key,
    /// The load that the request adds to `primary`.
    pub load: Load,
    /// The servers that read parts of the prompt, with the load there.
    pub helpers: Vec<Part>,
    /// Whether the prompt occupies many engines at once while it is read.
    pub multi_engine: bool,
}

impl Reservation {
    /// Returns the reading at all servers, in microseconds.
    pub fn reading_micros(&self) -> u64 {
        let helpers = self.helpers.iter().map(|helper| helper.load.placed_micros);
        helpers.fold(self.load.placed_micros, u64::saturating_add)
    }

    /// Clears the reading at all servers.
    pub(super) fn without_reading(mut self) -> Reservation {
        self.load.placed_micros = 0;
        for helper in &mut self.helpers {
            helper.load.placed_micros = 0;
        }
        self
    }
}

/// The load of a request at a server that reads a part of the prompt but doesn't answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Part {
    /// The server that reads the part.
    pub server: Key,
    /// The load that the request adds to this server.
    pub load: Load,
}

/// Identifies a [`Reservation`] of this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReservationId(pub(super) u64);
