//! One host: it watches the store or follows hosts that do, as the serving layer does.

use super::world::{Store, Way};
use crate::fleet::rng::SeededRng;
use crate::fleet::{active_ids, key};
use alderglade_core::Name;
use alderglade_core::fleet::contact::{
    self, CALL_TIMEOUT, CONFIG_WAIT, Contact, MAX_ANSWER_TIME, STANDSTILL_TIME,
};
use alderglade_core::fleet::directory::{Change, Directory};
use alderglade_core::fleet::freshness::Freshness;
use alderglade_core::fleet::group::Division;
use alderglade_core::fleet::heartbeat;
use alderglade_core::fleet::incarnation::Key;
use alderglade_core::fleet::position::Position;
use alderglade_core::fleet::relay::{
    self, LocalStatus, Neighbour, Relay, Role, StoreQuery, StoreStatus, Topic,
};
use alderglade_core::time::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The step of the virtual clock, in milliseconds.
pub const STEP_MS: u64 = 20;
/// The time between two heartbeats, rounded to steps.
const TICK_MS: u64 = 260;
/// How long changes of servers accumulate before the next watch.
const BATCHING_MS: u64 = 200;

/// What hosts send each other.
#[derive(Debug, Clone)]
pub enum Message {
    /// A notice to all hosts.
    Notice {
        from: Name,
        status: StoreStatus,
        leaving: Vec<Key>,
        position: Position,
        /// The time up to which the sender knows all that the store had accepted.
        confirmed: Option<Time>,
    },
    /// Changes of servers, to the hosts of the own failure domain.
    Update {
        after: Position,
        position: Position,
        changes: Vec<Change>,
        grace_ms: u32,
    },
}

impl Message {
    pub fn is_for_domain(&self) -> bool {
        matches!(self, Message::Update { .. })
    }
}

/// The last notice of another host.
struct Heard {
    domain: Name,
    status: StoreStatus,
    at: Time,
}

/// A call to the store that has no answer yet.
struct Call {
    started: u64,
    wait_ms: u64,
}

/// A host that follows the store.
pub struct Host {
    place: usize,
    name: Name,
    domain: Name,
    pub directory: Directory,
    relay: Relay,
    freshness: Freshness,
    heard: BTreeMap<Name, Heard>,
    /// The servers that it has used.
    used: BTreeSet<String>,
    /// The call that shows whether the store answers.
    call: Option<Call>,
    next_call: u64,
    next_fetch: Option<u64>,
    /// Before this, further changes of servers accumulate.
    next_changes: u64,
    contact: Contact,
    /// Failed calls in a row.
    failures: u32,
    last_step: u64,
}

fn domain(place: usize) -> Name {
    ["north", "south"][place % 2].into()
}

fn time(millis: u64) -> Time {
    Time::from_millis(millis)
}

impl Host {
    pub fn start(place: usize, now: u64) -> Host {
        Host {
            place,
            name: format!("h{place}").into(),
            domain: domain(place),
            directory: Directory::default(),
            relay: Relay::default(),
            freshness: Freshness::default(),
            heard: BTreeMap::new(),
            used: BTreeSet::new(),
            call: None,
            next_call: now,
            next_fetch: None,
            next_changes: 0,
            contact: Contact::default(),
            failures: 0,
            last_step: now,
        }
    }

    /// Returns whether the host has used a server, and does so no more.
    pub fn has_dropped(&self, id: &str) -> bool {
        self.used.contains(id) && !active_ids(&self.directory).contains(id)
    }

    /// Returns whether the host may send a request to a server now.
    pub fn uses(&self, id: &str, now: u64) -> bool {
        self.directory.is_usable(key(id), time(now))
    }

    /// Continues after a time in which the host may have stood still.
    pub fn wake(&mut self, now: u64) {
        let last = time(self.last_step);
        if time(now).since(last) >= STANDSTILL_TIME {
            self.directory.stood_still(last, time(now));
        }
    }

