//! Removals of servers: by their own announcement, and by the removal of their entries, which may only have lapsed while
//! the store was unavailable.

use super::departure::{Departure, Keep, Sign};
use super::grace::Missing;
use super::{Directory, Entry, STORE_RETURN_GRACE, Server};
use crate::Name;
use crate::fleet::incarnation::Key;
use crate::time::Time;
use std::time::Duration;

impl Directory {
    /// Records that the store stopped responding: entries that go missing from now on may only have lapsed. `answered` is
    /// when the store responded last.
    pub fn store_lost(&mut self, answered: Time) {
        self.grace.begin_outage(answered);
    }

    /// Records that a call to the store failed that was made at `started`.
    pub fn store_failed(&mut self, started: Time) {
        self.grace.record_failure(started);
    }

    /// Records that no other host seems to reach the store any more; `answered` is when it is last known to have answered
    /// one. Until [`Directory::store_returned`], entries that go missing may only have lapsed.
    pub fn suspect_outage(&mut self, answered: Time) {
        self.grace.suspect_outage(answered);
    }

    /// Returns whether the store is unavailable, or seems to be.
    pub fn is_outage(&self) -> bool {
        self.grace.is_outage()
    }

    /// Records that this host did nothing since `from`. It can't know what the store did meanwhile, and what it receives
    /// now may be from before.
    pub fn stood_still(&mut self, from: Time, now: Time) {
        if !self.grace.is_outage() {
            self.store_failed(now);
            self.store_lost(from);
            self.store_returned(now);
        }
    }

    /// Records that the store responds again. Servers whose entries went missing meanwhile are gone if these cannot have
    /// lapsed; [`Directory::expire`] drops them.
    pub fn store_returned(&mut self, now: Time) {
        let until = self.grace.end_outage(now);
        for entry in self.entries.values_mut() {
            entry.missing = entry.missing.map(|missing| Missing {
                until: Some(until),
                ..missing
            });
        }
    }

    /// Records that no entry can have lapsed, according to a host that was in contact with the store throughout. What
    /// this host's own contact shows still holds.
    pub fn revoke_told_grace(&mut self) {
        for entry in self.entries.values_mut() {
            entry.missing = entry.missing.map(|missing| Missing {
                told_until: None,
                ..missing
            });
        }
    }

    /// Returns how much longer entries may be missing although their servers are alive, as far as this host's own contact
    /// with the store shows. Zero while the store is unavailable, because the end of the grace period is then unknown.
    pub fn grace_left(&self, now: Time) -> Duration {
        self.grace.left(now)
    }

    /// Returns the same for other hosts to rely on. A host that has listed the servers only recently doesn't know whether
    /// the store was available before.
    pub fn reported_grace(&self, now: Time) -> Duration {
        let listed_at = self.listed_at.unwrap_or(now);
        let unknown = (listed_at + STORE_RETURN_GRACE).left(now);
        self.grace.left(now).max(unknown)
    }

    /// Prepares the first list: if calls have failed before, the store was unavailable.
    pub(super) fn begin_listing(&mut self, now: Time) {
        if !self.is_listed() {
            self.grace.extend_after_failure(now);
        }
    }

    /// Drops the servers whose grace period has passed and admits those that were held back for long enough. Returns
    /// whether there were any.
    pub fn expire(&mut self, now: Time) -> bool {
        self.departed.expire(now);
        let ids = &self.ids;
        self.leavers.expire(|key| ids.contains_key(&key), now);
        let is_past = |until: Option<Time>| until.is_some_and(|until| until <= now);
        let is_gone = |missing| self.grace.is_over(missing, now);
        let missing = self.ids_where(|entry| entry.missing.is_some_and(is_gone));
        for id in &missing {
            self.remove_departed(id, now);
        }
        let ids = &self.ids;
        self.departures.expire(|key| ids.contains_key(&key), now);
        let held = self.ids_where(|entry| is_past(entry.held_until));
        for id in &held {
            self.departed.clear(id);
            self.hold_back(id, None);
        }
        !missing.is_empty() || !held.is_empty()
    }

