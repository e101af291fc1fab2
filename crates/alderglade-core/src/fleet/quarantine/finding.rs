//! What hosts tell each other of requests under which servers end.
//!
//! Each host tells what it has seen itself, or read in the store: at once, and for a while in its whole notices, because
//! any single message may be lost.

use super::evidence::Crash;
use crate::fleet::fingerprint::Fingerprint;
use crate::fleet::heartbeat;
use crate::fleet::incarnation::Key;
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A fact of a request, as told in a notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// What was asked.
    pub fingerprint: Fingerprint,
    /// What is told of it.
    pub fact: Fact,
}

/// What is told of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fact {
    /// A server has ended with it in its hands.
    Crash {
        /// The server.
        server: Key,
        /// Whether the request is known to have begun to run there.
        begun: bool,
        /// How long ago, in milliseconds.
        age_ms: u32,
    },
    /// It was answered to its end.
    Sound {
        /// How long ago, in milliseconds.
        age_ms: u32,
    },
    /// It is sent to no server any more.
    Barred {
        /// For how much longer, in seconds.
        left_s: u32,
    },
}

impl Fact {
    /// Tells an end that has just been seen.
    pub(super) fn crash(crash: &Crash) -> Fact {
        Fact::Crash {
            server: crash.server,
            begun: crash.begun,
            age_ms: 0,
        }
    }

    /// Tells that it is barred; for how much longer is told when it is told.
    pub(super) fn barred() -> Fact {
        Fact::Barred { left_s: 0 }
    }
}

/// A fact that this host tells the others.
#[derive(Debug)]
pub(super) struct Own {
    finding: Finding,
    /// When it was so.
    at: Time,
    /// When this host began to tell it.
    noted: Time,
    /// Whether nobody was told yet.
    new: bool,
}

impl Own {
    /// Notes a fact of now.
    pub(super) fn new(fingerprint: Fingerprint, fact: Fact, now: Time) -> Own {
        Own {
            finding: Finding { fingerprint, fact },
            at: now,
            noted: now,
            new: true,
        }
    }

    /// Notes that a request was answered to its end at a time.
    pub(super) fn sound(fingerprint: Fingerprint, at: Time, now: Time) -> Own {
        Own {
            at,
            ..Own::new(fingerprint, Fact::Sound { age_ms: 0 }, now)
        }
    }

    /// Gives what was asked.
    pub(super) fn fingerprint(&self) -> Fingerprint {
        self.finding.fingerprint
    }

    /// Says whether nobody was told yet.
    pub(super) fn is_new(&self) -> bool {
        self.new
    }

    /// Says whether it is still told.
    pub(super) fn is_told(&self, now: Time) -> bool {
        self.new || now.since(self.noted) < heartbeat::PLACED_REPORT_TIME
    }

    /// Gives the fact as it stands now, and notes that it is told. `barred` is until when the request is barred.
    pub(super) fn tell(&mut self, barred: Option<&Time>, now: Time) -> Finding {
        self.new = false;
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
                let left = barred.map_or(Duration::ZERO, |until| until.left(now));
                let left_s = u32::try_from(left.as_secs()).unwrap_or(u32::MAX);
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
