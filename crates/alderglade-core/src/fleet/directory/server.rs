//! A backend server and what the store says of it.

use crate::Name;
use crate::fleet::faults::Fault;
use crate::fleet::incarnation::{Incarnation, Key};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// One backend server in one of its lifetimes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// Which start of which server it is.
    pub incarnation: Incarnation,
    /// The service that it serves.
    pub service: Name,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Name,
    /// The requests that it works on at once.
    pub slots: u32,
    /// Whether it has said that it leaves.
    pub leaving: bool,
    /// How much longer it was cold when it wrote its entry, in milliseconds.
    pub cold_ms: u32,
}

/// A server that is cold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cold {
    /// The server.
    pub server: Key,
    /// Its service.
    pub service: Name,
    /// How long it stays cold.
    pub span: Duration,
}

impl Server {
    /// Gives the server's id.
    pub fn id(&self) -> &Name {
        &self.incarnation.id
    }

    /// Gives the key of facts about this incarnation.
    pub fn key(&self) -> Key {
        self.incarnation.key()
    }
}

/// What changed about a server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// It is new or its entry says something else.
    Known(Server),
    /// Its entry can't be read, and so names no server to use.
    Unreadable(Fault),
    /// Its entry is gone.
    Gone(Name),
}

/// All that the store lists of servers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Listing {
    /// The servers.
    pub servers: Vec<Server>,
    /// The entries that can't be read.
    pub unreadable: Vec<Fault>,
}

/// A server that has started again.
#[derive(Debug, Clone, PartialEq)]
pub struct Restart {
    /// The lifetime that is over.
    pub former: Server,
    /// The one that goes on.
    pub now: Incarnation,
}
