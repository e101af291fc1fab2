//! Rate limits of backend servers, which hold for the requests of all hosts together.
//!
//! A server is limited if it states a rate or is cold. Each host reads a stated limit from the answers that it gets,
//! and hosts report limits to each other. One of the live hosts, chosen by rendezvous hashing, owns a limit. It
//! issues a [`Grant`] for each request, and a host without a grant sends its request elsewhere. The owner's state
//! isn't stored anywhere else. Its successor starts with an empty bucket, so that what both have granted stays within
//! the limit.
//!
//! Requests to cold servers ([`cold`]) are granted in the same way, and the lower of the two limits counts. The limit
//! must hold during network partitions, too. So only an owner that hears from a majority of the hosts grants requests
//! to a cold server, and never more than half of its limit: hosts that disagree on the owner may ask two.

mod bucket;
pub mod cold;

use super::incarnation::Key;
use super::statement::Rate;
use crate::Name;
use crate::time::Time;
use bucket::Bucket;
use cold::Cold;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How long hosts report that a server states no limit any more: several times the longest interval between notices.
const REMOVAL_REPORT_TIME: Duration = Duration::from_secs(10);
/// How long a host waits before it asks again if the host that it asked doesn't own the limit. By then both have
/// received the same notices.
const NOT_OWNER_WAIT: Duration = Duration::from_millis(300);
/// How long the limit of a server is kept after the server is no longer known.
const LIMIT_RETENTION: Duration = Duration::from_secs(60);
/// The period, in seconds, for which reports count the requests of a rate.
const REPORT_SECONDS: f64 = 1_000.0;

/// A server's limit, as hosts report it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The server.
    pub server: Key,
    /// The requests that it accepts in a thousand seconds, or `0` if it states no limit any more.
    pub per_thousand_s: u32,
    /// How long ago it stated this, in milliseconds.
    pub age_ms: u32,
}

impl LimitReport {
    /// Creates a report of a server's known limit.
    fn new(server: Key, known: &KnownLimit, now: Time) -> LimitReport {
        let rate = known.rate.map_or(0.0, |rate| rate.get() * REPORT_SECONDS);
        let age = now.since(known.as_of).as_millis();
        LimitReport {
            server,
            per_thousand_s: rate as u32,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        }
    }

    fn rate(&self) -> Option<Rate> {
        let number = f64::from(self.per_thousand_s) / REPORT_SECONDS;
        Rate::per_second(number).filter(|_| self.per_thousand_s > 0)
    }
}

/// Asks the owner of a limit for a grant to send one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The number of this request, which the answer repeats.
    pub number: u64,
    /// The host that asks.
    pub host: Name,
    /// The server.
    pub server: Key,
    /// The limit that the asking host knows, since the owner may not have received it.
    pub report: Option<LimitReport>,
    /// What the asking host knows of the server's cold period.
    pub cold: Option<cold::ColdReport>,
}

/// The owner of a limit, as seen by the host that is asked for a grant.
#[derive(Debug, Clone, Copy)]
pub struct OwnerView<'a> {
    /// The host that is asked.
    pub own: &'a str,
    /// The owner.
    pub owner: &'a str,
    /// Whether the host that is asked hears from a majority of the hosts.
    pub hears_majority: bool,
}

/// The answer to a [`GrantRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The number of the request.
    pub number: u64,
    /// How long the host should wait before it asks again, in milliseconds; `0` if it may send.
    pub wait_ms: u32,
}

impl Grant {
    /// Creates the answer of a host that doesn't own the limit.
    pub fn not_owner(request: &GrantRequest) -> Grant {
        Grant {
            number: request.number,
            wait_ms: NOT_OWNER_WAIT.as_millis() as u32,
        }
    }

    /// Returns how long the host should wait; zero if it may send.
    pub fn wait(&self) -> Duration {
        Duration::from_millis(u64::from(self.wait_ms))
    }
}

/// One server's known limit.
#[derive(Debug)]
struct KnownLimit {
    /// The limit, or `None` if the server states none any more.
    rate: Option<Rate>,
    /// When the server stated this: the latest possible time for a limit, the earliest possible one for its absence.
    as_of: Time,
    /// Whether this host received it from the server itself.
    first_hand: bool,
}

impl KnownLimit {
    /// Returns whether this host reports the limit to the others.
    fn is_reported(&self, now: Time) -> bool {
        let is_recent = now.since(self.as_of) < REMOVAL_REPORT_TIME;
        self.first_hand && (self.rate.is_some() || is_recent)
    }
}

