//! An engine's passes, as far as placements tell.

use super::profile;
use crate::each_seed;
use alderglade_core::fleet::progress::{Pace, Progress};
use alderglade_core::time::Time;
use std::time::Duration;

const AT_REST: Pace = Pace {
    idle: 50.0,
    writes: false,
};
const WRITING: Pace = Pace {
    idle: 50.0,
    writes: true,
};

fn ms(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[test]
fn an_engine_at_rest_begins_at_once() {
    let mut progress = Progress::default();
    assert_eq!(progress.backlog(AT_REST, ms(900)).total(), 0.0);
    progress.place(200.0, AT_REST, ms(1_000));
    let backlog = progress.backlog(AT_REST, ms(1_050));
    assert_eq!((backlog.rest, backlog.queued), (150.0, 0.0));
    assert_eq!(progress.backlog(AT_REST, ms(1_300)).total(), 0.0);
}

#[test]
fn what_comes_during_a_pass_is_read_together_in_the_next() {
    let mut progress = Progress::default();
    progress.place(200.0, AT_REST, ms(1_000));
    progress.place(100.0, AT_REST, ms(1_050));
    progress.place(300.0, AT_REST, ms(1_100));
    let backlog = progress.backlog(AT_REST, ms(1_100));
    assert_eq!((backlog.rest, backlog.queued), (100.0, 400.0));
    let backlog = progress.backlog(AT_REST, ms(1_250));
    assert_eq!((backlog.rest, backlog.queued), (350.0, 0.0));
}

#[test]
fn a_pass_with_answers_takes_their_steps_too() {
    let mut progress = Progress::default();
    progress.place(200.0, WRITING, ms(1_000));
    let backlog = progress.backlog(WRITING, ms(1_000));
    // A pass was under way, of which nobody knows when it began.
    assert!(backlog.rest > 0.0 && backlog.rest <= 50.0, "{backlog:?}");
    assert_eq!(backlog.queued, 200.0);
    let begun = ms(1_000) + Duration::from_secs_f64(backlog.rest / 1_000.0);
    let backlog = progress.backlog(WRITING, begun);
    assert_eq!((backlog.rest, backlog.queued), (250.0, 0.0));
}

#[test]
fn a_first_event_ends_the_pass_under_way() {
    let mut progress = Progress::default();
    progress.place(200.0, WRITING, ms(1_000));
    progress.place(100.0, WRITING, ms(1_000));
    progress.ended(WRITING, ms(1_010));
    let backlog = progress.backlog(WRITING, ms(1_010));
    assert_eq!((backlog.rest, backlog.queued), (350.0, 0.0));
}

#[test]
fn the_pace_is_that_of_the_answers() {
    let pace = Pace::of(&profile(), 10, 100_000);
    assert!(pace.writes);
    assert_eq!(pace.idle, profile().idle_pass(10, 100_000));
    assert!(!Pace::of(&profile(), 0, 0).writes);
    assert!(!Pace::of(&profile(), -1, -5).writes);
}

/// Against an engine that is played out step by step: all that was placed is read, no sooner than it
/// takes, and the passes agree to the microsecond where they are known from the start.
#[test]
fn passes_agree_with_an_engine_played_out() {
    each_seed(80, |u| {
        let mut progress = Progress::default();
        let (mut now, mut ends, mut queued) = (1_000_000u64, 0u64, 0u64);
        for _ in 0..u.int_in_range(1..=40)? {
            now += u.int_in_range(0..=400_000)?;
            let reading = u.int_in_range(1..=300)? * 1_000;
            while ends <= now && queued > 0 {
                ends += std::mem::take(&mut queued);
            }
            progress.place(reading as f64 / 1_000.0, AT_REST, Time(now));
            if ends <= now {
                ends = now + reading;
            } else {
                queued += reading;
            }
            let backlog = progress.backlog(AT_REST, Time(now));
            let differs =
                |millis: f64, micros: u64| (millis - micros as f64 / 1_000.0).abs() > 1e-6;
            assert!(!differs(backlog.rest, ends - now), "{backlog:?}");
            assert!(!differs(backlog.queued, queued), "{backlog:?}");
        }
        Ok(())
    });
}
