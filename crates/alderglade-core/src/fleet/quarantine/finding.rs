//! Findings that hosts exchange about requests that crash servers.
//!
//! Each host reports what it has observed itself or read from the store: once immediately, and for a while in its full
//! notices, because any single message may be lost.

use super::evidence::Crash;
use crate::fleet::fingerprint::Fingerprint;
use crate::fleet::heartbeat;
use crate::fleet::incarnation::Key;
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A fact about a request, as sent in a notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The fact.
    pub fact: Fact,
}

/// A fact about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fact {
    /// A server crashed while it had the request.
    Crash {
        /// The incarnation of the server.
        server: Key,
        /// Whether the request is known to have begun to run there.
        begun: bool,
        /// Age of the fact, in milliseconds.
        age_ms: u32,
    },
    /// The request was answered completely.
    Sound {
        /// Age of the fact, in milliseconds.
        age_ms: u32,
    },
    /// The request is barred from all servers.
    Barred {
        /// Remaining time, in seconds.
        left_s: u32,
    },
}

impl Fact {
    /// Creates the fact of a crash that has just been observed.
    pub(super) fn crash(crash: &Crash) -> Fact {
        Fact::Crash {
            server: crash.server,
            begun: crash.begun,
            age_ms: 0,
        }
    }

    /// Creates the fact of a bar. The remaining time is filled in when the fact is reported.
    pub(super) fn barred() -> Fact {
        Fact::Barred { left_s: 0 }
    }
}

/// A finding that this host reports to the others.
#[derive(Debug)]
pub(super) struct OwnFinding {
    finding: Finding,
    /// Time of the fact.
    at: Time,
    /// When this host recorded it.
    recorded_at: Time,
    /// Whether it has not been reported yet.
    is_new: bool,
}

impl OwnFinding {
    /// Creates a finding for a fact of the present moment.
    pub(super) fn new(fingerprint: Fingerprint, fact: Fact, now: Time) -> OwnFinding {
        OwnFinding {
            finding: Finding { fingerprint, fact },
            at: now,
            recorded_at: now,
            is_new: true,
        }
    }

    /// Creates a finding for a request that was answered completely at a time.
    pub(super) fn success(fingerprint: Fingerprint, at: Time, now: Time) -> OwnFinding {
        OwnFinding {
            at,
            ..OwnFinding::new(fingerprint, Fact::Sound { age_ms: 0 }, now)
        }
    }

    /// Returns the request.
    pub(super) fn fingerprint(&self) -> Fingerprint {
        self.finding.fingerprint
    }

    /// Returns whether it has not been reported yet.
    pub(super) fn is_new(&self) -> bool {
        self.is_new
    }

    /// Returns whether it is still to be reported.
    pub(super) fn is_reported(&self, now: Time) -> bool {
        self.is_new || now.since(self.recorded_at) < heartbeat::PLACED_REPORT_TIME
    }

    /// Returns the finding with its age or remaining time as of `now`, and marks it as reported. `barred` is the end of
    /// the bar of the request, if it is barred.
    pub(super) fn report(&mut self, barred: Option<&Time>, now: Time) -> Finding {
        self.is_new = false;
        let age = now.since(self.at);
        let fact = match self.finding.fact {
            Fact::Crash { server, begun, .. } => Fact::Crash {
                server,
                begun,
                age_ms: millis(age),
            },
            Fact::Sound { .. } => Fact::Sound {
                age_ms: millis(age),
            },
            Fact::Barred { .. } => {
                let remaining = barred.map_or(Duration::ZERO, |until| until.left(now));
                let left_s = u32::try_from(remaining.as_secs()).unwrap_or(u32::MAX);
                Fact::Barred { left_s }
            }
        };
        Finding {
            fact,
            ..self.finding
        }
    }
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
