//! Failure domains that the operator evacuates and takes back.

use super::{Node, State};
use crate::clock;
use crate::event::{self, Record};
use alderglade_core::Name;
use alderglade_core::fleet::evacuation::{Change, Evacuations, Snapshot};
use alderglade_core::fleet::position::Position;
use alderglade_core::time::Time;
use std::collections::BTreeSet;

impl Node {
    /// Says whether this host knows which failure domains are evacuated, or the deployment has no evacuations.
    pub(super) fn knows_evacuations(&self, state: &State) -> bool {
        self.settings.evacuation.is_none() || state.evacuations.is_known()
    }

    /// Takes all failure domains that the store lists as evacuated.
    pub(super) fn take_evacuations(&self, domains: BTreeSet<Name>, position: Position) {
        self.edit_evacuations(|evacuations, now| evacuations.replace(domains, position, now));
        self.learnt.notify_waiters();
    }

    /// Takes what has changed in the store.
    pub(super) fn change_evacuations(&self, changes: &[Change], position: Position) {
        self.edit_evacuations(|evacuations, _| evacuations.apply_changes(changes, position));
    }

    /// Takes what another host knows.
    pub fn apply_evacuations(&self, snapshot: &Snapshot) {
        self.edit_evacuations(|evacuations, now| evacuations.apply_snapshot(snapshot, now));
    }

    fn edit_evacuations(&self, edit: impl FnOnce(&mut Evacuations, Time) -> bool) {
        let changed = edit(&mut self.state.borrow_mut().evacuations, clock::now());
        if changed {
            self.put_evacuations_in_force();
        }
    }

    /// Has new work go by the evacuations as they are known now, and other hosts told.
    pub(super) fn put_evacuations_in_force(&self) {
        let mut state = self.state.borrow_mut();
        let domains = state.evacuations.in_force();
        let before = state.directory.evacuate(domains.clone());
        state.note_engines();
        drop(state);
        for domain in before.difference(&domains) {
            self.note_cold_domain(domain);
        }
        event::write(&Record::Evacuated { domains: &domains });
        self.loads_changed.notify_one();
    }
}
