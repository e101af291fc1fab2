//! The messages between entry hosts.
//!
//! All messages are one-way and may be lost, duplicated or delayed. Each exchange is idempotent and
//! is retried by the host that waits for its result. Messages carry durations only, never clock
//! times.

use crate::Name;
use crate::cell::{Digest, End, Key};
use crate::fleet::quarantine::Finding;
use crate::ledger::{Claim, Settled, Verdict};
use crate::limit::Cost;
use crate::membership::Card;
use crate::request::{Id, Refusal, Ticket};
use crate::settings::Tree;
use crate::settings::patch::Patch;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Reports to the other hosts of the domain that the sender is alive.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's description of itself.
    pub card: Card,
    /// Load of the cells for which the sender is the home.
    pub cells: Vec<Digest>,
    /// Backend servers that the sender knows to be leaving.
    pub leaving: Vec<Name>,
}

/// A message between two entry hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Reports that the sender is alive.
    Heartbeat(Heartbeat),
    /// Requests to add a request to a cell's queue.
    Enqueue {
        /// The cell.
        cell: Key,
        /// The request.
        ticket: Ticket,
    },
    /// Confirms that a request is queued at the sender.
    Queued {
        /// The request.
        request: Id,
        /// The attempt of the request.
        attempt: u32,
    },
    /// Grants engines for a request; the receiver then sends the request to them.
    Grant {
        /// The cell.
        cell: Key,
        /// The request.
        request: Id,
        /// The attempt of the request.
        attempt: u32,
        /// The engines.
        engines: Vec<Name>,
    },
    /// Refuses a request.
    Refused {
        /// The cell.
        cell: Key,
        /// The request.
        request: Id,
        /// The attempt of the request.
        attempt: u32,
        /// The reason.
        refusal: Refusal,
    },
    /// Withdraws a request, which may be queued or granted.
    Withdraw {
        /// The cell.
        cell: Key,
        /// The request.
        request: Id,
    },
    /// Reports the first token of a request.
    FirstToken {
        /// The cell.
        cell: Key,
        /// The request.
        request: Id,
    },
    /// Reports that a request has ended at its engines.
    Done {
        /// The cell.
        cell: Key,
        /// The request.
        request: Id,
        /// How it ended.
        end: End,
    },
    /// Asks whether the receiver still needs the memory that an engine holds for a request.
    Verify {
        /// The cell.
        cell: Key,
        /// The engine.
        engine: Name,
        /// The request.
        request: Id,
    },
    /// Answers [`Message::Verify`]: the holding is not needed.
    Disown {
        /// The cell.
        cell: Key,
        /// The engine.
        engine: Name,
        /// The request.
        request: Id,
    },
    /// Requests a slice of a workspace's rate.
    Lend {
        /// The workspace.
        workspace: Name,
        /// The cost that the sender needs now.
        cost: Cost,
    },
    /// Answers [`Message::Lend`] with a slice.
    Lent {
        /// The workspace.
        workspace: Name,
        /// The cost that the receiver may start.
        slice: Cost,
    },
    /// Answers [`Message::Lend`] without a slice.
    Unlent {
        /// The workspace.
        workspace: Name,
        /// Time after which the receiver may ask again.
        retry_after: Duration,
    },
    /// Requests the load of the cells of the receiver's domain.
    AskLoad,
    /// Reports the load of the cells of the sender's domain.
    Load {
        /// The cells.
        cells: Vec<Digest>,
    },
    /// Requests to record a non-repeatable request before it is sent.
    Claim(Claim),
    /// Answers [`Message::Claim`].
    Claimed {
        /// The request of the claim.
        request: Id,
        /// The decision about the claim.
        verdict: Verdict,
    },
    /// Asks the claimant whether its request was ever sent, because another request uses the same key.
    Inquire(Claim),
    /// Requests to record the outcome of a claimed request.
    Settle(Settled),
    /// Confirms that an outcome is recorded.
    Settled {
        /// The request.
        request: Id,
    },
    /// Requests settings that are newer than the sender's.
    WantSettings {
        /// The newest revision that the sender has.
        revision: u64,
    },
    /// Sends newer settings as a whole.
    Settings(Arc<Tree>),
    /// Sends patches that lead to newer settings, in order of their revisions.
    Patches(Vec<Arc<Patch>>),
    /// Reports requests and prefixes of prompts under which backend servers end.
    Findings(Vec<Finding>),
}
