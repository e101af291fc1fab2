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

/// A fact about a request or a part of prompts, as sent in a notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// The request or part.
    pub fingerprint: Fingerprint,
    /// The fact.
    pub fact: Fact,
}

/// A fact about a request or a part of prompts.
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
    /// The request was answered completely, or an answer to a prompt with the part began and did not crash its server.
    Sound {
        /// Age of the fact, in milliseconds: since the end of the request's answer, or the beginning of the part's.
        age_ms: u32,
    },
    /// The request is barred from all servers, or no longer.
    Barred {
        /// Remaining time, in seconds; `0` if the bar was lifted.
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
    /// From when on this host reports it.
    due_at: Time,
    /// Whether it has not been reported yet.
    is_new: bool,
}

impl OwnFinding {
    /// Creates a finding for a fact of the present moment.
    pub(super) fn new(fingerprint: Fingerprint, fact: Fact, now: Time) -> OwnFinding {
        OwnFinding {
            finding: Finding { fingerprint, fact },
            at: now,
            due_at: now,
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

    /// Delays the first report.
    pub(super) fn delayed(self, delay: Duration) -> OwnFinding {
        OwnFinding {
            due_at: self.due_at + delay,
            ..self
        }
    }

    /// Returns when it is reported for the first time.
    pub(super) fn due_at(&self) -> Time {
        self.due_at
    }

    /// Returns whether it states that its request or part was sound, and since when.
    pub(super) fn sound_at(&self) -> Option<Time> {
        matches!(self.finding.fact, Fact::Sound { .. }).then_some(self.at)
    }

    /// Returns the time of the crash that it states, if it does.
    pub(super) fn crash_at(&self) -> Option<Time> {
        matches!(self.finding.fact, Fact::Crash { .. }).then_some(self.at)
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
        self.is_new || now.since(self.due_at) < heartbeat::PLACED_REPORT_TIME
    }

    /// Returns the finding with its age or remaining time as of `now`, and marks it as reported. `barred` is the end of
    /// the bar of the request, if it is barred.
    pub(super) fn report(&mut self, barred: Option<Time>, now: Time) -> Finding {
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
                Fact::Barred {
                    left_s: seconds(remaining),
                }
            }
        };
        Finding {
            fact,
            ..self.finding
        }
    }
}

pub(super) fn seconds(span: Duration) -> u32 {
    u32::try_from(span.as_secs()).unwrap_or(u32::MAX)
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
