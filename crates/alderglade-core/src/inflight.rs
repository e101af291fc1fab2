//! The requests that one entry host is processing.

use crate::Name;
use crate::cell::Key;
use crate::fleet::quarantine::Identity;
use crate::ledger::Claim;
use crate::limit::Rate;
use crate::request::{Id, Ticket};
use crate::time::Time;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// The kind of work that a caller requests.
#[derive(Debug, Clone, PartialEq)]
pub enum Work {
    /// Token generation by a model engine.
    Generate,
    /// A call to a plain service.
    Call {
        /// The service.
        service: Name,
    },
}

/// A parsed and authenticated request from a caller.
#[derive(Debug, Clone)]
pub struct Submission {
    /// The part of the request that queues use.
    pub ticket: Ticket,
    /// The request as it is the same when its caller retries, and the prefix of its prompt.
    pub identity: Identity,
    /// The requested work.
    pub work: Work,
    /// The caller class.
    pub class: Name,
    /// The workspace's rate limit.
    pub rate: Rate,
    /// The latency objective for the first token.
    pub first_token: Duration,
    /// Share of requests that have to meet the objectives, in thousandths.
    pub objective_per_mille: u32,
    /// Whether the request may be retried after it may have run.
    pub repeatable: bool,
    /// The claim to record before sending, if the request may run at most once.
    pub claim: Option<Claim>,
}

/// The processing stage of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Stage {
    /// Waits for a slice of its workspace's rate.
    Limited,
    /// Waits for the load of other failure domains, to find one that can serve it.
    AwaitingLoad,
    /// Waits in a cell's queue.
    Waiting {
        /// The cell.
        cell: Key,
        /// The cell's home, to which the request was sent.
        home: Name,
        /// When it was last sent to the home.
        sent: Time,
        /// Whether the home has confirmed that the request is queued.
        queued: bool,
    },
    /// Placed; waits until its claim is recorded.
    Claiming {
        /// The host that records the claim.
        home: Name,
        /// When the claim was last sent to it.
        sent: Time,
        /// Where the request will run.
        place: Place,
    },
    /// Sent to a backend server.
    Running {
        /// Where it runs.
        place: Place,
    },
}

/// Where a request runs.
#[derive(Debug, Clone, PartialEq)]
pub enum Place {
    /// On engines of a cell.
    Engines {
        /// The cell.
        cell: Key,
        /// The host that granted them.
        home: Name,
        /// The engines.
        engines: Vec<Name>,
    },
    /// On a server of a plain service.
    Server {
        /// The server.
        server: Name,
    },
}

/// One request in progress.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The request as submitted by the caller.
    pub submission: Submission,
    /// When the request arrived.
    pub since: Time,
    /// The time by which the request has to be answered.
    pub deadline: Time,
    /// The current stage.
    pub stage: Stage,
    /// When the current stage began.
    pub stage_since: Time,
    /// Cells that have refused the request.
    pub refused_by: Vec<Key>,
    /// Servers that have failed the request.
    pub failed_by: Vec<Name>,
    /// When the first token arrived.
    pub first_token: Option<Time>,
    /// Whether the request was ever sent to a backend server.
    pub sent: bool,
    /// Whether a backend server may have started the request.
    pub may_have_run: bool,
}

impl Entry {
    /// Returns the ticket with the time remaining at `now`.
    pub fn ticket(&self, now: Time) -> Ticket {
        let mut ticket = self.submission.ticket.clone();
        ticket.time_left = self.deadline.left(now);
        ticket
    }

    /// Returns the engines granted to the request. Empty while it waits, and for a plain service.
    pub fn engines(&self) -> &[Name] {
        match &self.stage {
            Stage::Running {
                place: Place::Engines { engines, .. },
            }
            | Stage::Claiming {
                place: Place::Engines { engines, .. },
                ..
            } => engines,
            _ => &[],
        }
    }

    /// Returns whether the deadline is earlier than the caller's, because this host is stopping.
    pub fn is_cut_short(&self) -> bool {
        self.deadline < self.since + self.submission.ticket.time_left
    }

    /// Moves the request to another stage at `now`.
    pub fn enter(&mut self, stage: Stage, now: Time) {
        self.stage = stage;
        self.stage_since = now;
    }
}

/// All requests in progress, indexed by deadline.
#[derive(Debug, Default)]
pub struct InFlight {
    entries: HashMap<Id, Entry>,
    deadlines: BTreeSet<(Time, Id)>,
    unsent: BTreeSet<Id>,
}

impl InFlight {
    /// Returns the number of requests in progress.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request is in progress.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds a request.
    pub fn insert(&mut self, id: Id, entry: Entry) {
        self.deadlines.insert((entry.deadline, id));
        self.unsent.insert(id);
        self.entries.insert(id, entry);
    }

    /// Returns a request.
    pub fn get(&self, id: Id) -> Option<&Entry> {
        self.entries.get(&id)
    }

    /// Returns a request for modification. Its deadline must not be changed, because it is indexed.
    pub fn get_mut(&mut self, id: Id) -> Option<&mut Entry> {
        self.entries.get_mut(&id)
    }

    /// Removes and returns a request.
    pub fn remove(&mut self, id: Id) -> Option<Entry> {
        let entry = self.entries.remove(&id)?;
        self.deadlines.remove(&(entry.deadline, id));
        self.unsent.remove(&id);
        Some(entry)
    }

    /// Moves all deadlines after `end` to `end` and returns the affected requests.
    pub fn cap_deadlines(&mut self, end: Time) -> Vec<Id> {
        let latest_first = self.deadlines.iter().rev();
        let changed: Vec<(Time, Id)> = latest_first
            .take_while(|(at, _)| *at > end)
            .copied()
            .collect();
        for (deadline, id) in &changed {
            self.deadlines.remove(&(*deadline, *id));
            self.deadlines.insert((end, *id));
            if let Some(entry) = self.entries.get_mut(id) {
                entry.deadline = end;
            }
        }
        changed.into_iter().map(|(_, id)| id).collect()
    }

    /// Records whether a request is sent to a backend server or waits.
    pub fn set_sent(&mut self, id: Id, sent: bool) {
        if sent {
            self.unsent.remove(&id);
        } else {
            self.unsent.insert(id);
        }
    }

    /// Returns the requests that are not sent to a backend server.
    pub fn unsent(&self) -> Vec<Id> {
        self.unsent.iter().copied().collect()
    }

    /// Returns a request whose deadline has passed.
    pub fn expired(&self, now: Time) -> Option<Id> {
        let (deadline, id) = self.deadlines.first()?;
        (*deadline <= now).then_some(*id)
    }
}
