//! Whether this host can reach the store, checked at each heartbeat.

use super::{Node, State};
use crate::clock;
use crate::event::{self, Record, StoreReach};
use alderglade_core::fleet::connectivity::Observation;
use alderglade_core::time::Time;
use std::time::Duration;

impl Node {
    /// Checks the connectivity to the store, and triggers a query at once if it is in doubt.
    pub(super) fn observe_store(&self) {
        let now = clock::now();
        let state = &mut *self.state.borrow_mut();
        let observation = self.observation(state, now);
        let was_disconnected = state.connectivity.is_disconnected(now);
        if state.connectivity.observe(&observation, now) {
            self.ask_store.notify_waiters();
        }
        let disconnected = state.connectivity.is_disconnected(now);
        if disconnected != was_disconnected {
            log_connectivity(disconnected, &observation, state.freshness.age(now));
        }
    }

    /// Returns what this host observes of its connectivity to the store.
    fn observation(&self, state: &State, now: Time) -> Observation {
        let domain = &self.settings.domain;
        let mut live = state.loads.live_hosts(domain, now);
        Observation {
            call_failed: self.store_contact.get().is_lost(),
            informed: state.queries_store() || live.any(|host| host.store.in_contact),
            isolated: state.loads.is_isolated(domain, now),
            confirmed: state.freshness.confirmed(),
        }
    }
}

/// Logs that the host has lost or regained its connectivity to the store, with the observation that shows it.
fn log_connectivity(disconnected: bool, observation: &Observation, age: Option<Duration>) {
    event::write(&Record::StoreReach(StoreReach {
        cut_off: disconnected,
        refused: observation.call_failed,
        informed: observation.informed,
        isolated: observation.isolated,
        store_age_ms: age.map(|age| age.as_millis() as u64),
    }));
}
