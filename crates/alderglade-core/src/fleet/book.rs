//! The load book: what every host holds at every backend server.
//!
//! A host tells its peers its own holdings as absolute figures, so that a lost or doubled notice is
//! made good by the next one. What a silent host held lapses.

use crate::Name;
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// A host not heard of for this long holds nothing any more: four heartbeats of 250 ms, and one more
/// for a notice on its way.
pub const LAPSE: Duration = Duration::from_millis(1_250);
/// A failure domain none of whose hosts was heard of for this long may be cut off: two heartbeats of
/// 250 ms, and one more for a notice on its way.
pub const CUT_OFF: Duration = Duration::from_millis(650);
/// Classes of pauses that running answers bear; see [`PauseClass`].
pub const PAUSE_CLASSES: usize = 3;

/// How long a pause between its events an answer bears and is still in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PauseClass {
    /// Less than 400 ms: interactive replies.
    Short,
    /// Less than 800 ms: digests.
    Middle,
    /// Longer.
    Long,
}

impl PauseClass {
    /// The bound between short and middle pauses, in milliseconds.
    const SHORT_BELOW: u128 = 400;
    /// The bound between middle and long pauses, in milliseconds.
    const MIDDLE_BELOW: u128 = 800;

    /// Gives the class of a pause.
    pub fn of(longest: Duration) -> PauseClass {
        match longest.as_millis() {
            0..PauseClass::SHORT_BELOW => PauseClass::Short,
            PauseClass::SHORT_BELOW..PauseClass::MIDDLE_BELOW => PauseClass::Middle,
            _ => PauseClass::Long,
        }
    }

    /// Gives the pause that answers of the class are sure to bear, in milliseconds.
    pub fn bears(self) -> f64 {
        match self {
            PauseClass::Short => 250.0,
            PauseClass::Middle => 600.0,
            PauseClass::Long => 1_000.0,
        }
    }

    /// All classes, in the order of [`Load::at_risk`].
    pub const ALL: [PauseClass; PAUSE_CLASSES] =
        [PauseClass::Short, PauseClass::Middle, PauseClass::Long];
}

/// What one host holds at one backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Reading time that still waits there, in microseconds.
    pub reading: i64,
    /// Memory that its requests need there, in tokens.
    pub memory: i64,
    /// Requests that were sent there and have not ended.
    pub running: i64,
    /// Worth of the running answers by the pause that they bear, in thousandths.
    pub at_risk: [i64; PAUSE_CLASSES],
}

impl Load {
    fn add(&mut self, other: &Load) {
        self.reading += other.reading;
        self.memory += other.memory;
        self.running += other.running;
        for (own, more) in self.at_risk.iter_mut().zip(other.at_risk) {
            *own += more;
        }
    }

    fn subtract(&mut self, other: &Load) {
        self.reading -= other.reading;
        self.memory -= other.memory;
        self.running -= other.running;
        for (own, less) in self.at_risk.iter_mut().zip(other.at_risk) {
            *own -= less;
        }
    }

    fn is_nothing(&self) -> bool {
        *self == Load::default()
    }
}

/// A host's holdings at one server, as told to its peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The backend server's identity.
    pub server: Name,
    /// What is held there.
    pub load: Load,
}

/// What a host tells its peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The sender's name.
    pub host: Name,
    /// The sender's failure domain.
    pub domain: Name,
    /// The sender's lifetime.
    pub incarnation: u64,
    /// Rises with each notice of the lifetime.
    pub sequence: u64,
    /// Whether `holdings` is all that the sender holds; otherwise it is what has changed.
    pub whole: bool,
    /// Prompts that the sender is having read and that take up many engines at once.
    pub giants: u32,
    /// Servers that the sender knows to be leaving.
    pub leaving: Vec<Name>,
    /// What it holds.
    pub holdings: Vec<Holding>,
}

/// One request's part in the book, from its placement to its end.
#[derive(Debug, Clone, PartialEq)]
pub struct Hold {
    /// The server that answers.
    pub first: Name,
    /// What it takes there.
    pub load: Load,
    /// The servers that read parts of the prompt, and what it takes there.
    pub helpers: Vec<Holding>,
    /// Whether it takes up many engines at once while it is read.
    pub giant: bool,
}

/// Names a [`Hold`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HoldId(u64);

#[derive(Debug)]
struct Peer {
    incarnation: u64,
    sequence: u64,
    heard: Time,
    giants: u32,
    loads: HashMap<Name, Load>,
}

/// The book of one host.
#[derive(Debug, Default)]
pub struct Book {
    holds: BTreeMap<HoldId, Hold>,
    next: u64,
    own: HashMap<Name, Load>,
    own_giants: u32,
    changed: BTreeSet<Name>,
    peers: HashMap<Name, Peer>,
    totals: HashMap<Name, Load>,
    domains: HashMap<Name, Time>,
}

impl Book {
    /// Notes a placement.
    pub fn hold(&mut self, hold: Hold) -> HoldId {
        self.next += 1;
        let id = HoldId(self.next);
        self.change(&hold.first, |own| own.add(&hold.load));
        for helper in &hold.helpers {
            self.change(&helper.server, |own| own.add(&helper.load));
        }
        self.own_giants += u32::from(hold.giant);
        self.holds.insert(id, hold);
        id
    }

