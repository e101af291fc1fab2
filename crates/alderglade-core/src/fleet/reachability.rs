//! Tracks which backend servers this host can connect to by itself.
//!
//! If a connection to a server can't be opened, either the server is down or the host's path to it is cut. Other hosts
//! tell these apart: a server that another host connects to is *blocked* here, and requests reach it through another
//! host. A host to which several servers are blocked has probably *lost its path* to all of them: it uses other hosts for
//! every server to which it has not connected itself since.
//!
//! Only new connections count, because open ones may live on for a while.

use super::incarnation::Key;
use crate::time::Time;
use std::collections::HashMap;
use std::time::Duration;

/// Blocked servers from which on the host counts as having lost its path to all of them.
const MIN_BLOCKED_SERVERS: usize = 2;
/// How long after a check of a server that found it down, or was inconclusive, the next one may begin.
const RECHECK_DELAY: Duration = Duration::from_millis(1_000);
/// The same, for all servers together. If all servers are down, this bounds the checks of a host.
const FAILED_CHECK_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of checks at the same time.
const MAX_CHECKS: usize = 4;
/// Time between two probes of the path to a server.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// How long a server's silence counts towards a suspicion.
const SILENCE_LIFETIME: Duration = Duration::from_millis(3_000);

/// How requests reach a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// Over a connection of this host.
    Direct,
    /// Through another host.
    Proxied,
}

/// How a connection to a server failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// It was refused. Open connections may still work.
    Refused,
    /// There was no answer. Open connections have probably stopped working, too.
    Silent,
}

/// What other hosts say of a server that this host can't connect to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    /// Another host connects to it.
    Reached,
    /// Other hosts can't connect to it either.
    Down,
    /// No host could tell.
    Unknown,
}

/// A change of whether the host has a path to the servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// It has lost its path to the servers.
    Lost,
    /// It has connected to all blocked servers again.
    Regained {
        /// How long the path was lost.
        after: Duration,
    },
}

/// The path to one server.
#[derive(Debug, Default)]
struct Record {
    /// Whether another host connects to the server while this one doesn't.
    blocked: bool,
    /// How the last connection failed, if none has been opened since.
    failure: Option<Failure>,
    /// When a connection was last opened.
    connected_at: Option<Time>,
    /// When it was found to be blocked.
    blocked_at: Option<Time>,
    checking: bool,
    /// When the last check that did not reach the server ended.
    check_failed_at: Option<Time>,
    probed_at: Time,
}

/// The loss of the path to the servers.
#[derive(Debug, Clone, Copy)]
struct PathLoss {
    since: Time,
    /// Whether open connections have probably stopped working: no new one was refused.
    silent: bool,
}

/// The paths to all servers.
#[derive(Debug, Default)]
pub struct Reachability {
    servers: HashMap<Key, Record>,
    /// The loss of the path, while it lasts.
    path_loss: Option<PathLoss>,
    /// When the last check that did not reach its server ended.
    check_failed_at: Option<Time>,
    /// When the last probe began; `None` if the next one is due.
    probed_at: Option<Time>,
    /// Whether the next probe goes to a server that isn't known to be blocked.
    probes_others: bool,
    /// Servers that were silent on open connections, and when, since the last answer of any server.
    silent: HashMap<Key, Time>,
}

impl Reachability {
    /// Returns how requests reach a server now.
    pub fn path(&self, server: Key) -> Path {
        let record = self.servers.get(&server);
        let blocked = record.is_some_and(|record| record.blocked);
        let connected = record.and_then(|record| record.connected_at);
        let unproven = self
            .path_loss
            .is_some_and(|loss| connected.is_none_or(|at| at < loss.since));
        if blocked || unproven {
            Path::Proxied
        } else {
            Path::Direct
        }
    }

    /// Returns whether a request that was sent to a server directly at a time has probably lost its connection: the path
    /// was lost since, and new connections got no answer.
    pub fn has_lost_connection(&self, server: Key, sent: Time) -> bool {
        let record = self.servers.get(&server).filter(|record| record.blocked);
        let record = record.filter(|record| record.failure == Some(Failure::Silent));
        let blocked_at = record.and_then(|record| record.blocked_at);
        let loss = self.path_loss.filter(|loss| loss.silent);
        let lost_at = blocked_at.max(loss.map(|loss| loss.since));
        lost_at.is_some_and(|at| at >= sent) && self.path(server) == Path::Proxied
    }

    /// Records that a connection to a server was opened.
    pub fn record_connection(&mut self, server: Key, now: Time) -> Option<Change> {
        self.silent.clear();
        let record = self.servers.entry(server).or_default();
        let was_blocked = std::mem::take(&mut record.blocked);
        record.failure = None;
        record.connected_at = Some(now);
        if was_blocked {
            // The other blocked servers may be reachable again, too.
            self.probed_at = None;
            self.probes_others = false;
        }
        self.update_path_loss(now)
    }

