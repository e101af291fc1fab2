//! What can happen in the world, and in which order it does.

use super::fault::Fault;
use super::requests::Caller;
use crate::batch;
use alderglade_backend::wire::Reason;
use alderglade_core::Name;
use alderglade_core::ledger;
use alderglade_core::message::Message;
use alderglade_core::node::Event;
use alderglade_core::request::Id;
use alderglade_core::time::Time;

/// Something that happens at a time.
#[derive(Debug, Clone)]
pub(crate) enum Happening {
    /// A host lets time pass.
    Tick { host: Name, incarnation: u64 },
    /// A host fetches reports.
    Poll { host: Name, incarnation: u64 },
    /// Something reaches a host.
    Event {
        host: Name,
        incarnation: u64,
        event: Box<Event>,
    },
    /// A message reaches a host.
    Message {
        to: Name,
        from: Name,
        message: Box<Message>,
    },
    /// An engine begins its next step.
    Step { engine: Name },
    /// An engine's step ends with these tokens.
    StepEnd {
        engine: Name,
        generation: u64,
        emitted: Vec<batch::Emitted>,
    },
    /// A try reaches its engine, or the next engine of its gang.
    Start { request: Id, attempt: u32 },
    /// Something comes back from an engine to the host that reads it.
    Back {
        request: Id,
        attempt: u32,
        back: Back,
    },
    /// An engine's answer to a reservation or a wish to free.
    Call {
        host: Name,
        engine: Name,
        call: Call,
        tries: u32,
    },
    /// A call reaches a server of the plain service.
    Serve {
        request: Id,
        attempt: u32,
        server: Name,
    },
    /// The platform carries a call out.
    Platform {
        host: Name,
        incarnation: u64,
        call: ledger::Action,
    },
    /// A host looks for new settings.
    Look { host: Name, incarnation: u64 },
    /// The platform's list reaches a host.
    List { host: Name, incarnation: u64 },
    /// A caller's request comes to a host.
    Ask(Box<Caller>),
    /// The request's own thread gives up.
    Deadline { request: Id },
    /// A fault begins or ends.
    Fault(Fault),
}

/// What comes back from an engine.
#[derive(Debug, Clone)]
pub(crate) enum Back {
    /// A token.
    Token {
        sequence: u64,
        attempt: u32,
        of: Id,
        last: bool,
    },
    /// The engine refused.
    Refused(Reason),
    /// Contact was lost.
    Broke,
    /// Nothing could be sent.
    Unreached,
    /// A server answered.
    Answered,
    /// A server said that it is leaving.
    ServerLeaving,
}

/// A call to an engine beside the streams.
#[derive(Debug, Clone)]
pub(crate) enum Call {
    /// Reserve memory.
    Reserve {
        holder: Name,
        request: Id,
        tokens: u64,
    },
    /// Free what is held.
    Free { request: Id },
    /// Renew what is held.
    Renew { request: Id },
}

/// A happening and when it is due; of two at the same time the one that was put in first.
pub(super) struct Due {
    pub(super) at: Time,
    pub(super) order: u64,
    pub(super) happening: Happening,
}

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}