    pub fn receive(&mut self, message: Message, now: u64) {
        match message {
            Message::Notice {
                from,
                status,
                leaving,
                position,
                confirmed,
            } => {
                for server in leaving {
                    self.directory.mark_leaving(server, time(now));
                }
                let place: usize = from[1..].parse().expect("a number");
                let same_domain = domain(place) == self.domain;
                if let Some(at) = confirmed.filter(|_| status.in_contact && same_domain) {
                    let _ = self.freshness.confirm(at, time(now));
                    self.directory.confirm(status.servers, position);
                }
                let heard = Heard {
                    domain: domain(place),
                    status,
                    at: time(now),
                };
                self.heard.insert(from, heard);
                if status.in_contact && self.told_grace(None, now).is_zero() {
                    self.directory.revoke_told_grace();
                }
            }
            Message::Update {
                after,
                position,
                changes,
                grace_ms,
            } => {
                let reported = Duration::from_millis(u64::from(grace_ms));
                let told = self.told_grace(Some(reported), now);
                self.directory
                    .apply_told_changes(after, &changes, position, told, time(now));
            }
        }
    }

    /// Returns how long entries may be missing according to other hosts, if this one relies on them.
    fn told_grace(&self, reported: Option<Duration>, now: u64) -> Duration {
        if self.relay.role() != Role::Follower {
            return Duration::ZERO;
        }
        let names = self.live(now);
        relay::told_grace(reported, &self.neighbours(&names))
    }

    fn watches(&self) -> bool {
        self.relay.role() == Role::Watcher
    }

    /// Moves the host one step on, and returns what it sends. `path` is how its connections to the store end, if they do.
    pub fn step(
        &mut self,
        store: &Store,
        path: Option<Way>,
        rng: &mut SeededRng,
        now: u64,
    ) -> Vec<Message> {
        let mut sent = Vec::new();
        self.move_call(path, now);
        if path.is_none() && !self.directory.is_outage() {
            self.read_servers(store, now, &mut sent);
        }
        let fetch_fails = path.is_some() && self.next_fetch.is_some_and(|at| at <= now);
        if fetch_fails {
            self.next_fetch = None;
            self.fail(now, false, now);
        }
        if (now + 20 * self.place as u64).is_multiple_of(TICK_MS) {
            self.tick(rng, now);
        }
        let is_due = (now + 20 * self.place as u64).is_multiple_of(TICK_MS) || !sent.is_empty();
        if is_due {
            sent.insert(0, self.notice(now));
        }
        self.directory.expire(time(now / TICK_MS * TICK_MS));
        self.used.extend(active_ids(&self.directory));
        self.last_step = now;
        sent
    }

    /// Moves the calls on that show whether the store answers.
    fn move_call(&mut self, path: Option<Way>, now: u64) {
        let is_lost = self.contact.is_lost();
        let makes_calls = self.relay.role() != Role::Follower || is_lost;
        let Some(call) = &self.call else {
            if makes_calls && now >= self.next_call {
                let is_watch = !self.directory.is_outage() && self.watches();
                let wait_ms = if is_watch {
                    CONFIG_WAIT.as_millis() as u64
                } else {
                    0
                };
                let started = now;
                self.call = Some(Call { started, wait_ms });
            }
            return;
        };
        let answer_at = call.started + call.wait_ms + STEP_MS;
        let stood_still = now > self.last_step + STEP_MS;
        let timed_out = now > answer_at + CALL_TIMEOUT.as_millis() as u64;
        let started = call.started;
        match path {
            Some(Way::Reset) => self.fail(started, false, now),
            _ if timed_out && !stood_still => self.fail(started, true, now),
            None if now >= answer_at => self.answer(now),
            Some(Way::Silent) | None => {}
        }
    }

    /// Records that a call failed that was made at `started`.
    fn fail(&mut self, started: u64, timed_out: bool, now: u64) {
        self.call = None;
        self.failures += 1;
        let delay = contact::retry_delay(self.watches(), self.failures, timed_out);
        self.next_call = now + delay.as_millis() as u64;
        self.directory.store_failed(time(started));
        if self.contact.record_failure() {
            let answered = Some(self.contact.answered()).max(self.freshness.confirmed());
            self.directory.store_lost(answered.unwrap_or_default());
        }
    }

