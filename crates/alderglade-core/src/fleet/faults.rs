//! Entries of the store that can't be read, so that operators are told of each once.
//!
//! Anybody may write to the store. An entry that can't be read says nothing, and the others hold.

use crate::Name;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Entries that are remembered; with more of them, the others are only counted, each time that they come.
const MOST: usize = 1_024;
/// Entries that are told of one by one at a time; the others are counted.
const MOST_TOLD: usize = 8;

/// An entry that can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The entry's name.
    pub name: Name,
    /// What is wrong with it.
    pub problem: Name,
}

/// What is new of entries that can't be read.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct News {
    /// Those that have come or changed.
    pub faults: Vec<Fault>,
    /// How many more have, beyond those.
    pub more: u64,
    /// Those that can be read again, or are gone.
    pub resolved: Vec<Name>,
}

/// The entries that can't be read, and what is new of them since operators were told.
#[derive(Debug, Default)]
pub struct Faults {
    /// What is wrong, by the entries' names.
    known: BTreeMap<Name, Name>,
    news: News,
}

impl Faults {
    /// Notes an entry that can't be read.
    pub fn note(&mut self, fault: &Fault) {
        let known = self.known.get(&fault.name);
        if known == Some(&fault.problem) {
            return;
        }
        if known.is_some() || self.known.len() < MOST {
            let Fault { name, problem } = fault.clone();
            self.known.insert(name, problem);
        }
        if self.news.faults.len() < MOST_TOLD {
            self.news.faults.push(fault.clone());
        } else {
            self.news.more += 1;
        }
    }

    /// Notes that an entry can be read, or is gone.
    pub fn clear(&mut self, name: &str) {
        let Some((name, _)) = self.known.remove_entry(name) else {
            return;
        };
        if self.news.resolved.len() < MOST_TOLD {
            self.news.resolved.push(name);
        }
    }

    /// Notes that no other entries than these can't be read.
    pub fn retain(&mut self, all: &[Fault]) {
        let all: BTreeSet<&Name> = all.iter().map(|fault| &fault.name).collect();
        let gone = self.known.keys().filter(|name| !all.contains(name));
        let gone: Vec<Name> = gone.cloned().collect();
        gone.iter().for_each(|name| self.clear(name));
    }

    /// Gives what is new since the last call.
    pub fn take_news(&mut self) -> News {
        std::mem::take(&mut self.news)
    }
}