    /// Notes that a prompt has been read: its first token has come.
    pub fn read(&mut self, id: HoldId) {
        let Some(mut hold) = self.holds.remove(&id) else {
            return;
        };
        self.own_giants -= u32::from(hold.giant);
        hold.giant = false;
        let reading = std::mem::take(&mut hold.load.reading);
        self.change(&hold.first, |own| own.reading -= reading);
        for helper in &mut hold.helpers {
            let reading = std::mem::take(&mut helper.load.reading);
            self.change(&helper.server, |own| own.reading -= reading);
        }
        self.holds.insert(id, hold);
    }

    /// Notes that one server has read its part of a prompt whose first token has not come yet.
    pub fn part_read(&mut self, id: HoldId, server: &Name) {
        let Some(hold) = self.holds.get_mut(&id) else {
            return;
        };
        let part = hold.helpers.iter_mut().find(|part| part.server == *server);
        let Some(part) = part else {
            return;
        };
        let reading = std::mem::take(&mut part.load.reading);
        self.change(server, |own| own.reading -= reading);
    }

    /// Notes that a request is over.
    pub fn release(&mut self, id: HoldId) {
        let Some(hold) = self.holds.remove(&id) else {
            return;
        };
        self.own_giants -= u32::from(hold.giant);
        self.change(&hold.first, |own| own.subtract(&hold.load));
        for helper in &hold.helpers {
            self.change(&helper.server, |own| own.subtract(&helper.load));
        }
    }

    /// Gives what all hosts together hold at a server.
    pub fn total(&self, server: &str) -> Load {
        self.totals.get(server).copied().unwrap_or_default()
    }

    /// Gives the number of prompts being read that take up many engines, over all hosts.
    pub fn giants(&self) -> u32 {
        let others: u32 = self.peers.values().map(|peer| peer.giants).sum();
        self.own_giants + others
    }

    /// Gives this host's own number of prompts being read that take up many engines.
    pub fn own_giants(&self) -> u32 {
        self.own_giants
    }

    /// Says whether peers should be told something.
    pub fn has_changes(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Gives what has changed since the last call.
    pub fn take_changes(&mut self) -> Vec<Holding> {
        let changed = std::mem::take(&mut self.changed);
        changed
            .into_iter()
            .map(|server| Holding {
                load: self.own.get(&server).copied().unwrap_or_default(),
                server,
            })
            .collect()
    }

    /// Gives all that this host holds.
    pub fn whole(&self) -> Vec<Holding> {
        let holdings = self.own.iter().map(|(server, load)| Holding {
            server: server.clone(),
            load: *load,
        });
        holdings.collect()
    }

    /// Takes a peer's notice. One that is older than what is known is dropped.
    ///
    /// Returns whether the peer is new, or back in another lifetime.
    pub fn hear(&mut self, notice: &Notice, now: Time) -> bool {
        let known = self.peers.get(&notice.host);
        let newcomer = known.is_none_or(|peer| peer.incarnation < notice.incarnation);
        if let Some(peer) = known {
            let stale = peer.incarnation > notice.incarnation
                || (peer.incarnation == notice.incarnation && peer.sequence >= notice.sequence);
            if stale {
                return false;
            }
        }
        if newcomer || notice.whole {
            self.forget(&notice.host);
        }
        let peer = self.peers.entry(notice.host.clone()).or_insert(Peer {
            incarnation: notice.incarnation,
            sequence: 0,
            heard: now,
            giants: 0,
            loads: HashMap::new(),
        });
        self.domains.insert(notice.domain.clone(), now);
        peer.sequence = notice.sequence;
        peer.heard = now;
        peer.giants = notice.giants;
        for holding in &notice.holdings {
            let total = self.totals.entry(holding.server.clone()).or_default();
            if let Some(old) = peer.loads.insert(holding.server.clone(), holding.load) {
                total.subtract(&old);
            }
            total.add(&holding.load);
        }
        newcomer
    }

    /// Lets the holdings of silent hosts lapse; gives the names of these hosts.
    pub fn expire(&mut self, now: Time) -> Vec<Name> {
        let silent = self
            .peers
            .iter()
            .filter(|(_, peer)| now.since(peer.heard) > LAPSE)
            .map(|(name, _)| name.clone());
        let silent: Vec<Name> = silent.collect();
        for name in &silent {
            self.forget(name);
        }
        silent
    }

    /// Says whether a failure domain seems cut off: its hosts were heard of before, and none is now.
    pub fn is_cut_off(&self, domain: &str, now: Time) -> bool {
        self.domains
            .get(domain)
            .is_some_and(|heard| now.since(*heard) > CUT_OFF)
    }

    /// Gives the number of hosts heard of, with this one.
    pub fn hosts(&self) -> usize {
        self.peers.len() + 1
    }

    fn forget(&mut self, host: &Name) {
        let Some(peer) = self.peers.remove(host) else {
            return;
        };
        for (server, load) in peer.loads {
            if let Some(total) = self.totals.get_mut(&server) {
                total.subtract(&load);
                if total.is_nothing() {
                    self.totals.remove(&server);
                }
            }
        }
    }

    fn change(&mut self, server: &Name, edit: impl Fn(&mut Load)) {
        let own = self.own.entry(server.clone()).or_default();
        edit(own);
        if own.is_nothing() {
            self.own.remove(server);
        }
        edit(self.totals.entry(server.clone()).or_default());
        self.changed.insert(server.clone());
    }
}
