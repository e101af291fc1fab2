//! What a host has learnt of backend servers from its own calls.
//!
//! A server that refuses connections, stays silent or fails requests is passed over for a while that
//! grows with each failure in a row. It is tried again by ordinary requests when the time is over, so
//! that a few bad answers never empty a service: where all are doubted, all are used.
//!
//! Hosts tell each other what servers or their machines say: which of them refuse work, by another one's word, which
//! are slow, by their own, and at whose address nobody listens. That is true for everybody. Silence and broken connections
//! may lie in the host's own link: they are told too, and count for others where a second host has seen the same.

mod witness;

use super::incarnation::Key;
use crate::Name;
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Duration;
use witness::Witnesses;

/// The first time out after a server could not be reached.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// The longest time out; short enough to find a server that is back within two seconds.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// How long a server is passed over that refuses work or is slow: most of those that refuse are leaving, which
/// the store tells within this time unless it is away; slow ones are asked again before it is over.
const EJECTED_FOR: Duration = Duration::from_secs(3);
/// A peer's word that ends later than the own by no more than this is as old: it was on its way meanwhile. Small beside
/// the time after which a slow server is asked again.
const ON_ITS_WAY: Duration = Duration::from_millis(200);
/// The least time between two questions of this host to a server how slow it is, where it isn't known to be: they
/// are priced like health checks.
const QUESTIONS_APART: Duration = Duration::from_secs(3);
/// How long peers are told that the last request to a server got no answer. A server that is asked again only when it is over
/// takes two requests in this time.
const TOLD_UNANSWERED: Duration = Duration::from_secs(2);
/// The weight of the newest answer in the share of failures.
const NEWEST: f64 = 0.15;
/// A share of failures above which a server counts as failing.
const FAILING: f64 = 0.3;

/// How a call to a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It answered as it should.
    Sound,
    /// It answered with a failure of its own, or broke its answer off.
    Failed,
    /// It broke the request off before any answer.
    Broken,
    /// It could not be reached, or stayed silent.
    Silent,
    /// Its machine says that nobody listens at its address.
    Closed,
}

/// What was learnt of one incarnation of a server.
#[derive(Debug, Default)]
struct Record {
    /// The share of recent calls that failed, the newest weighing most.
    failures: f64,
    /// Calls in a row that found it silent.
    silences: u32,
    /// Until when it is passed over because of how own calls ended.
    out_until: Time,
    /// Whether the last of them found that nobody listens there.
    closed: bool,
    /// When the last call got no answer, if there was none since.
    unanswered: Option<Time>,
    /// Until when it is passed over by a server's word.
    ejected_until: Time,
    /// Whether this host has that word from a server, not from a peer.
    first_hand: bool,
    /// When this host last asked it how slow it is.
    asked: Option<Time>,
}

impl Record {
    /// Says whether the server is passed over now by a server's word.
    fn is_ejected(&self, now: Time) -> bool {
        self.ejected_until > now
    }

    /// Says whether the last call got no answer, a short while ago.
    fn is_unanswered(&self, now: Time) -> bool {
        self.unanswered
            .is_some_and(|at| now.since(at) < TOLD_UNANSWERED)
    }

    /// Gives what this host tells its peers of the server, if anything.
    fn told(&self, server: Key, now: Time) -> Option<Ejection> {
        let closed = self.out_until.left(now);
        let closed = if self.closed { closed } else { Duration::ZERO };
        let refusing = self.ejected_until.left(now);
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

/// A server that refuses work or is slow, as hosts tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ejection {
    /// The server.
    pub server: Key,
    /// How much longer it is passed over, in milliseconds.
    pub left_ms: u32,
}

/// Gives the time out after so many silences in a row.
fn pause_after(silences: u32) -> Duration {
    let pause = FIRST_PAUSE.saturating_mul(silences);
    pause.min(LONGEST_PAUSE)
}

/// The records of all servers, each of one incarnation: a server that starts again begins without any.
#[derive(Debug, Default)]
pub struct Health {
    records: HashMap<Key, Record>,
    /// What other hosts tell of servers that don't answer them.
    witnesses: Witnesses,
}

impl Health {
    /// Notes how a call to a server ended.
    pub fn record(&mut self, server: Key, outcome: Outcome, now: Time) {
        let record = self.records.entry(server).or_default();
        let failed = if outcome == Outcome::Sound { 0.0 } else { 1.0 };
        record.failures += NEWEST * (failed - record.failures);
        record.closed = outcome == Outcome::Closed;
        let unanswered = matches!(outcome, Outcome::Broken | Outcome::Silent);
        record.unanswered = unanswered.then_some(now);
        match outcome {
            Outcome::Sound => record.silences = 0,
            Outcome::Failed | Outcome::Broken => {
                if record.failures > FAILING {
                    record.out_until = now + FIRST_PAUSE;
                }
            }
            Outcome::Silent | Outcome::Closed => {
                record.silences += 1;
                record.out_until = now + pause_after(record.silences);
            }
        }
    }

