//! The life cycle of a request as a typestate.
//!
//! The states are `Received → Admitted → Placed → Dispatched → Answered`. Only a request that was
//! not dispatched can be refused with "did not run"; the types make any other use a compile error.

use crate::Name;
use crate::error::{Kind, Ran};
use crate::lane::Lane;
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The identity of a request, unique in the fleet: the entry host's incarnation and a counter.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct Id {
    /// The incarnation of the entry host that received the request.
    pub incarnation: u64,
    /// The number of the request within that incarnation.
    pub serial: u64,
}

impl std::fmt::Display for Id {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}-{:x}", self.incarnation, self.serial)
    }
}

/// A prompt prefix that several prompts share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prefix {
    /// Digest of the prefix text.
    pub key: u64,
    /// Length of the prefix in tokens.
    pub tokens: u64,
}

impl Prefix {
    /// Returns the id of the prefix as a part of prompts.
    pub fn id(&self) -> String {
        format!("{:x}", self.key)
    }
}

/// The properties of a request that queues and placement use.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ticket {
    /// The identity of the request.
    pub id: Id,
    /// The workspace that is charged for the request.
    pub workspace: Name,
    /// The requested model.
    pub model: Name,
    /// The lane in which the request waits.
    pub lane: Lane,
    /// The workspace's weight in fair queueing.
    pub weight: u32,
    /// Prompt length in tokens.
    pub prompt: u64,
    /// Maximum output length in tokens.
    pub output_cap: u64,
    /// Expected output length in tokens.
    pub output_expected: u64,
    /// The shared prefix, if the caller named one.
    pub prefix: Option<Prefix>,
    /// Time until the deadline, at the moment of sending.
    pub time_left: Duration,
    /// The number of this attempt, starting at `1`.
    pub attempt: u32,
    /// The engine that failed the previous attempt.
    pub avoid: Option<Name>,
}

impl Ticket {
    /// Returns the KV memory that the request needs, in tokens.
    pub fn kv_tokens_needed(&self) -> u64 {
        self.prompt + self.output_cap
    }
}

/// State: received from the caller, not yet admitted.
#[derive(Debug)]
pub struct Received;
/// State: admitted; the time limit is running.
#[derive(Debug)]
pub struct Admitted;
/// State: assigned to one engine, or to several if the prompt doesn't fit into one.
#[derive(Debug)]
pub struct Placed {
    /// The engines, in the order in which the prompt passes through them.
    pub engines: Vec<Name>,
}
/// State: sent to its engines. From here on the request may have run.
#[derive(Debug)]
pub struct Dispatched {
    /// The engines, in the order in which the prompt passes through them.
    pub engines: Vec<Name>,
}
/// State: answered. This state is final.
#[derive(Debug)]
pub struct Answered {
    /// The reason of the failure; `None` if the request finished.
    pub failure: Option<Refusal>,
}

/// The answer to a request that was refused or failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The error kind.
    pub kind: Kind,
    /// Whether the request ran.
    pub ran: Ran,
    /// Time after which the caller should retry, if a retry can succeed.
    pub retry_after: Option<Duration>,
    /// Why capacity was short, for the log. It is not part of any message.
    #[serde(skip)]
    pub reason: Option<&'static str>,
}

impl Refusal {
    /// Creates the answer for `kind` according to [`crate::error::TABLE`].
    ///
    /// `retry_after` is dropped if the table has no retry time for `kind`.
    pub fn new(kind: Kind, retry_after: Duration) -> Refusal {
        let row = kind.row();
        Refusal {
            kind,
            ran: row.ran,
            retry_after: row.retry_after.then_some(retry_after),
            reason: None,
        }
    }

    /// Adds why capacity was short.
    pub fn with_reason(self, reason: &'static str) -> Refusal {
        Refusal {
            reason: Some(reason),
            ..self
        }
    }
}

/// A request in state `S` of its life cycle.
#[derive(Debug)]
pub struct Request<S> {
    /// The properties of the request.
    pub ticket: Ticket,
    /// The time by which the request has to be answered.
    pub deadline: Time,
    /// The data of the current state.
    pub state: S,
}

impl<S> Request<S> {
    fn with_state<T>(self, state: T) -> Request<T> {
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
    /// Ends the request with an answer that says that it did not run.
    ///
    /// This overrides the `ran` value of the kind, because a request that was not sent did not run.
    /// An answer about an earlier request with the same key keeps its value.
    pub fn refuse(self, mut refusal: Refusal) -> Request<Answered> {
        if !refusal.kind.is_about_earlier() {
            refusal.ran = Ran::No;
        }
        self.with_state(Answered {
            failure: Some(refusal),
        })
    }
}

impl Request<Received> {
    /// Creates a request received from a caller.
    pub fn receive(ticket: Ticket, deadline: Time) -> Request<Received> {
        Request {
            ticket,
            deadline,
            state: Received,
        }
    }

    /// Admits the request.
    pub fn admit(self) -> Request<Admitted> {
        self.with_state(Admitted)
    }
}

impl Request<Admitted> {
    /// Assigns the request to engines.
    pub fn place(self, engines: Vec<Name>) -> Request<Placed> {
        self.with_state(Placed { engines })
    }
}

impl Request<Placed> {
    /// Marks the request as sent.
    pub fn dispatch(mut self) -> Request<Dispatched> {
        let engines = std::mem::take(&mut self.state.engines);
        self.with_state(Dispatched { engines })
    }
}

impl Request<Dispatched> {
    /// Ends the request after a complete answer.
    pub fn finish(self) -> Request<Answered> {
        self.with_state(Answered { failure: None })
    }

    /// Ends the request with a failure that occurred after it was sent.
    pub fn fail(self, refusal: Refusal) -> Request<Answered> {
        self.with_state(Answered {
            failure: Some(refusal),
        })
    }
}
