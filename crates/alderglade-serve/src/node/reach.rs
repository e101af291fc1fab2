//! Whether the store is in this host's reach, looked at with each heartbeat.

use super::{Node, State};
use crate::clock;
use crate::event::{self, Record};
use alderglade_core::fleet::connectivity::Observation;
use alderglade_core::time::Time;
use std::time::Duration;

impl Node {
    /// Looks whether the store is in reach, and has it asked at once where that is in doubt.
    pub(super) fn look_for_store(&self) {
        let now = clock::now();
        let state = &mut *self.state.borrow_mut();
        let observation = self.observation(state, now);
        let was_cut_off = state.connectivity.is_disconnected(now);
        if state.connectivity.observe(&observation, now) {
            self.ask_store.notify_waiters();
        }
        let cut_off = state.connectivity.is_disconnected(now);
        if cut_off != was_cut_off {
            tell_reach(cut_off, &observation, state.freshness.age(now));
        }
    }

    /// Gives what this host sees of its way to the store.
    fn observation(&self, state: &State, now: Time) -> Observation {
        let domain = &self.settings.domain;
        let mut heard = state.loads.live_hosts(domain, now);
        Observation {
            call_failed: self.store.get().is_lost(),
            informed: state.queries_store() || heard.any(|host| host.store.in_contact),
            isolated: state.loads.is_isolated(domain, now),
            confirmed: state.freshness.confirmed(),
        }
    }
}

/// Writes whether the host has lost or found its way to the store, and by what.
fn tell_reach(cut_off: bool, observation: &Observation, age: Option<Duration>) {
    event::write(&Record::StoreReach {
        cut_off,
        refused: observation.call_failed,
        informed: observation.informed,
        isolated: observation.isolated,
        store_age_ms: age.map(|age| age.as_millis() as u64),
    });
}
