//! Updates from the store, and whether the store answers at all.

use super::{Host, Node, Origin, State};
use crate::clock;
use crate::event::{self, Record, ServersKept};
use alderglade_core::Name;
use alderglade_core::fleet::config::Config;
use alderglade_core::fleet::contact::{MAX_ANSWER_TIME, STANDSTILL_TIME};
use alderglade_core::fleet::directory::{Change, Listing, Restored};
use alderglade_core::fleet::evacuation;
use alderglade_core::fleet::faults::Fault;
use alderglade_core::fleet::fingerprint::Fingerprint;
use alderglade_core::fleet::freshness::Ahead;
use alderglade_core::fleet::position::Position;
use alderglade_core::fleet::relay::{self, Role};
use alderglade_core::time::Time;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// An update from the store.
#[derive(Debug)]
pub enum StoreEvent {
    /// A configuration.
    Config(Config),
    /// A configuration that can't be read, with the problem.
    ConfigUnreadable(String),
    /// The complete list of backend servers.
    Servers {
        /// The servers.
        all: Listing,
        /// The store's position at which the list is complete.
        position: Position,
    },
    /// Changes of backend servers, oldest first. There are none if a watch ended without any.
    Changes {
        /// The changes.
        changes: Vec<Change>,
        /// The store's position before the first change.
        after: Position,
        /// The store's position up to which the changes are complete.
        position: Position,
    },
    /// An entry of a host that can't be read.
    HostUnreadable(Fault),
    /// An entry host, or its new address.
    Host(Host),
    /// The list of entry hosts is complete.
    HostsListed,
    /// An entry host was removed from the store.
    HostGone(Name),
    /// A request is quarantined for the given remaining time.
    Quarantined(Fingerprint, Duration),
    /// The store has listed what is quarantined.
    QuarantineListed,
    /// A part of prompts is quarantined.
    PartQuarantined {
        /// The part.
        part: Fingerprint,
        /// The parts without which it is not quarantined.
        companions: Vec<Fingerprint>,
        /// The remaining time.
        left: Duration,
    },
    /// A request is no longer quarantined.
    Released(Fingerprint),
    /// All requests that are quarantined according to a restored copy of the store, with their remaining time.
    QuarantineRestored(Vec<(Fingerprint, Duration)>),
    /// The complete set of evacuated failure domains.
    Evacuations {
        /// The failure domains.
        domains: BTreeSet<Name>,
        /// The store's position at which the set is complete.
        position: Position,
    },
    /// Evacuations that began or ended.
    EvacuationChanges {
        /// The changes, oldest first.
        changes: Vec<evacuation::Change>,
        /// The store's position up to which the changes are complete.
        position: Position,
    },
    /// The store confirmed that its configuration was the newest at a time.
    Confirmed {
        /// The time.
        at: Time,
        /// The version that the store holds; `None` if it can't be read.
        held: Option<u64>,
    },
    /// A call to the store failed.
    Lost {
        /// The problem.
        problem: String,
        /// When the call was made.
        started: Time,
    },
    /// The store answered a call.
    Answered {
        /// When the call was made.
        started: Time,
        /// How long the store could wait before it answered.
        wait: Duration,
    },
}

