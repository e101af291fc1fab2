//! The eras of the store: how often it has come back from a copy, as far as this host knows.
//!
//! Only the store's own answers say which era it is. What other hosts tell of a later one is a reason to ask the store.

use super::Node;
use crate::event::{self, Record};
use std::cell::Cell;
use tokio::sync::Notify;

/// What is known of the eras.
#[derive(Debug, Default)]
pub(super) struct Eras {
    /// The latest one that the store has told; `0` where it has told none.
    known: Cell<u64>,
    /// The latest one that other hosts have told.
    heard: Cell<u64>,
    /// Wakes whoever waits for a later one.
    later: Notify,
}

impl Node {
    /// Gives the store's latest era known; `0` where the store tells none.
    pub fn era(&self) -> u64 {
        self.eras.known.get()
    }

    /// Takes the era of an answer of the store. Gives the latest one, which is later than that of an answer that was late.
    pub fn record_era(&self, told: u64) -> u64 {
        let known = self.eras.known.get();
        if told <= known {
            return known;
        }
        self.eras.known.set(told);
        self.metrics.store_era.set(told.cast_signed());
        if known > 0 {
            event::write(&Record::StoreRestored {
                era: told,
                former_era: known,
            });
            // Calls from before may hang, and all is to be listed anew.
            self.ask_store.notify_waiters();
        }
        self.eras.later.notify_waiters();
        told
    }

    /// Takes the era that another host tells.
    pub(super) fn observe_era(&self, told: u64) {
        if told > self.eras.heard.get() {
            self.eras.heard.set(told);
            self.eras.later.notify_waiters();
        }
    }

    /// Waits until the store, or another host, tells of a later era; gives that.
    pub async fn wait_for_era_after(&self, era: u64) -> u64 {
        loop {
            let later = self.eras.later.notified();
            let latest = self.eras.known.get().max(self.eras.heard.get());
            if latest > era {
                return latest;
            }
            later.await;
        }
    }
}
