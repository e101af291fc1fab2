//! A backend server and its entry in the store.

use crate::Name;
use crate::fleet::faults::Fault;
use crate::fleet::incarnation::{Incarnation, Key};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// One incarnation of a backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// Server id and birth time.
    pub incarnation: Incarnation,
    /// The service that it belongs to.
    pub service: Name,
    /// Address that requests are sent to.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Name,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it has announced that it is leaving.
    pub leaving: bool,
    /// Time for which it stays cold, in milliseconds from when it wrote its entry.
    pub cold_ms: u32,
}

/// A server that has reported being cold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cold {
    /// The server.
    pub server: Key,
    /// Its service.
    pub service: Name,
    /// Time for which it stays cold.
    pub span: Duration,
}

impl Server {
    /// Returns the server's id.
    pub fn id(&self) -> &Name {
        &self.incarnation.id
    }

    /// Returns the key of this incarnation.
    pub fn key(&self) -> Key {
        self.incarnation.key()
    }
}

/// A change to the entry of one server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// The entry is new or has been rewritten.
    Known(Server),
    /// The entry can't be parsed, so the server must not be used.
    Unreadable(Fault),
    /// The entry was removed.
    Gone(Name),
}

/// A full list of the server entries in the store.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Listing {
    /// Servers with readable entries.
    pub servers: Vec<Server>,
    /// Entries that can't be parsed.
    pub unreadable: Vec<Fault>,
}

/// A restart of a server.
#[derive(Debug, Clone, PartialEq)]
pub struct Restart {
    /// The server in the incarnation that has ended.
    pub former: Server,
    /// The new incarnation.
    pub now: Incarnation,
}