impl Node {
    /// Applies an update from the store.
    pub fn apply_store_event(&self, store_event: StoreEvent) {
        self.observe_standstill();
        let now = clock::now();
        match store_event {
            StoreEvent::Config(config) => self.apply_config(config),
            StoreEvent::ConfigUnreadable(problem) => self.report_config_fault(problem),
            StoreEvent::Servers { all, position } => self.apply_listing(all, position, now),
            StoreEvent::Changes {
                changes,
                after,
                position,
            } => self.apply_server_changes(after, &changes, position, now),
            StoreEvent::HostUnreadable(fault) => {
                self.update_host_faults(|faults| faults.record(&fault))
            }
            StoreEvent::Host(host) => {
                self.update_host_faults(|faults| faults.clear(&host.name));
                self.publish_host(&host);
                self.state.borrow_mut().hosts.insert(host);
            }
            StoreEvent::HostsListed => {
                self.startup_sync.record_hosts_listed();
                self.regroup();
                // The other hosts learn of this host at once, and it learns of them.
                self.notice_due.notify_one();
            }
            StoreEvent::HostGone(name) => {
                self.update_host_faults(|faults| faults.clear(&name));
                self.state.borrow_mut().hosts.remove(&name);
            }
            StoreEvent::Quarantined(fingerprint, left) => {
                self.with_quarantine(|quarantine, now| {
                    quarantine.apply_stored_bar(fingerprint, left, now)
                });
            }
            StoreEvent::QuarantineListed => {
                self.quarantine_listed.set(true);
                self.startup_progress.notify_waiters();
            }
            StoreEvent::PartQuarantined {
                part,
                companions,
                left,
            } => {
                self.with_quarantine(|quarantine, now| {
                    quarantine.apply_stored_part_bar(part, companions, left, now)
                });
            }
            StoreEvent::Released(fingerprint) => {
                self.with_quarantine(|quarantine, now| {
                    quarantine.apply_stored_release(fingerprint, now)
                });
            }
            StoreEvent::QuarantineRestored(listed) => {
                self.with_quarantine(|quarantine, now| quarantine.restore(&listed, now));
            }
            StoreEvent::Evacuations { domains, position } => {
                self.replace_evacuations(domains, position)
            }
            StoreEvent::EvacuationChanges { changes, position } => {
                self.apply_evacuation_changes(&changes, position);
            }
            StoreEvent::Confirmed { at, held } => self.apply_confirmed(at, held),
            StoreEvent::Lost { problem, started } => self.store_lost(&problem, started),
            StoreEvent::Answered { started, wait } => self.store_answered(started + wait, now),
        }
    }

    /// Returns the configuration in force. A host that has just started waits for the configuration and for the first
    /// list of servers, up to `max_wait`.
    pub async fn wait_for_config(&self, max_wait: Duration) -> Option<Rc<Config>> {
        let known = async {
            while !self.is_initialized() {
                self.startup_progress.notified().await;
            }
        };
        // After a timeout the state known by then is used.
        let _ = clock::timeout(max_wait, known).await;
        let state = self.state.borrow();
        state
            .config
            .clone()
            .filter(|_| self.knows_evacuations(&state))
    }

    /// Returns whether the host has received what it needs to serve.
    fn is_initialized(&self) -> bool {
        let state = self.state.borrow();
        let known = state.config.is_some() && state.directory.is_listed();
        let known = known && self.knows_evacuations(&state) && self.startup_sync.is_finished();
        known && self.knows_quarantine()
    }

    /// Returns whether the store has listed what is quarantined, or the host has been running for so long without the list
    /// that requests no longer wait for it.
    fn knows_quarantine(&self) -> bool {
        const MAX_WAIT: Duration = Duration::from_millis(1_000);
        self.quarantine_listed.get() || clock::now().since(self.started) > MAX_WAIT
    }

    /// Applies the complete list of backend servers and publishes what has changed, unless peers have sent later changes in the
    /// meantime.
    fn apply_listing(&self, all: Listing, position: Position, now: Time) {
        let mut state = self.state.borrow_mut();
        let told = self.told_grace(&state, None, now);
        let directory = &mut state.directory;
        let former = directory.position();
        let changes = directory.changes_to(&all, position);
        if !directory.apply_told_listing(all, position, told, now) {
            return;
        }
        let restored = directory.take_restored();
        drop(state);
        restored.iter().for_each(log_restored);
        self.startup_progress.notify_waiters();
        self.log_departures(Origin::Store);
        self.on_servers_changed();
        self.publish_server_changes(former, position, &changes);
        if !changes.is_empty() {
            self.notice_due.notify_one();
        }
    }

    /// Applies changes of backend servers and publishes them, unless peers have sent them in the meantime.
    fn apply_server_changes(
        &self,
        after: Position,
        changes: &[Change],
        position: Position,
        now: Time,
    ) {
        let mut state = self.state.borrow_mut();
        let told = self.told_grace(&state, None, now);
        let applied = state
            .directory
            .apply_told_changes(after, changes, position, told, now);
        drop(state);
        if !applied || changes.is_empty() {
            return;
        }
        self.log_departures(Origin::Store);
        self.on_servers_changed();
        self.publish_server_changes(after, position, changes);
        self.notice_due.notify_one();
    }

