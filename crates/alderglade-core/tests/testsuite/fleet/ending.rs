//! Ends of responses, by framing, place and the state of their server.

use alderglade_core::fleet::ending::{Ending, Evidence, Framing, Place, ServerState, Standby};
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
    for state in [ServerState::Serving, ServerState::Unknown] {
        assert!(!Ending::is_broken_off_by(state), "{state:?}");
    }
}

/// All kinds of evidence.
const EVIDENCE: [Evidence; 6] = [
    Evidence::Answered,
    Evidence::Misdirected,
    Evidence::Closed,
    Evidence::Silent,
    Evidence::Refused,
    Evidence::Unreachable,
];

/// When the responses below were last seen open.
const ALIVE_AT: Time = Time(1_000_000);

/// A standby connection that was opened at a time, in milliseconds, and never lost.
fn opened_at(opened: u64, evidence: Evidence) -> Standby {
    Standby {
        opened: Some(Time::from_millis(opened)),
        closed_at: None,
        refused_at: None,
        evidence,
    }
}

/// Guards against a server that counts as serving because a process that started at its address after the end answers.
#[test]
fn only_a_connection_from_before_the_end_proves_that_a_server_serves() {
    for opened in [0, 999, 1_000] {
        let standby = opened_at(opened, Evidence::Answered);
        let state = ServerState::judge(&standby, ALIVE_AT);
        assert_eq!(state, ServerState::Serving, "opened at {opened}");
    }
    let late = opened_at(1_001, Evidence::Answered);
    assert_eq!(ServerState::judge(&late, ALIVE_AT), ServerState::Unknown);
}

/// Guards against a server that counts as serving because some connection to it is still open, or was opened.
#[test]
fn a_server_serves_only_if_it_answers() {
    for evidence in EVIDENCE {
        let state = ServerState::judge(&opened_at(900, evidence), ALIVE_AT);
        let is_proven = state == ServerState::Serving;
        assert_eq!(is_proven, evidence == Evidence::Answered, "{evidence:?}");
    }
}

/// Guards against a server that counts as alive although its standby connection has ended with it, or another server has
/// taken over its address.
#[test]
fn a_closed_connection_proves_that_a_server_has_ended() {
    for (evidence, expected) in [
        (Evidence::Closed, ServerState::Gone),
        (Evidence::Refused, ServerState::Gone),
        (Evidence::Misdirected, ServerState::Restarted),
    ] {
        let state = ServerState::judge(&opened_at(900, evidence), ALIVE_AT);
        assert_eq!(state, expected, "{evidence:?}");
    }
}

/// Guards against a successor that vouches for a server which has ended during a response that was not read meanwhile.
#[test]
fn a_connection_that_was_lost_during_a_response_is_not_made_up_for_by_the_next_one() {
    for lost in [901, 1_000, 1_050] {
        for evidence in EVIDENCE {
            let next = opened_at(lost + 1, evidence);
            let lost = Some(Time::from_millis(lost));
            let closed = Standby {
                closed_at: lost,
                ..next
            };
            let refused = Standby {
                refused_at: lost,
                ..next
            };
            for standby in [closed, refused] {
                let state = ServerState::judge(&standby, ALIVE_AT);
                assert_eq!(state, ServerState::Gone, "{standby:?}");
            }
        }
    }
}

/// Guards against whole responses that count as broken off because their server closes idle connections, or accepts no
/// more of them.
#[test]
fn a_response_that_outlived_its_standby_connection_needs_another_proof_of_death() {
    let lost = Some(Time::from_millis(900));
    let answered = Standby {
        closed_at: lost,
        ..opened_at(901, Evidence::Answered)
    };
    assert_eq!(
        ServerState::judge(&answered, ALIVE_AT),
        ServerState::Serving
    );
    let closed_again = Standby {
        closed_at: lost,
        ..opened_at(950, Evidence::Closed)
    };
    assert_eq!(
        ServerState::judge(&closed_again, ALIVE_AT),
        ServerState::Unknown
    );
    let refused_again = Standby {
        refused_at: lost,
        ..opened_at(950, Evidence::Refused)
    };
    assert_eq!(
        ServerState::judge(&refused_again, ALIVE_AT),
        ServerState::Unknown
    );
    let refused = Standby {
        closed_at: lost,
        ..opened_at(950, Evidence::Refused)
    };
    assert_eq!(ServerState::judge(&refused, ALIVE_AT), ServerState::Gone);
}
