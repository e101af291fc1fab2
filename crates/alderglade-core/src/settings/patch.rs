//! What differs between two revisions, so that a change moves little between hosts.
//!
//! At 3,700 workspaces a tree is two megabytes; a change of one workspace is half a kilobyte.

use super::tree::{Engine, Fleet, Tree, Workspace};
use crate::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The entries of a map that differ: the new value, or none where it is gone.
type Changes<T> = BTreeMap<Name, Option<T>>;

/// What differs between two revisions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Patch {
    /// The revision that it changes.
    pub base: u64,
    /// The revision that it leads to.
    pub revision: u64,
    /// The fleet's branch without its engines, if anything in it differs.
    pub fleet: Option<Fleet>,
    /// Engines that differ.
    pub engines: Changes<Engine>,
    /// Workspaces that differ.
    pub workspaces: Changes<Workspace>,
}

impl Patch {
    /// Finds what leads from one tree to another.
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

    /// Applies the patch; gives nothing where the tree isn't the one that it changes.
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
        put(&mut new.fleet.engines, &self.engines);
        put(&mut new.workspaces, &self.workspaces);
        Some(new)
    }
}

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
    let gone = old.keys().filter(|name| !new.contains_key(*name));
    changed
        .chain(gone.map(|name| (name.clone(), None)))
        .collect()
}

fn put<T: Clone>(map: &mut BTreeMap<Name, T>, changes: &Changes<T>) {
    for (name, change) in changes {
        match change {
            Some(value) => map.insert(name.clone(), value.clone()),
            None => map.remove(name),
        };
    }
}
