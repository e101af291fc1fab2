//! Service-level objectives: what was good, what was not, and how fast the budget burns.
//!
//! Counts are kept in buckets of a minute, later of five, over an hour. A host publishes its buckets to the
//! platform now and then; a report adds up what all hosts published.

use crate::Name;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Buckets kept.
pub const BUCKETS: u64 = 60;
/// Milliseconds in a bucket.
pub const BUCKET_MS: u64 = 60_000;
/// Buckets in the fast window.
pub const FAST: u64 = 5;
/// Pairs of workspace and class counted apart; the rest is counted together.
const MOST_KEYS: usize = 8_000;
/// Series that a host publishes one by one.
pub const MOST_PUBLISHED: usize = 500;
/// The name under which the rest is counted.
const REST: &str = "(rest)";

/// Counts of one bucket.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that were answered or failed after they were let in.
    pub total: u64,
    /// Those whose first token came within its objective.
    pub prompt: u64,
    /// Those that finished within their time.
    pub finished: u64,
    /// Requests that were refused unserved.
    pub refused: u64,
}

impl Counts {
    fn add(&mut self, other: Counts) {
        self.total += other.total;
        self.prompt += other.prompt;
        self.finished += other.finished;
        self.refused += other.refused;
    }
}

/// A workspace's class, with its objective.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Series {
    /// The workspace.
    pub workspace: Name,
    /// The caller class.
    pub class: Name,
    /// The share that has to be good, in thousandths.
    pub objective_per_mille: u32,
    /// Buckets by minute of the Unix epoch, oldest first.
    pub buckets: VecDeque<Bucket>,
}

/// The counts of one minute, or of several once they are older than the fast window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "Packed", from = "Packed")]
pub struct Bucket {
    /// The first minute, since the Unix epoch.
    pub minute: u64,
    /// The counts.
    pub counts: Counts,
}

/// A bucket as it is published: minute, total, prompt, finished, refused.
type Packed = (u64, u64, u64, u64, u64);

impl From<Bucket> for Packed {
    fn from(bucket: Bucket) -> Packed {
        let counts = bucket.counts;
        (
            bucket.minute,
            counts.total,
            counts.prompt,
            counts.finished,
            counts.refused,
        )
    }
}

impl From<Packed> for Bucket {
    fn from((minute, total, prompt, finished, refused): Packed) -> Bucket {
        Bucket {
            minute,
            counts: Counts {
                total,
                prompt,
                finished,
                refused,
            },
        }
    }
}

impl Series {
    fn bucket(&mut self, minute: u64) -> &mut Counts {
        let newest = self.buckets.back().map_or(0, |bucket| bucket.minute);
        if self.buckets.is_empty() || newest < minute {
            let counts = Counts::default();
            self.buckets.push_back(Bucket { minute, counts });
        }
        while self.buckets.len() as u64 > BUCKETS {
            self.buckets.pop_front();
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last].counts
    }

    /// Merges buckets that only the slow window counts.
    fn merge_old(&mut self, minute: u64) {
        let mut merged: VecDeque<Bucket> = VecDeque::new();
        for bucket in self.buckets.drain(..) {
            let old = bucket.minute + 2 * FAST < minute;
            let group = |minute: u64| minute / FAST;
            match merged.back_mut() {
                Some(last) if old && group(last.minute) == group(bucket.minute) => {
                    last.counts.add(bucket.counts);
                }
                _ => merged.push_back(bucket),
            }
        }
        self.buckets = merged;
    }

    fn total(&self) -> u64 {
        self.buckets.iter().map(|bucket| bucket.counts.total).sum()
    }

    fn over(&self, minute: u64, window: u64) -> Counts {
        let mut sum = Counts::default();
        let recent = |bucket: &&Bucket| bucket.minute + window > minute && bucket.minute <= minute;
        for bucket in self.buckets.iter().filter(recent) {
            sum.add(bucket.counts);
        }
        sum
    }
}

/// How one request ended, as far as objectives are concerned.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sample {
    /// The time to the first token, if it came.
    pub first_token: Option<Duration>,
    /// Its objective.
    pub objective: Duration,
    /// Whether the request finished.
    pub finished: bool,
    /// Whether it was refused unserved.
    pub refused: bool,
}

/// The counts of one host.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Log {
    /// One series for each workspace and class seen.
    pub series: Vec<Series>,
    #[serde(skip)]
    index: BTreeMap<(Name, Name), usize>,
}

impl Log {
    /// Counts one request.
    pub fn add(
        &mut self,
        workspace: &Name,
        class: &Name,
        per_mille: u32,
        sample: Sample,
        wall_ms: u64,
    ) {
        let position = self.position(workspace, class, per_mille);
        let prompt = sample
            .first_token
            .is_some_and(|time| time <= sample.objective);
        let counts = Counts {
            total: u64::from(!sample.refused),
            prompt: u64::from(prompt && !sample.refused),
            finished: u64::from(sample.finished),
            refused: u64::from(sample.refused),
        };
        let series = &mut self.series[position];
        series.objective_per_mille = per_mille;
        series.bucket(wall_ms / BUCKET_MS).add(counts);
    }

