//! Keys are trusted only while the last confirmation by the store is recent enough.

use alderglade_core::fleet::freshness::{Ahead, Freshness};
use alderglade_core::time::Time;
use std::time::Duration;

const BOUND: Duration = Duration::from_secs(5);

#[test]
fn without_a_confirmation_no_key_is_trusted() {
    assert!(!Freshness::default().trusts_keys(Time(0), BOUND));
}

#[test]
fn a_key_is_refused_before_the_bound_is_reached() {
    let mut freshness = Freshness::default();
    let at = Time::from_millis(1_000);
    assert_eq!(freshness.confirm(at, at), Ok(()));
    assert!(freshness.trusts_keys(Time::from_millis(5_500), BOUND));
    assert!(!freshness.trusts_keys(Time::from_millis(5_999), BOUND));
}

#[test]
fn an_older_confirmation_is_ignored() {
    let mut freshness = Freshness::default();
    let now = Time::from_millis(5_000);
    for at in [4_000, 1_000] {
        assert_eq!(freshness.confirm(Time::from_millis(at), now), Ok(()));
    }
    let age = freshness.age(now);
    assert_eq!(age, Some(Duration::from_secs(1)));
}

/// Guards against keys that are trusted for longer than the bound because a confirmation lies ahead of the own clock.
#[test]
fn a_confirmation_of_a_time_to_come_is_refused() {
    let mut freshness = Freshness::default();
    let (now, ahead) = (Time::from_millis(5_000), Time::from_millis(35_000));
    assert_eq!(freshness.confirm(now, now), Ok(()));
    assert_eq!(freshness.confirm(ahead, now), Err(Ahead));
    assert!(!freshness.trusts_keys(now + BOUND, BOUND));
}
