//! What a process notices of its host's suspension.

use alderglade_clock::{Instant, Suspension};
use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Held against the clock that the kernel lets go on; only where the host was once suspended does the other one differ.
#[test]
fn the_clock_is_the_one_that_goes_on() {
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
fn a_suspension_is_noticed_once_with_its_length() {
    let mut suspension = Suspension::default();
    assert_eq!(
        suspension.compare(ms(10_000), ms(9_000)),
        None,
        "before the start"
    );
    assert_eq!(suspension.compare(ms(10_250), ms(9_250)), None);
    assert_eq!(suspension.compare(ms(14_500), ms(9_500)), Some(ms(4_000)));
    assert_eq!(suspension.compare(ms(14_750), ms(9_750)), None);
}

#[test]
fn readings_that_lie_a_little_apart_are_none() {
    let mut suspension = Suspension::default();
    for (number, late) in [0, 40, 5, 45, 0].into_iter().enumerate() {
        let now = ms(1_000 + 250 * number as u64);
        assert_eq!(suspension.compare(now + ms(late), now), None);
    }
}