/// The limits that a host knows, and the buckets of those that it owns.
#[derive(Debug, Default)]
pub struct Limits {
    known: HashMap<Key, KnownLimit>,
    /// The servers that are cold.
    cold: HashMap<Key, Cold>,
    /// Until when this host gets no grant.
    denied_until: HashMap<Key, Time>,
    buckets: HashMap<Key, Bucket>,
}

impl Limits {
    /// Records the limit stated in a server's answer to a request that was `sent` at a time. Returns whether the
    /// limit changes.
    ///
    /// An answer without a limit ends a known one only if its request was sent after the limit was last stated, since
    /// answers may overtake each other.
    pub fn observe_limit(
        &mut self,
        server: Key,
        rate: Option<Rate>,
        sent: Time,
        now: Time,
    ) -> bool {
        let prior = self.known.get(&server);
        let prior_rate = prior.and_then(|known| known.rate);
        let as_of = match rate {
            Some(_) => now,
            None if prior.is_some_and(|known| known.rate.is_some() && known.as_of <= sent) => sent,
            None => return false,
        };
        let known = KnownLimit {
            rate,
            as_of,
            first_hand: true,
        };
        self.known.insert(server, known);
        rate != prior_rate
    }

    /// Applies another host's report. Returns whether the limit changes.
    pub fn apply_report(&mut self, report: &LimitReport, now: Time) -> bool {
        let as_of = now - Duration::from_millis(u64::from(report.age_ms));
        let prior = self.known.get(&report.server);
        if prior.is_some_and(|known| known.as_of >= as_of) {
            return false;
        }
        let rate = report.rate();
        let changes = rate != prior.and_then(|known| known.rate);
        let known = KnownLimit {
            rate,
            as_of,
            first_hand: false,
        };
        self.known.insert(report.server, known);
        changes
    }

    /// Returns reports of the limits that this host knows first-hand, no more than fit a notice.
    pub fn reports(&self, now: Time) -> Vec<LimitReport> {
        /// Some 300 bytes.
        const MAX_REPORTS: usize = 24;
        let known = self
            .known
            .iter()
            .filter(|(_, known)| known.is_reported(now));
        let reports = known.map(|(server, known)| LimitReport::new(*server, known, now));
        reports.take(MAX_REPORTS).collect()
    }

    /// Records that a server is cold for a while and accepts only `rate`. Returns whether it wasn't known to be cold.
    /// With `first_hand`, the server or the store has stated so, and this host reports it to the others.
    pub fn observe_cold(
        &mut self,
        server: Key,
        rate: Rate,
        duration: Duration,
        first_hand: bool,
        now: Time,
    ) -> bool {
        let is_new = self.cold_rate(server, now).is_none();
        let cold = self.cold.entry(server).or_default();
        cold.extend(rate, now + duration, first_hand);
        is_new && !duration.is_zero()
    }

    /// Applies another host's report of a cold server. Returns whether the server wasn't known to be cold.
    pub fn apply_cold_report(&mut self, report: &cold::ColdReport, now: Time) -> bool {
        let Some(rate) = report.rate() else {
            return false;
        };
        self.observe_cold(report.server, rate, report.remaining(), false, now)
    }

    /// Returns reports of the cold servers that this host knows from themselves or the store, no more than fit a
    /// notice.
    pub fn cold_reports(&self, now: Time) -> Vec<cold::ColdReport> {
        /// Some 300 bytes.
        const MAX_REPORTS: usize = 24;
        let cold = self.cold.iter();
        let reports = cold.filter(|(_, cold)| cold.is_reported(now));
        let reports = reports.map(|(server, cold)| cold.report(*server, now));
        reports.take(MAX_REPORTS).collect()
    }

    /// Returns the rate that a cold server accepts, or `None` if it isn't cold.
    fn cold_rate(&self, server: Key, now: Time) -> Option<Rate> {
        self.cold.get(&server)?.rate_at(now)
    }

    /// Returns the limit that a server has stated, if any.
    pub fn rate(&self, server: Key) -> Option<Rate> {
        self.known.get(&server)?.rate
    }

    /// Returns the rate that a server accepts now from all hosts together: the lower of its stated limit and its cold
    /// rate, or `None` if it has neither.
    pub fn effective_limit(&self, server: Key, now: Time) -> Option<Rate> {
        let limits = [self.rate(server), self.cold_rate(server, now)];
        let lower = |one: Rate, other: Rate| if other < one { other } else { one };
        limits.into_iter().flatten().reduce(lower)
    }

    /// Returns the number of servers that state a limit.
    pub fn count(&self) -> usize {
        let limited = self.known.values().filter(|known| known.rate.is_some());
        limited.count()
    }

