//! Backend servers that take so many requests a second from all hosts together: they name a limit, or they are cold.
//!
//! Each host hears of a limit in the answers that it gets, and hosts tell each other. One of them, which rendezvous hashing
//! picks among those that live, owns a limit: it gives out a [`Grant`] for each request, and a host without one sends its
//! request elsewhere. Nothing is kept beyond the owner's life. Its successor starts with nothing to give, so that what both
//! have given out stays within what the server takes.
//!
//! What a cold server bears ([`cold`]) is granted in the same way, and the smaller bound counts. It holds for hosts that are cut
//! off as well, so only an owner that hears of most hosts grants it, and never more than half: hosts that disagree on who the
//! owner is may ask two.

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

/// How long hosts are told that a server names no limit any more: some of the longest intervals between notices.
const TOLD_OVER: Duration = Duration::from_secs(10);
/// How long a limit's owner that grants nothing has a host wait that takes another one for the owner: until both have heard
/// the same notices.
const NOT_OWNER: Duration = Duration::from_millis(300);
/// How long the limit of a server is remembered that is not known any more.
const REMEMBERED: Duration = Duration::from_secs(60);
/// What a rate is told in: requests in so many seconds.
const TOLD_SECONDS: f64 = 1_000.0;

/// A limit, as hosts tell each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The server.
    pub server: Key,
    /// The requests that it takes in a thousand seconds; `0` where it names no limit any more.
    pub per_thousand_s: u32,
    /// How long ago it said so, in milliseconds.
    pub age_ms: u32,
}

impl LimitReport {
    /// Tells what is known of a server's limit.
    fn new(server: Key, known: &Known, now: Time) -> LimitReport {
        let rate = known.rate.map_or(0.0, |rate| rate.get() * TOLD_SECONDS);
        let age = now.since(known.as_of).as_millis();
        LimitReport {
            server,
            per_thousand_s: rate as u32,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        }
    }

    fn rate(&self) -> Option<Rate> {
        let number = f64::from(self.per_thousand_s) / TOLD_SECONDS;
        Rate::per_second(number).filter(|_| self.per_thousand_s > 0)
    }
}

/// Asks the owner of a limit for leave to send one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The question's number; comes back in the answer.
    pub number: u64,
    /// The host that asks.
    pub host: Name,
    /// The server.
    pub server: Key,
    /// What it knows of the server's limit, which the owner may not have heard of.
    pub report: Option<LimitReport>,
    /// What it knows of the server's cold spell.
    pub cold: Option<cold::ColdReport>,
}

/// Who owns a limit, as the host sees it that is asked for a grant.
#[derive(Debug, Clone, Copy)]
pub struct OwnerView<'a> {
    /// The host itself.
    pub own: &'a str,
    /// The owner.
    pub owner: &'a str,
    /// Whether it hears of most of the hosts that there are.
    pub majority: bool,
}

/// The answer to that.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The question's number.
    pub number: u64,
    /// How long the host should wait before it asks again, in milliseconds; `0` if it may send.
    pub wait_ms: u32,
}

impl Grant {
    /// Answers a host that takes another one for the owner.
    pub fn not_owner(request: &Request) -> Grant {
        Grant {
            number: request.number,
            wait_ms: NOT_OWNER.as_millis() as u32,
        }
    }

    /// Gives how long the host should wait; nothing if it may send.
    pub fn wait(&self) -> Duration {
        Duration::from_millis(u64::from(self.wait_ms))
    }
}

/// What is known of one server's limit.
#[derive(Debug)]
struct Known {
    /// The limit; `None` where the server names none any more.
    rate: Option<Rate>,
    /// When the server said so, at the earliest for the word that there is none, else at the latest.
    as_of: Time,
    /// Whether this host heard it from the server.
    first_hand: bool,
}

impl Known {
    /// Says whether this host tells the others.
    fn is_told(&self, now: Time) -> bool {
        let lately = now.since(self.as_of) < TOLD_OVER;
        self.first_hand && (self.rate.is_some() || lately)
    }
}

