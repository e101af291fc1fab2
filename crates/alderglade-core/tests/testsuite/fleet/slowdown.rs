//! When an engine is suspected of being slow.

use alderglade_core::fleet::slowdown::{Suspicion, is_late, is_slow};
use std::time::Duration;

/// Gives after how many of these pauses the engine is asked, where an idle pass takes 50 ms.
fn asked_after(pauses: &[f64]) -> Option<usize> {
    let mut suspicion = Suspicion::default();
    let asked = |pause: &f64| suspicion.note(*pause, 50.0);
    pauses.iter().position(asked).map(|index| index + 1)
}

#[test]
fn pauses_of_a_slow_engine_are_noticed_soon() {
    assert_eq!(asked_after(&[200.0, 210.0, 205.0, 200.0]), Some(3));
}

#[test]
fn an_engine_that_reads_long_prompts_now_and_then_is_not_suspected() {
    assert_eq!(asked_after(&[60.0, 700.0, 55.0, 300.0, 400.0, 58.0]), None);
}

#[test]
fn an_engine_that_stays_slow_is_asked_again() {
    let mut suspicion = Suspicion::default();
    let asked = (0..9).filter(|_| suspicion.note(200.0, 50.0)).count();
    assert_eq!(asked, 3);
}

#[test]
fn engines_of_one_service_may_differ_a_little() {
    assert!(!is_slow(1.2));
    assert!(is_slow(4.0));
}

/// From an own day: of nine slow engines the five were never found that only helped to read.
#[test]
fn a_first_event_that_is_very_late_makes_suspicious() {
    let millis = Duration::from_millis;
    assert!(is_late(millis(200), millis(700)));
    assert!(!is_late(millis(200), millis(600)));
    assert!(!is_late(millis(2_000), millis(3_500)));
}
