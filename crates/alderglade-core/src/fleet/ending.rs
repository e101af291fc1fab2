//! Ends of responses: whether what a server has sent is all that it had to send.
//!
//! A length or a last chunk says so. A response with neither ends with its connection, which is also how the kernel ends
//! the connections of a process that is gone. So its end counts only where it can be one, and as long as its server has
//! not ended. That holds for a server that was leaving, too: it need not wait for its last response.

use super::incarnation::Key;
use crate::time::Time;
use std::collections::HashMap;
use std::time::Duration;

/// How long a process that ends may take to close its listener after its first connection, on a busy machine.
const MAX_EXIT_TIME: Duration = Duration::from_millis(50);

/// How the end of a response's body is marked (RFC 9112, section 6.3).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By its stated length, or because there is no body.
    Length,
    /// By the last chunk.
    Chunked,
    /// By the end of the connection.
    Close,
}

impl Framing {
    /// Returns the name of the framing in logs.
    pub fn label(self) -> &'static str {
        match self {
            Framing::Length => "length",
            Framing::Chunked => "chunked",
            Framing::Close => "close",
        }
    }
}

/// Where a response ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// Inside an event.
    InEvent,
    /// Before the first event of a stream that continues no other one.
    BeforeFirstEvent,
    /// After an event, or anywhere in a body that is no series of events.
    Boundary,
}

/// What is known of a server whose response has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// It serves, or nothing else is known.
    Serving,
    /// It has restarted since the request was sent.
    Restarted,
    /// Nothing listens at its address.
    Gone,
}

/// What the end of a response without an error means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The response is complete.
    Complete,
    /// The server has broken it off.
    BrokenOff,
    /// It depends on the server's state.
    Unconfirmed,
}

impl Ending {
    /// Judges an end by how and where it came.
    pub fn judge(framing: Framing, place: Place) -> Ending {
        match (framing, place) {
            (_, Place::InEvent) | (Framing::Close, Place::BeforeFirstEvent) => Ending::BrokenOff,
            (Framing::Close, Place::Boundary) => Ending::Unconfirmed,
            (Framing::Length | Framing::Chunked, _) => Ending::Complete,
        }
    }

    /// Returns whether a response whose end is unconfirmed has been broken off.
    pub fn is_broken_off_by(server: ServerState) -> bool {
        matches!(server, ServerState::Restarted | ServerState::Gone)
    }
}

/// The servers that have broken off a response lately: their processes may be ending.
#[derive(Debug, Default)]
pub struct Breaks {
    last: HashMap<Key, Time>,
}

impl Breaks {
    /// Records that a server broke off a response.
    pub fn record(&mut self, server: Key, now: Time) {
        self.last.retain(|_, at| now.since(*at) < MAX_EXIT_TIME);
        self.last.insert(server, now);
    }

    /// Returns whether a server's process may be ending although it still takes connections.
    pub fn may_be_ending(&self, server: Key, now: Time) -> bool {
        let last = self.last.get(&server);
        last.is_some_and(|at| now.since(*at) < MAX_EXIT_TIME)
    }
}
