//! Burn rates of error budgets over the fast and the slow window.

use alderglade_core::slo::{BUCKET_MS, Log, Sample, burn};
use std::time::Duration;

fn sample(first_token_ms: u64, finished: bool) -> Sample {
    Sample {
        first_token: Some(Duration::from_millis(first_token_ms)),
        objective: Duration::from_millis(350),
        finished,
        refused: false,
    }
}

#[test]
fn the_burn_rate_is_one_when_exactly_the_budget_is_used() {
    let mut logs = [Log::default(), Log::default()];
    let now = 100 * BUCKET_MS;
    for number in 0..200 {
        let slow = number % 20 == 0;
        let time = if slow { 900 } else { 100 };
        logs[number % 2].add(&"w".into(), &"desk".into(), 950, sample(time, true), now);
    }
    let burns = burn(&logs, now);
    assert_eq!(burns.len(), 1);
    assert!((burns[0].fast_burn - 1.0).abs() < 1e-9, "{burns:?}");
    assert!(burns[0].budget_left.abs() < 1e-9);
    assert_eq!(burns[0].slow.total, 200);
}

#[test]
fn the_fast_window_drops_old_buckets_and_the_slow_one_keeps_them() {
    let mut log = Log::default();
    let bad = 100 * BUCKET_MS;
    log.add(&"w".into(), &"desk".into(), 900, sample(900, true), bad);
    let later = bad + 20 * BUCKET_MS;
    log.add(&"w".into(), &"desk".into(), 900, sample(100, true), later);
    let burns = burn(std::slice::from_ref(&log), later);
    assert_eq!((burns[0].fast.total, burns[0].slow.total), (1, 2));
    assert_eq!(burns[0].fast_burn, 0.0);
    assert!((burns[0].slow_burn - 5.0).abs() < 1e-9, "{burns:?}");
    log.tidy(bad + 200 * BUCKET_MS);
    assert!(log.series.is_empty());
}

#[test]
fn refusals_are_counted_separately() {
    let mut log = Log::default();
    let refused = Sample {
        first_token: None,
        refused: true,
        finished: false,
        ..sample(0, false)
    };
    log.add(&"w".into(), &"desk".into(), 950, refused, BUCKET_MS);
    let burns = burn(&[log], BUCKET_MS);
    assert_eq!((burns[0].slow.total, burns[0].slow.refused), (0, 1));
    assert_eq!(burns[0].fast_burn, 0.0);
}
