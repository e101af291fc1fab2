//! Chooses which workspaces have a label of their own in the metrics of a host.
//!
//! There can be thousands of workspaces, and each label value is a time series for every metric that has the label.
//! So at most [`MAX_NAMED`] workspaces of a host are named, the heaviest by the tokens that they have requested, and
//! all others are counted together as [`OTHERS`].
//!
//! A counter must never decrease, so a workspace that has been named stays named until the process ends. The ninth
//! heavy workspace is counted as [`OTHERS`], even if it later requests more than those that are named. What a
//! workspace did before it was named is counted as [`OTHERS`] too.

use alderglade_core::Name;

/// Maximum number of workspaces that are named.
pub const MAX_NAMED: usize = 8;
/// The label of all workspaces that are not named. A workspace of this name is counted with them.
pub const OTHERS: &str = "others";
/// The label of requests without a workspace. For Prometheus an empty label equals a missing one.
pub const NONE: &str = "";

/// Number of workspaces whose weight is tracked. The uncertain part of a weight is at most the total divided by this
/// number, which is half of the share that [`MIN_SHARE`] requires.
const TRACKED: usize = 32;
/// Requests that are observed before the first workspace is named. With fewer, a single ordinary request would be a
/// large enough share of all weight.
const WARM_UP: u64 = 64;
/// The part of all weight, as a divisor, that a workspace needs to be named if there are more than [`MAX_NAMED`]. It is
/// half of an even share among eight, so that workspaces of an ordinary size are not named by chance.
const MIN_SHARE: u64 = 16;
/// All weights are halved after this many requests, so that a workspace that becomes heavy later can get a label that
/// is still free.
const HALVING_INTERVAL: u64 = 4_096;

/// The weight of one workspace.
#[derive(Debug, Clone)]
struct Entry {
    workspace: Name,
    weight: u64,
    /// The part of the weight that may belong to workspaces that the entry has replaced.
    uncertain: u64,
}

/// The labels of workspaces, and the weights that decide which are given next. Its size is bounded by [`TRACKED`].
#[derive(Debug, Clone, Default)]
pub struct Labels {
    named: Vec<Name>,
    entries: Vec<Entry>,
    total: u64,
    observed: u64,
    /// Whether an entry was replaced: there are more workspaces than are tracked.
    overflowed: bool,
}

impl Labels {
    /// Adds a request of a workspace, weighted with its tokens, and names the workspace if it is heavy enough and a
    /// label is free.
    pub fn observe(&mut self, workspace: &Name, tokens: u64) {
        if self.named.len() == MAX_NAMED || &**workspace == OTHERS {
            return;
        }
        self.observed += 1;
        if self.observed.is_multiple_of(HALVING_INTERVAL) {
            self.halve();
        }
        self.add(workspace, tokens.max(1));
        if self.observed >= WARM_UP {
            self.name_heaviest();
        }
    }

    /// Returns the label of a workspace.
    pub fn label<'a>(&self, workspace: Option<&'a Name>) -> &'a str {
        match workspace {
            None => NONE,
            Some(workspace) if self.named.contains(workspace) => workspace,
            Some(_) => OTHERS,
        }
    }

    /// Adds weight to a workspace. If all entries are taken, the lightest one is replaced and its weight is kept, so
    /// that no workspace with more than the total divided by [`TRACKED`] is missed.
    fn add(&mut self, workspace: &Name, weight: u64) {
        self.total = self.total.saturating_add(weight);
        let known = |entry: &&mut Entry| entry.workspace == *workspace;
        if let Some(entry) = self.entries.iter_mut().find(known) {
            entry.weight = entry.weight.saturating_add(weight);
            return;
        }
        let mut entry = Entry {
            workspace: workspace.clone(),
            weight,
            uncertain: 0,
        };
        if self.entries.len() < TRACKED {
            self.entries.push(entry);
            return;
        }
        let lightest = self.entries.iter_mut().min_by_key(|entry| entry.weight);
        if let Some(lightest) = lightest {
            entry.uncertain = lightest.weight;
            entry.weight = entry.weight.saturating_add(lightest.weight);
            *lightest = entry;
            self.overflowed = true;
        }
    }

    /// Halves all weights.
    fn halve(&mut self) {
        self.total /= 2;
        for entry in &mut self.entries {
            entry.weight /= 2;
            entry.uncertain /= 2;
        }
    }

    /// Names the workspaces that are heavy enough, the heaviest first, while labels are free.
    fn name_heaviest(&mut self) {
        let few = !self.overflowed && self.entries.len() <= MAX_NAMED;
        let min_weight = if few { 0 } else { self.total / MIN_SHARE };
        let certain = |entry: &Entry| entry.weight - entry.uncertain;
        let mut candidates: Vec<&Entry> = self
            .entries
            .iter()
            .filter(|entry| certain(entry) >= min_weight && !self.named.contains(&entry.workspace))
            .collect();
        candidates.sort_by_key(|entry| std::cmp::Reverse(certain(entry)));
        let free = MAX_NAMED - self.named.len();
        let chosen = candidates.iter().take(free);
        let chosen: Vec<Name> = chosen.map(|entry| entry.workspace.clone()).collect();
        self.named.extend(chosen);
    }
}
