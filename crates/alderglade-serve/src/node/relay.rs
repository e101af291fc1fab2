//! What a host queries from the store, and how other hosts confirm the age of its copy of the store's state.

use super::{Node, State};
use crate::clock;
use crate::event::{self, Record};
use alderglade_core::fleet::freshness::Ahead;
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

impl Node {
    /// Waits until the store should be queried for a topic. Returns how.
    pub async fn next_store_query(&self, topic: Topic) -> StoreQuery {
        loop {
            match self.poll_query(topic) {
                None => self.store_status_changed.notified().await,
                Some(StoreQuery::Watch) => return StoreQuery::Watch,
                Some(StoreQuery::Fetch(delay)) => {
                    let behind = topic == Topic::Config && self.is_behind();
                    clock::sleep(delay).await;
                    // In the meantime a watcher may have sent the change.
                    if !behind || self.is_behind() {
                        return StoreQuery::Fetch(Duration::ZERO);
                    }
                }
            }
        }
    }

    /// Returns whether a watcher has a newer configuration.
    fn is_behind(&self) -> bool {
        let now = clock::now();
        let state = self.state.borrow();
        let peers: Vec<Neighbour<'_>> =
            state.loads.live_hosts(&self.settings.domain, now).collect();
        relay::is_behind(&self.local_status(&state, now), &peers)
    }

    /// Returns whether this host watches the store, or has not found out yet that others do.
    pub fn queries_store(&self) -> bool {
        self.state.borrow().queries_store()
    }

    /// Returns whether and how the store should be queried for a topic now.
    fn poll_query(&self, topic: Topic) -> Option<StoreQuery> {
        let now = clock::now();
        let random = rand::rng().random::<f64>();
        let state = &mut *self.state.borrow_mut();
        let mut local_status = self.local_status(state, now);
        let peers: Vec<Neighbour<'_>> =
            state.loads.live_hosts(&self.settings.domain, now).collect();
        // Only queries for the hosts depend on it.
        local_status.knows_proxy_keys = topic != Topic::Hosts
            || peers
                .iter()
                .all(|host| state.hosts.proxy_key(host.name).is_some());
        let previous_role = state.relay.role();
        let query = state
            .relay
            .next_query(topic, &local_status, &peers, random, now);
        if state.relay.role() != previous_role {
            log_role(state.relay.role(), &local_status, &peers);
            if previous_role == Role::Follower && state.relay.role() == Role::Watcher {
                let informed = state.informed(&self.store_contact.get());
                state.directory.suspect_outage(informed);
            }
            if state.relay.role() == Role::Watcher {
                state.unpublished_hosts = state.hosts.all();
            }
            // Peers compute the timeout of this host from its last notice, and watchers send notices more often.
            self.notice_due.notify_one();
        }
        // The first call of a host that steps in shows whether the store is unavailable, or only other hosts have lost it.
        if topic == Topic::Config && query == Some(StoreQuery::Watch) && state.directory.is_outage()
        {
            return Some(StoreQuery::Fetch(Duration::ZERO));
        }
        query
    }

    /// Makes the calls to the store again if this host watches it and knows other servers than most watchers: one of its
    /// connections may be dead.
    pub(super) fn check_watches(&self) {
        let now = clock::now();
        let state = &mut *self.state.borrow_mut();
        if !state.watches_store() {
            return;
        }
        let local_status = self.local_status(state, now);
        let peers: Vec<Neighbour<'_>> =
            state.loads.live_hosts(&self.settings.domain, now).collect();
        if state.relay.must_watch_again(&local_status, &peers, now) {
            self.ask_store.notify_waiters();
        }
    }

