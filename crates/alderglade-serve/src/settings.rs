//! Settings that an entry host needs before it can serve.

use alderglade_core::Name;
use alderglade_core::fleet::budget::Bound;
use alderglade_core::fleet::rate_limit::cold;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The settings of one entry host.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The name of the host.
    pub host: Name,
    /// The failure domain of the host.
    pub domain: Name,
    /// Address on which callers connect.
    pub callers: SocketAddr,
    /// Address of the readiness check: whether the host accepts new connections.
    pub ready: SocketAddr,
    /// Address on which operators read metrics, if any.
    pub metrics: Option<SocketAddr>,
    /// Address on which other entry hosts send notices over UDP, and over TCP request whatever is too large for a
    /// datagram.
    pub peers: SocketAddr,
    /// Time between the stop request and the kill.
    pub grace: Duration,
    /// Time within which a revoked key must stop working; `None` if there is no such requirement.
    pub revocation: Option<Duration>,
    /// Limit on retries to a service, over all hosts.
    pub retries: Bound,
    /// Time within which no new request may reach an evacuated failure domain; `None` if the deployment has no
    /// evacuations.
    pub evacuation: Option<Duration>,
    /// Limit on requests to cold servers, if the deployment sets one.
    pub cold: Option<cold::Bound>,
    /// The region of each failure domain.
    pub regions: HashMap<Name, Name>,
    /// Memory that the process may use, in bytes.
    pub memory: usize,
    /// How long reserved memory may stay unused before the engine's operators count it as lost.
    pub memory_idle: Duration,
}
