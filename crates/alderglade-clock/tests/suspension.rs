//! Tests of the clock and of the detection of suspensions.

use alderglade_clock::{Instant, Suspension};
use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Compares with the kernel's clock that continues during suspensions. A wrong choice of clock only shows on a host that
/// has been suspended at least once; on others the two clocks agree.
#[test]
fn the_clock_continues_during_suspensions() {
    let kernel = || {
        let now = clock_gettime(ClockId::Boottime);
        Duration::new(now.tv_sec.unsigned_abs(), now.tv_nsec as u32)
    };
    let before = kernel();
    let now = Instant::now();
    assert!(before <= now.since_start() && now.since_start() <= kernel());
    assert!(now + ms(1) > now);
    assert_eq!((now + ms(1)).saturating_duration_since(now), ms(1));
    assert_eq!(now.saturating_duration_since(now + ms(1)), ms(0));
}

#[test]
fn a_suspension_is_reported_once_with_its_length() {
    let mut suspension = Suspension::default();
    assert_eq!(
        suspension.compare(ms(10_000), ms(9_000)),
        None,
        "a suspension before the first check"
    );
    assert_eq!(suspension.compare(ms(10_250), ms(9_250)), None);
    assert_eq!(suspension.compare(ms(14_500), ms(9_500)), Some(ms(4_000)));
    assert_eq!(suspension.compare(ms(14_750), ms(9_750)), None);
}

#[test]
fn small_differences_between_readings_are_not_suspensions() {
    let mut suspension = Suspension::default();
    for (number, delay) in [0, 40, 5, 45, 0].into_iter().enumerate() {
        let now = ms(1_000 + 250 * number as u64);
        assert_eq!(suspension.compare(now + ms(delay), now), None);
    }
}