/// The limits that a host knows, and those that it owns.
#[derive(Debug, Default)]
pub struct Limits {
    known: HashMap<Key, Known>,
    /// The servers that are cold.
    cold: HashMap<Key, Cold>,
    /// Until when this host gets no grant.
    denied: HashMap<Key, Time>,
    owned: HashMap<Key, Bucket>,
}

impl Limits {
    /// Takes what a server says in the answer to a request that was `sent` at a time; says whether that is news.
    ///
    /// The word that there is no limit counts only in an answer that was made after the last one that named it: answers
    /// pass each other on their way.
    pub fn observe_limit(
        &mut self,
        server: Key,
        rate: Option<Rate>,
        sent: Time,
        now: Time,
    ) -> bool {
        let before = self.known.get(&server);
        let before_rate = before.and_then(|known| known.rate);
        let as_of = match rate {
            Some(_) => now,
            None if before.is_some_and(|known| known.rate.is_some() && known.as_of <= sent) => sent,
            None => return false,
        };
        let known = Known {
            rate,
            as_of,
            first_hand: true,
        };
        self.known.insert(server, known);
        rate != before_rate
    }

    /// Takes another host's word; says whether that is news.
    pub fn apply_report(&mut self, report: &LimitReport, now: Time) -> bool {
        let as_of = now - Duration::from_millis(u64::from(report.age_ms));
        let before = self.known.get(&report.server);
        if before.is_some_and(|known| known.as_of >= as_of) {
            return false;
        }
        let rate = report.rate();
        let changes = rate != before.and_then(|known| known.rate);
        let known = Known {
            rate,
            as_of,
            first_hand: false,
        };
        self.known.insert(report.server, known);
        changes
    }

    /// Lists the limits that this host has heard of last from their servers: no more than fit a notice.
    pub fn reports(&self, now: Time) -> Vec<LimitReport> {
        /// Some 300 bytes.
        const MOST: usize = 24;
        let known = self.known.iter().filter(|(_, known)| known.is_told(now));
        let reports = known.map(|(server, known)| LimitReport::new(*server, known, now));
        reports.take(MOST).collect()
    }

    /// Takes that a server is cold for a while and bears only so much; says whether it wasn't known to be. `first_hand` says
    /// whether the server or the store has said so, in which case this host tells the others.
    pub fn observe_cold(
        &mut self,
        server: Key,
        rate: Rate,
        span: Duration,
        first_hand: bool,
        now: Time,
    ) -> bool {
        let news = self.cold_rate(server, now).is_none();
        let cold = self.cold.entry(server).or_default();
        cold.extend(rate, now + span, first_hand);
        news && !span.is_zero()
    }

    /// Takes another host's word on a cold server; says whether it wasn't known to be cold.
    pub fn apply_cold_report(&mut self, report: &cold::ColdReport, now: Time) -> bool {
        let Some(rate) = report.rate() else {
            return false;
        };
        self.observe_cold(report.server, rate, report.left(), false, now)
    }

    /// Lists the cold servers that this host has heard of from themselves or the store: no more than fit a notice.
    pub fn cold_reports(&self, now: Time) -> Vec<cold::ColdReport> {
        /// Some 300 bytes.
        const MOST: usize = 24;
        let cold = self.cold.iter();
        let reports = cold.filter(|(_, cold)| cold.is_told(now));
        let reports = reports.map(|(server, cold)| cold.tell(*server, now));
        reports.take(MOST).collect()
    }

    /// Gives what a cold server bears; `None` where it isn't cold.
    fn cold_rate(&self, server: Key, now: Time) -> Option<Rate> {
        self.cold.get(&server)?.rate_at(now)
    }

    /// Gives the limit that a server has named, if it has.
    pub fn rate(&self, server: Key) -> Option<Rate> {
        self.known.get(&server)?.rate
    }

    /// Gives what a server takes now from all hosts together, if there is a bound: its limit, or less where it is cold.
    pub fn effective_limit(&self, server: Key, now: Time) -> Option<Rate> {
        let bounds = [self.rate(server), self.cold_rate(server, now)];
        let least = |one: Rate, other: Rate| if other < one { other } else { one };
        bounds.into_iter().flatten().reduce(least)
    }