    fn answer(&mut self, now: u64) {
        if let Some(call) = self.call.take() {
            let asked = time(call.started + call.wait_ms);
            if self.directory.is_outage() && time(now).since(asked) > MAX_ANSWER_TIME {
                self.directory.store_failed(time(call.started));
            }
            let confirmed = call.started + call.wait_ms.saturating_sub(1_000);
            let _ = self.freshness.confirm(time(confirmed), time(now));
        }
        self.next_call = now;
        self.failures = 0;
        self.contact.record_answer(time(now));
        if self.directory.is_outage() {
            self.directory.store_returned(time(now));
        }
    }

    /// Reads servers from the store, if the host watches it or a fetch is due.
    fn read_servers(&mut self, store: &Store, now: u64, sent: &mut Vec<Message>) {
        let position = store.position();
        if !self.directory.is_listed() {
            self.directory
                .apply_listing(store.listing(), position, time(now));
            return;
        }
        let fetches = self.next_fetch.is_some_and(|at| at <= now);
        let watch_answers = self.watches() && now >= self.next_changes;
        if !(fetches || watch_answers) {
            return;
        }
        self.next_fetch = None;
        let after = self.directory.position();
        let changes = store.after(after).to_vec();
        let told = self.told_grace(None, now);
        if !self
            .directory
            .apply_told_changes(after, &changes, position, told, time(now))
            || changes.is_empty()
        {
            return;
        }
        self.next_changes = now + BATCHING_MS;
        if self.watches() {
            sent.push(Message::Update {
                after,
                position,
                changes,
                grace_ms: self.grace_ms(now),
            });
        }
    }

    fn grace_ms(&self, now: u64) -> u32 {
        self.directory.reported_grace(time(now)).as_millis() as u32
    }

    /// Does what a host does several times a second.
    fn tick(&mut self, rng: &mut SeededRng, now: u64) {
        let names = self.live(now);
        let neighbours = self.neighbours(&names);
        let own = LocalStatus {
            name: &self.name,
            domain: &self.domain,
            division: Division::default(),
            config: 1,
            servers: self.directory.digest(),
            store_age: self.freshness.age(time(now)),
            revocation_bound: None,
            last_call_failed: self.contact.is_lost(),
            hosts_listed: true,
            knows_proxy_keys: true,
        };
        let random = rng.next_below(1_000) as f64 / 1_000.0;
        let former = self.relay.role();
        let query = self
            .relay
            .next_query(Topic::Servers, &own, &neighbours, random, time(now));
        if former == Role::Follower && self.watches() {
            let answered = Some(self.contact.answered()).max(self.freshness.confirmed());
            self.directory.suspect_outage(answered.unwrap_or_default());
        }
        if let Some(StoreQuery::Fetch(delay)) = query {
            self.next_fetch = Some(now + delay.as_millis() as u64);
        }
    }

    /// Returns the hosts that were heard recently.
    fn live(&self, now: u64) -> Vec<(Name, Name, StoreStatus)> {
        let timeout = heartbeat::liveness_timeout(heartbeat::MIN_INTERVAL);
        let live = self.heard.iter();
        let live = live.filter(|(_, heard)| time(now).since(heard.at) <= timeout);
        live.map(|(name, heard)| (name.clone(), heard.domain.clone(), heard.status))
            .collect()
    }

    fn neighbours<'a>(&self, names: &'a [(Name, Name, StoreStatus)]) -> Vec<Neighbour<'a>> {
        let neighbours = names.iter().map(|(name, domain, store)| Neighbour {
            name,
            domain,
            same_domain: *domain == self.domain,
            store: *store,
        });
        neighbours.collect()
    }

    fn notice(&self, now: u64) -> Message {
        Message::Notice {
            from: self.name.clone(),
            status: StoreStatus {
                in_contact: self.watches() && self.contact.is_recent(time(now)),
                config: 1,
                servers: self.directory.digest(),
                era: 1,
                grace_ms: self.grace_ms(now),
                hosts: 6,
            },
            leaving: self.directory.leaving(),
            position: self.directory.position(),
            confirmed: self.freshness.confirmed(),
        }
    }
}
