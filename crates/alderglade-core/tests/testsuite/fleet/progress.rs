//! The passes of an engine, estimated from placements.

use super::profile;
use crate::each_seed;
use alderglade_core::fleet::progress::{Pace, Progress};
use alderglade_core::time::Time;
use std::time::Duration;

const IDLE: Pace = Pace {
    idle_pass: 50.0,
    has_answers: false,
};
const WRITING: Pace = Pace {
    idle_pass: 50.0,
    has_answers: true,
};

fn ms(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[test]
fn an_idle_engine_begins_at_once() {
    let mut progress = Progress::default();
    assert_eq!(progress.backlog(IDLE, ms(900)).total(), 0.0);
    progress.add_reading(200.0, IDLE, ms(1_000));
    let backlog = progress.backlog(IDLE, ms(1_050));
    assert_eq!((backlog.pass_remaining, backlog.queued), (150.0, 0.0));
    assert_eq!(progress.backlog(IDLE, ms(1_300)).total(), 0.0);
}

#[test]
fn prompts_placed_during_a_pass_are_read_together_in_the_next() {
    let mut progress = Progress::default();
    progress.add_reading(200.0, IDLE, ms(1_000));
    progress.add_reading(100.0, IDLE, ms(1_050));
    progress.add_reading(300.0, IDLE, ms(1_100));
    let backlog = progress.backlog(IDLE, ms(1_100));
    assert_eq!((backlog.pass_remaining, backlog.queued), (100.0, 400.0));
    let backlog = progress.backlog(IDLE, ms(1_250));
    assert_eq!((backlog.pass_remaining, backlog.queued), (350.0, 0.0));
}

#[test]
fn a_pass_with_answers_includes_their_token_steps() {
    let mut progress = Progress::default();
    progress.add_reading(200.0, WRITING, ms(1_000));
    let backlog = progress.backlog(WRITING, ms(1_000));
    // A pass was in progress that began at an unknown time.
    assert!(
        backlog.pass_remaining > 0.0 && backlog.pass_remaining <= 50.0,
        "{backlog:?}"
    );
    assert_eq!(backlog.queued, 200.0);
    let begun = ms(1_000) + Duration::from_secs_f64(backlog.pass_remaining / 1_000.0);
    let backlog = progress.backlog(WRITING, begun);
    assert_eq!((backlog.pass_remaining, backlog.queued), (250.0, 0.0));
}

#[test]
fn a_first_event_ends_the_pass_under_way() {
    let mut progress = Progress::default();
    progress.add_reading(200.0, WRITING, ms(1_000));
    progress.add_reading(100.0, WRITING, ms(1_000));
    progress.end_pass(WRITING, ms(1_010));
    let backlog = progress.backlog(WRITING, ms(1_010));
    assert_eq!((backlog.pass_remaining, backlog.queued), (350.0, 0.0));
}

#[test]
fn the_pace_follows_from_the_running_answers() {
    let pace = Pace::of(&profile(), 10, 100_000);
    assert!(pace.has_answers);
    assert_eq!(pace.idle_pass, profile().idle_pass(10, 100_000));
    assert!(!Pace::of(&profile(), 0, 0).has_answers);
    assert!(!Pace::of(&profile(), -1, -5).has_answers);
}

/// Compares with a simulation of an engine: everything placed is read, no faster than its reading time, and passes
/// that are known from the start agree to the microsecond.
#[test]
fn passes_agree_with_a_simulated_engine() {
    each_seed(80, |u| {
        let mut progress = Progress::default();
        let (mut now, mut ends, mut queued) = (1_000_000u64, 0u64, 0u64);
        for _ in 0..u.int_in_range(1..=40)? {
            now += u.int_in_range(0..=400_000)?;
            let reading = u.int_in_range(1..=300)? * 1_000;
            while ends <= now && queued > 0 {
                ends += std::mem::take(&mut queued);
            }
            progress.add_reading(reading as f64 / 1_000.0, IDLE, Time(now));
            if ends <= now {
                ends = now + reading;
            } else {
                queued += reading;
            }
            let backlog = progress.backlog(IDLE, Time(now));
            let differs =
                |millis: f64, micros: u64| (millis - micros as f64 / 1_000.0).abs() > 1e-6;
            assert!(!differs(backlog.pass_remaining, ends - now), "{backlog:?}");
            assert!(!differs(backlog.queued, queued), "{backlog:?}");
        }
        Ok(())
    });
}
