//! The log lines of a backend server's departure.

use serde::Serialize;

/// This host was told that a server departs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct ServerDeparting<'a> {
    /// The server.
    pub server: &'a str,
    /// `announced` by the server, or its entry was `removed`.
    pub sign: &'a str,
    /// Who told this host: the `store`, a `peer`, or the `server` itself.
    pub told_by: &'a str,
    /// The peer's name, or its address if the name is unknown.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub peer: Option<&'a str>,
    /// The store's era up to which this host knows the servers.
    pub era: u64,
    /// The revision in that era.
    pub revision: u64,
    /// The age of the host's store data, in milliseconds.
    pub store_age_ms: Option<u64>,
    /// Why the server is used nevertheless, if it is.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub kept: Option<&'a str>,
    /// For how long, in milliseconds, if that is known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub kept_ms: Option<u64>,
}

/// A departing server receives no more work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct ServerDropped<'a> {
    /// The server.
    pub server: &'a str,
    /// The sign that decided: `announced` or `removed`.
    pub sign: &'a str,
    /// The time since the first sign, in milliseconds.
    pub after_ms: u64,
    /// The time since this host last sent a request to the server, in milliseconds, if it did.
    pub last_send_ms: Option<u64>,
}

/// The entry of a server that was missing was written again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct ServerReturned<'a> {
    /// The server.
    pub server: &'a str,
    /// The time since the entry was found missing, in milliseconds.
    pub after_ms: u64,
}

/// Servers whose entries go missing are kept for a while, because entries may have lapsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct ServersKept {
    /// Servers whose entries are missing by now.
    pub servers: usize,
    /// For how long, in milliseconds.
    pub for_ms: u64,
}
