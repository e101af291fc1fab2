//! When an engine is suspected of being slow.

use alderglade_core::fleet::slowdown::{PauseMonitor, is_late, is_slow};
use std::time::Duration;

/// Returns after how many of these pauses the engine is asked, if a pass without prefill takes 50 ms.
fn asked_after(pauses: &[f64]) -> Option<usize> {
    let mut pause_monitor = PauseMonitor::default();
    let asked = |pause: &f64| pause_monitor.record_pause(*pause, 50.0);
    pauses.iter().position(asked).map(|index| index + 1)
}

#[test]
fn a_slow_engine_is_detected_after_a_few_pauses() {
    assert_eq!(asked_after(&[200.0, 210.0, 205.0, 200.0]), Some(3));
}

#[test]
fn an_engine_with_occasional_long_prefills_is_not_suspected() {
    assert_eq!(asked_after(&[60.0, 700.0, 55.0, 300.0, 400.0, 58.0]), None);
}

#[test]
fn an_engine_that_stays_slow_is_asked_again() {
    let mut pause_monitor = PauseMonitor::default();
    let asked = (0..9)
        .filter(|_| pause_monitor.record_pause(200.0, 50.0))
        .count();
    assert_eq!(asked, 3);
}

#[test]
fn small_differences_between_engines_are_not_slowness() {
    assert!(!is_slow(1.2));
    assert!(is_slow(4.0));
}

/// An engine that only takes part in prefill shows no long pauses. Five of nine slow engines were never detected for
/// this reason.
#[test]
fn a_very_late_first_event_is_suspicious() {
    let millis = Duration::from_millis;
    assert!(is_late(millis(200), millis(700)));
    assert!(!is_late(millis(200), millis(600)));
    assert!(!is_late(millis(2_000), millis(3_500)));
}