    /// Gives how many servers have named a limit.
    pub fn count(&self) -> usize {
        let limited = self.known.values().filter(|known| known.rate.is_some());
        limited.count()
    }

    /// Gives how long this host gets no grant for a server.
    pub fn denied_for(&self, server: Key, now: Time) -> Duration {
        let until = self.denied.get(&server);
        let left = until.map_or(Duration::ZERO, |until| until.left(now));
        if left.is_zero() || self.effective_limit(server, now).is_none() {
            return Duration::ZERO;
        }
        left
    }

    /// Notes that this host should not ask for a grant for a while.
    pub fn deny(&mut self, server: Key, wait: Duration, now: Time) {
        if self.effective_limit(server, now).is_some() {
            self.denied.insert(server, now + wait);
        }
    }

    /// Makes the question for a grant; gives `None` where there is no bound on what the server takes.
    pub fn request_if_limited(
        &self,
        server: Key,
        host: &Name,
        number: u64,
        now: Time,
    ) -> Option<Request> {
        self.effective_limit(server, now)?;
        Some(self.request(server, host, number, now))
    }

    /// Makes the question for a grant where the owner may know of a bound that this host doesn't.
    pub fn request(&self, server: Key, host: &Name, number: u64, now: Time) -> Request {
        let known = self.known.get(&server).filter(|known| known.rate.is_some());
        let cold = self.cold.get(&server);
        let cold = cold.filter(|cold| cold.rate_at(now).is_some());
        Request {
            number,
            host: host.clone(),
            server,
            report: known.map(|known| LimitReport::new(server, known, now)),
            cold: cold.map(|cold| cold.claim(server, now)),
        }
    }

    /// Takes up a limit that its server has just named, as its owner. Nobody owned it before, so that grants may be given out
    /// at once: where all servers of a service name limits in the same moment, callers would be refused until then.
    pub fn take_ownership(&mut self, server: Key, now: Time) {
        self.owned.entry(server).or_insert_with(|| Bucket::new(now));
    }

    /// Answers a host's question.
    pub fn grant(&mut self, request: &Request, view: &OwnerView<'_>, now: Time) -> Grant {
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
            Some(_) if view.owner != view.own => NOT_OWNER,
            Some(_) if is_cold && !view.majority => NOT_OWNER,
            Some(rate) => {
                let limited = self.rate(server).is_some();
                let bucket = self.owned.entry(server);
                let bucket = bucket.or_insert_with(|| {
                    // Half of what a cold server bears is left for the owner before.
                    if limited {
                        Bucket::succeed(now)
                    } else {
                        Bucket::new(now)
                    }
                });
                bucket.take(&request.host, rate, now)
            }
        };
        // A wait below a millisecond is none that could be told.
        let wait_ms = wait.as_micros().div_ceil(1_000);
        Grant {
            number: request.number,
            wait_ms: u32::try_from(wait_ms).unwrap_or(u32::MAX),
        }
    }

    /// Forgets the servers that are not known any more and were not heard of lately: an entry may lapse, and come back in
    /// the same lifetime.
    pub fn retain(&mut self, is_known: impl Fn(Key) -> bool, now: Time) {
        self.known
            .retain(|server, known| is_known(*server) || now.since(known.as_of) < REMEMBERED);
        self.cold.retain(|_, cold| cold.rate_at(now).is_some());
        self.denied.retain(|_, until| *until > now);
        let (known, cold) = (&self.known, &self.cold);
        self.owned
            .retain(|server, _| known.contains_key(server) || cold.contains_key(server));
    }
}

/// Says whether a host that hears of so many, itself among them, hears of most of those that the store has listed. One that
/// has just started, and has no list yet, can't tell.
pub fn is_majority(heard: usize, listed: Option<usize>) -> bool {
    listed.is_some_and(|listed| 2 * heard > listed)
}

/// Gives the host that owns a server's limit among some.
pub fn owner<'a>(server: Key, hosts: impl Iterator<Item = &'a Name>) -> Option<&'a Name> {
    let weight = |host: &&Name| xxh3_64_with_seed(host.as_bytes(), server.number());
    hosts.max_by_key(|host| (weight(host), *host))
}
