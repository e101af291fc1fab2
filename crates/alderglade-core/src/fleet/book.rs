//! The load book: what every host holds at every backend server, in one of its incarnations.
//!
//! A host tells its peers its own holdings as absolute figures, so that a lost or doubled notice is
//! made good by the next one. What a silent host held lapses. Reading is told as all that was ever placed:
//! what a figure has risen by is new work for the engine, and [`Progress`] works out when it is done.

mod hold;
mod line;
mod load;
mod notice;
mod peer;

pub use hold::{Hold, HoldId, Part};
pub use line::{Demand, WaitId};
pub use load::{Load, PAUSE_CLASSES, PauseClass, Pauses};
pub use notice::{Holding, Notice};

use super::heartbeat;
use super::incarnation::Key;
use super::pass::Figures;
use super::progress::{Ahead, Pace, Progress};
use super::relay::Neighbour;
use crate::Name;
use crate::time::Time;
use line::Entry;
use peer::Peer;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// A failure domain none of whose hosts was heard of for this long may be cut off: two of the shortest
/// heartbeats, and more than half of another for a notice on its way.
pub const CUT_OFF: Duration = Duration::from_millis(650);

/// The most prompts of one host that its peers hear of, those first that came first: more don't fit a packet beside its
/// holdings, and who is next is long decided among so many.
const TOLD_WAITING: usize = 48;

/// What this host holds at a server.
#[derive(Debug, Default)]
struct Own {
    /// What it holds, and the reading that it has placed.
    load: Load,
    /// When that last changed.
    changed: Time,
    /// What was told of `load.placed`.
    told: u64,
}

/// An engine whose timing is known.
#[derive(Debug)]
struct Engine {
    /// Its timing.
    figures: Figures,
    /// Where it is in its passes.
    progress: Progress,
}

/// The book of one host.
#[derive(Debug, Default)]
pub struct Book {
    /// This host's own placements.
    holds: BTreeMap<HoldId, Hold>,
    /// The number of the last of them, or of the last own prompt that waits.
    next: u64,
    /// This host's own prompts that wait.
    own_line: BTreeMap<WaitId, Entry>,
    /// What this host holds at each server.
    own: HashMap<Key, Own>,
    /// Prompts that this host is having read and that take up many engines at once.
    own_giants: u32,
    /// Servers whose own holdings have changed since peers were told.
    changed: BTreeSet<Key>,
    /// The other hosts.
    peers: HashMap<Name, Peer>,
    /// What all hosts together hold at each server.
    totals: HashMap<Key, Load>,
    /// The engines that state their timing.
    engines: HashMap<Key, Engine>,
    /// When a host of each failure domain was last heard of.
    domains: HashMap<Name, Time>,
}

impl Book {
    /// Takes the engines that there are, with their timing.
    pub fn set_engines(&mut self, engines: HashMap<Key, Figures>) {
        let mut known = std::mem::take(&mut self.engines);
        let kept = engines.into_iter().map(|(server, figures)| {
            let progress = known.remove(&server).map(|engine| engine.progress);
            let progress = progress.unwrap_or_default();
            (server, Engine { figures, progress })
        });
        self.engines = kept.collect();
        let engines = &self.engines;
        let gone =
            |server: &Key, own: &Own| own.load.holds_nothing() && !engines.contains_key(server);
        self.own.retain(|server, own| !gone(server, own));
    }

    /// Notes a placement.
    pub fn hold(&mut self, hold: Hold, now: Time) -> HoldId {
        self.next += 1;
        let id = HoldId(self.next);
        self.place(hold.first, &hold.load, now);
        for helper in &hold.helpers {
            self.place(helper.server, &helper.load, now);
        }
        self.own_giants += u32::from(hold.giant);
        self.holds.insert(id, hold);
        id
    }

    /// Notes that a prompt has been read: its first token has come.
    ///
    /// Returns whether peers should be told at once: there is room for another prompt that takes up many
    /// engines.
    pub fn read(&mut self, id: HoldId, now: Time) -> bool {
        let Some(hold) = self.holds.get_mut(&id) else {
            return false;
        };
        let was_giant = std::mem::take(&mut hold.giant);
        self.own_giants -= u32::from(was_giant);
        let server = hold.first;
        let pace = self.pace(server);
        if let (Some(pace), Some(engine)) = (pace, self.engines.get_mut(&server)) {
            engine.progress.ended(pace, now);
        }
        was_giant
    }

