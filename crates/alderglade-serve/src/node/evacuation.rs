//! Failure domains that the operator evacuates and reopens.

use super::{Node, State};
use crate::clock;
use crate::event::{self, Record};
use alderglade_core::Name;
use alderglade_core::fleet::evacuation::{Change, Evacuations, Snapshot};
use alderglade_core::fleet::position::Position;
use alderglade_core::time::Time;
use std::collections::BTreeSet;

impl Node {
    /// Returns whether this host knows which failure domains are evacuated, or the deployment has no evacuations.
    pub(super) fn knows_evacuations(&self, state: &State) -> bool {
        self.settings.evacuation.is_none() || state.evacuations.is_known()
    }

    /// Replaces all evacuations by those that the store lists.
    pub(super) fn replace_evacuations(&self, domains: BTreeSet<Name>, position: Position) {
        self.update_evacuations(|evacuations, now| evacuations.replace(domains, position, now));
        self.startup_progress.notify_waiters();
    }

    /// Applies changes from the store.
    pub(super) fn apply_evacuation_changes(&self, changes: &[Change], position: Position) {
        self.update_evacuations(|evacuations, _| evacuations.apply_changes(changes, position));
    }

    /// Applies another host's evacuations.
    pub fn apply_evacuations(&self, snapshot: &Snapshot) {
        self.update_evacuations(|evacuations, now| evacuations.apply_snapshot(snapshot, now));
    }

    fn update_evacuations(&self, update: impl FnOnce(&mut Evacuations, Time) -> bool) {
        let changed = update(&mut self.state.borrow_mut().evacuations, clock::now());
        if changed {
            self.enforce_evacuations();
        }
    }

    /// Applies the known evacuations to the choice of servers, and triggers a notice to the peers.
    pub(super) fn enforce_evacuations(&self) {
        let mut state = self.state.borrow_mut();
        let domains = state.evacuations.in_force();
        let before = state.directory.evacuate(domains.clone());
        state.update_engines();
        drop(state);
        for domain in before.difference(&domains) {
            self.record_cold_domain(domain);
        }
        event::write(&Record::Evacuated { domains: &domains });
        self.notice_due.notify_one();
    }
}