    fn position(&mut self, workspace: &Name, class: &Name, per_mille: u32) -> usize {
        let mut key = (workspace.clone(), class.clone());
        if self.series.len() >= MOST_KEYS && !self.index.contains_key(&key) {
            key = (REST.into(), REST.into());
        }
        if let Some(position) = self.index.get(&key) {
            return *position;
        }
        self.series.push(Series {
            workspace: key.0.clone(),
            class: key.1.clone(),
            objective_per_mille: per_mille,
            buckets: VecDeque::new(),
        });
        self.index.insert(key, self.series.len() - 1);
        self.series.len() - 1
    }

    /// Gives what is published: the series with the most requests, and the others together.
    ///
    /// The object stays far below the platform's largest value, and the traffic within the
    /// budget, whatever the number of workspaces.
    pub fn published(&self) -> Log {
        let mut series = self.series.clone();
        series.sort_by_key(|series| std::cmp::Reverse(series.total()));
        let others = series.split_off(series.len().min(MOST_PUBLISHED));
        if let Some(rest) = sum_of(others) {
            series.push(rest);
        }
        Log {
            series,
            index: BTreeMap::new(),
        }
    }

    /// Drops series without a bucket in the last hour and merges old buckets.
    pub fn tidy(&mut self, wall_ms: u64) {
        let minute = wall_ms / BUCKET_MS;
        let live = |series: &Series| {
            let newest = series.buckets.back();
            newest.is_some_and(|bucket| bucket.minute + BUCKETS > minute)
        };
        self.series.retain(live);
        self.series
            .iter_mut()
            .for_each(|series| series.merge_old(minute));
        self.index = self
            .series
            .iter()
            .enumerate()
            .map(|(i, s)| ((s.workspace.clone(), s.class.clone()), i))
            .collect();
    }
}

/// Adds series up into one.
fn sum_of(others: Vec<Series>) -> Option<Series> {
    let mut buckets: BTreeMap<u64, Counts> = BTreeMap::new();
    let objective = others
        .iter()
        .map(|series| series.objective_per_mille)
        .min()?;
    for bucket in others.iter().flat_map(|series| &series.buckets) {
        buckets.entry(bucket.minute).or_default().add(bucket.counts);
    }
    let buckets = buckets.into_iter();
    Some(Series {
        workspace: REST.into(),
        class: REST.into(),
        objective_per_mille: objective,
        buckets: buckets
            .map(|(minute, counts)| Bucket { minute, counts })
            .collect(),
    })
}

/// The burn of one workspace's class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Burn {
    /// The workspace.
    pub workspace: Name,
    /// The caller class.
    pub class: Name,
    /// The share that has to be good, in thousandths.
    pub objective_per_mille: u32,
    /// Counts over the fast window.
    pub fast: Counts,
    /// Counts over the slow window.
    pub slow: Counts,
    /// Speed at which the fast window burns the budget; `1` uses it up exactly.
    pub fast_burn: f64,
    /// Speed at which the slow window burns the budget.
    pub slow_burn: f64,
    /// The part of the slow window's budget that is left, `1` being all, below `0` overdrawn.
    pub budget_left: f64,
}

/// Adds up what hosts published and orders it, fastest burning first.
pub fn burn(logs: &[Log], wall_ms: u64) -> Vec<Burn> {
    let minute = wall_ms / BUCKET_MS;
    let mut sums: BTreeMap<(Name, Name), Burn> = BTreeMap::new();
    for series in logs.iter().flat_map(|log| &log.series) {
        let key = (series.workspace.clone(), series.class.clone());
        let sum = sums.entry(key).or_insert_with(|| empty(series));
        sum.fast.add(series.over(minute, FAST));
        sum.slow.add(series.over(minute, BUCKETS));
    }
    let mut burns: Vec<Burn> = sums.into_values().map(rate).collect();
    burns.sort_by(|a, b| b.fast_burn.total_cmp(&a.fast_burn));
    burns
}

fn empty(series: &Series) -> Burn {
    Burn {
        workspace: series.workspace.clone(),
        class: series.class.clone(),
        objective_per_mille: series.objective_per_mille,
        fast: Counts::default(),
        slow: Counts::default(),
        fast_burn: 0.0,
        slow_burn: 0.0,
        budget_left: 1.0,
    }
}

fn rate(mut burn: Burn) -> Burn {
    let budget = f64::from(1_000 - burn.objective_per_mille.min(999)) / 1_000.0;
    burn.fast_burn = bad_share(burn.fast) / budget;
    burn.slow_burn = bad_share(burn.slow) / budget;
    burn.budget_left = 1.0 - burn.slow_burn;
    burn
}

/// The share of requests that missed either objective, whichever is worse.
fn bad_share(counts: Counts) -> f64 {
    if counts.total == 0 {
        return 0.0;
    }
    let good = counts.prompt.min(counts.finished);
    1.0 - good as f64 / counts.total as f64
}
