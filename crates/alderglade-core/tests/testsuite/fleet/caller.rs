//! How long callers wait, and servers may be silent.

use alderglade_core::fleet::caller::{response_timeout, silence_timeout};
use std::time::Duration;

/// The kinds of streams on the users' sheets: aim, longest pause, and when their callers leave, in milliseconds.
const KINDS: [(u64, u64, u64); 3] = [
    (300, 250, 2_000),
    (1_500, 600, 6_000),
    (3_000, 1_000, 12_000),
];

#[test]
fn callers_wait_as_the_users_pages_say() {
    for (objective, pause, leaves) in KINDS.map(|(a, b, c)| {
        let millis = Duration::from_millis;
        (millis(a), millis(b), millis(c))
    }) {
        assert_eq!(response_timeout(objective, pause), leaves);
    }
}

/// From a day with servers that fall silent: short streams were taken elsewhere after 1.9 seconds at the earliest, when
/// another server could no longer begin before their callers left after two.
#[test]
fn another_server_has_time_to_begin_before_the_caller_leaves() {
    let leaves = response_timeout(Duration::from_millis(300), Duration::from_millis(250));
    let begins = Duration::from_millis(500);
    assert!(silence_timeout(leaves) + begins < leaves);
    let waited = Duration::from_millis(900);
    assert!(waited + silence_timeout(leaves - waited) < leaves);
}