    /// Notes what a server has told this host: that another one refuses work, or that it is slow itself.
    pub fn eject(&mut self, server: Key, now: Time) {
        let record = self.records.entry(server).or_default();
        record.ejected_until = now + EJECTED_FOR;
        record.first_hand = true;
    }

    /// Says whether this host should ask a server now how slow it is, and if so, notes that it does.
    pub fn begin_slowness_check(&mut self, server: Key, now: Time) -> bool {
        let record = self.records.entry(server).or_default();
        let lately = record
            .asked
            .is_some_and(|at| now.since(at) < QUESTIONS_APART);
        if lately || record.is_ejected(now) {
            return false;
        }
        record.asked = Some(now);
        true
    }

    /// Says whether this host has the latest word that a server is to be passed over, and so looks after it.
    pub fn owns_ejection(&self, server: Key) -> bool {
        self.records
            .get(&server)
            .is_some_and(|record| record.first_hand)
    }

    /// Takes a peer's word that a server refuses work or is slow.
    pub fn apply_ejection(&mut self, ejection: &Ejection, now: Time) {
        let left = Duration::from_millis(u64::from(ejection.left_ms)).min(EJECTED_FOR);
        let until = now + left;
        let record = self.records.entry(ejection.server).or_default();
        let as_old = if record.first_hand {
            ON_ITS_WAY
        } else {
            Duration::ZERO
        };
        if until > record.ejected_until + as_old {
            record.ejected_until = until;
            record.first_hand = false;
        }
    }

    /// Lists the servers that are passed over as this host was told by a server or its machine itself: no more of them than
    /// fit a notice beside its holdings.
    pub fn ejections_to_report(&self, now: Time) -> Vec<Ejection> {
        /// Some 300 bytes.
        const MOST: usize = 32;
        let records = self.records.iter();
        let told = records.filter_map(|(server, record)| record.told(*server, now));
        told.take(MOST).collect()
    }

    /// Lists the servers whose last answer to this host is missing, as peers are told: no more than fit a notice.
    pub fn unanswered_to_report(&self, now: Time) -> Vec<Key> {
        /// Some 100 bytes.
        const MOST: usize = 16;
        let records = self.records.iter();
        let told = records.filter(|(_, record)| record.is_unanswered(now));
        told.map(|(server, _)| *server).take(MOST).collect()
    }

    /// Takes all the servers whose last answer to another host is missing.
    pub fn apply_unanswered(&mut self, host: &Name, domain: &Name, servers: &[Key], now: Time) {
        self.witnesses.hear(host, domain, servers, now);
    }

    /// Gives how many servers are passed over by any server's word.
    pub fn ejected_count(&self, now: Time) -> usize {
        let records = self.records.values();
        records.filter(|record| record.is_ejected(now)).count()
    }

    /// Says whether a server should be passed over now where others can serve, by a host of a failure domain.
    pub fn is_suspect(&self, server: Key, own_domain: &str, now: Time) -> bool {
        let record = self.records.get(&server);
        let out = record.is_some_and(|record| record.out_until > now || record.is_ejected(now));
        let seen = record.is_some_and(|record| record.is_unanswered(now));
        out || self.witnesses.doubt(server, own_domain, seen, now)
    }

    /// Gives the share of a server's recent calls that failed, from `0.0` to `1.0`.
    pub fn failing(&self, server: Key) -> f64 {
        self.records
            .get(&server)
            .map_or(0.0, |record| record.failures)
    }

    /// Forgets the servers that are not listed any more.
    pub fn retain(&mut self, known: impl Fn(Key) -> bool) {
        self.records.retain(|server, _| known(*server));
    }
}