    /// Returns this host's own status with regard to the store.
    fn local_status(&self, state: &State, now: Time) -> LocalStatus<'_> {
        LocalStatus {
            name: &self.settings.host,
            domain: &self.settings.domain,
            division: state.groups.division(),
            config: state.config_version(),
            servers: state.directory.digest(),
            store_age: state.freshness.age(now),
            revocation_bound: self.settings.revocation,
            last_call_failed: self.store_contact.get().is_lost(),
            hosts_listed: self.startup_sync.knows_hosts(),
            knows_proxy_keys: true,
        }
    }

    /// Returns the maximum interval between two notices of this host.
    pub fn heartbeat(&self) -> Duration {
        let state = self.state.borrow();
        heartbeat::interval(state.loads.host_count(), state.watches_store())
    }

    /// Returns the store status that this host sends to its peers.
    pub fn store_status(&self) -> StoreStatus {
        let now = clock::now();
        let state = self.state.borrow();
        StoreStatus {
            in_contact: state.watches_store() && self.store_contact.get().is_recent(now),
            config: state.config_version(),
            servers: state.directory.digest(),
            era: self.era(),
            grace_ms: state.grace_ms(now),
            hosts: u32::try_from(state.hosts.len()).unwrap_or(u32::MAX),
        }
    }

    /// Returns the hosts to ask for a confirmation at a heartbeat: one of them now and then; every watcher if this
    /// host's copy is too old or the store doesn't answer it.
    pub fn confirmation_targets(&self, beat: u64) -> Vec<SocketAddr> {
        let now = clock::now();
        let state = self.state.borrow();
        let lost = self.store_contact.get().is_lost();
        if state.queries_store() && !lost {
            return Vec::new();
        }
        let age = state.freshness.age(now);
        let stale = lost || Relay::is_stale(age, self.settings.revocation);
        let peers: Vec<Neighbour<'_>> =
            state.loads.live_hosts(&self.settings.domain, now).collect();
        if stale {
            let watchers = peers.iter().filter(|host| host.store.in_contact);
            let addresses = watchers.filter_map(|host| state.hosts.get(host.name));
            return addresses.collect();
        }
        let sources = self
            .local_status(&state, now)
            .confirmation_sources(&peers, beat);
        let source = sources.into_iter().choose(&mut rand::rng());
        source
            .and_then(|name| state.hosts.get(name))
            .into_iter()
            .collect()
    }

    /// Answers a peer's confirmation request; `None` if this host has no configuration, or has just started and may have an
    /// old one: the store may have been restored from a copy, and other hosts were not asked yet.
    pub fn answer_confirmation(&self, request: ConfirmationRequest) -> Option<Confirmation> {
        let now = clock::now();
        let state = self.state.borrow();
        state.config.as_ref()?;
        if !self.startup_sync.is_finished() {
            return None;
        }
        Some(Confirmation {
            number: request.number,
            age: state.freshness.age(now),
            config: state.config_version(),
            servers: state.directory.digest(),
            position: state.directory.position(),
        })
    }

    /// Creates a request for peers' confirmations.
    pub fn create_confirmation_request(&self) -> ConfirmationRequest {
        let mut state = self.state.borrow_mut();
        state.confirmation_requests.create(clock::now())
    }

    /// Applies a peer's confirmation. It covers only what this host knows, too.
    pub fn apply_confirmation(&self, answer: &Confirmation, from: SocketAddr) {
        let state = &mut *self.state.borrow_mut();
        let Ok(confirmed) = state.confirmation_requests.confirmed_until(answer) else {
            event::write(&Record::ConfirmationIgnored {
                from,
                reason: "unknown_request",
            });
            return;
        };
        self.startup_sync.record_answer(from, answer.config);
        // A peer with an older version may have it from a restored copy of the store.
        if state.config_version() == answer.config
            && let Some(at) = confirmed
            && let Err(Ahead) = state.freshness.confirm(at, clock::now())
        {
            event::write(&Record::ConfirmationIgnored {
                from,
                reason: "ahead",
            });
            return;
        }
        state.directory.confirm(answer.servers, answer.position);
    }

    /// Applies the store status of a peer's notice.
    pub fn apply_store_status(&self, status: &StoreStatus) {
        if !status.in_contact {
            return;
        }
        self.observe_era(status.era);
        let state = &mut *self.state.borrow_mut();
        let now = clock::now();
        if status.grace_ms == 0
            && state.directory.kept().next().is_some()
            && self.told_grace(state, None, now).is_zero()
        {
            state.directory.revoke_told_grace();
        }
        if status.config > state.config_version() {
            self.store_status_changed.notify_waiters();
        }
    }
}

/// Logs the host's new role and the reasons for it.
fn log_role(role: Role, local_status: &LocalStatus<'_>, peers: &[Neighbour<'_>]) {
    let same_domain = peers.iter().filter(|host| host.same_domain);
    event::write(&Record::StoreRole {
        role: role.label(),
        heard: same_domain.clone().count(),
        watchers: same_domain.filter(|host| host.store.in_contact).count(),
        store_age_ms: local_status.store_age.map(|age| age.as_millis() as u64),
    });
}