    /// Applies a configuration, unless the one in force is at least as new.
    pub(super) fn apply_config(&self, config: Config) {
        let mut state = self.state.borrow_mut();
        state.config_fault = None;
        let old = state.config.clone();
        let before = old.as_ref().map(|config| config.version);
        if before.is_some_and(|before| before >= config.version) {
            return;
        }
        let version = config.version;
        let config = Rc::new(config);
        state.config = Some(config.clone());
        state.on_config_changed();
        drop(state);
        self.apply_listed_cold();
        if let Some(old) = old {
            self.publish_config_patch(&old, &config);
        }
        self.metrics.config.set(version.cast_signed());
        self.startup_progress.notify_waiters();
        // Peers that rely on this host's status learn of the newer version at once.
        self.notice_due.notify_one();
        event::write(&Record::ConfigInForce { version, before });
    }

    /// Records that the store has confirmed the version of the configuration that it holds. If that is older than the
    /// one in force, the store was restored from a copy. The confirmation then says nothing about keys that were
    /// revoked.
    fn apply_confirmed(&self, at: Time, held: Option<u64>) {
        let mut state = self.state.borrow_mut();
        let in_force = state.config_version();
        if held.is_none_or(|held| held >= in_force)
            && let Err(Ahead) = state.freshness.confirm(at, clock::now())
        {
            log::warn!("ignored a confirmation of the store that lies ahead");
        }
    }

    /// Updates everything that depends on the set of servers, drops the state of removed servers, and logs the number
    /// of servers.
    pub(super) fn on_servers_changed(&self) {
        self.handle_restarts();
        self.apply_listed_cold();
        self.report_server_faults();
        let mut state = self.state.borrow_mut();
        state.update_engines();
        let State {
            directory,
            health,
            limits,
            ..
        } = &mut *state;
        health.retain(|server| directory.active(server).is_some());
        limits.retain(|server| directory.knows(server), clock::now());
        let known = directory.len();
        let leaving = directory.leaving().len();
        self.metrics.servers.set(known as i64);
        drop(state);
        self.retain_paths();
        event::write(&Record::ServersChanged { known, leaving });
    }

    /// Records that a call to the store failed that was made at `started`; logs the first failure.
    fn store_lost(&self, problem: &str, started: Time) {
        let mut contact = self.store_contact.get();
        let is_first = contact.record_failure();
        self.store_contact.set(contact);
        let mut state = self.state.borrow_mut();
        state.directory.store_failed(started);
        if !is_first {
            return;
        }
        let informed = state.informed(&contact);
        state.directory.store_lost(informed);
        drop(state);
        event::write(&Record::StoreLost { problem });
    }

    /// Records that the store answered a call that it could answer from `due` on. After an outage, wakes the tasks that wait
    /// for the store.
    fn store_answered(&self, due: Time, now: Time) {
        let mut contact = self.store_contact.get();
        let outage = contact.record_answer(now);
        self.store_contact.set(contact);
        let mut state = self.state.borrow_mut();
        if state.directory.is_outage() {
            if now.since(due) > MAX_ANSWER_TIME {
                state.directory.store_failed(due);
            }
            state.directory.store_returned(now);
        }
        let Some(outage) = outage else {
            return;
        };
        let grace = state.directory.grace_left(now);
        let servers = state.directory.kept().count();
        drop(state);
        event::write(&Record::StoreBack {
            age_ms: outage.as_millis() as u64,
        });
        if !grace.is_zero() {
            event::write(&Record::ServersKept(ServersKept {
                servers,
                for_ms: grace.as_millis() as u64,
            }));
        }
        self.ask_store.notify_waiters();
    }

    /// Returns how much longer entries may be missing according to the hosts that watch the store, if this host relies on
    /// them. `reported` is what one of them reports with a removal.
    pub(super) fn told_grace(
        &self,
        state: &State,
        reported: Option<Duration>,
        now: Time,
    ) -> Duration {
        if state.relay.role() != Role::Follower {
            return Duration::ZERO;
        }
        let live = state.loads.live_hosts(&self.settings.domain, now);
        relay::told_grace(reported, &live.collect::<Vec<_>>())
    }

    /// Notices whether this host did nothing for a while; called before anything that it receives is applied.
    pub fn observe_standstill(&self) {
        let now = clock::now();
        let last_active = self.last_active.replace(now);
        if now.since(last_active) >= STANDSTILL_TIME {
            let mut state = self.state.borrow_mut();
            state.directory.stood_still(last_active, now);
        }
    }
}

/// Logs what the first list of a new era has shown.
fn log_restored(restored: &Restored) {
    event::write(&Record::ServersRestored {
        era: restored.position.era,
        revision: restored.position.revision,
        former_revision: restored.former.revision,
        missing: restored.missing,
        held_back: restored.held_back,
    });
}
