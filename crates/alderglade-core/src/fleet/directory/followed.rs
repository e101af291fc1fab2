//! What the store lists and tells as changed, as far as a position; and what a list of a new era shows.

use super::{Change, Directory, Listing, STALE_ENTRY_HOLD, STORE_RETURN_GRACE, Server};
use crate::Name;
use crate::fleet::position::Position;
use crate::time::Time;

/// What the first list of a new era has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Restored {
    /// How far the store was known before.
    pub former: Position,
    /// How far the list goes.
    pub position: Position,
    /// Servers that are missing, and may be back within [`GRACE`].
    pub missing: usize,
    /// Servers that have gone and stand there again.
    pub held_back: usize,
}

impl Directory {
    /// Gives how far the store is known.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Says whether the store has listed the servers.
    pub fn is_listed(&self) -> bool {
        self.listed
    }

    /// Takes the whole list of the servers as far as a position; says whether it did, or knows more already.
    pub fn take_list(&mut self, listing: Listing, position: Position, now: Time) -> bool {
        if self.listed && position < self.position {
            return false;
        }
        if self.listed && position.era > self.position.era {
            self.restore(listing, position, now);
        } else {
            self.replace(listing, now);
        }
        self.position = position;
        self.listed = true;
        true
    }

    /// Says whether the changes between two positions are the next ones: not known yet, and of one history with what is.
    pub fn needs_changes(&self, after: Position, position: Position) -> bool {
        let one_history = after.era == position.era && after.joins(self.position);
        one_history && position > self.position
    }

    /// Takes the changes between two positions, if they are the next ones; says whether they are.
    pub fn apply_changes(
        &mut self,
        after: Position,
        changes: &[Change],
        position: Position,
        now: Time,
    ) -> bool {
        if !self.needs_changes(after, position) {
            return false;
        }
        for change in changes {
            self.apply(change.clone(), now);
        }
        self.position = position;
        true
    }

    /// Takes that another host, which knows the store as far as a position, knows the servers with this digest. Where that
    /// is of another era, only a list tells which of them are missing.
    pub fn confirm(&mut self, digest: u64, position: Position) {
        if digest == self.digest && position.era == self.position.era {
            self.position = self.position.max(position);
        }
    }

    /// Gives what the first list of a new era has shown, once.
    pub fn take_restored(&mut self) -> Option<Restored> {
        self.restored.take()
    }

    /// Takes the first whole list of a new era, from a copy of the store: what was written since may be back soon, and
    /// what has gone since may stand there again.
    fn restore(&mut self, listing: Listing, position: Position, now: Time) {
        self.extend_grace(now + STORE_RETURN_GRACE);
        let gone = |server: &&Server| {
            !self.entries.contains_key(server.id()) && self.departed.has(&server.incarnation)
        };
        let gone: Vec<Name> = listing
            .servers
            .iter()
            .filter(gone)
            .map(|s| s.id().clone())
            .collect();
        self.replace(listing, now);
        for id in &gone {
            self.hold(id, Some(now + STALE_ENTRY_HOLD));
        }
        let missing = self
            .entries
            .values()
            .filter(|entry| entry.missing_until.is_some());
        self.restored = Some(Restored {
            former: self.position,
            position,
            missing: missing.count(),
            held_back: gone.len(),
        });
    }
}
