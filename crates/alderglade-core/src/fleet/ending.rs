//! Ends of responses: whether what a server has sent is all that it had to send.
//!
//! A length or a last chunk says so. A response with neither ends with its connection, which is also how the kernel ends
//! the connections of a process that is gone. So its end counts only where it can be one, and as long as its server has
//! not ended. That holds for a server that was leaving, too: it need not wait for its last response.
//!
//! Only the process that sent a response can show that it outlived it. A host therefore holds a standby connection to the
//! server beside such a response, and asks on it once the response has ended. A server that started later at the same
//! address does not have that connection.

use crate::time::Time;
use std::time::Duration;

/// How long a process that ends may take to close all its connections, on a busy machine.
const MAX_EXIT_TIME: Duration = Duration::from_millis(100);

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

/// What a standby connection showed when it was asked on after the end of a response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Evidence {
    /// The process at its other end answered.
    Answered,
    /// A server with another id answered.
    Misdirected,
    /// It was closed without an answer.
    Closed,
    /// It stayed open without an answer.
    Silent,
    /// The server's machine refuses connections.
    Refused,
    /// No connection could be opened in time, for any other reason.
    #[default]
    Unreachable,
}

impl Evidence {
    /// Returns the name of the evidence in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Evidence::Answered => "answered",
            Evidence::Misdirected => "misdirected",
            Evidence::Closed => "closed",
            Evidence::Silent => "silent",
            Evidence::Refused => "refused",
            Evidence::Unreachable => "unreachable",
        }
    }
}

/// The history of a standby connection, and what it showed after the end of its response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Standby {
    /// When the connection was opened on which the evidence was obtained, if it was on one.
    pub opened: Option<Time>,
    /// When the server first closed a standby connection before the response had ended.
    pub closed_at: Option<Time>,
    /// When the server's machine first refused a standby connection before the response had ended.
    pub refused_at: Option<Time>,
    /// What the connection showed.
    pub evidence: Evidence,
}

impl Standby {
    /// Returns whether a response that was alive at `alive_at` has outlived the losses of the connection. It shows that its
    /// server closes or refuses connections for other reasons than its end.
    pub fn is_outlived(&self, alive_at: Time) -> bool {
        let losses = [self.closed_at, self.refused_at];
        let mut losses = losses.into_iter().flatten();
        losses.all(|loss| alive_at >= loss + MAX_EXIT_TIME)
    }
}

/// What is known of a server whose response has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// The process that sent the response was alive after its end.
    Serving,
    /// It has restarted since the request was sent.
    Restarted,
    /// The process has ended.
    Gone,
    /// There is neither a proof of life nor one of death.
    Unknown,
}

impl ServerState {
    /// Returns the state of a server whose response has ended with its connection.
    ///
    /// `alive_at` is the last time at which the response itself showed that its process was alive: when its request was
    /// sent, or later when the host read, nothing arrived for some time, and the response had not ended.
    pub fn judge(standby: &Standby, alive_at: Time) -> ServerState {
        if !standby.is_outlived(alive_at) {
            return ServerState::Gone;
        }
        match standby.evidence {
            Evidence::Misdirected => ServerState::Restarted,
            Evidence::Closed if standby.closed_at.is_none() => ServerState::Gone,
            Evidence::Refused if standby.refused_at.is_none() => ServerState::Gone,
            Evidence::Answered if standby.opened.is_some_and(|opened| opened <= alive_at) => {
                ServerState::Serving
            }
            _ => ServerState::Unknown,
        }
    }
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

    /// Returns whether a response whose end is unconfirmed has been broken off. Without a proof it has not: the kernel
    /// closes the connections of a process that ends even if nobody answers any more.
    pub fn is_broken_off_by(server: ServerState) -> bool {
        matches!(server, ServerState::Restarted | ServerState::Gone)
    }
}
