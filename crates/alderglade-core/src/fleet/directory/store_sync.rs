//! Following the store: lists and changes up to a position, and the first list of a new era.

use super::{Change, Directory, Listing, STALE_ENTRY_HOLD, STORE_RETURN_GRACE, Server};
use crate::Name;
use crate::fleet::position::Position;
use crate::time::Time;
use std::collections::BTreeSet;
use std::time::Duration;

/// Findings from the first list of a new era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Restored {
    /// Position that was known before.
    pub former: Position,
    /// Position of the list.
    pub position: Position,
    /// Number of servers that are missing and kept for [`STORE_RETURN_GRACE`].
    pub missing: usize,
    /// Number of departed servers that are listed again and held back for [`STALE_ENTRY_HOLD`].
    pub held_back: usize,
}

impl Directory {
    /// Returns the store position up to which changes have been applied.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns whether a list from the store has been applied.
    pub fn is_listed(&self) -> bool {
        self.listed_at.is_some()
    }

    /// Applies a full list of the servers as of `position`. Returns `false` if a later position is known already.
    pub fn apply_listing(&mut self, listing: Listing, position: Position, now: Time) -> bool {
        self.apply_told_listing(listing, position, Duration::ZERO, now)
    }

    /// Applies a full list like [`Directory::apply_listing`]. Other hosts report that entries may be missing for `told`.
    pub fn apply_told_listing(
        &mut self,
        listing: Listing,
        position: Position,
        told: Duration,
        now: Time,
    ) -> bool {
        if self.is_listed() && position < self.position {
            return false;
        }
        if self.is_listed() && position.era > self.position.era {
            self.restore(listing, position, now);
        } else {
            self.begin_listing(now);
            self.replace_told(listing, told, now);
        }
        self.position = position;
        self.listed_at.get_or_insert(now);
        true
    }

    /// Returns the changes that lead from the known servers to those of a list as of `position`, for hosts that know the
    /// same. There are none between two eras, or if no list is known.
    pub fn changes_to(&self, listing: &Listing, position: Position) -> Vec<Change> {
        if !self.is_listed() || position.era != self.position.era || position <= self.position {
            return Vec::new();
        }
        let listed: BTreeSet<&Name> = listing.servers.iter().map(Server::id).collect();
        let known = self.entries.iter();
        let gone = known.filter(|(id, entry)| entry.is_listed && !listed.contains(id));
        let gone = gone.map(|(id, _)| Change::Gone(id.clone()));
        let is_new = |server: &&Server| {
            let entry = self.entries.get(server.id());
            entry.is_none_or(|entry| {
                entry.server != **server || !entry.is_listed || entry.missing.is_some()
            })
        };
        let new = listing.servers.iter().filter(is_new).cloned();
        gone.chain(new.map(Change::Known)).collect()
    }

    /// Returns whether the changes between two positions come next: they are not known yet and continue the known
    /// history.
    pub fn needs_changes(&self, after: Position, position: Position) -> bool {
        let is_same_history = after.era == position.era && after.joins(self.position);
        is_same_history && position > self.position
    }

    /// Applies the changes between two positions if they come next. Returns whether they do.
    pub fn apply_changes(
        &mut self,
        after: Position,
        changes: &[Change],
        position: Position,
        now: Time,
    ) -> bool {
        self.apply_told_changes(after, changes, position, Duration::ZERO, now)
    }

    /// Applies changes like [`Directory::apply_changes`]. Other hosts report that entries may be missing for `told`.
    pub fn apply_told_changes(
        &mut self,
        after: Position,
        changes: &[Change],
        position: Position,
        told: Duration,
        now: Time,
    ) -> bool {
        if !self.needs_changes(after, position) {
            return false;
        }
        for change in changes {
            self.apply_told(change.clone(), told, now);
        }
        self.position = position;
        true
    }

    /// Advances to the position of another host if its servers have the same digest. A position of another era is
    /// ignored, because only a list shows which servers are missing then.
    pub fn confirm(&mut self, digest: u64, position: Position) {
        if digest == self.digest && position.era == self.position.era {
            self.position = self.position.max(position);
        }
    }

    /// Returns the findings from the first list of a new era, once.
    pub fn take_restored(&mut self) -> Option<Restored> {
        self.restored.take()
    }

    /// Applies the first full list of a new era, which comes from a copy of the store. Entries written since the copy
    /// may soon be written again, and servers that have gone since may be listed again.
    fn restore(&mut self, listing: Listing, position: Position, now: Time) {
        self.grace.extend(now + STORE_RETURN_GRACE);
        let has_departed = |server: &&Server| {
            !self.entries.contains_key(server.id()) && self.departed.contains(&server.incarnation)
        };
        let departed: Vec<Name> = listing
            .servers
            .iter()
            .filter(has_departed)
            .map(|server| server.id().clone())
            .collect();
        self.replace(listing, now);
        for id in &departed {
            self.hold_back(id, Some(now + STALE_ENTRY_HOLD));
        }
        let missing = self
            .entries
            .values()
            .filter(|entry| entry.missing.is_some());
        self.restored = Some(Restored {
            former: self.position,
            position,
            missing: missing.count(),
            held_back: departed.len(),
        });
    }
}
