//! The sums of all hosts, and the fair level that follows from them.
//!
//! A report names only a few workspaces. A workspace that other hosts name, but this one doesn't, is probably among the
//! rest here: callers reach hosts at random. The rest of each report is therefore divided among these workspaces, at most
//! as many of them as the rest has. What remains belongs to workspaces that no host names.

use crate::Name;
use std::collections::HashMap;

/// How much more a workspace is assumed to ask for than it uses. What it asks for isn't known: its prompts are refused,
/// and their callers leave or return later. A workspace that uses less than a quarter of the level is assumed to get
/// all that it asks for; otherwise thousands of workspaces that hardly send anything would lower the level to nothing.
/// With 1, the heaviest workspace's use would itself be the level.
const CLAIM_RATIO: f64 = 4.0;

/// The number of workspaces up to which the level is at most the mean. While one workspace takes nearly everything, the
/// others use so little that four times as much doesn't lower the level, although they lose most of their prompts. An
/// eighth of all engine time is more than one of dozens of customers needs while others wait.
const MAX_EQUAL_SHARES: f64 = 8.0;

/// The engine time of all workspaces at all hosts, in milliseconds.
#[derive(Debug, Default)]
pub(super) struct Claims<'a> {
    named: HashMap<&'a Name, f64>,
    /// The parts of the reports without names.
    rests: Vec<Rest<'a>>,
    /// The sum over workspaces that no host names.
    unnamed_ms: f64,
    /// The number of these workspaces.
    unnamed_count: f64,
}

/// The part of one report without names.
#[derive(Debug)]
struct Rest<'a> {
    /// The workspaces that the report names.
    named: Vec<&'a Name>,
    sum_ms: f64,
    count: u32,
}

impl<'a> Claims<'a> {
    /// Adds to the sum of a workspace.
    pub(super) fn add(&mut self, workspace: &'a Name, used_ms: f64) {
        *self.named.entry(workspace).or_default() += used_ms;
    }

    /// Adds the rest of a report that names other workspaces.
    pub(super) fn add_rest(&mut self, named: Vec<&'a Name>, sum_ms: f64, count: u32) {
        let rest = Rest {
            named,
            sum_ms,
            count,
        };
        if count > 0 {
            self.rests.push(rest);
        }
    }

    /// Divides the rests among the workspaces that are named elsewhere.
    pub(super) fn distribute_rest(&mut self) {
        let mut common = 0.0;
        for rest in std::mem::take(&mut self.rests) {
            let candidates = self.named.len().saturating_sub(rest.named.len()) as f64;
            let count = f64::from(rest.count);
            let part = rest.sum_ms / count.max(candidates);
            let unnamed = (count - candidates).max(0.0);
            self.unnamed_ms += part * unnamed;
            // The same workspaces are probably the unnamed ones of all hosts.
            self.unnamed_count = self.unnamed_count.max(unnamed);
            common += part;
            for name in rest.named {
                *self.named.entry(name).or_default() -= part;
            }
        }
        self.named.values_mut().for_each(|used| *used += common);
    }

    /// Returns the workspaces that any host names, with their sums.
    pub(super) fn named(&self) -> impl Iterator<Item = (&Name, f64)> {
        self.named.iter().map(|(name, used)| (*name, *used))
    }

    /// Returns the max-min fair level: if each workspace gets at most this, and none more than it asks for, together
    /// they get what is used now. It is at most an eighth of that, or the mean of fewer workspaces. Returns `None` if
    /// there is at most one workspace.
    pub(super) fn fair_level(&self) -> Option<f64> {
        let mut groups: Vec<(f64, f64)> = self.named.values().map(|used| (*used, 1.0)).collect();
        if self.unnamed_count > 0.0 {
            groups.push((self.unnamed_ms / self.unnamed_count, self.unnamed_count));
        }
        groups.sort_by(|(used, _), (other, _)| used.total_cmp(other));
        let mut count: f64 = groups.iter().map(|(_, count)| count).sum();
        let mut left: f64 = groups.iter().map(|(used, count)| used * count).sum();
        if count < 2.0 || left <= 0.0 {
            return None;
        }
        let highest = left / count.min(MAX_EQUAL_SHARES);
        for (used, members) in groups {
            let asked = used * CLAIM_RATIO;
            if asked * count >= left {
                break;
            }
            left -= asked * members;
            count -= members;
        }
        Some(highest.min(left / count))
    }
}
