//! Servers that ask a host to send nothing for a while.

use super::key;
use alderglade_core::fleet::backoff::Backoffs;
use alderglade_core::time::Time;
use std::time::Duration;

const DURATION: Duration = Duration::from_millis(3_000);

#[test]
fn a_backoff_lasts_until_the_latest_time_stated() {
    let at = Time::from_millis;
    let mut backoffs = Backoffs::default();
    assert!(backoffs.extend(key("a"), DURATION, at(1_000)));
    assert!(
        !backoffs.extend(key("a"), DURATION / 3, at(1_500)),
        "the backoff continues"
    );
    assert_eq!(backoffs.remaining(&key("a"), at(2_000)).as_millis(), 2_000);
    assert!(!backoffs.extend(key("a"), DURATION, at(3_000)));
    assert_eq!(backoffs.remaining(&key("a"), at(5_000)).as_millis(), 1_000);
    assert!(backoffs.remaining(&key("a"), at(6_000)).is_zero());
    assert!(backoffs.remaining(&key("b"), at(2_000)).is_zero());
    assert!(
        backoffs.extend(key("a"), DURATION, at(7_000)),
        "a new backoff begins"
    );
}
