//! When a host counts as cut off from the store.

use alderglade_core::fleet::reach::{PATIENCE, Reach, Sight};
use alderglade_core::time::Time;
use std::time::Duration;

/// A host that asks the store itself and is answered.
const SOUND: Sight = Sight {
    refused: false,
    informed: true,
    isolated: false,
    confirmed: Some(Time(900_000)),
};

const NOW: Time = Time(1_000_000);
const BEAT: Duration = Duration::from_millis(250);

fn looked(sight: Sight) -> Reach {
    let mut reach = Reach::default();
    reach.look(&sight, NOW);
    reach
}

#[test]
fn a_host_that_the_store_answers_is_in_reach() {
    assert!(!looked(SOUND).is_cut_off(NOW));
}

#[test]
fn a_host_that_goes_by_watchers_is_cut_off_when_it_hears_none() {
    let alone = Sight {
        informed: false,
        ..SOUND
    };
    let mut reach = looked(SOUND);
    reach.look(&alone, NOW + BEAT);
    assert!(!reach.is_cut_off(NOW + PATIENCE), "too soon");
    assert!(reach.is_cut_off(NOW + PATIENCE + BEAT));
    reach.look(&SOUND, NOW + PATIENCE + BEAT);
    assert!(!reach.is_cut_off(NOW + PATIENCE + BEAT));
}

/// Others' word keeps it serving, but requests that come to it earn nothing on the users' platform.
#[test]
fn a_host_that_the_store_refuses_is_cut_off_whatever_it_hears() {
    let refused = Sight {
        refused: true,
        ..SOUND
    };
    let mut reach = looked(SOUND);
    let later = NOW + PATIENCE + BEAT;
    reach.look(&refused, later);
    assert!(reach.is_cut_off(later));
}

/// A failure domain that is cut off silently: the store is silent too, which a waiting watch shows late.
#[test]
fn an_isolated_host_is_cut_off_at_once_until_the_store_is_shown_to_be_in_reach() {
    let isolated = Sight {
        isolated: true,
        ..SOUND
    };
    let mut reach = looked(SOUND);
    let since = NOW + BEAT;
    assert!(reach.look(&isolated, since), "the store is to be asked");
    assert!(reach.is_cut_off(since));
    assert!(!reach.look(&isolated, since + BEAT), "once is enough");
    assert!(reach.is_cut_off(since + BEAT));
    let confirmed = Sight {
        confirmed: Some(since),
        ..isolated
    };
    reach.look(&confirmed, since + BEAT);
    assert!(!reach.is_cut_off(since + BEAT), "only the others are gone");
}
