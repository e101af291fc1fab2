//! The mutable state of a host.
//!
//! All changes happen on the host's single thread, so that no decision sees a partial change.

use super::{Host, Hosts};
use alderglade_core::Name;
use alderglade_core::fleet::backoff::Backoffs;
use alderglade_core::fleet::budget::Budget;
use alderglade_core::fleet::config::Config;
use alderglade_core::fleet::confirmation::ConfirmationRequests;
use alderglade_core::fleet::connectivity::Connectivity;
use alderglade_core::fleet::contact::Contact;
use alderglade_core::fleet::directory::Directory;
use alderglade_core::fleet::evacuation::Evacuations;
use alderglade_core::fleet::faults::Faults;
use alderglade_core::fleet::freshness::Freshness;
use alderglade_core::fleet::group::Groups;
use alderglade_core::fleet::health::Health;
use alderglade_core::fleet::incarnation::Key;
use alderglade_core::fleet::load_table::{LoadTable, Pauses};
use alderglade_core::fleet::loan::LoanRequests;
use alderglade_core::fleet::message::StoreUpdate;
use alderglade_core::fleet::proxy::Proxies;
use alderglade_core::fleet::quarantine::Quarantine;
use alderglade_core::fleet::rank::Ranks;
use alderglade_core::fleet::rate_limit::Limits;
use alderglade_core::fleet::reachability::Reachability;
use alderglade_core::fleet::reassembly::Reassembly;
use alderglade_core::fleet::relay::{Relay, Role};
use alderglade_core::fleet::request_number::RequestNumbers;
use alderglade_core::fleet::share::Shares;
use alderglade_core::time::Time;
use rand::RngExt;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// The mutable state of a host.
pub struct State {
    /// The configuration in force.
    pub config: Option<Rc<Config>>,
    /// The backend servers.
    pub directory: Directory,
    /// The evacuated failure domains.
    pub evacuations: Evacuations,
    /// The reservations of every host at every server.
    pub loads: LoadTable,
    /// The pauses between events that the routes to each service of engines allow.
    pub(super) pauses: HashMap<Name, Pauses>,
    /// The order of the priorities in the configuration.
    pub ranks: Rc<Ranks>,
    /// The health of servers.
    pub health: Health,
    /// This host's own paths to the servers.
    pub(super) reachability: Reachability,
    /// The hosts through which requests were sent.
    pub(super) proxies: Proxies,
    /// Requests under which servers end.
    pub quarantine: Quarantine,
    /// Servers that asked this host to send nothing for a while.
    pub(super) backoffs: Backoffs<Key>,
    /// Rate limits of servers over all hosts: limits that servers have reported, and those of cold servers.
    pub limits: Limits,
    /// The age of this host's copy of the store's state.
    pub freshness: Freshness,
    /// Whether the store can be reached.
    pub(super) connectivity: Connectivity,
    /// The problem with the newest configuration, if it can't be read.
    pub(super) config_fault: Option<String>,
    /// The entries of hosts that can't be read.
    pub(super) host_faults: Faults,
    /// Hosts that have joined since the last log line about them.
    pub newcomers: Vec<Name>,
    /// The entry hosts' addresses.
    pub hosts: Hosts,
    /// The number of hosts that the store lists, as last reported by hosts that watch it.
    pub(super) reported_hosts: Option<usize>,
    /// The groups of hosts and servers.
    pub groups: Groups,
    /// Whether this host watches the store or follows hosts that do.
    pub(super) relay: Relay,
    /// Updates that were not sent yet to the hosts of the own failure domain.
    pub(super) outbox: Vec<StoreUpdate>,
    /// Hosts whose addresses were not sent yet to the hosts of the own failure domain.
    pub(super) unpublished_hosts: Vec<Host>,
    /// Fragments of the server updates of hosts that watch the store.
    pub(super) reassembly: Reassembly,
    /// The retry budget of each service.
    pub(super) budgets: HashMap<Name, Budget>,
    /// Hosts of other groups that gave no answer to a grant request. No notices are received from them.
    pub(super) silent_owners: Backoffs<Name>,
    /// This host's requests for loans from other hosts' retry budgets.
    pub(super) loan_requests: LoanRequests,
    /// This host's requests for the age of other hosts' copies of the store's state.
    pub(super) confirmation_requests: ConfirmationRequests,
    /// The numbers of this host's requests for grants.
    pub(super) grant_numbers: RequestNumbers,
    /// This host's running calls to plain backend servers.
    pub(super) calls: HashMap<Key, u32>,
    /// The engine time that workspaces have used lately.
    pub(super) shares: Shares,
}