    /// Returns how much longer this host gets no grant for a server.
    pub fn denied_for(&self, server: Key, now: Time) -> Duration {
        let until = self.denied_until.get(&server);
        let remaining = until.map_or(Duration::ZERO, |until| until.left(now));
        if remaining.is_zero() || self.effective_limit(server, now).is_none() {
            return Duration::ZERO;
        }
        remaining
    }

    /// Records that this host should not ask for a grant for a while.
    pub fn deny(&mut self, server: Key, wait: Duration, now: Time) {
        if self.effective_limit(server, now).is_some() {
            self.denied_until.insert(server, now + wait);
        }
    }

    /// Creates a request for a grant, or returns `None` if the server has no known limit.
    pub fn request_if_limited(
        &self,
        server: Key,
        host: &Name,
        number: u64,
        now: Time,
    ) -> Option<GrantRequest> {
        self.effective_limit(server, now)?;
        Some(self.request(server, host, number, now))
    }

    /// Creates a request for a grant, also if this host knows no limit: the owner may.
    pub fn request(&self, server: Key, host: &Name, number: u64, now: Time) -> GrantRequest {
        let known = self.known.get(&server).filter(|known| known.rate.is_some());
        let cold = self.cold.get(&server);
        let cold = cold.filter(|cold| cold.rate_at(now).is_some());
        GrantRequest {
            number,
            host: host.clone(),
            server,
            report: known.map(|known| LimitReport::new(server, known, now)),
            cold: cold.map(|cold| cold.report_to_owner(server, now)),
        }
    }

    /// Becomes the owner of a limit that its server has just stated. Nobody owned it before, so grants may be issued
    /// at once. If all servers of a service state limits at the same moment, callers would otherwise be refused until
    /// the owner has settled.
    pub fn take_ownership(&mut self, server: Key, now: Time) {
        self.buckets
            .entry(server)
            .or_insert_with(|| Bucket::new(now));
    }

    /// Answers a host's request for a grant.
    pub fn grant(&mut self, request: &GrantRequest, view: &OwnerView<'_>, now: Time) -> Grant {
        let server = request.server;
        if let Some(report) = &request.report {
            self.apply_report(report, now);
        }
        if let Some(report) = &request.cold {
            self.apply_cold_report(report, now);
        }
        let is_cold = self.cold_rate(server, now).is_some();
        let wait = match self.effective_limit(server, now) {
            None => Duration::ZERO,
            Some(_) if view.owner != view.own => NOT_OWNER_WAIT,
            Some(_) if is_cold && !view.hears_majority => NOT_OWNER_WAIT,
            Some(rate) => {
                let limited = self.rate(server).is_some();
                let bucket = self.buckets.entry(server);
                let bucket = bucket.or_insert_with(|| {
                    // The other half of a cold server's limit is reserved for the previous owner.
                    if limited {
                        Bucket::for_successor(now)
                    } else {
                        Bucket::new(now)
                    }
                });
                bucket.take(&request.host, rate, now)
            }
        };
        // Grants carry whole milliseconds. Rounding down to `0` would mean a grant.
        let wait_ms = wait.as_micros().div_ceil(1_000);
        Grant {
            number: request.number,
            wait_ms: u32::try_from(wait_ms).unwrap_or(u32::MAX),
        }
    }

    /// Drops the servers that are no longer known, except those whose limits were reported recently: a server's entry
    /// may expire and return in the same incarnation.
    pub fn retain(&mut self, is_known: impl Fn(Key) -> bool, now: Time) {
        self.known
            .retain(|server, known| is_known(*server) || now.since(known.as_of) < LIMIT_RETENTION);
        self.cold.retain(|_, cold| cold.rate_at(now).is_some());
        self.denied_until.retain(|_, until| *until > now);
        let (known, cold) = (&self.known, &self.cold);
        self.buckets
            .retain(|server, _| known.contains_key(server) || cold.contains_key(server));
    }
}

/// Returns whether `live` hosts, this one included, are a majority of those that the store has listed. A host that
/// has just started and has no list yet can't tell, and gets `false`.
pub fn is_majority(live: usize, listed: Option<usize>) -> bool {
    listed.is_some_and(|listed| 2 * live > listed)
}

/// Returns which of the hosts owns a server's limit.
pub fn owner<'a>(server: Key, hosts: impl Iterator<Item = &'a Name>) -> Option<&'a Name> {
    let weight = |host: &&Name| xxh3_64_with_seed(host.as_bytes(), server.number());
    hosts.max_by_key(|host| (weight(host), *host))
}
