//! The load book: what every host holds at every backend server, in one of its incarnations.
//!
//! A host tells its peers its own holdings as absolute figures, so that a lost or doubled notice is
//! made good by the next one. What a silent host held lapses. Reading is told as all that was ever placed:
//! what a figure has risen by is new work for the engine, and [`Progress`] works out when it is done.

mod load;
mod notice;
mod peer;
mod queue;
mod reservation;

pub use load::{Load, PAUSE_CLASSES, PauseClass, Pauses};
pub use notice::{Holding, Notice};
pub use queue::{Demand, QueuedId};
pub use reservation::{Part, Reservation, ReservationId};

use super::heartbeat;
use super::incarnation::Key;
use super::pass::EngineProfile;
use super::progress::{Backlog, Pace, Progress};
use super::relay::Neighbour;
use crate::Name;
use crate::time::Time;
use peer::Peer;
use queue::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// A failure domain none of whose hosts was heard of for this long may be cut off: two of the shortest
/// heartbeats, and more than half of another for a notice on its way.
pub const DOMAIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(650);

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
    profile: EngineProfile,
    /// Where it is in its passes.
    progress: Progress,
}

/// The book of one host.
#[derive(Debug, Default)]
pub struct LoadTable {
    /// This host's own placements.
    reservations: BTreeMap<ReservationId, Reservation>,
    /// The number of the last of them, or of the last own prompt that waits.
    next: u64,
    /// This host's own prompts that wait.
    own_queue: BTreeMap<QueuedId, Entry>,
    /// What this host holds at each server.
    own: HashMap<Key, Own>,
    /// Prompts that this host is having read and that take up many engines at once.
    own_multi_engine_prompts: u32,
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

impl LoadTable {
    /// Takes the engines that there are, with their timing.
    pub fn set_engines(&mut self, engines: HashMap<Key, EngineProfile>) {
        let mut known = std::mem::take(&mut self.engines);
        let kept = engines.into_iter().map(|(server, profile)| {
            let progress = known.remove(&server).map(|engine| engine.progress);
            let progress = progress.unwrap_or_default();
            (server, Engine { profile, progress })
        });
        self.engines = kept.collect();
        let engines = &self.engines;
        let gone =
            |server: &Key, own: &Own| own.load.holds_nothing() && !engines.contains_key(server);
        self.own.retain(|server, own| !gone(server, own));
    }

    /// Notes a placement.
    pub fn reserve(&mut self, reservation: Reservation, now: Time) -> ReservationId {
        self.next += 1;
        let id = ReservationId(self.next);
        self.place(reservation.primary, &reservation.load, now);
        for helper in &reservation.helpers {
            self.place(helper.server, &helper.load, now);
        }
        self.own_multi_engine_prompts += u32::from(reservation.multi_engine);
        self.reservations.insert(id, reservation);
        id
    }

    /// Notes that a prompt has been read: its first token has come.
    ///
    /// Returns whether peers should be told at once: there is room for another prompt that takes up many
    /// engines.
    pub fn mark_read(&mut self, id: ReservationId, now: Time) -> bool {
        let Some(reservation) = self.reservations.get_mut(&id) else {
            return false;
        };
        let was_multi_engine = std::mem::take(&mut reservation.multi_engine);
        self.own_multi_engine_prompts -= u32::from(was_multi_engine);
        let server = reservation.primary;
        let pace = self.pace(server);
        if let (Some(pace), Some(engine)) = (pace, self.engines.get_mut(&server)) {
            engine.progress.ended(pace, now);
        }
        was_multi_engine
    }

    /// Notes that a request is over, or looked at as if it were; gives what it has held, to be held again without the
    /// reading, which has been placed.
    pub fn release(&mut self, id: ReservationId, now: Time) -> Option<Reservation> {
        let reservation = self.reservations.remove(&id)?;
        self.own_multi_engine_prompts -= u32::from(reservation.multi_engine);
        self.change(reservation.primary, now, |own| {
            own.subtract(&reservation.load)
        });
        for helper in &reservation.helpers {
            self.change(helper.server, now, |own| own.subtract(&helper.load));
        }
        Some(reservation.without_reading())
    }

