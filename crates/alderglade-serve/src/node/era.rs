//! The eras of the store: how often it was restored from a copy, as far as this host knows.
//!
//! Only the store's own answers determine its era. A later era that other hosts report is a reason to query the
//! store.

use super::Node;
use crate::event::{self, Record};
use std::cell::Cell;
use tokio::sync::Notify;

/// The latest eras known.
#[derive(Debug, Default)]
pub(super) struct Eras {
    /// The latest era that the store has reported; `0` if it has reported none.
    from_store: Cell<u64>,
    /// The latest era that other hosts have reported.
    from_peers: Cell<u64>,
    /// Wakes the tasks that wait for a later era.
    advanced: Notify,
}

impl Node {
    /// Returns the latest era that the store has reported; `0` if it has reported none.
    pub fn era(&self) -> u64 {
        self.eras.from_store.get()
    }

    /// Records the era of an answer of the store. Returns the latest era, which is later than that of a delayed
    /// answer.
    pub fn record_era(&self, era: u64) -> u64 {
        let known = self.eras.from_store.get();
        if era <= known {
            return known;
        }
        self.eras.from_store.set(era);
        self.metrics.store_era.set(era.cast_signed());
        if known > 0 {
            event::write(&Record::StoreRestored {
                era,
                former_era: known,
            });
            // Calls from before may hang, and everything has to be listed again.
            self.ask_store.notify_waiters();
        }
        self.eras.advanced.notify_waiters();
        era
    }

    /// Records the era that another host reports.
    pub(super) fn observe_era(&self, era: u64) {
        if era > self.eras.from_peers.get() {
            self.eras.from_peers.set(era);
            self.eras.advanced.notify_waiters();
        }
    }

    /// Waits until the store or another host reports a later era, and returns it.
    pub async fn wait_for_era_after(&self, era: u64) -> u64 {
        loop {
            let advanced = self.eras.advanced.notified();
            let latest = self.eras.from_store.get().max(self.eras.from_peers.get());
            if latest > era {
                return latest;
            }
            advanced.await;
        }
    }
}
