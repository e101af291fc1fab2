//! The load table: what every host holds at every incarnation of a backend server.
//!
//! Each host sends its peers its own holdings as absolute figures, so the next notice corrects a lost or duplicated
//! one. The holdings of a silent host expire. Prompt reading is sent as the total ever placed: an increase of that
//! total is new work for the engine, and [`Progress`] computes when the engine finishes it.

mod answer_time;
mod load;
mod notice;
mod peer;
mod placement_rate;
mod queue;
mod reservation;

pub use load::{Load, PAUSE_CLASSES, PauseClass, Pauses};
pub use notice::{Holding, Notice};
pub use queue::{Demand, Precedence, QueueLengths, QueuedId};
pub use reservation::{Part, Reservation, ReservationId};

use super::heartbeat;
use super::incarnation::Key;
use super::pass::EngineProfile;
use super::placement::SHORT_PROMPT_TOKENS;
use super::progress::{Backlog, Pace, Progress};
use super::relay::Neighbour;
use crate::Name;
use crate::time::Time;
use answer_time::AnswerTimes;
use peer::Peer;
use placement_rate::PlacementRate;
use queue::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// How long all hosts of a failure domain must be silent before the domain may be disconnected: two of the shortest
/// heartbeat intervals, and more than half of another one for a notice in transit.
pub const DOMAIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(650);

/// The maximum number of queued prompts that a host reports to its peers, in order of arrival.
///
/// More don't fit into a packet beside the holdings, and this many are enough to decide which prompt is next.
const MAX_REPORTED_DEMANDS: usize = 48;

/// What this host holds at a server.
#[derive(Debug, Default)]
struct OwnLoad {
    load: Load,
    /// When `load` last changed.
    changed_at: Time,
    /// The value of `load.placed_micros` that peers were last sent.
    reported_placed: u64,
}

/// An engine whose timing is known.
#[derive(Debug)]
struct Engine {
    profile: EngineProfile,
    /// The estimated position in its passes.
    progress: Progress,
}

/// The load at all servers, as one host knows it.
#[derive(Debug, Default)]
pub struct LoadTable {
    /// The requests that this host has placed.
    reservations: BTreeMap<ReservationId, Reservation>,
    /// The last number used for a reservation or a queued prompt.
    last_id: u64,
    /// The prompts that wait at this host.
    own_queue: BTreeMap<QueuedId, Entry>,
    /// What this host holds at each server.
    own_loads: HashMap<Key, OwnLoad>,
    /// Prompts of this host that are being read and occupy many engines at once.
    own_multi_engine_prompts: u32,
    /// Servers where this host's load has changed since the last notice of changes.
    changed_servers: BTreeSet<Key>,
    /// The other hosts.
    peers: HashMap<Name, Peer>,
    /// What all hosts together hold at each server.
    totals: HashMap<Key, Load>,
    /// The engines that state their timing.
    engines: HashMap<Key, Engine>,
    /// The time below which a prompt in the wait queue counts as short, in milliseconds: the time in which the slowest
    /// engine reads the shortest long prompt. Demands don't state their service.
    short_reading: f64,
    /// When the last notice from a host of each failure domain arrived.
    domain_last_heard: HashMap<Name, Time>,
    /// How long this host's answers hold their slots.
    answer_times: AnswerTimes,
    /// The placements of all hosts at engines.
    placement_rate: PlacementRate,
}

impl LoadTable {
    /// Replaces the set of engines and their timing. Engines that were known before keep their progress.
    pub fn set_engines(&mut self, engines: HashMap<Key, EngineProfile>) {
        let mut previous = std::mem::take(&mut self.engines);
        let updated = engines.into_iter().map(|(server, profile)| {
            let progress = previous.remove(&server).map(|engine| engine.progress);
            let progress = progress.unwrap_or_default();
            (server, Engine { profile, progress })
        });
        self.engines = updated.collect();
        let profiles = self.engines.values().map(|engine| &engine.profile);
        let limits = profiles.map(|profile| profile.read_ms(SHORT_PROMPT_TOKENS));
        self.short_reading = limits.fold(0.0, f64::max);
        let engines = &self.engines;
        let is_obsolete =
            |server: &Key, own: &OwnLoad| own.load.holds_nothing() && !engines.contains_key(server);
        self.own_loads
            .retain(|server, own| !is_obsolete(server, own));
    }

    /// Replaces the services that engines belong to, over which answer times are averaged.
    pub fn set_services(&mut self, services: HashMap<Key, Name>) {
        self.answer_times.set_services(services);
    }

    /// Returns for how long an answer of a server's service holds its slot, on average over the answers of this host;
    /// `None` until one has ended.
    pub fn answer_time(&self, server: Key) -> Option<Duration> {
        self.answer_times.of(server)
    }

