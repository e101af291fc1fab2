//! What the store tells a host, and whether the store answers at all.

use super::{Host, Node, State};
use crate::clock;
use crate::event::{self, Record};
use alderglade_core::Name;
use alderglade_core::fleet::config::Config;
use alderglade_core::fleet::directory::{Change, Listing, Restored};
use alderglade_core::fleet::evacuation;
use alderglade_core::fleet::faults::Fault;
use alderglade_core::fleet::fingerprint::Fingerprint;
use alderglade_core::fleet::position::Position;
use alderglade_core::time::Time;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// The store was away for so long that entries of servers may have lapsed: they go after three missed
/// heartbeats of 1.2 s, the first of which may have been due at once.
const LAPSED_AFTER: Duration = Duration::from_millis(2_000);

/// What the store has told.
#[derive(Debug)]
pub enum StoreEvent {
    /// A configuration.
    Config(Config),
    /// A configuration that can't be read.
    ConfigUnreadable(String),
    /// All backend servers.
    Servers {
        /// The servers.
        all: Listing,
        /// Where the store was when these were all.
        position: Position,
    },
    /// Changes of backend servers, oldest first; none where a watch has ended without any.
    Changes {
        /// The changes.
        changes: Vec<Change>,
        /// Where the store was when the first of them was new.
        after: Position,
        /// Up to where these are all.
        position: Position,
    },
    /// An entry of hosts that can't be read.
    HostUnreadable(Fault),
    /// An entry host, or its new address.
    Host(Host),
    /// All entry hosts have been told.
    HostsListed,
    /// An entry host has left the store.
    HostGone(Name),
    /// A request is sent to no server for so much longer.
    Quarantined(Fingerprint, Duration),
    /// A request may be sent again.
    Released(Fingerprint),
    /// All requests that a copy of the store says are sent to no server, with how much longer.
    QuarantineRestored(Vec<(Fingerprint, Duration)>),
    /// All failure domains that are evacuated.
    Evacuations {
        /// The failure domains.
        domains: BTreeSet<Name>,
        /// Where the store was when these were all.
        position: Position,
    },
    /// How failure domains stand that have been evacuated, or no longer are.
    EvacuationChanges {
        /// The changes, oldest first.
        changes: Vec<evacuation::Change>,
        /// Up to where these are all.
        position: Position,
    },
    /// What the store holds of the configuration was the newest at this time.
    Confirmed {
        /// The time.
        at: Time,
        /// The version that it holds; `None` where that can't be read.
        held: Option<u64>,
    },
    /// The store gives no answer.
    Lost(String),
    /// The store has answered a call.
    Answered,
}

/// Whether the store answers.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Contact {
    /// Since when it doesn't.
    lost_at: Option<Time>,
    /// When it last did.
    answered: Time,
}

impl Contact {
    /// Says whether the last call failed.
    pub fn is_lost(&self) -> bool {
        self.lost_at.is_some()
    }

    /// Says whether the store answered within `span`, and no call has failed since.
    pub fn answered_within(&self, span: Duration, now: Time) -> bool {
        !self.is_lost() && now.since(self.answered) <= span
    }
}

impl Node {
    /// Takes what the store has told.
    pub fn apply_store_event(&self, news: StoreEvent) {
        let now = clock::now();
        match news {
            StoreEvent::Config(config) => self.take_config(config),
            StoreEvent::ConfigUnreadable(problem) => self.tell_config_fault(problem),
            StoreEvent::Servers { all, position } => self.take_list(all, position, now),
            StoreEvent::Changes {
                changes,
                after,
                position,
            } => self.take_changes(after, &changes, position, now),
            StoreEvent::HostUnreadable(fault) => self.host_faults(|faults| faults.note(&fault)),
            StoreEvent::Host(host) => {
                self.host_faults(|faults| faults.clear(&host.name));
                self.tell_host(&host);
                self.state.borrow_mut().hosts.insert(host);
            }
            StoreEvent::HostsListed => {
                self.startup_sync.note_hosts();
                self.regroup();
                // The others hear of this host at once, and it of them.
                self.loads_changed.notify_one();
            }
            StoreEvent::HostGone(name) => {
                self.host_faults(|faults| faults.clear(&name));
                self.state.borrow_mut().hosts.remove(&name);
            }
            StoreEvent::Quarantined(asked, left) => {
                self.with_quarantine(|quarantine, now| {
                    quarantine.apply_stored_bar(asked, left, now)
                });
            }
            StoreEvent::Released(asked) => {
                self.with_quarantine(|quarantine, now| quarantine.apply_stored_release(asked, now));
            }
            StoreEvent::QuarantineRestored(listed) => {
                self.with_quarantine(|quarantine, now| quarantine.restore(&listed, now));
            }
            StoreEvent::Evacuations { domains, position } => {
                self.take_evacuations(domains, position)
            }
            StoreEvent::EvacuationChanges { changes, position } => {
                self.change_evacuations(&changes, position);
            }
            StoreEvent::Confirmed { at, held } => self.confirm_config(at, held),
            StoreEvent::Lost(problem) => self.store_lost(&problem),
            StoreEvent::Answered => self.store_answered(now),
        }
    }

