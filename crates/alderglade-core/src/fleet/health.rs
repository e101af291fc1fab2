//! Tracks the health of backend servers, from this host's own calls and from what other hosts report.
//!
//! A server that refuses connections, stays silent or fails requests is ejected for a while that grows with each
//! failure in a row. Ordinary requests try it again when this time is over, so that a few bad answers never empty a
//! service: if all servers are suspect, all of them are used.
//!
//! Hosts report to each other what servers or their machines state: that another server refuses work, that a server
//! itself is slow, or that nothing listens at its address. These are true for every host. Silence and broken
//! connections may be caused by the host's own link. They are reported, too, and count for another host if a second
//! host has seen the same.

mod witness;

use super::incarnation::Key;
use crate::Name;
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Duration;
use witness::Witnesses;

/// The ejection time after the first failure to reach a server.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(500);
/// The longest ejection time. It is short enough to find a server that has recovered within two seconds.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(2);
/// How long a server is ejected that refuses work or is slow. Most servers that refuse work are leaving, which the
/// store reports within this time unless it is unavailable. Slow servers are checked again before it is over.
const STATED_EJECTION_TIME: Duration = Duration::from_secs(3);
/// A peer's report that ends later than this host's own finding by no more than this counts as equally old, because
/// of its time in transit. Small compared with the time after which a slow server is checked again.
const TRANSIT_TOLERANCE: Duration = Duration::from_millis(200);
/// Minimum time between two slowness checks of a server that isn't known to be slow. They cost as much as health
/// checks.
const SLOWNESS_CHECK_INTERVAL: Duration = Duration::from_secs(3);
/// How long peers are told that the last request to a server got no answer. After this
/// time a failing server is tried again, which costs two requests in each such period.
const UNANSWERED_REPORT_TIME: Duration = Duration::from_secs(2);
/// Weight of the newest result in the failure rate.
const NEWEST_RESULT_WEIGHT: f64 = 0.15;
/// Failure rate above which a server counts as failing.
const FAILURE_RATE_THRESHOLD: f64 = 0.3;

/// How a call to a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It answered correctly.
    Success,
    /// It answered with a failure of its own, or broke its answer off.
    Failed,
    /// It broke the request off before any answer.
    Broken,
    /// It could not be reached, or stayed silent.
    Unreachable,
    /// Its machine reported that nothing listens at its address.
    Closed,
}

/// The health of one incarnation of a server.
#[derive(Debug, Default)]
struct Record {
    /// The share of recent calls that failed, weighted towards the newest.
    failure_rate: f64,
    /// Calls in a row that could not reach it or got no answer.
    silences: u32,
    /// Until when it is ejected because of this host's own calls.
    own_ejected_until: Time,
    /// Whether the last of these calls found that nothing listens at its address.
    closed: bool,
    /// When the last call ended without an answer, if no later one was answered.
    unanswered_at: Option<Time>,
    /// Until when it is ejected because a server stated that it refuses work or is slow.
    stated_ejected_until: Time,
    /// Whether a server stated this to this host, and not to a peer that reported it.
    first_hand: bool,
    /// When this host last began to check it for slowness.
    checked_at: Option<Time>,
}

impl Record {
    /// Returns whether the server is ejected now because a server stated that it refuses work or is slow.
    fn is_ejected(&self, now: Time) -> bool {
        self.stated_ejected_until > now
    }

    /// Returns whether the last call ended a short while ago without an answer.
    fn is_unanswered(&self, now: Time) -> bool {
        self.unanswered_at
            .is_some_and(|at| now.since(at) < UNANSWERED_REPORT_TIME)
    }

    /// Returns the ejection that this host reports to its peers, if any.
    fn ejection_to_report(&self, server: Key, now: Time) -> Option<Ejection> {
        let closed = self.own_ejected_until.left(now);
        let closed = if self.closed { closed } else { Duration::ZERO };
        let refusing = self.stated_ejected_until.left(now);
        let refusing = if self.first_hand {
            refusing
        } else {
            Duration::ZERO
        };
        let left = closed.max(refusing).as_millis();
        (left > 0).then_some(Ejection {
            server,
            left_ms: u32::try_from(left).unwrap_or(u32::MAX),
        })
    }
}

/// A server that refuses work, is slow, or has nothing listening at its address, as hosts report it to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ejection {
    /// The server.
    pub server: Key,
    /// How much longer it is ejected, in milliseconds.
    pub left_ms: u32,
}

/// Returns the ejection time after a number of silent calls in a row.
fn ejection_time(silences: u32) -> Duration {
    let time = BASE_EJECTION_TIME.saturating_mul(silences);
    time.min(MAX_EJECTION_TIME)
}

/// The health records of all servers, by incarnation: a server that restarts begins without a record.
#[derive(Debug, Default)]
pub struct Health {
    records: HashMap<Key, Record>,
    /// What other hosts report of servers that don't answer them.
    witnesses: Witnesses,
}

