//! Store entries that can't be parsed. Each one is reported to operators once.
//!
//! Anyone may write to the store. An unreadable entry is ignored and doesn't affect the others.

use crate::Name;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of unreadable entries that are remembered. Further ones are only counted, each time they occur.
const MAX_REMEMBERED: usize = 1_024;
/// Maximum number of entries that are reported individually at a time. Further ones are counted.
const MAX_REPORTED: usize = 8;

/// A store entry that can't be parsed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The entry's name.
    pub name: Name,
    /// Description of the problem.
    pub problem: Name,
}

/// Changes to the set of unreadable entries.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct News {
    /// Entries that are newly unreadable or have another problem than before.
    pub faults: Vec<Fault>,
    /// Number of further such entries.
    pub more: u64,
    /// Entries that are readable again or have been removed.
    pub resolved: Vec<Name>,
}

/// The unreadable entries, and the changes since they were last reported.
#[derive(Debug, Default)]
pub struct Faults {
    /// Problems by entry name.
    known: BTreeMap<Name, Name>,
    news: News,
}

impl Faults {
    /// Records an unreadable entry.
    pub fn record(&mut self, fault: &Fault) {
        let known = self.known.get(&fault.name);
        if known == Some(&fault.problem) {
            return;
        }
        if known.is_some() || self.known.len() < MAX_REMEMBERED {
            let Fault { name, problem } = fault.clone();
            self.known.insert(name, problem);
        }
        if self.news.faults.len() < MAX_REPORTED {
            self.news.faults.push(fault.clone());
        } else {
            self.news.more += 1;
        }
    }

    /// Records that an entry is readable or has been removed.
    pub fn clear(&mut self, name: &str) {
        let Some((name, _)) = self.known.remove_entry(name) else {
            return;
        };
        if self.news.resolved.len() < MAX_REPORTED {
            self.news.resolved.push(name);
        }
    }

    /// Records that all entries except the given ones are readable or have been removed.
    pub fn retain(&mut self, all: &[Fault]) {
        let unreadable: BTreeSet<&Name> = all.iter().map(|fault| &fault.name).collect();
        let resolved = self.known.keys().filter(|name| !unreadable.contains(name));
        let resolved: Vec<Name> = resolved.cloned().collect();
        resolved.iter().for_each(|name| self.clear(name));
    }

    /// Returns the changes since the last call.
    pub fn take_news(&mut self) -> News {
        std::mem::take(&mut self.news)
    }
}
