//! When a host counts as cut off from the store.

use alderglade_core::fleet::connectivity::{Connectivity, DISCONNECT_TIMEOUT, Observation};
use alderglade_core::time::Time;
use std::time::Duration;

/// A host that asks the store itself and is answered.
const SOUND: Observation = Observation {
    call_failed: false,
    informed: true,
    isolated: false,
    confirmed: Some(Time(900_000)),
};

const NOW: Time = Time(1_000_000);
const BEAT: Duration = Duration::from_millis(250);

fn looked(observation: Observation) -> Connectivity {
    let mut connectivity = Connectivity::default();
    connectivity.observe(&observation, NOW);
    connectivity
}

#[test]
fn a_host_that_the_store_answers_is_in_reach() {
    assert!(!looked(SOUND).is_disconnected(NOW));
}

#[test]
fn a_host_that_goes_by_watchers_is_cut_off_when_it_hears_none() {
    let alone = Observation {
        informed: false,
        ..SOUND
    };
    let mut connectivity = looked(SOUND);
    connectivity.observe(&alone, NOW + BEAT);
    assert!(
        !connectivity.is_disconnected(NOW + DISCONNECT_TIMEOUT),
        "too soon"
    );
    assert!(connectivity.is_disconnected(NOW + DISCONNECT_TIMEOUT + BEAT));
    connectivity.observe(&SOUND, NOW + DISCONNECT_TIMEOUT + BEAT);
    assert!(!connectivity.is_disconnected(NOW + DISCONNECT_TIMEOUT + BEAT));
}

/// Others' word keeps it serving, but requests that come to it earn nothing on the users' platform.
#[test]
fn a_host_that_the_store_refuses_is_cut_off_whatever_it_hears() {
    let refused = Observation {
        call_failed: true,
        ..SOUND
    };
    let mut connectivity = looked(SOUND);
    let later = NOW + DISCONNECT_TIMEOUT + BEAT;
    connectivity.observe(&refused, later);
    assert!(connectivity.is_disconnected(later));
}

/// A failure domain that is cut off silently: the store is silent too, which a waiting watch shows late.
#[test]
fn an_isolated_host_is_cut_off_at_once_until_the_store_is_shown_to_be_in_reach() {
    let isolated = Observation {
        isolated: true,
        ..SOUND
    };
    let mut connectivity = looked(SOUND);
    let since = NOW + BEAT;
    assert!(
        connectivity.observe(&isolated, since),
        "the store is to be asked"
    );
    assert!(connectivity.is_disconnected(since));
    assert!(
        !connectivity.observe(&isolated, since + BEAT),
        "once is enough"
    );
    assert!(connectivity.is_disconnected(since + BEAT));
    let confirmed = Observation {
        confirmed: Some(since),
        ..isolated
    };
    connectivity.observe(&confirmed, since + BEAT);
    assert!(
        !connectivity.is_disconnected(since + BEAT),
        "only the others are gone"
    );
}
