//! Service-level objectives: counts of good and bad requests, and burn rates of the error budgets.
//!
//! Counts are kept for an hour in buckets of one minute, which are later merged into buckets of five
//! minutes. Each host publishes its buckets to the platform periodically. A report adds up the
//! buckets that all hosts have published.

use crate::Name;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Length of the slow window in minutes, and the maximum number of buckets kept per series.
pub const SLOW_WINDOW_MINUTES: u64 = 60;
/// Length of a bucket in milliseconds.
pub const BUCKET_MS: u64 = 60_000;
/// Length of the fast window in minutes. Older buckets are merged in groups of this length.
pub const FAST_WINDOW_MINUTES: u64 = 5;
/// Maximum number of (workspace, class) pairs counted separately; the others share one series.
const MAX_SERIES: usize = 8_000;
/// Maximum number of series that a host publishes separately; the others are merged into one.
pub const MAX_PUBLISHED_SERIES: usize = 500;
/// Workspace and class name of the series that counts all other pairs.
const OTHERS_NAME: &str = "(rest)";

/// Counts of one bucket.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that were answered or failed after admission.
    pub total: u64,
    /// Requests whose first token met its latency objective.
    pub prompt: u64,
    /// Requests that finished within their time limit.
    pub finished: u64,
    /// Requests that were refused without being served.
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

/// The counts of one caller class of a workspace, with its objective.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Series {
    /// The workspace.
    pub workspace: Name,
    /// The caller class.
    pub class: Name,
    /// Share of requests that has to be good, in thousandths.
    pub objective_per_mille: u32,
    /// Buckets, oldest first.
    pub buckets: VecDeque<Bucket>,
}

/// The counts of one minute, or of several minutes if they are older than the fast window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "Packed", from = "Packed")]
pub struct Bucket {
    /// The first minute of the bucket, in minutes since the Unix epoch.
    pub minute: u64,
    /// The counts.
    pub counts: Counts,
}

/// The published form of a bucket: minute, total, prompt, finished, refused.
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
        while self.buckets.len() as u64 > SLOW_WINDOW_MINUTES {
            self.buckets.pop_front();
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last].counts
    }

    /// Merges buckets older than twice the fast window into buckets of its length.
    fn merge_old(&mut self, minute: u64) {
        let mut merged: VecDeque<Bucket> = VecDeque::new();
        for bucket in self.buckets.drain(..) {
            let is_old = bucket.minute + 2 * FAST_WINDOW_MINUTES < minute;
            let group = |minute: u64| minute / FAST_WINDOW_MINUTES;
            match merged.back_mut() {
                Some(last) if is_old && group(last.minute) == group(bucket.minute) => {
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

    fn counts_in_window(&self, minute: u64, window: u64) -> Counts {
        let mut sum = Counts::default();
        let recent = |bucket: &&Bucket| bucket.minute + window > minute && bucket.minute <= minute;
        for bucket in self.buckets.iter().filter(recent) {
            sum.add(bucket.counts);
        }
        sum
    }
}

/// The outcome of one request with respect to its objectives.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sample {
    /// The time to the first token, if there was one.
    pub first_token: Option<Duration>,
    /// The latency objective for the first token.
    pub objective: Duration,
    /// Whether the request finished.
    pub finished: bool,
    /// Whether the request was refused without being served.
    pub refused: bool,
}

/// The counts of one host.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Log {
    /// One series for each pair of workspace and class.
    pub series: Vec<Series>,
    #[serde(skip)]
    index: BTreeMap<(Name, Name), usize>,
}

impl Log {
    /// Counts one request that ended at `wall_ms`, in milliseconds since the Unix epoch.
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
        if self.series.len() >= MAX_SERIES && !self.index.contains_key(&key) {
            key = (OTHERS_NAME.into(), OTHERS_NAME.into());
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

    /// Returns the log to publish: the series with the most requests, and the others merged.
    ///
    /// This keeps the object far below the platform's size limit and the traffic within its budget for
    /// any number of workspaces.
    pub fn published(&self) -> Log {
        let mut series = self.series.clone();
        series.sort_by_key(|series| std::cmp::Reverse(series.total()));
        let others = series.split_off(series.len().min(MAX_PUBLISHED_SERIES));
        if let Some(rest) = merge_series(others) {
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
        let is_recent = |series: &Series| {
            let newest = series.buckets.back();
            newest.is_some_and(|bucket| bucket.minute + SLOW_WINDOW_MINUTES > minute)
        };
        self.series.retain(is_recent);
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

/// Merges several series into one. Returns `None` if there are none.
fn merge_series(others: Vec<Series>) -> Option<Series> {
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
        workspace: OTHERS_NAME.into(),
        class: OTHERS_NAME.into(),
        objective_per_mille: objective,
        buckets: buckets
            .map(|(minute, counts)| Bucket { minute, counts })
            .collect(),
    })
}

/// The burn rates of one caller class of a workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Burn {
    /// The workspace.
    pub workspace: Name,
    /// The caller class.
    pub class: Name,
    /// Share of requests that has to be good, in thousandths.
    pub objective_per_mille: u32,
    /// Counts over the fast window.
    pub fast: Counts,
    /// Counts over the slow window.
    pub slow: Counts,
    /// Burn rate over the fast window; at `1` the error budget is used up exactly.
    pub fast_burn: f64,
    /// Burn rate over the slow window.
    pub slow_burn: f64,
    /// Remaining share of the slow window's error budget: `1` is all of it, below `0` it is overdrawn.
    pub budget_left: f64,
}

/// Adds up the logs of several hosts. The result is sorted by the fast burn rate, highest first.
pub fn burn(logs: &[Log], wall_ms: u64) -> Vec<Burn> {
    let minute = wall_ms / BUCKET_MS;
    let mut sums: BTreeMap<(Name, Name), Burn> = BTreeMap::new();
    for series in logs.iter().flat_map(|log| &log.series) {
        let key = (series.workspace.clone(), series.class.clone());
        let sum = sums.entry(key).or_insert_with(|| empty_burn(series));
        sum.fast
            .add(series.counts_in_window(minute, FAST_WINDOW_MINUTES));
        sum.slow
            .add(series.counts_in_window(minute, SLOW_WINDOW_MINUTES));
    }
    let mut burns: Vec<Burn> = sums.into_values().map(with_rates).collect();
    burns.sort_by(|a, b| b.fast_burn.total_cmp(&a.fast_burn));
    burns
}

fn empty_burn(series: &Series) -> Burn {
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

fn with_rates(mut burn: Burn) -> Burn {
    let budget = f64::from(1_000 - burn.objective_per_mille.min(999)) / 1_000.0;
    burn.fast_burn = bad_share(burn.fast) / budget;
    burn.slow_burn = bad_share(burn.slow) / budget;
    burn.budget_left = 1.0 - burn.slow_burn;
    burn
}

/// Returns the share of requests that missed an objective, for the objective that was missed more
/// often.
fn bad_share(counts: Counts) -> f64 {
    if counts.total == 0 {
        return 0.0;
    }
    let good = counts.prompt.min(counts.finished);
    1.0 - good as f64 / counts.total as f64
}