    /// Notes that a request is over, or looked at as if it were; gives what it has held, to be held again without the
    /// reading, which has been placed.
    pub fn release(&mut self, id: HoldId, now: Time) -> Option<Hold> {
        let hold = self.holds.remove(&id)?;
        self.own_giants -= u32::from(hold.giant);
        self.change(hold.first, now, |own| own.subtract(&hold.load));
        for helper in &hold.helpers {
            self.change(helper.server, now, |own| own.subtract(&helper.load));
        }
        Some(hold.without_reading())
    }

    /// Gives what is ahead of a prompt that is placed at a server now.
    pub fn ahead(&mut self, server: Key, now: Time) -> Ahead {
        let Some(pace) = self.pace(server) else {
            return Ahead::default();
        };
        let engine = self.engines.get_mut(&server);
        engine.map_or(Ahead::default(), |engine| engine.progress.ahead(pace, now))
    }

    /// Gives the length of a pass of an engine that reads nothing, in milliseconds, if it states its timing.
    pub fn idle_pass(&self, server: Key) -> Option<f64> {
        self.pace(server).map(|pace| pace.idle)
    }

    /// Gives what all hosts together hold at a server.
    pub fn total(&self, server: Key) -> Load {
        self.totals.get(&server).copied().unwrap_or_default()
    }

    /// Gives the number of prompts being read that take up many engines, over all hosts.
    pub fn giants(&self) -> u32 {
        let others = self.peers.values().map(|peer| peer.giants);
        others.fold(self.own_giants, u32::saturating_add)
    }

    /// Gives this host's own number of prompts being read that take up many engines.
    pub fn own_giants(&self) -> u32 {
        self.own_giants
    }

    /// Takes a prompt into the line of those that wait.
    pub fn line_up(&mut self, demand: Demand, now: Time) -> WaitId {
        self.next += 1;
        let id = WaitId(self.next);
        self.own_line.insert(id, Entry::new(demand, now));
        id
    }

    /// Takes what a prompt in the line needs as it stands now; gives how many prompts go before it, over all hosts.
    pub fn stand(&mut self, id: WaitId, demand: Demand, now: Time) -> u32 {
        let own = Entry::new(demand, now);
        self.own_line.insert(id, own);
        let peers = self.peers.values().flat_map(|peer| &peer.line);
        let line = self.own_line.values().chain(peers);
        let before = line.filter(|other| other.is_before(&own)).count();
        u32::try_from(before).unwrap_or(u32::MAX)
    }

    /// Takes a prompt out of the line.
    pub fn leave_line(&mut self, id: WaitId) {
        self.own_line.remove(&id);
    }

    /// Gives what this host's own prompts need that wait.
    pub fn waiting(&self, now: Time) -> Vec<Demand> {
        let line = self.own_line.values().take(TOLD_WAITING);
        line.map(|entry| entry.demand(now)).collect()
    }

