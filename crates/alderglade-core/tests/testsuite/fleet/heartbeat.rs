//! How often hosts tell each other what they hold.

use alderglade_core::fleet::heartbeat::{Due, MAX_INTERVAL, MIN_INTERVAL, Schedule, interval};
use alderglade_core::time::Time;
use std::time::Duration;

/// Heartbeats that a host sends in a second where nothing changes.
fn sent_a_second(hosts: usize) -> f64 {
    (hosts - 1) as f64 / interval(hosts, false).as_secs_f64()
}

#[test]
fn few_hosts_hear_of_each_other_often() {
    assert_eq!(interval(8, false), MIN_INTERVAL);
    assert_eq!(interval(1, false), MIN_INTERVAL);
}

#[test]
fn what_a_host_sends_is_bounded_up_to_a_hundred_hosts() {
    for hosts in 2..=100 {
        assert!(sent_a_second(hosts) <= 100.0, "{hosts} hosts");
    }
    assert_eq!(interval(4_000, false), MAX_INTERVAL);
}

#[test]
fn watchers_are_heard_often_whatever_the_number_of_hosts() {
    assert_eq!(interval(400, true), MIN_INTERVAL);
}

#[test]
fn a_host_that_has_just_told_something_needs_no_heartbeat() {
    let beat = Duration::from_millis(750);
    let mut schedule = Schedule::default();
    let start = Time::from_millis(10);
    assert_eq!(schedule.due(beat, start), Some(Due::Whole));
    schedule.note(Due::Whole, start);
    let change = start + Duration::from_millis(500);
    schedule.note(Due::Changes, change);
    assert_eq!(schedule.due(beat, start + beat), None);
    assert_eq!(schedule.due(beat, change + beat), Some(Due::Changes));
}

/// Changes may come all the time; what was lost of them must be made good nevertheless.
#[test]
fn whole_notices_come_however_much_changes() {
    let beat = Duration::from_millis(250);
    let mut schedule = Schedule::default();
    let mut wholes = 0;
    for millis in (0..10_000).step_by(50) {
        let now = Time::from_millis(millis);
        match schedule.due(beat, now) {
            Some(due) => {
                wholes += u32::from(due == Due::Whole);
                schedule.note(due, now);
            }
            None => schedule.note(Due::Changes, now),
        }
    }
    assert_eq!(wholes, 10);
}
