//! What entry hosts say to each other.
//!
//! All messages are one-way and may be lost, doubled or late; each exchange is idempotent and is
//! repeated by whoever still waits. No message carries a clock time, only time remaining.

use crate::Name;
use crate::cell::{Digest, End, Key};
use crate::ledger::{Claim, Settled, Verdict};
use crate::limit::Cost;
use crate::membership::Card;
use crate::request::{Id, Refusal, Ticket};
use crate::settings::Tree;
use crate::settings::patch::Patch;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Tells the hosts of a domain that the sender lives.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub card: Card,
    /// Load of the cells whose home the sender is.
    pub cells: Vec<Digest>,
    /// Backend servers known to be leaving.
    pub leaving: Vec<Name>,
}

/// One message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The sender lives.
    Heartbeat(Heartbeat),
    /// Put a request into a cell's queue.
    Enqueue {
        /// The cell.
        cell: Key,
        /// The request.
        ticket: Ticket,
    },
    /// The request waits here.
    Queued {
        /// The request.
        request: Id,
        /// Its try.
        attempt: u32,
    },
    /// Send the request to these engines.
    Grant {
        /// The cell.
        cell: Key,
        /// The request.
        request: Id,
        /// Its try.
        attempt: u32,
        /// The engines.
        engines: Vec<Name>,
    },
    /// The request is refused here.
    Refused {
        /// The cell.
        cell: Key,
        /// The request.
        request: Id,
        /// Its try.
        attempt: u32,
        /// The answer.
        refusal: Refusal,
    },
    /// The request is no longer wanted; it may wait here or have been granted.
    Withdraw {
        /// The cell.
        cell: Key,
        /// The request.
        request: Id,
    },
    /// The request's first token has come.
    FirstToken {
        /// The cell.
        cell: Key,
        /// The request.
        request: Id,
    },
    /// The request has left its engines.
    Done {
        /// The cell.
        cell: Key,
        /// The request.
        request: Id,
        /// How it ended.
        end: End,
    },
    /// Does the receiver still want what the engine holds for this request?
    Verify {
        /// The cell.
        cell: Key,
        /// The engine.
        engine: Name,
        /// The request.
        request: Id,
    },
    /// The receiver's question is answered with no: the holding is not wanted.
    Disown {
        /// The cell.
        cell: Key,
        /// The engine.
        engine: Name,
        /// The request.
        request: Id,
    },
    /// Lend a slice of a workspace's rate.
    Lend {
        /// The workspace.
        workspace: Name,
        /// What the sender needs now.
        cost: Cost,
    },
    /// A slice is lent.
    Lent {
        /// The workspace.
        workspace: Name,
        /// What the receiver may start.
        slice: Cost,
    },
    /// No slice is lent.
    Unlent {
        /// The workspace.
        workspace: Name,
        /// When to come back.
        retry_after: Duration,
    },
    /// How loaded are the cells of the receiver's domain?
    AskLoad,
    /// The load of the cells of the sender's domain.
    Load {
        /// The cells.
        cells: Vec<Digest>,
    },
    /// Record a non-repeatable request before it is sent.
    Claim(Claim),
    /// The answer to a claim.
    Claimed {
        /// The request that claimed.
        request: Id,
        /// The answer.
        verdict: Verdict,
    },
    /// A claim holds a key that others ask for: was its request ever sent?
    Inquire(Claim),
    /// Record how a claimed request ended.
    Settle(Settled),
    /// It is recorded.
    Settled {
        /// The request.
        request: Id,
    },
    /// Send settings newer than this revision.
    WantSettings {
        /// The newest revision that the sender has.
        revision: u64,
    },
    /// Newer settings as a whole.
    Settings(Arc<Tree>),
    /// What leads to newer settings, one revision after the other.
    Patches(Vec<Arc<Patch>>),
}
