//! How long callers wait, and how long servers may be silent.

use alderglade_core::fleet::caller::{Expectation, response_timeout, silence_timeout};
use alderglade_core::time::Time;
use std::time::Duration;

/// The kinds of streams that the platform specifies: latency objective, longest pause, and caller timeout, in
/// milliseconds.
const KINDS: [(u64, u64, u64); 3] = [
    (300, 250, 2_000),
    (1_500, 600, 6_000),
    (3_000, 1_000, 12_000),
];

#[test]
fn callers_wait_as_specified() {
    for (objective, pause, timeout) in KINDS.map(|(a, b, c)| {
        let millis = Duration::from_millis;
        (millis(a), millis(b), millis(c))
    }) {
        assert_eq!(response_timeout(objective, pause), timeout);
    }
}

/// Short streams of a silent server used to be moved after 1.9 seconds at the earliest. Another server could then no
/// longer begin before their callers left after two seconds.
#[test]
fn another_server_has_time_to_begin_before_the_caller_leaves() {
    let timeout = response_timeout(Duration::from_millis(300), Duration::from_millis(250));
    let begins = Duration::from_millis(500);
    assert!(silence_timeout(timeout) + begins < timeout);
    let waited = Duration::from_millis(900);
    assert!(waited + silence_timeout(timeout - waited) < timeout);
}

/// Resumed streams used to count from their arrival: after three seconds of an answer, each of them was late before it
/// was placed, and the caller's timeout had passed.
#[test]
fn the_wait_for_a_resumed_stream_begins_with_its_last_event() {
    let (arrived, last_event) = (Time::from_millis(1_000), Time::from_millis(4_000));
    let now = Time::from_millis(4_060);
    let (objective, pause) = (Duration::from_millis(300), Duration::from_millis(250));
    let first = Expectation::first(arrived, objective);
    assert!(!first.resumed && first.waited(now) > first.objective);
    let next = Expectation::next(last_event, pause);
    assert!(next.resumed);
    assert_eq!(next.waited(now), Duration::from_millis(60));
    assert_eq!(next.objective, pause);
}