    /// Returns the number of requests that all hosts place at engines per second.
    pub fn placements_per_second(&self, now: Time) -> f64 {
        self.placement_rate.per_second(now)
    }

    /// Records a placement, with its load at all servers that take part.
    pub fn reserve(&mut self, reservation: Reservation, now: Time) -> ReservationId {
        self.last_id += 1;
        let id = ReservationId(self.last_id);
        if self.engines.contains_key(&reservation.primary) {
            self.placement_rate.record(1, now);
        }
        self.add_own_load(reservation.primary, &reservation.load, now);
        for helper in &reservation.helpers {
            self.add_own_load(helper.server, &helper.load, now);
        }
        self.own_multi_engine_prompts += u32::from(reservation.multi_engine);
        self.reservations.insert(id, reservation);
        id
    }

    /// Records that a prompt has been read, as its first token shows.
    ///
    /// Returns whether to notify peers at once because another prompt that occupies many engines may start.
    pub fn mark_read(&mut self, id: ReservationId, now: Time) -> bool {
        let Some(reservation) = self.reservations.get_mut(&id) else {
            return false;
        };
        let was_multi_engine = std::mem::take(&mut reservation.multi_engine);
        self.own_multi_engine_prompts -= u32::from(was_multi_engine);
        let server = reservation.primary;
        self.answer_times.begin(id, now);
        let pace = self.pace(server);
        if let (Some(pace), Some(engine)) = (pace, self.engines.get_mut(&server)) {
            engine.progress.end_pass(pace, now);
        }
        was_multi_engine
    }

    /// Removes the reservation of a request that has ended or is suspended.
    ///
    /// Returns it without its reading, so that reserving it again doesn't count the same reading twice.
    pub fn release(&mut self, id: ReservationId, now: Time) -> Option<Reservation> {
        let reservation = self.reservations.remove(&id)?;
        self.answer_times.end(id, reservation.primary, now);
        self.own_multi_engine_prompts -= u32::from(reservation.multi_engine);
        self.edit_load(reservation.primary, now, |load| {
            load.subtract(&reservation.load)
        });
        for helper in &reservation.helpers {
            self.edit_load(helper.server, now, |load| load.subtract(&helper.load));
        }
        Some(reservation.without_reading())
    }

    /// Returns the work that a server finishes before it starts on a prompt placed there now; none if it states no
    /// timing.
    pub fn backlog(&mut self, server: Key, now: Time) -> Backlog {
        let Some(pace) = self.pace(server) else {
            return Backlog::default();
        };
        let engine = self.engines.get_mut(&server);
        engine.map_or(Backlog::default(), |engine| {
            engine.progress.backlog(pace, now)
        })
    }

    /// Returns how long a pass of an engine takes if it reads no prompt, in milliseconds; `None` if it states no
    /// timing.
    pub fn idle_pass(&self, server: Key) -> Option<f64> {
        self.pace(server).map(|pace| pace.idle_pass)
    }

    /// Returns what all hosts together hold at a server.
    pub fn total(&self, server: Key) -> Load {
        self.totals.get(&server).copied().unwrap_or_default()
    }

    /// Returns how many prompts that occupy many engines are being read, over all hosts.
    pub fn multi_engine_prompts(&self) -> u32 {
        let peers = self.peers.values().map(|peer| peer.multi_engine_prompts);
        peers.fold(self.own_multi_engine_prompts, u32::saturating_add)
    }

    /// Returns how many prompts of this host that occupy many engines are being read.
    pub fn own_multi_engine_prompts(&self) -> u32 {
        self.own_multi_engine_prompts
    }

    /// Adds a prompt to the wait queue.
    pub fn enqueue(&mut self, demand: Demand, now: Time) -> QueuedId {
        self.last_id += 1;
        let id = QueuedId(self.last_id);
        self.own_queue.insert(id, Entry::new(demand, now));
        id
    }

    /// Updates what a queued prompt needs.
    ///
    /// Returns how many prompts of its kind, short or long, precede it over all hosts.
    pub fn update_queued(&mut self, id: QueuedId, demand: Demand, now: Time) -> Precedence {
        let entry = Entry::new(demand, now);
        self.own_queue.insert(id, entry);
        let is_short = entry.is_short(self.short_reading);
        let own = self.own_queue.values().copied();
        let peers = self.peers.values();
        let peers = peers.filter(|peer| !peer.may_have_lost_prompts(is_short, now));
        let peers = peers.flat_map(|peer| &peer.queue);
        let peers = peers.map(|other| if is_short { other.as_sent() } else { *other });
        let queue = own.chain(peers);
        let queue = queue.filter(|other| other.is_short(self.short_reading) == is_short);
        let mut before = Precedence::default();
        for other in queue {
            if is_short {
                before.all += u32::from(other.is_before(&entry));
            } else if other.is_long_before(&entry, now) {
                before.all += 1;
                before.due += u32::from(other.holds_back(&entry, now));
            }
        }
        before
    }