    /// Says whether peers should be told something.
    pub fn has_changes(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Gives what has changed since the last call.
    pub fn take_changes(&mut self) -> Vec<Holding> {
        let changed = std::mem::take(&mut self.changed);
        let holdings = changed.into_iter().map(|server| {
            let Some(own) = self.own.get_mut(&server) else {
                return Holding::nothing(server);
            };
            let placed = own.load.placed;
            let added = placed - std::mem::replace(&mut own.told, placed);
            Holding {
                server,
                load: own.load,
                added,
            }
        });
        holdings.collect()
    }

    /// Gives all that this host holds, and what it has placed lately.
    pub fn whole(&self, now: Time) -> Vec<Holding> {
        let is_recent = |own: &Own| now.since(own.changed) < heartbeat::TOLD_FOR;
        let is_told = |own: &Own| !own.load.holds_nothing() || is_recent(own);
        let own = self.own.iter().filter(|(_, own)| is_told(own));
        let holdings = own.map(|(server, own)| Holding {
            server: *server,
            load: own.load,
            added: 0,
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
        if newcomer {
            self.forget(&notice.host);
        } else if notice.whole {
            self.forget_loads(&notice.host);
        }
        self.domains.insert(notice.domain.clone(), now);
        self.take(notice, now);
        newcomer
    }

    /// Takes a notice into what is known of the peer, and its holdings into the sums.
    fn take(&mut self, notice: &Notice, now: Time) {
        let peer = self.peers.entry(notice.host.clone());
        let peer = peer.or_insert_with(|| Peer::new(notice, now));
        peer.hear(notice, now);
        let mut arrived: Vec<Arrival> = Vec::new();
        for holding in &notice.holdings {
            let server = holding.server;
            let total = self.totals.entry(server).or_default();
            if let Some(old) = peer.hold(holding) {
                total.subtract(&old);
            }
            total.add(&holding.load);
            let placed = peer.place(holding);
            if placed > 0 {
                arrived.push(Arrival { server, placed });
            }
        }
        // The pace of an engine follows from the sums, so these must be complete first.
        for Arrival { server, placed } in arrived {
            self.advance(server, placed, now);
        }
    }

    /// Lets the holdings of silent hosts lapse; gives the names of these hosts.
    pub fn expire(&mut self, now: Time) -> Vec<Name> {
        let is_silent = |peer: &Peer| now.since(peer.heard) > heartbeat::lapse(peer.interval);
        let silent = self.peers.iter().filter(|(_, peer)| is_silent(peer));
        let silent: Vec<Name> = silent.map(|(name, _)| name.clone()).collect();
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

    /// Says whether all failure domains but the own one seem cut off, and there are such.
    pub fn is_isolated(&self, own_domain: &str, now: Time) -> bool {
        let others = self.domains.keys().filter(|name| ***name != *own_domain);
        let mut others = others.peekable();
        others.peek().is_some() && others.all(|domain| self.is_cut_off(domain, now))
    }

    /// Gives the hosts that have kept to their heartbeats; `domain` is the own failure domain.
    pub fn heard<'a>(
        &'a self,
        domain: &'a Name,
        now: Time,
    ) -> impl Iterator<Item = Neighbour<'a>> + Clone {
        let lately = move |peer: &Peer| now.since(peer.heard) <= heartbeat::heard(peer.interval);
        let peers = self.peers.iter().filter(move |(_, peer)| lately(peer));
        peers.map(move |(name, peer)| Neighbour {
            name,
            domain: &peer.domain,
            near: peer.domain == *domain,
            word: peer.word,
        })
    }

    /// Gives the number of hosts heard of, with this one.
    pub fn hosts(&self) -> usize {
        self.peers.len() + 1
    }

    /// Drops a host with all that it held.
    fn forget(&mut self, host: &Name) {
        self.forget_loads(host);
        self.peers.remove(host);
    }

    /// Drops what a host held.
    fn forget_loads(&mut self, host: &Name) {
        let Some(peer) = self.peers.get_mut(host) else {
            return;
        };
        for (server, load) in std::mem::take(&mut peer.loads) {
            if let Some(total) = self.totals.get_mut(&server) {
                total.subtract(&load);
                if total.holds_nothing() {
                    self.totals.remove(&server);
                }
            }
        }
    }

    /// Takes up a load at a server, with the reading that it brings.
    fn place(&mut self, server: Key, load: &Load, now: Time) {
        self.advance(server, load.placed, now);
        self.change(server, now, |own| own.add(load));
    }

    /// Lets an engine's passes take in more reading, in microseconds.
    fn advance(&mut self, server: Key, placed: u64, now: Time) {
        let pace = self.pace(server);
        if let (Some(pace), Some(engine)) = (pace, self.engines.get_mut(&server)) {
            engine.progress.place(placed as f64 / 1_000.0, pace, now);
        }
    }

    /// Gives the pace of an engine's passes, if it states its timing.
    fn pace(&self, server: Key) -> Option<Pace> {
        let figures = &self.engines.get(&server)?.figures;
        let Load {
            running, memory, ..
        } = self.total(server);
        Some(Pace::of(figures, running, memory))
    }

    /// Changes what this host holds at a server, and the sum there; peers are told of it.
    fn change(&mut self, server: Key, now: Time, edit: impl Fn(&mut Load)) {
        let own = self.own.entry(server).or_default();
        edit(&mut own.load);
        own.changed = now;
        edit(self.totals.entry(server).or_default());
        self.changed.insert(server);
    }
}

/// Reading that a peer has placed since its last notice, in microseconds.
struct Arrival {
    server: Key,
    placed: u64,
}
