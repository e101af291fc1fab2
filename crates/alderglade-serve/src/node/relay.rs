//! What a host asks the store, and how it knows through other hosts how old its word of the store is.

use super::{Node, State};
use crate::clock;
use crate::event::{self, Record};
use alderglade_core::fleet::heartbeat;
use alderglade_core::fleet::message::{Confirmation, ConfirmationRequest};
use alderglade_core::fleet::relay::{
    self, LocalStatus, Neighbour, Relay, Role, StoreQuery, StoreStatus, Topic,
};
use alderglade_core::time::Time;
use rand::RngExt;
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use std::time::Duration;

/// A host that has watched the store is in contact while it was answered within this time: a watch of
/// the configuration waits for 1.5 s and may take one more.
const IN_CONTACT: Duration = Duration::from_millis(2_600);

impl Node {
    /// Waits until the store should be asked about a topic, and says how.
    pub async fn next_store_query(&self, topic: Topic) -> StoreQuery {
        loop {
            match self.due(topic) {
                None => self.store_status_changed.notified().await,
                Some(StoreQuery::Watch) => return StoreQuery::Watch,
                Some(StoreQuery::Fetch(pause)) => {
                    let behind = topic == Topic::Config && self.is_behind();
                    clock::sleep(pause).await;
                    // Meanwhile a watcher may have told what has changed.
                    if !behind || self.is_behind() {
                        return StoreQuery::Fetch(Duration::ZERO);
                    }
                }
            }
        }
    }

    /// Says whether a watcher has a newer configuration.
    fn is_behind(&self) -> bool {
        let now = clock::now();
        let state = self.state.borrow();
        let heard: Vec<Neighbour<'_>> =
            state.loads.live_hosts(&self.settings.domain, now).collect();
        relay::is_behind(&self.own(&state, now), &heard)
    }

    /// Says whether this host watches the store, or has not found out yet that others do.
    pub fn queries_store(&self) -> bool {
        self.state.borrow().queries_store()
    }

    /// Says whether and how the store should be asked about a topic now.
    fn due(&self, topic: Topic) -> Option<StoreQuery> {
        let now = clock::now();
        let chance = rand::rng().random::<f64>();
        let state = &mut *self.state.borrow_mut();
        let own = self.own(state, now);
        let heard: Vec<Neighbour<'_>> =
            state.loads.live_hosts(&self.settings.domain, now).collect();
        let before = state.relay.role();
        let query = state.relay.next_query(topic, &own, &heard, chance, now);
        if state.relay.role() != before {
            tell_role(state.relay.role(), &own, &heard);
            if state.relay.role() == Role::Watcher {
                state.new_hosts = state.hosts.all();
            }
            // Peers judge its silence by what its last notice says, and watchers are heard more often.
            self.loads_changed.notify_one();
        }
        query
    }

    /// Gives what this host knows of the store.
    fn own(&self, state: &State, now: Time) -> LocalStatus<'_> {
        LocalStatus {
            name: &self.settings.host,
            domain: &self.settings.domain,
            division: state.groups.division(),
            config: state.config_version(),
            servers: state.directory.digest(),
            age: state.freshness.age(now),
            bound: self.settings.revocation,
            lost: self.store.get().is_lost(),
            listed: self.startup_sync.knows_hosts(),
        }
    }

    /// Gives the longest time from one notice of this host to the next.
    pub fn heartbeat(&self) -> Duration {
        let state = self.state.borrow();
        heartbeat::interval(state.loads.host_count(), state.watches_store())
    }

    /// Gives what this host tells its peers of the store.
    pub fn store_status(&self) -> StoreStatus {
        let now = clock::now();
        let state = self.state.borrow();
        StoreStatus {
            in_contact: state.watches_store() && self.store.get().answered_within(IN_CONTACT, now),
            config: state.config_version(),
            servers: state.directory.digest(),
            era: self.era(),
            grace_ms: state.grace_ms(now),
            hosts: u32::try_from(state.hosts.len()).unwrap_or(u32::MAX),
        }
    }

    /// Names the hosts to ask for the age of their word at a heartbeat: one now and then, every watcher where the own word is
    /// old or the store doesn't answer this host.
    pub fn confirmation_targets(&self, beat: u64) -> Vec<SocketAddr> {
        let now = clock::now();
        let state = self.state.borrow();
        let lost = self.store.get().is_lost();
        if state.queries_store() && !lost {
            return Vec::new();
        }
        let age = state.freshness.age(now);
        let old = lost || Relay::is_stale(age, self.settings.revocation);
        let heard: Vec<Neighbour<'_>> =
            state.loads.live_hosts(&self.settings.domain, now).collect();
        if old {
            let watchers = heard.iter().filter(|host| host.store.in_contact);
            let addresses = watchers.filter_map(|host| state.hosts.get(host.name));
            return addresses.collect();
        }
        let sources = self.own(&state, now).confirmation_sources(&heard, beat);
        let one = sources.into_iter().choose(&mut rand::rng());
        one.and_then(|name| state.hosts.get(name))
            .into_iter()
            .collect()
    }

    /// Answers a peer's question; a host without a configuration has no answer.
    pub fn answer_confirmation(&self, request: ConfirmationRequest) -> Option<Confirmation> {
        let now = clock::now();
        let state = self.state.borrow();
        state.config.as_ref()?;
        Some(Confirmation {
            asked_us: request.asked_us,
            age: state.freshness.age(now),
            config: state.config_version(),
            servers: state.directory.digest(),
            position: state.directory.position(),
        })
    }

    /// Takes a peer's answer. It confirms only what this host knows too.
    pub fn take_confirmation(&self, answer: &Confirmation, from: SocketAddr) {
        self.startup_sync.note_answer(from, answer.config);
        let state = &mut *self.state.borrow_mut();
        // A peer with an older one may have it from a copy of the store.
        if state.config_version() == answer.config
            && let Some(at) = answer.at()
        {
            state.freshness.confirm(at);
        }
        state.directory.confirm(answer.servers, answer.position);
    }

    /// Takes what a peer tells of the store in a notice.
    pub fn apply_store_status(&self, status: &StoreStatus) {
        if !status.in_contact {
            return;
        }
        self.observe_era(status.era);
        let state = &mut *self.state.borrow_mut();
        // A watcher knows by itself; taken from each other, doubts would last for ever.
        if !state.watches_store() {
            state.take_grace(status.grace_ms);
        }
        if status.config > state.config_version() {
            self.store_status_changed.notify_waiters();
        }
    }
}

/// Writes which role the host has taken, and why.
fn tell_role(role: Role, own: &LocalStatus<'_>, heard: &[Neighbour<'_>]) {
    let near = heard.iter().filter(|host| host.same_domain);
    event::write(&Record::StoreRole {
        role: role.label(),
        heard: near.clone().count(),
        watchers: near.filter(|host| host.store.in_contact).count(),
        store_age_ms: own.age.map(|age| age.as_millis() as u64),
    });
}