    /// Returns the numbers of short and of long prompts in the wait queue, over all hosts.
    pub fn queue_lengths(&self) -> QueueLengths {
        let peers = self.peers.values().flat_map(|peer| &peer.queue);
        let queue = self.own_queue.values().chain(peers);
        let (short, long): (Vec<&Entry>, Vec<&Entry>) =
            queue.partition(|entry| entry.is_short(self.short_reading));
        QueueLengths {
            short: short.len(),
            long: long.len(),
        }
    }

    /// Removes a prompt from the wait queue.
    pub fn dequeue(&mut self, id: QueuedId) {
        self.own_queue.remove(&id);
    }

    /// Returns what this host's queued prompts need, oldest first, as many as a notice carries. Half of them may be short
    /// if there are as many, so that neither kind hides the other.
    pub fn queued_demands(&self, now: Time) -> Vec<Demand> {
        let is_short = |entry: &&Entry| entry.is_short(self.short_reading);
        let long = self
            .own_queue
            .values()
            .filter(|entry| !is_short(entry))
            .count();
        let max_short = MAX_REPORTED_DEMANDS - long.min(MAX_REPORTED_DEMANDS / 2);
        let short: Vec<&Entry> = self
            .own_queue
            .values()
            .filter(is_short)
            .take(max_short)
            .collect();
        let max_long = MAX_REPORTED_DEMANDS - short.len();
        let long = self.own_queue.values().filter(|entry| !is_short(entry));
        let entries = long.take(max_long).chain(short);
        entries.map(|entry| entry.demand(now)).collect()
    }

    /// Returns whether this host's holdings have changed since the last call of [`LoadTable::take_changes`].
    pub fn has_changes(&self) -> bool {
        !self.changed_servers.is_empty()
    }

    /// Returns the holdings of this host that have changed since the last call.
    pub fn take_changes(&mut self) -> Vec<Holding> {
        let changed = std::mem::take(&mut self.changed_servers);
        let holdings = changed.into_iter().map(|server| {
            let Some(own) = self.own_loads.get_mut(&server) else {
                return Holding::nothing(server);
            };
            let placed = own.load.placed_micros;
            let added = placed - std::mem::replace(&mut own.reported_placed, placed);
            Holding {
                server,
                load: own.load,
                added,
            }
        });
        holdings.collect()
    }

    /// Returns everything that this host holds, including servers where it holds nothing any more but placed something
    /// recently.
    pub fn all_holdings(&self, now: Time) -> Vec<Holding> {
        let is_recent = |own: &OwnLoad| now.since(own.changed_at) < heartbeat::PLACED_REPORT_TIME;
        let is_reported = |own: &OwnLoad| !own.load.holds_nothing() || is_recent(own);
        let reported = self.own_loads.iter().filter(|(_, own)| is_reported(own));
        let holdings = reported.map(|(server, own)| Holding {
            server: *server,
            load: own.load,
            added: 0,
        });
        holdings.collect()
    }

    /// Applies a peer's notice. Drops a notice that is no newer than the last one applied.
    ///
    /// Returns whether the peer is new or has started a new incarnation.
    pub fn apply_notice(&mut self, notice: &Notice, now: Time) -> bool {
        let known = self.peers.get(&notice.host);
        if known.is_some_and(|peer| peer.is_up_to_date_with(notice)) {
            return false;
        }
        let is_new = known.is_none_or(|peer| peer.incarnation < notice.incarnation);
        if is_new {
            self.forget(&notice.host);
        } else if notice.full {
            self.forget_loads(&notice.host);
        }
        self.domain_last_heard.insert(notice.domain.clone(), now);
        self.merge(notice, now);
        is_new
    }

    /// Merges a notice into the state of its sender, and the sender's holdings into the totals.
    fn merge(&mut self, notice: &Notice, now: Time) {
        let peer = self.peers.entry(notice.host.clone());
        let peer = peer.or_insert_with(|| Peer::new(notice, now));
        peer.update(notice, now);
        let mut arrivals: Vec<Arrival> = Vec::new();
        let mut placements = 0;
        for holding in &notice.holdings {
            let server = holding.server;
            let total = self.totals.entry(server).or_default();
            let old = peer.set_load(holding);
            if let Some(old) = &old {
                total.subtract(old);
            }
            total.add(&holding.load);
            let placed = peer.update_placed(holding);
            if placed > 0 {
                arrivals.push(Arrival { server, placed });
                if self.engines.contains_key(&server) {
                    placements += placements_of(holding, old.as_ref());
                }
            }
        }
        // A full notice repeats what was reported before.
        if placements > 0 && !notice.full {
            self.placement_rate.record(placements, now);
        }
        // The pace of an engine depends on the totals, so all of them must be updated first.
        for Arrival { server, placed } in arrivals {
            self.add_reading(server, placed, now);
        }
    }