impl Health {
    /// Records how a call to a server ended.
    pub fn record(&mut self, server: Key, outcome: Outcome, now: Time) {
        let record = self.records.entry(server).or_default();
        let failed = if outcome == Outcome::Success {
            0.0
        } else {
            1.0
        };
        record.failure_rate += NEWEST_RESULT_WEIGHT * (failed - record.failure_rate);
        record.closed = outcome == Outcome::Closed;
        let is_unanswered = matches!(outcome, Outcome::Broken | Outcome::Unreachable);
        record.unanswered_at = is_unanswered.then_some(now);
        match outcome {
            Outcome::Success => record.silences = 0,
            Outcome::Failed | Outcome::Broken => {
                if record.failure_rate > FAILURE_RATE_THRESHOLD {
                    record.own_ejected_until = now + BASE_EJECTION_TIME;
                }
            }
            Outcome::Unreachable | Outcome::Closed => {
                record.silences += 1;
                record.own_ejected_until = now + ejection_time(record.silences);
            }
        }
    }

    /// Retracts what this host's own calls have found: its path to the server was cut, not the server down.
    pub fn retract(&mut self, server: Key) {
        if let Some(record) = self.records.get_mut(&server) {
            record.failure_rate = 0.0;
            record.silences = 0;
            record.own_ejected_until = Time::default();
            record.closed = false;
            record.unanswered_at = None;
        }
    }

    /// Ejects a server because a server stated to this host that another one refuses work, or that it is slow itself.
    pub fn eject(&mut self, server: Key, now: Time) {
        let record = self.records.entry(server).or_default();
        record.stated_ejected_until = now + STATED_EJECTION_TIME;
        record.first_hand = true;
    }

    /// Returns whether this host should check a server for slowness now, and records the check if so.
    pub fn begin_slowness_check(&mut self, server: Key, now: Time) -> bool {
        let record = self.records.entry(server).or_default();
        let recently_checked = record
            .checked_at
            .is_some_and(|at| now.since(at) < SLOWNESS_CHECK_INTERVAL);
        if recently_checked || record.is_ejected(now) {
            return false;
        }
        record.checked_at = Some(now);
        true
    }

    /// Returns whether this host has the latest first-hand finding that a server is to be ejected, and so must check
    /// it again.
    pub fn owns_ejection(&self, server: Key) -> bool {
        self.records
            .get(&server)
            .is_some_and(|record| record.first_hand)
    }

    /// Applies a peer's report that a server is to be ejected.
    pub fn apply_ejection(&mut self, ejection: &Ejection, now: Time) {
        let left = Duration::from_millis(u64::from(ejection.left_ms)).min(STATED_EJECTION_TIME);
        let until = now + left;
        let record = self.records.entry(ejection.server).or_default();
        let tolerance = if record.first_hand {
            TRANSIT_TOLERANCE
        } else {
            Duration::ZERO
        };
        if until > record.stated_ejected_until + tolerance {
            record.stated_ejected_until = until;
            record.first_hand = false;
        }
    }

    /// Returns the servers whose ejection this host knows first-hand from a server or its machine: no more than fit a
    /// notice beside the holdings.
    pub fn ejections_to_report(&self, now: Time) -> Vec<Ejection> {
        /// Some 300 bytes.
        const MAX_REPORTS: usize = 32;
        let records = self.records.iter();
        let reports =
            records.filter_map(|(server, record)| record.ejection_to_report(*server, now));
        reports.take(MAX_REPORTS).collect()
    }

    /// Returns the servers whose last answer to this host is missing, as reported to peers: no more than fit a notice.
    pub fn unanswered_to_report(&self, now: Time) -> Vec<Key> {
        /// Some 100 bytes.
        const MAX_REPORTS: usize = 16;
        let records = self.records.iter();
        let reports = records.filter(|(_, record)| record.is_unanswered(now));
        reports
            .map(|(server, _)| *server)
            .take(MAX_REPORTS)
            .collect()
    }

    /// Applies another host's full list of the servers whose last answer to it is missing.
    pub fn apply_unanswered(&mut self, host: &Name, domain: &Name, servers: &[Key], now: Time) {
        self.witnesses.apply_report(host, domain, servers, now);
    }

    /// Returns the number of servers that are ejected because a server stated that they refuse work or are slow.
    pub fn ejected_count(&self, now: Time) -> usize {
        let records = self.records.values();
        records.filter(|record| record.is_ejected(now)).count()
    }

    /// Returns whether a host of `own_domain` should skip a server now if others can serve.
    pub fn is_suspect(&self, server: Key, own_domain: &str, now: Time) -> bool {
        let record = self.records.get(&server);
        let is_ejected =
            record.is_some_and(|record| record.own_ejected_until > now || record.is_ejected(now));
        let seen = record.is_some_and(|record| record.is_unanswered(now));
        is_ejected || self.witnesses.is_suspect(server, own_domain, seen, now)
    }

    /// Returns the share of a server's recent calls that failed, from `0.0` to `1.0`.
    pub fn failure_rate(&self, server: Key) -> f64 {
        self.records
            .get(&server)
            .map_or(0.0, |record| record.failure_rate)
    }

    /// Drops the servers that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(Key) -> bool) {
        self.records.retain(|server, _| is_listed(*server));
    }
}