    /// Gives what is ahead of a prompt that is placed at a server now.
    pub fn backlog(&mut self, server: Key, now: Time) -> Backlog {
        let Some(pace) = self.pace(server) else {
            return Backlog::default();
        };
        let engine = self.engines.get_mut(&server);
        engine.map_or(Backlog::default(), |engine| {
            engine.progress.backlog(pace, now)
        })
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
    pub fn multi_engine_prompts(&self) -> u32 {
        let others = self.peers.values().map(|peer| peer.multi_engine_prompts);
        others.fold(self.own_multi_engine_prompts, u32::saturating_add)
    }

    /// Gives this host's own number of prompts being read that take up many engines.
    pub fn own_multi_engine_prompts(&self) -> u32 {
        self.own_multi_engine_prompts
    }

    /// Takes a prompt into the line of those that wait.
    pub fn enqueue(&mut self, demand: Demand, now: Time) -> QueuedId {
        self.next += 1;
        let id = QueuedId(self.next);
        self.own_queue.insert(id, Entry::new(demand, now));
        id
    }

    /// Takes what a prompt in the line needs as it stands now; gives how many prompts go before it, over all hosts.
    pub fn update_queued(&mut self, id: QueuedId, demand: Demand, now: Time) -> u32 {
        let own = Entry::new(demand, now);
        self.own_queue.insert(id, own);
        let peers = self.peers.values().flat_map(|peer| &peer.queue);
        let line = self.own_queue.values().chain(peers);
        let before = line.filter(|other| other.is_before(&own)).count();
        u32::try_from(before).unwrap_or(u32::MAX)
    }

    /// Takes a prompt out of the line.
    pub fn dequeue(&mut self, id: QueuedId) {
        self.own_queue.remove(&id);
    }

    /// Gives what this host's own prompts need that wait.
    pub fn waiting(&self, now: Time) -> Vec<Demand> {
        let line = self.own_queue.values().take(TOLD_WAITING);
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
    pub fn all_holdings(&self, now: Time) -> Vec<Holding> {
        let is_recent = |own: &Own| now.since(own.changed) < heartbeat::PLACED_REPORT_TIME;
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
    pub fn apply_notice(&mut self, notice: &Notice, now: Time) -> bool {
        let known = self.peers.get(&notice.host);
        if known.is_some_and(|peer| peer.knows(notice)) {
            return false;
        }
        let newcomer = known.is_none_or(|peer| peer.incarnation < notice.incarnation);
        if newcomer {
            self.forget(&notice.host);
        } else if notice.full {
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
        let is_silent = |peer: &Peer| now.since(peer.heard) > heartbeat::expiry(peer.interval);
        let silent = self.peers.iter().filter(|(_, peer)| is_silent(peer));
        let silent: Vec<Name> = silent.map(|(name, _)| name.clone()).collect();
        for name in &silent {
            self.forget(name);
        }
        silent
    }

    /// Says whether a failure domain seems cut off: its hosts were heard of before, and none is now.
    pub fn is_domain_silent(&self, domain: &str, now: Time) -> bool {
        self.domains
            .get(domain)
            .is_some_and(|heard| now.since(*heard) > DOMAIN_SILENCE_TIMEOUT)
    }

    /// Says whether all failure domains but the own one seem cut off, and there are such.
    pub fn is_isolated(&self, own_domain: &str, now: Time) -> bool {
        let others = self.domains.keys().filter(|name| ***name != *own_domain);
        let mut others = others.peekable();
        others.peek().is_some() && others.all(|domain| self.is_domain_silent(domain, now))
    }

    /// Gives the hosts that have kept to their heartbeats; `domain` is the own failure domain.
    pub fn live_hosts<'a>(
        &'a self,
        domain: &'a Name,
        now: Time,
    ) -> impl Iterator<Item = Neighbour<'a>> + Clone {
        let lately =
            move |peer: &Peer| now.since(peer.heard) <= heartbeat::liveness_timeout(peer.interval);
        let peers = self.peers.iter().filter(move |(_, peer)| lately(peer));
        peers.map(move |(name, peer)| Neighbour {
            name,
            domain: &peer.domain,
            same_domain: peer.domain == *domain,
            store: peer.store,
        })
    }

    /// Gives the number of hosts heard of, with this one.
    pub fn host_count(&self) -> usize {
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
        let profile = &self.engines.get(&server)?.profile;
        let Load {
            running, memory, ..
        } = self.total(server);
        Some(Pace::of(profile, running, memory))
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
