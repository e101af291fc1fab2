//! The life cycle of a request, by typestate.
//!
//! `Received → Admitted → Placed → Dispatched → Answered`. Only a request that was not dispatched
//! can be refused with "did not run"; the types leave no other way to make that answer.

use crate::Name;
use crate::error::{Kind, Ran};
use crate::lane::Lane;
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The identity of a request, unique over the fleet: the entry host's incarnation and a counter.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct Id {
    /// The incarnation of the entry host that took the request.
    pub incarnation: u64,
    /// Counts the requests of that incarnation.
    pub serial: u64,
}

impl std::fmt::Display for Id {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}-{:x}", self.incarnation, self.serial)
    }
}

/// A prompt's beginning that other prompts share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prefix {
    /// A digest of the shared text.
    pub key: u64,
    /// Its length in tokens.
    pub tokens: u64,
}

/// What a queue has to know of a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ticket {
    /// The request.
    pub id: Id,
    /// The workspace that pays for it.
    pub workspace: Name,
    /// The model asked for.
    pub model: Name,
    /// The lane it waits in.
    pub lane: Lane,
    /// The workspace's weight.
    pub weight: u32,
    /// Prompt length in tokens.
    pub prompt: u64,
    /// The most tokens that the answer may have.
    pub output_cap: u64,
    /// The tokens that the answer is expected to have.
    pub output_expected: u64,
    /// The shared beginning, if the caller named one.
    pub prefix: Option<Prefix>,
    /// The time that remains, at the moment of sending.
    pub time_left: Duration,
    /// Which try this is, counted from `1`.
    pub attempt: u32,
    /// An engine that has just failed the request.
    pub avoid: Option<Name>,
}

impl Ticket {
    /// Gives the KV memory that the request needs, in tokens.
    pub fn need(&self) -> u64 {
        self.prompt + self.output_cap
    }
}

/// Taken from the caller; nothing is decided yet.
#[derive(Debug)]
pub struct Received;
/// Let in: its time is running.
#[derive(Debug)]
pub struct Admitted;
/// Given one engine, or several for a prompt bigger than one.
#[derive(Debug)]
pub struct Placed {
    /// The engines, in the order in which the prompt passes through them.
    pub engines: Vec<Name>,
}
/// Sent to its engines; from here on it may have run.
#[derive(Debug)]
pub struct Dispatched {
    /// The engines.
    pub engines: Vec<Name>,
}
/// Answered; nothing more happens.
#[derive(Debug)]
pub struct Answered {
    /// `None` where it finished, else why it failed.
    pub failure: Option<Refusal>,
}

/// An answer that says no.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub kind: Kind,
    /// Whether it ran.
    pub ran: Ran,
    /// When to come back, where that helps.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Makes the answer that the table holds for `kind`.
    pub fn new(kind: Kind, retry_after: Duration) -> Refusal {
        let row = kind.row();
        Refusal {
            kind,
            ran: row.ran,
            retry_after: row.retry_after.then_some(retry_after),
        }
    }
}

/// A request in one state of its life.
#[derive(Debug)]
pub struct Request<S> {
    /// What queues know of it.
    pub ticket: Ticket,
    /// When it has to be answered.
    pub deadline: Time,
    /// What belongs to the state.
    pub state: S,
}

impl<S> Request<S> {
    fn turn<T>(self, state: T) -> Request<T> {
        Request {
            ticket: self.ticket,
            deadline: self.deadline,
            state,
        }
    }
}

/// States in which a request has certainly not run.
pub trait NotSent {}
impl NotSent for Received {}
impl NotSent for Admitted {}
impl NotSent for Placed {}

impl<S: NotSent> Request<S> {
    /// Ends the request with an answer that says it did not run.
    ///
    /// The kind's own word on `ran` gives way: what was not sent did not run. Only an answer about
    /// an earlier request with the same key keeps its word.
    pub fn refuse(self, mut refusal: Refusal) -> Request<Answered> {
        if !refusal.kind.is_about_earlier() {
            refusal.ran = Ran::No;
        }
        self.turn(Answered {
            failure: Some(refusal),
        })
    }
}

impl Request<Received> {
    /// Takes a request from a caller.
    pub fn receive(ticket: Ticket, deadline: Time) -> Request<Received> {
        Request {
            ticket,
            deadline,
            state: Received,
        }
    }

    /// Lets the request in.
    pub fn admit(self) -> Request<Admitted> {
        self.turn(Admitted)
    }
}

impl Request<Admitted> {
    /// Gives the request its engines.
    pub fn place(self, engines: Vec<Name>) -> Request<Placed> {
        self.turn(Placed { engines })
    }
}

impl Request<Placed> {
    /// Notes that the request is being sent.
    pub fn dispatch(mut self) -> Request<Dispatched> {
        let engines = std::mem::take(&mut self.state.engines);
        self.turn(Dispatched { engines })
    }
}

impl Request<Dispatched> {
    /// Ends the request with its whole answer.
    pub fn finish(self) -> Request<Answered> {
        self.turn(Answered { failure: None })
    }

    /// Ends the request with a failure after it was sent.
    pub fn fail(self, refusal: Refusal) -> Request<Answered> {
        self.turn(Answered {
            failure: Some(refusal),
        })
    }
}