    fn ids_where(&self, predicate: impl Fn(&Entry) -> bool) -> Vec<Name> {
        let entries = self.entries.iter().filter(|(_, entry)| predicate(entry));
        entries.map(|(id, _)| id.clone()).collect()
    }

    /// Holds a server back until the given time; `None` admits it.
    pub(super) fn hold_back(&mut self, id: &str, until: Option<Time>) {
        if let Some(mut entry) = self.remove(id) {
            entry.held_until = until;
            self.insert(entry);
        }
    }

    /// Marks an incarnation of a server as leaving, as reported by the server itself or by a peer. Returns whether this
    /// was unknown. The mark persists when the entry lapses and is written again.
    pub fn mark_leaving(&mut self, key: Key, now: Time) -> bool {
        self.leavers.record(key, now);
        let Some(entry) = self.entry_mut(key) else {
            return false;
        };
        let before = entry.digest();
        let is_new = !std::mem::replace(&mut entry.server.leaving, true);
        let id = entry.server.id().clone();
        self.digest = self.digest.wrapping_sub(before);
        if is_new {
            self.record_announced(key, &id, now);
        }
        is_new
    }

    /// Records for the log that a server has announced that it is leaving.
    pub(super) fn record_announced(&mut self, key: Key, id: &Name, now: Time) {
        let sign = Sign::Announced;
        self.departures.notice(key, id, sign, None, now);
        self.departures.drop_server(key, id, sign, now);
    }

    /// Records that a request is sent to a server.
    pub fn record_send(&mut self, key: Key, now: Time) {
        self.departures.record_send(key, now);
    }

    /// Returns the steps of servers' departures since the last call.
    pub fn take_departures(&mut self) -> Vec<Departure> {
        self.departures.take()
    }

    /// Returns whether new work may go to a server at this moment.
    pub fn is_usable(&self, key: Key, now: Time) -> bool {
        let missing = self.entry(key).and_then(|entry| entry.missing);
        let is_over = missing.is_some_and(|missing| self.grace.is_over(missing, now));
        !is_over && self.get(key).is_some()
    }

    /// Returns the servers that are used although their entries are missing, ordered by id.
    pub fn kept(&self) -> impl Iterator<Item = &Server> {
        let entries = self.entries.values();
        let kept = entries.filter(|entry| entry.missing.is_some() && entry.accepts_work());
        kept.map(|entry| &entry.server)
    }

    /// Removes a server that has gone and remembers that it did.
    fn remove_departed(&mut self, id: &str, now: Time) {
        let Some(entry) = self.remove(id) else {
            return;
        };
        if entry.accepts_work() {
            let (key, sign) = (entry.server.key(), Sign::Removed);
            self.departures
                .drop_server(key, entry.server.id(), sign, now);
        }
        self.departed.record(entry.server.incarnation, now);
    }

    /// Handles an entry that is missing from the store. During a grace period, or for `told` as other hosts report it, the
    /// server is kept.
    pub(super) fn handle_missing(&mut self, id: &str, told: Duration, now: Time) {
        let missing = self.grace.missing(told, now);
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        let is_new = entry.missing.is_none();
        let before = entry.digest();
        entry.missing = entry.missing.or(missing);
        let digest = entry.digest().wrapping_sub(before);
        self.digest = self.digest.wrapping_add(digest);
        let (key, id) = (entry.server.key(), entry.server.id().clone());
        let keep = missing.map(|missing| match missing {
            Missing { until: None, .. } => Keep::StoreReturn,
            Missing {
                told_until: Some(until),
                ..
            } => Keep::Told(until),
            Missing {
                until: Some(until), ..
            } => Keep::Grace(until),
        });
        if is_new {
            self.departures.notice(key, &id, Sign::Removed, keep, now);
        }
        if missing.is_none() {
            self.remove_departed(&id, now);
        }
    }
}
