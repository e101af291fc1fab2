//! Failure domains that the operator has evacuated: nothing new is sent to their servers.
//!
//! Which ones are holds as of a position in the store, and the latest position counts. What comes late, twice, from a peer that
//! was cut off or from a former era of the store therefore changes nothing.

use super::position::Position;
use crate::Name;
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long an evacuation stays in force that a copy of the store lacks: the operator writes again what was lost.
pub const RESTORED_GRACE: Duration = Duration::from_secs(10);

/// An evacuation that a copy of the store lacks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingEvacuation {
    /// The failure domain.
    pub domain: Name,
    /// How much longer it stays in force, in milliseconds.
    pub left_ms: u32,
}

/// The evacuations, as hosts tell each other.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// As of which position in the store; `None` where the sender doesn't know them.
    pub at: Option<Position>,
    /// The failure domains that are evacuated in the store.
    pub domains: Vec<Name>,
    /// Those whose evacuation a copy of the store lacks.
    pub lost: Vec<MissingEvacuation>,
}

/// How one failure domain stands, as the store tells of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The failure domain.
    pub domain: Name,
    /// Whether it is evacuated.
    pub evacuated: bool,
}

/// The evacuations, as one host knows them.
#[derive(Debug, Default)]
pub struct Evacuations {
    /// The failure domains that are evacuated in the store.
    domains: BTreeSet<Name>,
    /// As of which position.
    at: Option<Position>,
    /// Those whose evacuation a copy of the store lacks, and until when it stays in force.
    lost: BTreeMap<Name, Time>,
}

impl Evacuations {
    /// Says whether this host knows them, from the store or from another host.
    pub fn is_known(&self) -> bool {
        self.at.is_some()
    }

    /// Takes all domains that are evacuated as of a position, unless a later one is known; says whether that changes which
    /// ones are.
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

    /// Takes changes that lead to a position, unless a later one is known; says whether they change which domains are evacuated.
    /// Of several changes of one domain the last counts.
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

    /// Takes what another host knows; says whether that changes which domains are evacuated.
    pub fn apply_snapshot(&mut self, snapshot: &Snapshot, now: Time) -> bool {
        let Some(position) = snapshot.at else {
            return false;
        };
        // Each notice tells them, and nearly none anything new.
        if self.at >= snapshot.at && snapshot.lost.is_empty() {
            return false;
        }
        let before = self.in_force();
        self.replace(snapshot.domains.iter().cloned().collect(), position, now);
        for MissingEvacuation { domain, left_ms } in &snapshot.lost {
            let left = Duration::from_millis(u64::from(*left_ms)).min(RESTORED_GRACE);
            let same_history = self.at.is_some_and(|at| at.era == position.era);
            if same_history && !self.domains.contains(domain) {
                self.lost.entry(domain.clone()).or_insert(now + left);
            }
        }
        self.in_force() != before
    }

    /// Ends the evacuations that a copy of the store lacks and nobody has written again; says whether there was one.
    pub fn expire(&mut self, now: Time) -> bool {
        let before = self.lost.len();
        self.lost.retain(|_, until| *until > now);
        self.lost.len() < before
    }

    /// Lists the failure domains that are evacuated.
    pub fn in_force(&self) -> BTreeSet<Name> {
        let lost = self.lost.keys();
        self.domains.iter().chain(lost).cloned().collect()
    }

    /// Gives what other hosts are told.
    pub fn snapshot(&self, now: Time) -> Snapshot {
        let lost = self.lost.iter().map(|(domain, until)| MissingEvacuation {
            domain: domain.clone(),
            left_ms: until.left(now).as_millis() as u32,
        });
        Snapshot {
            at: self.at,
            domains: self.domains.iter().cloned().collect(),
            lost: lost.collect(),
        }
    }
}
