//! Tracks whether this host can open connections to the servers of each service.
//!
//! A server that cannot be connected to may be down, or the host's own path to it may be cut. One server does not tell
//! these apart. If connections to several servers of a service fail and none succeeds in between, the host probably has
//! lost its path to all of them. Only new connections count: in a partition, open ones may live on for a while.

use super::incarnation::Key;
use crate::Name;
use crate::time::Time;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Servers of a service to which connections must fail before the service counts as unreachable, if it has as many.
const MIN_FAILED_SERVERS: usize = 2;
/// How long a failed connection counts. Older ones say nothing about the path now.
const FAILURE_LIFETIME: Duration = Duration::from_secs(10);

/// A change of whether a service can be reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Connections to this many of its servers have failed, and none has succeeded since.
    Lost {
        /// The number of servers.
        failed_servers: usize,
    },
    /// A connection to one of its servers was opened.
    Regained {
        /// How long it was unreachable.
        after: Duration,
    },
}

/// The connections to the servers of one service.
#[derive(Debug, Default)]
struct Record {
    /// Servers to which connections have failed since the last one succeeded.
    failed: BTreeSet<Key>,
    /// When a connection last failed.
    last_failure: Time,
    /// Since when the service is unreachable.
    unreachable_since: Option<Time>,
}

/// The reachability of all services.
#[derive(Debug, Default)]
pub struct Reachability {
    services: HashMap<Name, Record>,
}

impl Reachability {
    /// Records that no connection to a server could be opened. `known_servers` is the number of servers of its service.
    pub fn record_failure(
        &mut self,
        service: &Name,
        server: Key,
        known_servers: usize,
        now: Time,
    ) -> Option<Change> {
        let record = self.services.entry(service.clone()).or_default();
        if record.unreachable_since.is_none() && now.since(record.last_failure) > FAILURE_LIFETIME {
            record.failed.clear();
        }
        record.failed.insert(server);
        record.last_failure = now;
        let failed_servers = record.failed.len();
        let is_lost = failed_servers >= MIN_FAILED_SERVERS.min(known_servers.max(1));
        if !is_lost || record.unreachable_since.is_some() {
            return None;
        }
        record.unreachable_since = Some(now);
        Some(Change::Lost { failed_servers })
    }

    /// Records that a connection to a server of a service was opened.
    pub fn record_connection(&mut self, service: &str, now: Time) -> Option<Change> {
        let record = self.services.remove(service)?;
        let since = record.unreachable_since?;
        let after = now.since(since);
        Some(Change::Regained { after })
    }

    /// Returns whether a service is unreachable from this host.
    pub fn is_unreachable(&self, service: &str) -> bool {
        let record = self.services.get(service);
        record.is_some_and(|record| record.unreachable_since.is_some())
    }

    /// Returns the number of unreachable services.
    pub fn unreachable_count(&self) -> usize {
        let records = self.services.values();
        records
            .filter(|record| record.unreachable_since.is_some())
            .count()
    }
}
