//! The priorities of workspaces in a configuration, and their changes in a patch.

use super::Workspace;
use crate::Name;
use serde::{Deserialize, Deserializer, Serialize};
use std::collections::HashMap;

/// The priorities of workspaces by name; empty if all are equal.
pub(super) type Priorities = HashMap<Name, u32>;

/// Returns the priorities of workspaces if they differ.
pub(super) fn of(workspaces: &[Workspace]) -> Priorities {
    let priorities = workspaces.iter();
    let priorities: Priorities = priorities
        .map(|workspace| (workspace.name.clone(), workspace.priority))
        .collect();
    let mut values = priorities.values();
    let first = values.next();
    if values.all(|value| Some(value) == first) {
        return Priorities::new();
    }
    priorities
}

/// The changes of priorities between two configurations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Changes {
    dropped: Vec<Name>,
    set: Priorities,
    /// The number of priorities that result. A host that got its configuration from one of a former version, which
    /// knows no priorities, finds by it that some are missing.
    count: u32,
}

impl Changes {
    /// Returns the changes from one configuration to another; `None` if neither states priorities.
    pub fn between(old: &Priorities, new: &Priorities) -> Option<Changes> {
        if old.is_empty() && new.is_empty() {
            return None;
        }
        let dropped = old.keys().filter(|name| !new.contains_key(*name));
        let set = new
            .iter()
            .filter(|(name, priority)| old.get(*name) != Some(*priority));
        Some(Changes {
            dropped: dropped.cloned().collect(),
            set: set
                .map(|(name, priority)| (name.clone(), *priority))
                .collect(),
            count: u32::try_from(new.len()).unwrap_or(u32::MAX),
        })
    }

    /// Returns the priorities after the changes, or `None` if some that didn't change are missing.
    pub fn apply(&self, old: &Priorities) -> Option<Priorities> {
        let mut priorities = old.clone();
        for name in &self.dropped {
            priorities.remove(name);
        }
        let set = self.set.iter();
        priorities.extend(set.map(|(name, priority)| (name.clone(), *priority)));
        (u32::try_from(priorities.len()) == Ok(self.count)).then_some(priorities)
    }
}

/// Deserializes the last field of a message, or returns its default if the message ends before it: a host of a former
/// version sends the message without it.
///
/// # Errors
///
/// Never returns an error.
pub(super) fn or_default<'de, D: Deserializer<'de>, T: Deserialize<'de> + Default>(
    deserializer: D,
) -> Result<T, D::Error> {
    Ok(T::deserialize(deserializer).unwrap_or_default())
}
