//! When a service counts as unreachable from this host.

use alderglade_core::Name;
use alderglade_core::fleet::incarnation::{Incarnation, Key};
use alderglade_core::fleet::reachability::{Change, Reachability};
use alderglade_core::time::Time;
use std::time::Duration;

const NOW: Time = Time(1_000_000_000);
const SERVERS: usize = 3;

fn server(id: &str) -> Key {
    Incarnation::new(id, None).key()
}

fn service() -> Name {
    "calls".into()
}

fn fail(reachability: &mut Reachability, id: &str, now: Time) -> Option<Change> {
    reachability.record_failure(&service(), server(id), SERVERS, now)
}

/// Guards against a service that counts as unreachable because one of its servers has crashed.
#[test]
fn one_server_that_fails_again_and_again_is_no_sign_of_a_partition() {
    let mut reachability = Reachability::default();
    for _ in 0..5 {
        assert_eq!(fail(&mut reachability, "a", NOW), None);
    }
    assert!(!reachability.is_unreachable("calls"));
}

#[test]
fn a_service_is_unreachable_when_two_servers_fail_and_none_succeeds_in_between() {
    let mut reachability = Reachability::default();
    assert_eq!(fail(&mut reachability, "a", NOW), None);
    let lost = Change::Lost { failed_servers: 2 };
    assert_eq!(fail(&mut reachability, "b", NOW), Some(lost));
    assert!(reachability.is_unreachable("calls"));
    assert!(!reachability.is_unreachable("llm"));
    let later = NOW + Duration::from_secs(3);
    assert_eq!(fail(&mut reachability, "c", later), None);
    let regained = Change::Regained {
        after: Duration::from_secs(3),
    };
    let change = reachability.record_connection("calls", later);
    assert_eq!(change, Some(regained));
    assert!(!reachability.is_unreachable("calls"));
}

#[test]
fn a_connection_in_between_refutes_the_failures_before_it() {
    let mut reachability = Reachability::default();
    fail(&mut reachability, "a", NOW);
    assert_eq!(reachability.record_connection("calls", NOW), None);
    assert_eq!(fail(&mut reachability, "b", NOW), None);
}

#[test]
fn the_only_server_of_a_service_suffices() {
    let mut reachability = Reachability::default();
    let change = reachability.record_failure(&service(), server("a"), 1, NOW);
    assert_eq!(change, Some(Change::Lost { failed_servers: 1 }));
}

/// Guards against two crashes with minutes in between that count as a partition.
#[test]
fn failures_expire() {
    let mut reachability = Reachability::default();
    fail(&mut reachability, "a", NOW);
    let later = NOW + Duration::from_secs(11);
    assert_eq!(fail(&mut reachability, "b", later), None);
}