    /// Drops silent hosts with their holdings, and returns the names of these hosts.
    pub fn expire(&mut self, now: Time) -> Vec<Name> {
        let is_silent = |peer: &Peer| now.since(peer.last_heard) > heartbeat::expiry(peer.interval);
        let silent = self.peers.iter().filter(|(_, peer)| is_silent(peer));
        let silent: Vec<Name> = silent.map(|(name, _)| name.clone()).collect();
        for name in &silent {
            self.forget(name);
        }
        silent
    }

    /// Returns whether a failure domain seems disconnected: notices from it have arrived before, but none lately.
    pub fn is_domain_silent(&self, domain: &str, now: Time) -> bool {
        self.domain_last_heard
            .get(domain)
            .is_some_and(|last_heard| now.since(*last_heard) > DOMAIN_SILENCE_TIMEOUT)
    }

    /// Returns whether other failure domains are known and all of them seem disconnected.
    pub fn is_isolated(&self, own_domain: &str, now: Time) -> bool {
        let others = self
            .domain_last_heard
            .keys()
            .filter(|name| ***name != *own_domain);
        let mut others = others.peekable();
        others.peek().is_some() && others.all(|domain| self.is_domain_silent(domain, now))
    }

    /// Returns the peers whose heartbeats arrive on time; `domain` is this host's own failure domain.
    pub fn live_hosts<'a>(
        &'a self,
        domain: &'a Name,
        now: Time,
    ) -> impl Iterator<Item = Neighbour<'a>> + Clone {
        let is_live = move |peer: &Peer| {
            now.since(peer.last_heard) <= heartbeat::liveness_timeout(peer.interval)
        };
        let peers = self.peers.iter().filter(move |(_, peer)| is_live(peer));
        peers.map(move |(name, peer)| Neighbour {
            name,
            domain: &peer.domain,
            same_domain: peer.domain == *domain,
            store: peer.store,
        })
    }

    /// Returns the number of known hosts, including this one.
    pub fn host_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Drops a peer with everything that it held.
    fn forget(&mut self, host: &Name) {
        self.forget_loads(host);
        self.peers.remove(host);
    }

    /// Drops what a peer held, and subtracts it from the totals.
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

    /// Adds to this host's load at a server, and the reading to the engine's progress.
    fn add_own_load(&mut self, server: Key, load: &Load, now: Time) {
        self.add_reading(server, load.placed_micros, now);
        self.edit_load(server, now, |held| held.add(load));
    }

    /// Adds reading to an engine's progress; `placed` is in microseconds.
    fn add_reading(&mut self, server: Key, placed: u64, now: Time) {
        let pace = self.pace(server);
        if let (Some(pace), Some(engine)) = (pace, self.engines.get_mut(&server)) {
            engine
                .progress
                .add_reading(placed as f64 / 1_000.0, pace, now);
        }
    }

    /// Returns the pace of an engine's passes, if it states its timing.
    fn pace(&self, server: Key) -> Option<Pace> {
        let profile = &self.engines.get(&server)?.profile;
        let Load {
            running, memory, ..
        } = self.total(server);
        Some(Pace::of(profile, running, memory))
    }

    /// Applies an edit to this host's load at a server and to the total there, and marks the server as changed for the
    /// next notice.
    fn edit_load(&mut self, server: Key, now: Time, edit: impl Fn(&mut Load)) {
        let own = self.own_loads.entry(server).or_default();
        edit(&mut own.load);
        own.changed_at = now;
        edit(self.totals.entry(server).or_default());
        self.changed_servers.insert(server);
    }
}

/// Returns how many requests a peer has placed at a server to be answered there, given what it held there before. An
/// answer that ended in the meantime hides one, which is rare since changes are reported within a millisecond.
fn placements_of(holding: &Holding, before: Option<&Load>) -> u64 {
    /// The most placements that one notice adds for a server. It covers some milliseconds, so more are a mistake.
    const MAX_PLACEMENTS: u64 = 16;
    let before = before.map_or(0, |load| load.running);
    let added = holding.load.running.saturating_sub(before);
    u64::try_from(added).unwrap_or(0).min(MAX_PLACEMENTS)
}

/// Reading that a peer has placed since its last notice, in microseconds.
struct Arrival {
    server: Key,
    placed: u64,
}
