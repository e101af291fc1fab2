//! The state that one generation keeps across its sends.

use alderglade_core::fleet::incarnation::Key;
use alderglade_core::fleet::placement::Reason;
use alderglade_core::time::Time;

/// Maximum number of sends of one request, not counting refused connections. It bounds sends that a server disclaims
/// or that cannot reach one, which the limit of the route does not count.
const MAX_SENDS: u32 = 5;
/// Maximum number of servers tried for one request that refuse the connection, in addition to [`MAX_SENDS`]. A
/// refused connection costs one round trip. When a third of many servers has crashed at once, five refusals in a row
/// are likely.
const MAX_REFUSED_CONNECTIONS: u32 = 12;

/// State that one generation keeps across its sends.
#[derive(Default)]
pub struct SendState {
    /// Sends that count as attempts: they reached a server, or may have, and it did not disclaim them.
    pub sends: u32,
    /// Sends that arrived at a server, or may have, whether it ran them or not. Each one beyond the first is a retry.
    pub arrivals: u32,
    /// All sends.
    pub total: u32,
    /// Sends for which the connection was refused.
    pub refused_connections: u32,
    /// Sets of memory that were requested.
    pub memory_sets: u32,
    /// Servers that failed the request; other servers are preferred.
    pub avoid: Vec<Key>,
    /// Servers that currently read parts of the prompt, in addition to the one that answers.
    pub readers: Vec<Key>,
    /// Servers that read the prompt together without any result.
    pub stalled: Vec<Key>,
    /// Reasons for which the prompt was held back so far; each one is logged once.
    pub held_for: Vec<Reason>,
    /// Since when the event after the last one could be relayed; `None` until a server has sent one.
    pub waits_since: Option<Time>,
    /// When the latest plan was made.
    pub placed_at: Option<Time>,
}

impl SendState {
    /// Returns whether another send may be tried. `max_attempts` is the limit that the route sets on `sends`.
    pub fn may_send(&self, max_attempts: u32) -> bool {
        let other_sends = self.total - self.refused_connections;
        self.sends < max_attempts
            && other_sends < MAX_SENDS
            && self.refused_connections < MAX_REFUSED_CONNECTIONS
    }
}
