//! When a host counts as disconnected from the store.

use alderglade_core::fleet::connectivity::{Connectivity, DISCONNECT_TIMEOUT, Observation};
use alderglade_core::time::Time;
use std::time::Duration;

/// A host that queries the store itself and gets answers.
const CONNECTED: Observation = Observation {
    call_failed: false,
    informed: true,
    isolated: false,
    confirmed: Some(Time(900_000)),
};

const NOW: Time = Time(1_000_000);
const HEARTBEAT: Duration = Duration::from_millis(250);

fn observed(observation: Observation) -> Connectivity {
    let mut connectivity = Connectivity::default();
    connectivity.observe(&observation, NOW);
    connectivity
}

#[test]
fn a_host_that_the_store_answers_is_connected() {
    assert!(!observed(CONNECTED).is_disconnected(NOW));
}

#[test]
fn a_host_that_relies_on_watchers_is_disconnected_when_it_hears_none() {
    let alone = Observation {
        informed: false,
        ..CONNECTED
    };
    let mut connectivity = observed(CONNECTED);
    connectivity.observe(&alone, NOW + HEARTBEAT);
    assert!(
        !connectivity.is_disconnected(NOW + DISCONNECT_TIMEOUT),
        "the timeout is not over yet"
    );
    assert!(connectivity.is_disconnected(NOW + DISCONNECT_TIMEOUT + HEARTBEAT));
    connectivity.observe(&CONNECTED, NOW + DISCONNECT_TIMEOUT + HEARTBEAT);
    assert!(!connectivity.is_disconnected(NOW + DISCONNECT_TIMEOUT + HEARTBEAT));
}

/// The state from other hosts lets it keep serving, but the platform gives no credit for requests that reach such a
/// host.
#[test]
fn a_host_whose_store_calls_fail_is_disconnected_whatever_it_hears() {
    let call_failed = Observation {
        call_failed: true,
        ..CONNECTED
    };
    let mut connectivity = observed(CONNECTED);
    let later = NOW + DISCONNECT_TIMEOUT + HEARTBEAT;
    connectivity.observe(&call_failed, later);
    assert!(connectivity.is_disconnected(later));
}

/// If a failure domain is cut off without errors, the store is silent as well. A pending watch would show this only
/// late.
#[test]
fn an_isolated_host_is_disconnected_until_the_store_confirms_something() {
    let isolated = Observation {
        isolated: true,
        ..CONNECTED
    };
    let mut connectivity = observed(CONNECTED);
    let since = NOW + HEARTBEAT;
    assert!(
        connectivity.observe(&isolated, since),
        "the store should be queried at once"
    );
    assert!(connectivity.is_disconnected(since));
    assert!(
        !connectivity.observe(&isolated, since + HEARTBEAT),
        "the store should be queried only once"
    );
    assert!(connectivity.is_disconnected(since + HEARTBEAT));
    let confirmed = Observation {
        confirmed: Some(since),
        ..isolated
    };
    connectivity.observe(&confirmed, since + HEARTBEAT);
    assert!(
        !connectivity.is_disconnected(since + HEARTBEAT),
        "the store is reachable, only the other hosts are not"
    );
}