impl Default for State {
    /// Returns the state of a host that knows nothing and holds nothing.
    fn default() -> State {
        State {
            config: None,
            directory: Directory::default(),
            evacuations: Evacuations::default(),
            loads: LoadTable::default(),
            pauses: HashMap::new(),
            ranks: Rc::default(),
            health: Health::default(),
            reachability: Reachability::default(),
            proxies: Proxies::default(),
            quarantine: Quarantine::default(),
            backoffs: Backoffs::default(),
            limits: Limits::default(),
            freshness: Freshness::default(),
            connectivity: Connectivity::default(),
            config_fault: None,
            host_faults: Faults::default(),
            newcomers: Vec::new(),
            hosts: Hosts::default(),
            reported_hosts: None,
            groups: Groups::default(),
            relay: Relay::default(),
            outbox: Vec::new(),
            unpublished_hosts: Vec::new(),
            reassembly: Reassembly::default(),
            budgets: HashMap::new(),
            silent_owners: Backoffs::default(),
            loan_requests: LoanRequests::new(random_numbers()),
            confirmation_requests: ConfirmationRequests::new(random_numbers()),
            grant_numbers: random_numbers(),
            calls: HashMap::new(),
            shares: Shares::default(),
        }
    }
}

/// Returns numbers that no former process of this host has used.
fn random_numbers() -> RequestNumbers {
    RequestNumbers::new(rand::rng().random())
}

impl State {
    /// Returns the version of the configuration in force; `0` if there is none.
    pub(super) fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version)
    }

    /// Returns whether the host watches the store for others.
    pub(super) fn watches_store(&self) -> bool {
        self.relay.role() == Role::Watcher
    }

    /// Returns whether the host queries the store itself: it watches, or has not found out yet that others do.
    pub(super) fn queries_store(&self) -> bool {
        self.relay.role() != Role::Follower
    }

    /// Updates what depends on the configuration, after a new one has come into force.
    pub(super) fn on_config_changed(&mut self) {
        if let Some(config) = &self.config {
            let engines = config.services().filter(|service| service.engine.is_some());
            let pauses =
                engines.map(|service| (service.name.clone(), config.pauses(&service.name)));
            self.pauses = pauses.collect();
            self.ranks = Rc::new(Ranks::new(config));
        }
        self.update_engines();
    }

    /// Assigns the servers to groups and updates the engines in the load table, after the servers, the groups or the
    /// configuration have changed.
    pub(super) fn update_engines(&mut self) {
        self.groups.assign(self.directory.all());
        let Some(config) = &self.config else {
            return;
        };
        let services = config.services();
        let engines = services.filter_map(|service| Some((&service.name, service.engine?)));
        let engines = engines.flat_map(|(name, profile)| {
            let servers = self.directory.of_service(name);
            servers.map(move |server| (server.key(), profile))
        });
        self.loads.set_engines(engines.collect());
        let services = config.services().filter(|service| service.engine.is_some());
        let services = services.flat_map(|service| {
            let servers = self.directory.of_service(&service.name);
            servers.map(|server| (server.key(), service.name.clone()))
        });
        self.loads.set_services(services.collect());
    }

    /// Returns for how long a server accepts nothing from this host.
    pub(super) fn unavailable_for(&self, server: Key, now: Time) -> Duration {
        unavailable_for(&self.backoffs, &self.limits, server, now)
    }

    /// Returns for how much longer entries may be missing in the store although their servers are alive, in
    /// milliseconds, as sent to peers.
    pub(super) fn grace_ms(&self, now: Time) -> u32 {
        let grace = self.directory.reported_grace(now).as_millis();
        u32::try_from(grace).unwrap_or(u32::MAX)
    }

    /// Returns when the store is last known to have answered a call of this host or another one.
    pub(super) fn informed(&self, contact: &Contact) -> Time {
        let confirmed = self.freshness.confirmed();
        confirmed.map_or(contact.answered(), |at| at.max(contact.answered()))
    }
}

/// Returns for how long a server accepts nothing from this host, because of a backoff or its limit.
pub(super) fn unavailable_for(
    backoffs: &Backoffs<Key>,
    limits: &Limits,
    server: Key,
    now: Time,
) -> Duration {
    let denied = limits.denied_for(server, now);
    denied.max(backoffs.remaining(&server, now))
}
