//! What entry hosts tell each other, each message in one datagram.
//!
//! None of them is acknowledged or sent again: the next one makes good what was lost.

use super::config::Patch;
use super::directory::Change;
use super::load_table::Notice;
use super::loan::{self, Loan};
use super::position::Position;
use super::rate_limit::{self, Grant};
use crate::Name;
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// One message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// What the sender holds at backend servers.
    Notice(Notice),
    /// As a notice, to be passed on to the hosts of the receiver's group and failure domain.
    NoticeToForward(Notice),
    /// A notice that a host of the receiver's failure domain passes on.
    ForwardedNotice(ForwardedNotice),
    /// The sender wants to know how old the other's word of the store is.
    ConfirmationRequest(ConfirmationRequest),
    /// The answer to that.
    Confirmation(Confirmation),
    /// What a host that watches the store has learnt there.
    StoreUpdate(StoreUpdate),
    /// The same, to be passed on to the hosts of the receiver's group and failure domain.
    StoreUpdateToForward(StoreUpdate),
    /// The sender asks for a part of the other's budget of repeated sends.
    LoanRequest(loan::Request),
    /// The answer to that.
    Loan(Loan),
    /// The sender asks the owner of a server's limit for leave to send it one request.
    GrantRequest(rate_limit::Request),
    /// The answer to that.
    Grant(Grant),
}

/// What the store has told.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum StoreUpdate {
    /// Changes of backend servers.
    Servers(Servers),
    /// A newer configuration.
    Config(Patch),
    /// Some of the entry hosts.
    Hosts(Vec<Host>),
}

/// An entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Its name.
    pub name: Name,
    /// Where it takes messages.
    pub address: SocketAddr,
    /// Its failure domain, if that is known.
    pub domain: Option<Name>,
}

/// A notice of another host, passed on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ForwardedNotice {
    /// Where that host is reached.
    pub origin: SocketAddr,
    /// What it tells.
    pub notice: Notice,
}

/// Asks how old the other's word of the store is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmationRequest {
    /// The asking host's clock, in microseconds; comes back in the answer.
    pub asked_us: u64,
}

/// Tells how old the sender's word of the store is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// The question's time, on the clock of the host that asked.
    pub asked_us: u64,
    /// The age of the sender's word of the store when it answered; `None` where it has none that counts yet.
    pub age: Option<Duration>,
    /// The version of the sender's configuration.
    pub config: u64,
    /// The digest of the servers that the sender knows.
    pub servers: u64,
    /// How far it knows them.
    pub position: Position,
}

impl Confirmation {
    /// Gives a time, on the clock of the host that asked, up to which the sender knew all that the store
    /// had accepted, if it knew so. The way there is not known, so the time of the question counts.
    pub fn at(&self) -> Option<Time> {
        self.age.map(|age| Time(self.asked_us) - age)
    }
}

/// Changes of backend servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Servers {
    /// What they follow on.
    pub after: Position,
    /// How far they are all.
    pub position: Position,
    /// How much longer entries may be missing in the store although their servers live, in
    /// milliseconds.
    pub grace_ms: u32,
    /// Which part of the changes it is.
    pub fragment: Fragment,
    /// The changes, oldest first.
    pub changes: Vec<Change>,
}

/// A part of something that no packet holds as a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fragment {
    /// Its number, from `0`.
    pub index: u16,
    /// How many there are.
    pub count: u16,
}

impl Fragment {
    /// The only one.
    pub const WHOLE: Fragment = Fragment { index: 0, count: 1 };
}
