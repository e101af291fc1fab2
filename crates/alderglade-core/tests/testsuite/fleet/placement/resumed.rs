//! The choice of engines for streams that another server broke.

use super::{CALM, crowded, engines, engines_with_answers_at_the_last, key, long, plan, short};
use alderglade_core::fleet::incarnation::Key;
use alderglade_core::fleet::placement::{Decision, ServiceState, Work, choose};
use std::collections::BTreeSet;
use std::time::Duration;

/// Returns a stream that another server broke shortly after an event.
fn resumed(work: Work) -> Work {
    Work {
        objective: Duration::from_millis(250),
        waited: Duration::from_millis(65),
        resumed: true,
        ..work
    }
}

/// The failure: resumed streams were packed like new ones, and the pause became longer than their route allows.
#[test]
fn a_resumed_stream_continues_at_the_engine_with_the_earliest_event() {
    let mut engines = engines_with_answers_at_the_last();
    engines[17].backlog.pass_remaining = 50.0;
    for engine in &mut engines[..17] {
        engine.backlog.queued = 10.0;
    }
    engines[4].backlog.queued = 0.0;
    assert_eq!(plan(choose(&short(), &engines, &CALM)).primary, key("e17"));
    let work = resumed(short());
    assert_eq!(plan(choose(&work, &engines, &CALM)).primary, key("e04"));
}

/// When a server breaks its streams, many hosts place one at the same moment. If they all chose the first of several
/// idle engines, the prompts would be read there one after the other.
#[test]
fn streams_that_resume_at_the_same_moment_are_spread_over_equal_engines() {
    let engines = engines(18);
    let chosen = (0..12).map(|seed| {
        let work = Work {
            random: Some(seed),
            ..resumed(short())
        };
        plan(choose(&work, &engines, &CALM)).primary
    });
    let chosen: BTreeSet<Key> = chosen.collect();
    assert!(chosen.len() >= 7, "{}", chosen.len());
}

/// The failure: a hold lengthens the pause of a resumed stream, and a refusal breaks it off.
#[test]
fn a_resumed_stream_is_neither_held_behind_new_work_nor_given_up() {
    let work = resumed(long(400_000));
    plan(choose(&work, &crowded(), &CALM));
    let behind = ServiceState {
        queued_before: 9,
        multi_engine_prompts: 2,
        ..CALM
    };
    plan(choose(&work, &engines(18), &behind));
    let mut full = engines(4);
    for engine in &mut full {
        engine.load.memory = 200_000;
    }
    let late = Work {
        waited: Duration::from_secs(2),
        ..resumed(long(500_000))
    };
    let decision = choose(&late, &full, &CALM);
    assert!(matches!(decision, Decision::Wait(_)), "{decision:?}");
}
