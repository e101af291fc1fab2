//! Failure domains that the operator has evacuated: nothing new is sent to their servers.
//!
//! The set of evacuated domains is valid as of a position in the store, and the latest position counts. So a message
//! changes nothing if it is late or duplicated, or comes from a disconnected peer or an earlier era of the store.

use super::position::Position;
use crate::Name;
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long an evacuation stays in force after the store was restored from a copy that lacks it. Within this time the
/// operator writes the lost state again.
pub const RESTORED_GRACE: Duration = Duration::from_secs(10);

/// An evacuation that is missing from the copy that the store was restored from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingEvacuation {
    /// The failure domain.
    pub domain: Name,
    /// How much longer it stays in force, in milliseconds.
    pub left_ms: u32,
}

/// The evacuations, as hosts send them to each other.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The position in the store as of which they are valid, or `None` if the sender doesn't know them.
    pub at: Option<Position>,
    /// The failure domains that are evacuated in the store.
    pub domains: Vec<Name>,
    /// Those whose evacuation is missing from a restored copy of the store.
    pub missing: Vec<MissingEvacuation>,
}

/// A change of one failure domain, as read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The failure domain.
    pub domain: Name,
    /// Whether it is evacuated.
    pub evacuated: bool,
}

/// The evacuations that one host knows.
#[derive(Debug, Default)]
pub struct Evacuations {
    /// The failure domains that are evacuated in the store.
    domains: BTreeSet<Name>,
    /// The position in the store as of which they are valid.
    at: Option<Position>,
    /// Those whose evacuation is missing from a restored copy of the store, and until when it stays in force.
    lost: BTreeMap<Name, Time>,
}

impl Evacuations {
    /// Returns whether this host knows the evacuations, from the store or from another host.
    pub fn is_known(&self) -> bool {
        self.at.is_some()
    }

    /// Replaces the evacuated domains by those as of `position`, unless a later position is known. Returns whether
    /// the domains in force change.
    pub fn replace(&mut self, domains: BTreeSet<Name>, position: Position, now: Time) -> bool {
        if self.at >= Some(position) {
            return false;
        }
        let before = self.in_force();
        if self.at.is_some_and(|at| at.era < position.era) {
            let lost = self.domains.difference(&domains);
            let until = now + RESTORED_GRACE;
            self.lost.extend(lost.map(|domain| (domain.clone(), until)));
        }
        self.lost.retain(|domain, _| !domains.contains(domain));
        self.domains = domains;
        self.at = Some(position);
        self.in_force() != before
    }

    /// Applies changes that lead up to `position`, unless a later position is known. Returns whether the domains in
    /// force change. Of several changes of one domain the last counts.
    pub fn apply_changes(&mut self, changes: &[Change], position: Position) -> bool {
        if self.at >= Some(position) {
            return false;
        }
        let before = self.in_force();
        for Change { domain, evacuated } in changes {
            self.lost.remove(domain);
            if *evacuated {
                self.domains.insert(domain.clone());
            } else {
                self.domains.remove(domain);
            }
        }
        self.at = Some(position);
        self.in_force() != before
    }

    /// Applies another host's snapshot. Returns whether the domains in force change.
    pub fn apply_snapshot(&mut self, snapshot: &Snapshot, now: Time) -> bool {
        let Some(position) = snapshot.at else {
            return false;
        };
        // Every notice carries a snapshot, and nearly none of them is news.
        if self.at >= snapshot.at && snapshot.missing.is_empty() {
            return false;
        }
        let before = self.in_force();
        self.replace(snapshot.domains.iter().cloned().collect(), position, now);
        for MissingEvacuation { domain, left_ms } in &snapshot.missing {
            let left = Duration::from_millis(u64::from(*left_ms)).min(RESTORED_GRACE);
            let same_history = self.at.is_some_and(|at| at.era == position.era);
            if same_history && !self.domains.contains(domain) {
                self.lost.entry(domain.clone()).or_insert(now + left);
            }
        }
        self.in_force() != before
    }

    /// Ends the evacuations that were missing from a restored copy and not written again in time. Returns whether
    /// there was one.
    pub fn expire(&mut self, now: Time) -> bool {
        let before = self.lost.len();
        self.lost.retain(|_, until| *until > now);
        self.lost.len() < before
    }

    /// Returns the failure domains that are evacuated.
    pub fn in_force(&self) -> BTreeSet<Name> {
        let lost = self.lost.keys();
        self.domains.iter().chain(lost).cloned().collect()
    }

    /// Returns the snapshot for other hosts.
    pub fn snapshot(&self, now: Time) -> Snapshot {
        let lost = self.lost.iter().map(|(domain, until)| MissingEvacuation {
            domain: domain.clone(),
            left_ms: until.left(now).as_millis() as u32,
        });
        Snapshot {
            at: self.at,
            domains: self.domains.iter().cloned().collect(),
            missing: lost.collect(),
        }
    }
}