    /// Gives the configuration in force. A host that has just started waits for it and for the first list of
    /// servers, but no longer than `patience`.
    pub async fn wait_for_config(&self, patience: Duration) -> Option<Rc<Config>> {
        let known = async {
            while !self.has_learnt() {
                self.learnt.notified().await;
            }
        };
        // In vain or not, what is known then counts.
        let _ = clock::timeout(patience, known).await;
        let state = self.state.borrow();
        state
            .config
            .clone()
            .filter(|_| self.knows_evacuations(&state))
    }

    /// Says whether the host has learnt what it needs to serve.
    fn has_learnt(&self) -> bool {
        let state = self.state.borrow();
        let known = state.config.is_some() && state.directory.is_listed();
        known && self.knows_evacuations(&state) && self.startup_sync.is_over()
    }

    /// Takes the whole list of backend servers, unless peers have told of later changes while it was on its way.
    fn take_list(&self, all: Listing, position: Position, now: Time) {
        let mut state = self.state.borrow_mut();
        if !state.directory.take_list(all, position, now) {
            return;
        }
        let restored = state.directory.take_restored();
        drop(state);
        restored.iter().for_each(tell_restored);
        self.learnt.notify_waiters();
        self.tell_servers();
    }

    /// Takes changes of backend servers, unless peers have told of them while they were on their way, and has them passed
    /// on.
    fn take_changes(&self, after: Position, changes: &[Change], position: Position, now: Time) {
        let mut state = self.state.borrow_mut();
        let taken = state.directory.apply_changes(after, changes, position, now);
        drop(state);
        if !taken || changes.is_empty() {
            return;
        }
        self.tell_servers();
        self.tell_changes(after, position, changes);
        self.loads_changed.notify_one();
    }

    /// Takes a configuration, unless one as new is in force.
    pub(super) fn take_config(&self, config: Config) {
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
        state.note_config();
        drop(state);
        self.take_cold();
        if let Some(old) = old {
            self.tell_config(&old, &config);
        }
        self.metrics.config.set(version.cast_signed());
        self.learnt.notify_waiters();
        // Peers that go by this host's word learn at once that there is a newer one.
        self.loads_changed.notify_one();
        event::write(&Record::ConfigInForce { version, before });
    }

    /// Takes that the store has confirmed what it holds of the configuration. Where that is older than the one in force,
    /// the store has come back from a copy, and says nothing of keys that were taken away.
    fn confirm_config(&self, at: Time, held: Option<u64>) {
        let mut state = self.state.borrow_mut();
        let in_force = state.config_version();
        if held.is_none_or(|held| held >= in_force) {
            state.freshness.confirm(at);
        }
    }

    /// Forgets the records of servers that are gone and writes how many there are, and which have started again.
    pub(super) fn tell_servers(&self) {
        self.tell_restarts();
        self.take_cold();
        self.tell_server_faults();
        let mut state = self.state.borrow_mut();
        state.note_engines();
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
        event::write(&Record::ServersChanged { known, leaving });
    }

    /// Notes that a call to the store failed; tells it of the first.
    fn store_lost(&self, problem: &str) {
        let contact = self.store.get();
        if contact.lost_at.is_some() {
            return;
        }
        self.store.set(Contact {
            lost_at: Some(clock::now()),
            ..contact
        });
        self.state.borrow_mut().directory.store_lost();
        event::write(&Record::StoreLost { problem });
    }

    /// Notes that the store answered; where it was away, wakes what waits for it.
    fn store_answered(&self, now: Time) {
        let Contact { lost_at, answered } = self.store.get();
        self.store.set(Contact {
            lost_at: None,
            answered: now,
        });
        if lost_at.is_none() {
            return;
        }
        let away = now.since(answered);
        let mut state = self.state.borrow_mut();
        state.directory.store_returned(now, away >= LAPSED_AFTER);
        drop(state);
        event::write(&Record::StoreBack {
            age_ms: away.as_millis() as u64,
        });
        self.ask_store.notify_waiters();
    }
}

/// Writes what the first list of a new era has shown.
fn tell_restored(restored: &Restored) {
    event::write(&Record::ServersRestored {
        era: restored.position.era,
        revision: restored.position.revision,
        former_revision: restored.former.revision,
        missing: restored.missing,
        held_back: restored.held_back,
    });
}
