//! The load book: what every host holds at every backend server.
//!
//! A host tells its peers its own holdings as absolute figures, so that a lost or doubled notice is
//! made good by the next one. What a silent host held lapses.

mod load;

pub use load::{Load, PAUSE_CLASSES, PauseClass};

use super::relay::{Neighbour, Word};
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
    /// What the sender knows of the store.
    pub word: Word,
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

/// What is known of another host.
#[derive(Debug)]
struct Peer {
    domain: Name,
    incarnation: u64,
    /// The number of its last notice.
    sequence: u64,
    /// When that came.
    heard: Time,
    giants: u32,
    word: Word,
    /// What it holds at each server.
    loads: HashMap<Name, Load>,
}

impl Peer {
    /// Says whether a notice tells nothing newer than what is known.
    fn knows(&self, notice: &Notice) -> bool {
        let same = self.incarnation == notice.incarnation;
        self.incarnation > notice.incarnation || (same && self.sequence >= notice.sequence)
    }
}

/// The book of one host.
#[derive(Debug, Default)]
pub struct Book {
    /// This host's own placements.
    holds: BTreeMap<HoldId, Hold>,
    /// The number of the last of them.
    next: u64,
    /// What this host holds at each server.
    own: HashMap<Name, Load>,
    own_giants: u32,
    /// Servers whose own holdings have changed since peers were told.
    changed: BTreeSet<Name>,
    /// The other hosts.
    peers: HashMap<Name, Peer>,
    /// What all hosts together hold at each server.
    totals: HashMap<Name, Load>,
    /// When a host of each failure domain was last heard of.
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
        if known.is_some_and(|peer| peer.knows(notice)) {
            return false;
        }
        let newcomer = known.is_none_or(|peer| peer.incarnation < notice.incarnation);
        if newcomer || notice.whole {
            self.forget(&notice.host);
        }
        self.domains.insert(notice.domain.clone(), now);
        self.take(notice, now);
        newcomer
    }

    /// Takes the holdings of a notice into the peer's and the sums.
    fn take(&mut self, notice: &Notice, now: Time) {
        let peer = self.peers.entry(notice.host.clone()).or_insert(Peer {
            domain: notice.domain.clone(),
            incarnation: notice.incarnation,
            sequence: 0,
            heard: now,
            giants: 0,
            word: Word::default(),
            loads: HashMap::new(),
        });
        peer.sequence = notice.sequence;
        peer.heard = now;
        peer.giants = notice.giants;
        peer.word = notice.word;
        for holding in &notice.holdings {
            let total = self.totals.entry(holding.server.clone()).or_default();
            if let Some(old) = peer.loads.insert(holding.server.clone(), holding.load) {
                total.subtract(&old);
            }
            total.add(&holding.load);
        }
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

    /// Gives the hosts heard of within [`CUT_OFF`]; `domain` is the own failure domain.
    pub fn heard<'a>(
        &'a self,
        domain: &'a Name,
        now: Time,
    ) -> impl Iterator<Item = Neighbour<'a>> + Clone {
        let lately = move |peer: &Peer| now.since(peer.heard) <= CUT_OFF;
        let peers = self.peers.iter().filter(move |(_, peer)| lately(peer));
        peers.map(move |(name, peer)| Neighbour {
            name,
            near: peer.domain == *domain,
            word: peer.word,
        })
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
