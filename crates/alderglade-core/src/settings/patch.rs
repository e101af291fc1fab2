//! Differences between two revisions of the settings, so that hosts exchange little for a change.
//!
//! A tree with 3,700 workspaces has two megabytes; the patch for one changed workspace has half a
//! kilobyte.

use super::tree::{Engine, Fleet, Tree, Workspace};
use crate::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The entries of a map that differ: the new value, or `None` for a removed entry.
type Changes<T> = BTreeMap<Name, Option<T>>;

/// The difference between two revisions of the settings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Patch {
    /// The revision that the patch applies to.
    pub base: u64,
    /// The revision that results.
    pub revision: u64,
    /// The new fleet branch without its engines, if it differs.
    pub fleet: Option<Fleet>,
    /// The engines that differ.
    pub engines: Changes<Engine>,
    /// The workspaces that differ.
    pub workspaces: Changes<Workspace>,
}

impl Patch {
    /// Computes the patch that turns `old` into `new`.
    pub fn between(old: &Tree, new: &Tree) -> Patch {
        let (before, after) = (without_engines(&old.fleet), without_engines(&new.fleet));
        Patch {
            base: old.revision,
            revision: new.revision,
            fleet: (before != after).then_some(after),
            engines: changes(&old.fleet.engines, &new.fleet.engines),
            workspaces: changes(&old.workspaces, &new.workspaces),
        }
    }

    /// Returns the tree with the patch applied, or `None` if its revision is not [`Patch::base`].
    pub fn apply(&self, tree: &Tree) -> Option<Tree> {
        if tree.revision != self.base {
            return None;
        }
        let mut new = tree.clone();
        new.revision = self.revision;
        if let Some(fleet) = &self.fleet {
            let engines = std::mem::take(&mut new.fleet.engines);
            new.fleet = fleet.clone();
            new.fleet.engines = engines;
        }
        apply_changes(&mut new.fleet.engines, &self.engines);
        apply_changes(&mut new.workspaces, &self.workspaces);
        Some(new)
    }
}

/// Copies the fleet branch without its engines, which a patch has one by one.
fn without_engines(fleet: &Fleet) -> Fleet {
    Fleet {
        models: fleet.models.clone(),
        engines: BTreeMap::new(),
        services: fleet.services.clone(),
        policy: fleet.policy.clone(),
        classes: fleet.classes.clone(),
        cell_engines: fleet.cell_engines,
    }
}

fn changes<T: Clone + PartialEq>(old: &BTreeMap<Name, T>, new: &BTreeMap<Name, T>) -> Changes<T> {
    let differs = |(name, value): &(&Name, &T)| old.get(*name) != Some(*value);
    let changed = new.iter().filter(differs);
    let changed = changed.map(|(name, value)| (name.clone(), Some(value.clone())));
    let removed = old.keys().filter(|name| !new.contains_key(*name));
    changed
        .chain(removed.map(|name| (name.clone(), None)))
        .collect()
}

fn apply_changes<T: Clone>(map: &mut BTreeMap<Name, T>, changes: &Changes<T>) {
    for (name, change) in changes {
        match change {
            Some(value) => map.insert(name.clone(), value.clone()),
            None => map.remove(name),
        };
    }
}