    /// Records that no connection to a server could be opened. Returns whether other hosts should be asked about the
    /// server now; [`Reachability::finish_check`] must follow then.
    pub fn record_failure(&mut self, server: Key, failure: Failure, now: Time) -> bool {
        let checks = self.servers.values().filter(|record| record.checking);
        let has_room = checks.count() < MAX_CHECKS;
        let is_over = |at: Option<Time>, delay| at.is_none_or(|at| now.since(at) >= delay);
        let is_lost = self.path_loss.is_some();
        let is_allowed = has_room && !is_lost && is_over(self.check_failed_at, FAILED_CHECK_DELAY);
        let record = self.servers.entry(server).or_default();
        record.failure = Some(failure);
        record.connected_at = None;
        let is_due = !record.blocked && is_over(record.check_failed_at, RECHECK_DELAY);
        if record.checking || !is_due || !is_allowed {
            return false;
        }
        record.checking = true;
        true
    }

    /// Returns whether other hosts are being asked about a server.
    pub fn is_checking(&self, server: Key) -> bool {
        self.servers
            .get(&server)
            .is_some_and(|record| record.checking)
    }

    /// Applies what other hosts say of a server. A connection that was opened meanwhile counts for more.
    pub fn finish_check(&mut self, server: Key, finding: Finding, now: Time) -> Option<Change> {
        let record = self.servers.entry(server).or_default();
        record.checking = false;
        if finding != Finding::Reached {
            record.check_failed_at = Some(now);
            self.check_failed_at = Some(now);
            return None;
        }
        if record.connected_at.is_some() {
            return None;
        }
        record.blocked = true;
        record.blocked_at = Some(now);
        self.update_path_loss(now)
    }

    /// Records that a server was silent on a connection that was open before. Returns whether to find out by a new
    /// connection whether the path to it is cut: another server was silent, too, and none has answered since.
    pub fn record_silence(&mut self, server: Key, now: Time) -> bool {
        self.silent
            .retain(|_, at| now.since(*at) <= SILENCE_LIFETIME);
        self.silent.insert(server, now);
        self.silent.len() >= MIN_BLOCKED_SERVERS
    }

    /// Records that a server has answered over a connection of this host.
    pub fn record_answer(&mut self) {
        self.silent.clear();
    }

    /// Returns the server to which a connection should be opened now to find out whether the path to it is back. `all`
    /// are the servers that the host may use.
    pub fn next_probe(&mut self, all: impl Iterator<Item = Key>, now: Time) -> Option<Key> {
        let is_due = self
            .probed_at
            .is_none_or(|at| now.since(at) >= PROBE_INTERVAL);
        if !is_due {
            return None;
        }
        // Every second probe goes to a server that isn't known to be blocked: the host may have lost its path to some only.
        let wants_blocked = !self.probes_others;
        let candidates = all.filter(|server| self.path(*server) == Path::Proxied);
        let probe = candidates.min_by_key(|server| {
            let record = self.servers.get(server);
            let blocked = record.is_some_and(|record| record.blocked);
            let probed_at = record.map_or(Time::default(), |record| record.probed_at);
            (blocked != wants_blocked, probed_at)
        })?;
        self.probes_others = wants_blocked;
        self.probed_at = Some(now);
        self.servers.entry(probe).or_default().probed_at = now;
        Some(probe)
    }

    /// Drops the servers that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(Key) -> bool, now: Time) -> Option<Change> {
        self.servers.retain(|server, _| is_listed(*server));
        self.silent.retain(|server, _| is_listed(*server));
        self.update_path_loss(now)
    }

    /// Returns the number of blocked servers.
    pub fn blocked_count(&self) -> usize {
        let records = self.servers.values();
        records.filter(|record| record.blocked).count()
    }

    /// Begins or ends the loss of the path, according to the number of blocked servers.
    fn update_path_loss(&mut self, now: Time) -> Option<Change> {
        let blocked = self.servers.values().filter(|record| record.blocked);
        match self.path_loss {
            None if blocked.clone().count() >= MIN_BLOCKED_SERVERS => {
                let mut failures = blocked.map(|record| record.failure);
                self.path_loss = Some(PathLoss {
                    since: now,
                    silent: failures.all(|failure| failure == Some(Failure::Silent)),
                });
                Some(Change::Lost)
            }
            Some(loss) if blocked.count() == 0 => {
                self.path_loss = None;
                let after = now.since(loss.since);
                Some(Change::Regained { after })
            }
            _ => None,
        }
    }
}
