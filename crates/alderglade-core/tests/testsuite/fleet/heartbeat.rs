//! How often hosts send their holdings to each other.

use alderglade_core::fleet::heartbeat::{Due, MAX_INTERVAL, MIN_INTERVAL, Schedule, interval};
use alderglade_core::time::Time;
use std::time::Duration;

/// Returns the heartbeats that a host sends per second if nothing changes.
fn heartbeats_per_second(hosts: usize) -> f64 {
    (hosts - 1) as f64 / interval(hosts, false).as_secs_f64()
}

#[test]
fn few_hosts_send_at_the_shortest_interval() {
    assert_eq!(interval(8, false), MIN_INTERVAL);
    assert_eq!(interval(1, false), MIN_INTERVAL);
}

#[test]
fn heartbeats_per_second_are_bounded_up_to_a_hundred_hosts() {
    for hosts in 2..=100 {
        assert!(heartbeats_per_second(hosts) <= 100.0, "{hosts} hosts");
    }
    assert_eq!(interval(4_000, false), MAX_INTERVAL);
}

#[test]
fn watchers_send_at_the_shortest_interval_whatever_the_number_of_hosts() {
    assert_eq!(interval(400, true), MIN_INTERVAL);
}

#[test]
fn a_host_that_has_just_sent_a_notice_needs_no_heartbeat() {
    let interval = Duration::from_millis(750);
    let mut schedule = Schedule::default();
    let start = Time::from_millis(10);
    assert_eq!(schedule.due(interval, start), Some(Due::Full));
    schedule.record(Due::Full, start);
    let change = start + Duration::from_millis(500);
    schedule.record(Due::Changes, change);
    assert_eq!(schedule.due(interval, start + interval), None);
    assert_eq!(
        schedule.due(interval, change + interval),
        Some(Due::Changes)
    );
}

/// Changes may be sent all the time. Full notices must make up for lost ones nevertheless.
#[test]
fn full_notices_are_sent_however_much_changes() {
    let interval = Duration::from_millis(250);
    let mut schedule = Schedule::default();
    let mut full_notices = 0;
    for millis in (0..10_000).step_by(50) {
        let now = Time::from_millis(millis);
        match schedule.due(interval, now) {
            Some(due) => {
                full_notices += u32::from(due == Due::Full);
                schedule.record(due, now);
            }
            None => schedule.record(Due::Changes, now),
        }
    }
    assert_eq!(full_notices, 10);
}
