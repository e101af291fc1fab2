//! How servers depart: when the host noticed it, until when it used them nevertheless, and its last send to each. The
//! host's log tells this for every server.

use crate::Name;
use crate::fleet::incarnation::Key;
use crate::time::Time;
use std::collections::HashMap;
use std::time::Duration;

/// How long a server's last send is remembered after it. A departed server may be reported again for as long.
const SEND_RETENTION: Duration = Duration::from_secs(60);

/// What shows that a server departs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sign {
    /// It has announced that it is leaving.
    Announced,
    /// Its entry was removed from the store.
    Removed,
}

impl Sign {
    /// Returns the name of the sign in logs.
    pub fn label(self) -> &'static str {
        match self {
            Sign::Announced => "announced",
            Sign::Removed => "removed",
        }
    }
}

/// Until when a server is used although its entry was removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Keep {
    /// Until the store is available again, which then decides.
    StoreReturn,
    /// Until this time, unless its entry is written again: entries may have lapsed while the store was unavailable to this
    /// host.
    Grace(Time),
    /// The same as other hosts report it.
    Told(Time),
}

impl Keep {
    /// Returns the name of the reason in logs.
    pub fn label(self) -> &'static str {
        match self {
            Keep::StoreReturn => "store_return",
            Keep::Grace(_) => "grace",
            Keep::Told(_) => "told",
        }
    }
}

/// One step of a server's departure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// A sign was noticed.
    Noticed {
        /// The sign.
        sign: Sign,
        /// Until when the server is used nevertheless, if it is.
        keep: Option<Keep>,
    },
    /// The server receives no more new work.
    Dropped {
        /// The sign that decided.
        sign: Sign,
        /// The time since the first sign.
        after: Duration,
        /// When the host last sent a request to the server, if it did.
        last_send: Option<Time>,
    },
    /// Its entry was written again in time.
    Returned {
        /// The time since the first sign.
        after: Duration,
    },
}

/// A step of one server's departure.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Departure {
    /// The server's id.
    pub server: Name,
    /// The step.
    pub step: Step,
}

/// The departures that one host has noticed.
#[derive(Debug, Default)]
pub(super) struct Departures {
    /// When the first sign of each departure in progress was noticed.
    noticed: HashMap<Key, Time>,
    /// When the host last sent a request to each server.
    sends: HashMap<Key, Time>,
    /// Steps that were not taken yet.
    news: Vec<Departure>,
}

impl Departures {
    /// Records a send to a server.
    pub(super) fn record_send(&mut self, server: Key, now: Time) {
        self.sends.insert(server, now);
    }

    /// Records a sign that a server departs.
    pub(super) fn notice(
        &mut self,
        key: Key,
        id: &Name,
        sign: Sign,
        keep: Option<Keep>,
        now: Time,
    ) {
        self.noticed.entry(key).or_insert(now);
        self.push(id, Step::Noticed { sign, keep });
    }

    /// Records that a server receives no more new work.
    pub(super) fn drop_server(&mut self, key: Key, id: &Name, sign: Sign, now: Time) {
        let noticed = self.noticed.get(&key).copied().unwrap_or(now);
        let step = Step::Dropped {
            sign,
            after: now.since(noticed),
            last_send: self.sends.get(&key).copied(),
        };
        self.push(id, step);
    }

    /// Records that the entry of a server was written again that had gone missing.
    pub(super) fn restore(&mut self, key: Key, id: &Name, now: Time) {
        if let Some(noticed) = self.noticed.remove(&key) {
            let after = now.since(noticed);
            self.push(id, Step::Returned { after });
        }
    }

    /// Returns the steps since the last call.
    pub(super) fn take(&mut self) -> Vec<Departure> {
        std::mem::take(&mut self.news)
    }

    /// Forgets servers that are unknown by now, and the sends to them after [`SEND_RETENTION`].
    pub(super) fn expire(&mut self, is_known: impl Fn(Key) -> bool, now: Time) {
        self.noticed.retain(|server, _| is_known(*server));
        self.sends
            .retain(|server, at| is_known(*server) || now.since(*at) < SEND_RETENTION);
    }

    fn push(&mut self, server: &Name, step: Step) {
        self.news.push(Departure {
            server: server.clone(),
            step,
        });
    }
}
