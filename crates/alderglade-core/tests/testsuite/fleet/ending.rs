//! Ends of responses, by framing, place and the state of their server.

use super::key;
use alderglade_core::fleet::ending::{Breaks, Ending, Framing, Place, ServerState};
use alderglade_core::time::Time;

const PLACES: [Place; 3] = [Place::InEvent, Place::BeforeFirstEvent, Place::Boundary];

/// Guards against a part of an event that counts as the end of a whole stream, in any framing.
#[test]
fn no_stream_ends_inside_an_event() {
    for framing in [Framing::Length, Framing::Chunked, Framing::Close] {
        assert_eq!(Ending::judge(framing, Place::InEvent), Ending::BrokenOff);
    }
}

/// Guards against checks of servers whose responses tell their end.
#[test]
fn a_marked_end_after_an_event_needs_no_confirmation() {
    for framing in [Framing::Length, Framing::Chunked] {
        for place in [Place::BeforeFirstEvent, Place::Boundary] {
            assert_eq!(Ending::judge(framing, place), Ending::Complete);
        }
    }
}

/// Guards against the end of a connection that counts as that of a response without further evidence.
#[test]
fn the_end_of_a_connection_alone_completes_nothing() {
    let endings = PLACES.map(|place| Ending::judge(Framing::Close, place));
    assert!(!endings.contains(&Ending::Complete));
    for state in [ServerState::Restarted, ServerState::Gone] {
        assert!(Ending::is_broken_off_by(state), "{state:?}");
    }
    assert!(!Ending::is_broken_off_by(ServerState::Serving));
}

/// Guards against a server that counts as serving while its process closes one socket after the other, and against one that
/// stays under suspicion.
#[test]
fn a_server_may_be_ending_for_a_moment_after_each_break() {
    let at = Time::from_millis;
    let mut breaks = Breaks::default();
    assert!(!breaks.may_be_ending(key("s1"), at(1_000)));
    breaks.record(key("s1"), at(1_000));
    breaks.record(key("s1"), at(1_040));
    assert!(breaks.may_be_ending(key("s1"), at(1_080)));
    assert!(!breaks.may_be_ending(key("s2"), at(1_080)));
    breaks.record(key("s2"), at(1_080));
    assert!(!breaks.may_be_ending(key("s1"), at(1_100)));
}
