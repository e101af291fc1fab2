//! What a host knows and holds while it serves.
//!
//! All of it changes together on the host's one thread, so that decisions never see half of a change.

use super::{Host, Hosts};
use crate::clock;
use alderglade_core::Name;
use alderglade_core::fleet::backoff::Backoffs;
use alderglade_core::fleet::budget::Budget;
use alderglade_core::fleet::config::Config;
use alderglade_core::fleet::connectivity::Connectivity;
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
use alderglade_core::fleet::quarantine::Quarantine;
use alderglade_core::fleet::rate_limit::Limits;
use alderglade_core::fleet::reassembly::Reassembly;
use alderglade_core::fleet::relay::{Relay, Role};
use alderglade_core::time::Time;
use rand::RngExt;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// What changes while the host serves.
pub struct State {
    /// The configuration in force.
    pub config: Option<Rc<Config>>,
    /// The backend servers.
    pub directory: Directory,
    /// The failure domains that are evacuated.
    pub evacuations: Evacuations,
    /// What every host holds at every server.
    pub loads: LoadTable,
    /// The pauses that the answers of each service of engines bear.
    pub(super) pauses: HashMap<Name, Pauses>,
    /// What was learnt of servers.
    pub health: Health,
    /// What is known of requests under which servers end.
    pub quarantine: Quarantine,
    /// Servers that want nothing of this host for a while.
    pub(super) backoffs: Backoffs<Key>,
    /// What servers take from all hosts together: those that have named a limit, and cold ones.
    pub limits: Limits,
    /// The age of the store's word.
    pub freshness: Freshness,
    /// Whether the store is in reach.
    pub(super) connectivity: Connectivity,
    /// What is wrong with the newest configuration, where it can't be read.
    pub(super) config_fault: Option<String>,
    /// The entries of hosts that can't be read.
    pub(super) host_faults: Faults,
    /// Hosts that have come since operators were told.
    pub newcomers: Vec<Name>,
    /// The entry hosts' addresses.
    pub hosts: Hosts,
    /// How many hosts the store listed when hosts that watch it last told so.
    pub(super) told_hosts: Option<usize>,
    /// The groups of hosts and servers.
    pub groups: Groups,
    /// Who asks the store.
    pub(super) relay: Relay,
    /// What the hosts of the own failure domain have not been told yet.
    pub(super) outbox: Vec<StoreUpdate>,
    /// Hosts of which they have not been told yet.
    pub(super) new_hosts: Vec<Host>,
    /// Pieces of what watchers of the store tell of the servers.
    pub(super) reassembly: Reassembly,
    /// What each service may still be sent again.
    pub(super) budgets: HashMap<Name, Budget>,
    /// Hosts of other groups, of which nothing is heard, that gave no answer.
    pub(super) silent: Backoffs<Name>,
    /// What this host asks of others' budgets.
    pub(super) loan_requests: LoanRequests,
    /// Own calls that run at plain backend servers.
    pub(super) calls: HashMap<Key, u32>,
}

impl Default for State {
    /// Knows nothing and holds nothing.
    fn default() -> State {
        State {
            config: None,
            directory: Directory::default(),
            evacuations: Evacuations::default(),
            loads: LoadTable::default(),
            pauses: HashMap::new(),
            health: Health::default(),
            quarantine: Quarantine::default(),
            backoffs: Backoffs::default(),
            limits: Limits::default(),
            freshness: Freshness::default(),
            connectivity: Connectivity::default(),
            config_fault: None,
            host_faults: Faults::default(),
            newcomers: Vec::new(),
            hosts: Hosts::default(),
            told_hosts: None,
            groups: Groups::default(),
            relay: Relay::default(),
            outbox: Vec::new(),
            new_hosts: Vec::new(),
            reassembly: Reassembly::default(),
            budgets: HashMap::new(),
            silent: Backoffs::default(),
            loan_requests: LoanRequests::new(rand::rng().random()),
            calls: HashMap::new(),
        }
    }
}

impl State {
    /// Gives the version of the configuration in force; `0` where there is none.
    pub(super) fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version)
    }

    /// Says whether the host watches the store for others.
    pub(super) fn watches_store(&self) -> bool {
        self.relay.role() == Role::Watcher
    }

    /// Says whether the host asks the store by itself: it watches, or has not found out yet that others do.
    pub(super) fn queries_store(&self) -> bool {
        self.relay.role() != Role::Follower
    }

    /// Notes what follows from a configuration that has come into force.
    pub(super) fn note_config(&mut self) {
        if let Some(config) = &self.config {
            let engines = config.services().filter(|service| service.engine.is_some());
            let pauses =
                engines.map(|service| (service.name.clone(), config.pauses(&service.name)));
            self.pauses = pauses.collect();
        }
        self.note_engines();
    }

    /// Deals the servers to the groups, and has the book know the engines, after the servers, the groups or the configuration
    /// have changed.
    pub(super) fn note_engines(&mut self) {
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
    }

    /// Gives how long a server takes nothing of this host.
    pub(super) fn closed_for(&self, server: Key, now: Time) -> Duration {
        closed_for(&self.backoffs, &self.limits, server, now)
    }

    /// Gives how much longer entries of servers may be missing in the store although the servers live, in
    /// milliseconds, as peers are told it.
    pub(super) fn grace_ms(&self, now: Time) -> u32 {
        let left = self.directory.grace_left(now).as_millis();
        u32::try_from(left).unwrap_or(u32::MAX)
    }

    /// Takes a peer's word that entries of servers may be missing in the store for a while.
    pub(super) fn take_grace(&mut self, grace_ms: u32) {
        if grace_ms > 0 {
            let span = Duration::from_millis(u64::from(grace_ms));
            self.directory.extend_grace(clock::now() + span);
        }
    }
}

/// Gives how long a server takes nothing of this host, by the rest that it wants and by its limit.
pub(super) fn closed_for(
    backoffs: &Backoffs<Key>,
    limits: &Limits,
    server: Key,
    now: Time,
) -> Duration {
    let denied = limits.denied_for(server, now);
    denied.max(backoffs.left(&server, now))
}
