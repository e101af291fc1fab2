//! Runs random fault schedules and prints the scenario of each that breaks a promise.

use super::{Failure, Options};
use crate::{fuzz, scenario};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;

/// Seeds that run at once.
const THREADS: usize = 4;

pub(super) fn run(options: &Options) -> Result<(), Failure> {
    let first = options.number("seed", 1.0)? as u64;
    let count = options.number("seeds", 100.0)? as u64;
    let next = AtomicU64::new(first);
    let (happened, asked) = (AtomicU64::new(0), AtomicU64::new(0));
    let failures = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= first + count {
                        return;
                    }
                    let outcome = scenario::run(&fuzz::scenario(seed), &[]);
                    happened.fetch_add(outcome.happened, Ordering::Relaxed);
                    asked.fetch_add(outcome.asked as u64, Ordering::Relaxed);
                    if !outcome.broken.is_empty() {
                        let mut failures = failures.lock().unwrap_or_else(PoisonError::into_inner);
                        failures.push((seed, outcome.broken));
                    }
                }
            });
        }
    });
    let mut failures = failures
        .into_inner()
        .unwrap_or_else(PoisonError::into_inner);
    failures.sort();
    println!(
        "{count} seeds from {first}: {} requests, {} happenings, {} seeds failed",
        asked.into_inner(),
        happened.into_inner(),
        failures.len()
    );
    for (seed, broken) in &failures {
        println!(
            "seed {seed}: {} broken, first {:?}",
            broken.len(),
            &broken[..broken.len().min(3)]
        );
    }
    if options.json {
        let wanted = failures.iter().map(|(seed, _)| *seed);
        let wanted: Vec<u64> = if count == 1 {
            vec![first]
        } else {
            wanted.collect()
        };
        for seed in wanted {
            println!(
                "{}",
                serde_json::to_string(&fuzz::scenario(seed)).unwrap_or_default()
            );
        }
    }
    if failures.is_empty() {
        return Ok(());
    }
    Err(format!("{} of {count} seeds failed", failures.len()).into())
}
