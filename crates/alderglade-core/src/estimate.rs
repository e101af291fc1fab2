//! Estimates from finished requests: output lengths and how long a stream occupies its slot.

use crate::Name;
use std::collections::HashMap;
use std::time::Duration;

/// Buckets of the output length histogram. Bucket widths are powers of two; the last one is open.
const LENGTH_BUCKETS: usize = 21;
/// Counts are halved at this many samples, so that old samples lose weight.
const HALVING_SAMPLES: u32 = 512;
/// Share of answers that are no longer than the estimate.
const QUANTILE: f64 = 0.75;
/// With fewer samples than this the caller's cap is used as the estimate.
const MIN_SAMPLES: u32 = 8;
/// Maximum number of (workspace, class) pairs that are tracked; the others use the cap.
const MAX_KEYS: usize = 20_000;

/// Histogram of the output lengths of one workspace and class.
#[derive(Debug, Clone, Default)]
struct Lengths {
    counts: [u32; LENGTH_BUCKETS],
    total: u32,
}

impl Lengths {
    fn add(&mut self, tokens: u64) {
        let bucket = (64 - tokens.leading_zeros() as usize).min(LENGTH_BUCKETS - 1);
        self.counts[bucket] += 1;
        self.total += 1;
        if self.total >= HALVING_SAMPLES {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
    }

    fn quantile(&self) -> Option<u64> {
        if self.total < MIN_SAMPLES {
            return None;
        }
        let target = (f64::from(self.total) * QUANTILE).ceil() as u32;
        let mut cumulative = 0;
        for (bucket, count) in self.counts.iter().enumerate() {
            cumulative += count;
            if cumulative >= target {
                return Some((1 << bucket) - 1);
            }
        }
        None
    }
}

/// Output length estimates of each workspace and class.
#[derive(Debug, Default)]
pub struct OutputLengths {
    lengths: HashMap<(Name, Name), Lengths>,
}

impl OutputLengths {
    /// Records the length of a finished answer, in tokens.
    pub fn record(&mut self, workspace: &Name, class: &Name, tokens: u64) {
        let key = (workspace.clone(), class.clone());
        if self.lengths.len() >= MAX_KEYS && !self.lengths.contains_key(&key) {
            return;
        }
        self.lengths.entry(key).or_default().add(tokens);
    }

    /// Estimates the length of an answer in tokens, at most `cap`. Returns the caller's `cap` if
    /// there are too few samples.
    pub fn estimate(&self, workspace: &Name, class: &Name, cap: u64) -> u64 {
        let key = (workspace.clone(), class.clone());
        let estimate = self.lengths.get(&key).and_then(Lengths::quantile);
        estimate.unwrap_or(cap).clamp(1, cap.max(1))
    }
}

/// An exponentially weighted moving average of durations.
#[derive(Debug, Clone, Copy)]
pub struct Average {
    micros: f64,
}

impl Average {
    /// Weight of the newest sample.
    const WEIGHT: f64 = 0.125;

    /// Creates an average with the initial value `first`.
    pub fn new(first: Duration) -> Average {
        Average {
            micros: first.as_micros() as f64,
        }
    }

    /// Adds a sample.
    pub fn add(&mut self, sample: Duration) {
        let micros = sample.as_micros() as f64;
        self.micros += (micros - self.micros) * Average::WEIGHT;
    }

    /// Returns the current average.
    pub fn get(&self) -> Duration {
        Duration::from_micros(self.micros as u64)
    }
}
