//! Keys are trusted only while the last confirmation by the store is recent enough.

use alderglade_core::fleet::freshness::Freshness;
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
    freshness.confirm(Time::from_millis(1_000));
    assert!(freshness.trusts_keys(Time::from_millis(5_500), BOUND));
    assert!(!freshness.trusts_keys(Time::from_millis(5_999), BOUND));
}

#[test]
fn an_older_confirmation_is_ignored() {
    let mut freshness = Freshness::default();
    freshness.confirm(Time::from_millis(4_000));
    freshness.confirm(Time::from_millis(1_000));
    let age = freshness.age(Time::from_millis(5_000));
    assert_eq!(age, Some(Duration::from_secs(1)));
}
