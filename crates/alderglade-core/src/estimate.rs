//! What is learnt from finished work: how long answers get and how long engines are held.

use crate::Name;
use std::collections::HashMap;
use std::time::Duration;

/// Output lengths are counted in powers of two.
const BUCKETS: usize = 21;
/// Counts are halved at this many samples, so that old behaviour fades.
const HALVE_AT: u32 = 512;
/// The share of answers that the estimate covers.
const QUANTILE: f64 = 0.75;
/// Estimates from fewer samples than this give way to the cap.
const FEWEST: u32 = 8;
/// Pairs of workspace and class remembered at most; others use the cap.
const MOST_KEYS: usize = 20_000;

/// How long the answers of one workspace and class get.
#[derive(Debug, Clone, Default)]
struct Lengths {
    counts: [u32; BUCKETS],
    total: u32,
}

impl Lengths {
    fn add(&mut self, tokens: u64) {
        let bucket = (64 - tokens.leading_zeros() as usize).min(BUCKETS - 1);
        self.counts[bucket] += 1;
        self.total += 1;
        if self.total >= HALVE_AT {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
    }

    fn quantile(&self) -> Option<u64> {
        if self.total < FEWEST {
            return None;
        }
        let wanted = (f64::from(self.total) * QUANTILE).ceil() as u32;
        let mut seen = 0;
        for (bucket, count) in self.counts.iter().enumerate() {
            seen += count;
            if seen >= wanted {
                return Some((1 << bucket) - 1);
            }
        }
        None
    }
}

/// Learns the output lengths of each workspace and class.
#[derive(Debug, Default)]
pub struct Output {
    lengths: HashMap<(Name, Name), Lengths>,
}

impl Output {
    /// Notes the length of a finished answer.
    pub fn learn(&mut self, workspace: &Name, class: &Name, tokens: u64) {
        let key = (workspace.clone(), class.clone());
        if self.lengths.len() >= MOST_KEYS && !self.lengths.contains_key(&key) {
            return;
        }
        self.lengths.entry(key).or_default().add(tokens);
    }

    /// Estimates the length of an answer; the caller's cap where too little is known.
    pub fn expect(&self, workspace: &Name, class: &Name, cap: u64) -> u64 {
        let key = (workspace.clone(), class.clone());
        let learnt = self.lengths.get(&key).and_then(Lengths::quantile);
        learnt.unwrap_or(cap).clamp(1, cap.max(1))
    }
}

/// An average that follows its samples, the newest weighing one part in eight.
#[derive(Debug, Clone, Copy)]
pub struct Average {
    micros: f64,
}

impl Average {
    const WEIGHT: f64 = 0.125;

    /// Starts at `first`.
    pub fn new(first: Duration) -> Average {
        Average {
            micros: first.as_micros() as f64,
        }
    }

    /// Takes a sample.
    pub fn add(&mut self, sample: Duration) {
        let micros = sample.as_micros() as f64;
        self.micros += (micros - self.micros) * Average::WEIGHT;
    }

    /// Gives the average.
    pub fn get(&self) -> Duration {
        Duration::from_micros(self.micros as u64)
    }
}
