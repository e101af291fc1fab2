//! The requests that one entry host has in hand.

use crate::Name;
use crate::cell::Key;
use crate::ledger::Claim;
use crate::limit::Rate;
use crate::request::{Id, Ticket};
use crate::time::Time;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// What a caller asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Work {
    /// Tokens from a model engine.
    Generate,
    /// A call to a plain service.
    Call {
        /// The service.
        service: Name,
    },
}

/// A request as it comes from a caller, read and authenticated.
#[derive(Debug, Clone)]
pub struct Submission {
    /// What queues know of it.
    pub ticket: Ticket,
    /// What it asks for.
    pub work: Work,
    /// Its caller class.
    pub class: Name,
    /// The workspace's rate.
    pub rate: Rate,
    /// The objective for its first token.
    pub first_token: Duration,
    /// The share of requests that has to meet the objectives, in thousandths.
    pub objective_per_mille: u32,
    /// Whether it may be sent again after it may have run.
    pub repeatable: bool,
    /// The claim to record before it is sent, if it may run at most once.
    pub claim: Option<Claim>,
}

/// Where a request is.
#[derive(Debug, Clone, PartialEq)]
pub enum Stage {
    /// Waits for a slice of its workspace's rate.
    Limited,
    /// Waits to learn which other failure domain could serve it.
    Asking,
    /// Waits in a cell's queue.
    Waiting {
        /// The cell.
        cell: Key,
        /// The host that is asked.
        home: Name,
        /// When it was last sent there.
        sent: Time,
        /// Whether the home has said that it waits there.
        queued: bool,
    },
    /// Placed; waits for its claim to be recorded.
    Claiming {
        /// The host that is asked.
        home: Name,
        /// When it was last sent there.
        sent: Time,
        /// Where it is placed.
        place: Place,
    },
    /// Sent.
    Running {
        /// Where it runs.
        place: Place,
    },
}

/// Where a request runs.
#[derive(Debug, Clone, PartialEq)]
pub enum Place {
    /// At engines of a cell.
    Engines {
        /// The cell.
        cell: Key,
        /// The host that granted them.
        home: Name,
        /// The engines.
        engines: Vec<Name>,
    },
    /// At a server of a plain service.
    Server {
        /// The server.
        server: Name,
    },
}

/// One request in hand.
#[derive(Debug, Clone)]
pub struct Entry {
    /// What came from the caller.
    pub submission: Submission,
    /// When it came.
    pub since: Time,
    /// When it has to be answered.
    pub deadline: Time,
    /// Where it is.
    pub stage: Stage,
    /// Since when it is there.
    pub staged: Time,
    /// Cells that have refused it.
    pub refused_by: Vec<Key>,
    /// Servers that have failed it.
    pub failed_by: Vec<Name>,
    /// When its first token came.
    pub first_token: Option<Time>,
    /// Whether it was ever sent to a backend server.
    pub sent: bool,
    /// Whether a backend server may have started it.
    pub may_have_run: bool,
}

impl Entry {
    /// Gives the ticket with the time that remains now.
    pub fn ticket(&self, now: Time) -> Ticket {
        let mut ticket = self.submission.ticket.clone();
        ticket.time_left = self.deadline.left(now);
        ticket
    }

    /// Gives the engines that it holds, sent or about to be; none while it waits.
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

    /// Says whether the stop of its host leaves it less time than its caller does.
    pub fn is_bounded(&self) -> bool {
        self.deadline < self.since + self.submission.ticket.time_left
    }

    /// Moves the request to another stage.
    pub fn enter(&mut self, stage: Stage, now: Time) {
        self.stage = stage;
        self.staged = now;
    }
}

/// All requests in hand, with their deadlines in order.
#[derive(Debug, Default)]
pub struct Table {
    entries: HashMap<Id, Entry>,
    deadlines: BTreeSet<(Time, Id)>,
    unsent: BTreeSet<Id>,
}

impl Table {
    /// Gives how many requests are in hand.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Says whether none is in hand.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Takes a request in hand.
    pub fn insert(&mut self, id: Id, entry: Entry) {
        self.deadlines.insert((entry.deadline, id));
        self.unsent.insert(id);
        self.entries.insert(id, entry);
    }

    /// Looks at a request.
    pub fn get(&self, id: Id) -> Option<&Entry> {
        self.entries.get(&id)
    }

    /// Looks at a request in order to change it.
    pub fn get_mut(&mut self, id: Id) -> Option<&mut Entry> {
        self.entries.get_mut(&id)
    }

    /// Lets a request go.
    pub fn remove(&mut self, id: Id) -> Option<Entry> {
        let entry = self.entries.remove(&id)?;
        self.deadlines.remove(&(entry.deadline, id));
        self.unsent.remove(&id);
        Some(entry)
    }

    /// Moves all deadlines after `end` to it and names their requests.
    pub fn bound(&mut self, end: Time) -> Vec<Id> {
        let late = self.deadlines.iter().rev();
        let late: Vec<(Time, Id)> = late.take_while(|(at, _)| *at > end).copied().collect();
        for (deadline, id) in &late {
            self.deadlines.remove(&(*deadline, *id));
            self.deadlines.insert((end, *id));
            if let Some(entry) = self.entries.get_mut(id) {
                entry.deadline = end;
            }
        }
        late.into_iter().map(|(_, id)| id).collect()
    }

    /// Notes that a request was sent, or waits again.
    pub fn set_sent(&mut self, id: Id, sent: bool) {
        if sent {
            self.unsent.remove(&id);
        } else {
            self.unsent.insert(id);
        }
    }

    /// Lists the requests that wait for something other than a backend server.
    pub fn unsent(&self) -> Vec<Id> {
        self.unsent.iter().copied().collect()
    }

    /// Names a request whose deadline has passed.
    pub fn expired(&self, now: Time) -> Option<Id> {
        let (deadline, id) = self.deadlines.first()?;
        (*deadline <= now).then_some(*id)
    }
}
