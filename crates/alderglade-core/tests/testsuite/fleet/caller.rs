//! How long callers wait, and how long servers may be silent.

use alderglade_core::fleet::caller::{response_timeout, silence_timeout};
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
