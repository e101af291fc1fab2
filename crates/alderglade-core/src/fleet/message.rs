//! The messages between entry hosts, each of which is sent in one datagram.
//!
//! Messages are neither acknowledged nor sent again: the next one makes up for a lost one.

use super::config::Patch;
use super::directory::Change;
use super::load_table::Notice;
use super::loan::{self, Loan};
use super::position::Position;
use super::rate_limit::{self, Grant};
use super::share;
use crate::Name;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// One message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// What the sender holds at backend servers.
    Notice(Notice),
    /// A notice that the receiver should forward to the hosts of its group and failure domain.
    NoticeToForward(Notice),
    /// A notice that a host of the receiver's failure domain forwards.
    ForwardedNotice(ForwardedNotice),
    /// Asks for the age of the receiver's store state.
    ConfirmationRequest(ConfirmationRequest),
    /// The answer to a `ConfirmationRequest`.
    Confirmation(Confirmation),
    /// What a host that watches the store has received from it.
    StoreUpdate(StoreUpdate),
    /// A store update that the receiver should forward to the hosts of its group and failure domain.
    StoreUpdateToForward(StoreUpdate),
    /// Asks for a part of the receiver's retry budget.
    LoanRequest(loan::LoanRequest),
    /// The answer to a `LoanRequest`.
    Loan(Loan),
    /// Asks the owner of a server's limit for a grant to send it one request.
    GrantRequest(rate_limit::GrantRequest),
    /// The answer to a `GrantRequest`.
    Grant(Grant),
    /// The engine time that the sender's workspaces have used lately.
    Usage(share::Report),
    /// A report of usage that the receiver should forward to the hosts of its group and failure domain.
    UsageToForward(share::Report),
}

/// A change that a watcher has received from the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum StoreUpdate {
    /// Changes of backend servers.
    Servers(Servers),
    /// A newer configuration.
    Config(Patch),
    /// Some of the entry hosts.
    Hosts(Vec<Host>),
    /// The keys of some of the entry hosts.
    ProxyKeys(Vec<ProxyKey>),
}

/// An entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Its name.
    pub name: Name,
    /// The address at which it receives messages.
    pub address: SocketAddr,
    /// Its failure domain, if known.
    pub domain: Option<Name>,
    /// The key with which other hosts send requests through it, if known. It is sent as a [`ProxyKey`].
    #[serde(skip)]
    pub proxy_key: Option<Name>,
}

/// The key with which other hosts send requests through a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyKey {
    /// The name of the host.
    pub host: Name,
    /// The key.
    pub key: Name,
}

/// A forwarded notice of another host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ForwardedNotice {
    /// The address of that host.
    pub origin: SocketAddr,
    /// The notice.
    pub notice: Notice,
}

/// Asks for the age of the receiver's store state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmationRequest {
    /// The number of this request, which the answer repeats.
    pub number: u64,
}

/// Reports the age of the sender's store state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// The number of the request.
    pub number: u64,
    /// The age of the sender's store state at the time of the answer, or `None` if it has no confirmed state yet.
    pub age: Option<Duration>,
    /// The version of the sender's configuration.
    pub config: u64,
    /// The digest of the servers that the sender knows.
    pub servers: u64,
    /// The position in the store up to which the sender knows the servers.
    pub position: Position,
}

/// Changes of backend servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Servers {
    /// The position that the changes follow on.
    pub base: Position,
    /// The position that the complete changes lead to.
    pub position: Position,
    /// How much longer entries may be missing from the store although their servers are alive, in
    /// milliseconds.
    pub grace_ms: u32,
    /// Which part of the changes this is.
    pub fragment: Fragment,
    /// The changes, oldest first.
    pub changes: Vec<Change>,
}

/// The index of one part of something that is too large for one packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fragment {
    /// Its index, from `0`.
    pub index: u16,
    /// The number of parts.
    pub count: u16,
}

impl Fragment {
    /// The only part.
    pub const SINGLE: Fragment = Fragment { index: 0, count: 1 };
}
