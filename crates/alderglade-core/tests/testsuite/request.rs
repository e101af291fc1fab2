//! The request life cycle, the table of error kinds, retry times and the retry budget.

use crate::queue::ticket;
use alderglade_core::admission::jittered_retry_after;
use alderglade_core::error::{Kind, Ran, TABLE};
use alderglade_core::lane::{LONG_TOKENS, Lane, Priority};
use alderglade_core::request::{Id, Refusal, Request};
use alderglade_core::retry::{Budget, MAX_ATTEMPTS};
use alderglade_core::time::Time;
use std::collections::BTreeSet;
use std::time::Duration;

#[test]
fn the_table_is_in_the_order_of_its_kinds_and_has_no_duplicates() {
    for (position, row) in TABLE.iter().enumerate() {
        assert_eq!(row.kind as usize, position);
        assert_eq!(row.kind.row().label, row.label);
        let json = serde_json::to_string(&row.kind).expect("a word");
        assert_eq!(json, format!("\"{}\"", row.label));
    }
    let labels: BTreeSet<&str> = TABLE.iter().map(|row| row.label).collect();
    let events: BTreeSet<u16> = TABLE.iter().map(|row| row.event).collect();
    assert_eq!((labels.len(), events.len()), (TABLE.len(), TABLE.len()));
}

#[test]
fn an_unsent_request_is_refused_as_not_run() {
    let received = Request::receive(ticket(1, "w", Lane::Urgent, 10, 1), Time(5));
    let expired = Refusal::new(Kind::ExpiredRunning, Duration::ZERO);
    assert_eq!(expired.ran, Ran::Unknown);
    let answered = received.admit().refuse(expired);
    assert_eq!(
        answered.state.failure.map(|refusal| refusal.ran),
        Some(Ran::No)
    );
    // An answer about an earlier request with the same key describes that request.
    let received = Request::receive(ticket(1, "w", Lane::Urgent, 10, 1), Time(5));
    let held = received
        .admit()
        .refuse(Refusal::new(Kind::KeyInFlight, Duration::ZERO));
    assert_eq!(
        held.state.failure.map(|refusal| refusal.ran),
        Some(Ran::Unknown)
    );
}

#[test]
fn a_sent_request_is_answered_as_its_backend_reported() {
    let request = Request::receive(ticket(1, "w", Lane::Urgent, 10, 1), Time(5));
    let sent = request.admit().place(vec!["e1".into()]).dispatch();
    let failed = sent.fail(Refusal::new(Kind::BackendFailed, Duration::ZERO));
    assert_eq!(
        failed.state.failure.map(|refusal| refusal.ran),
        Some(Ran::Yes)
    );
    let request = Request::receive(ticket(2, "w", Lane::Urgent, 10, 1), Time(5));
    let sent = request.admit().place(vec!["e1".into()]).dispatch();
    assert_eq!(sent.state.engines, ["e1".into()]);
    assert!(sent.finish().state.failure.is_none());
}

#[test]
fn a_long_prompt_uses_the_long_lane_for_any_class() {
    assert_eq!(Lane::of(Priority::Urgent, LONG_TOKENS + 1), Lane::Long);
    assert_eq!(Lane::of(Priority::Urgent, LONG_TOKENS), Lane::Urgent);
    assert_eq!(Lane::of(Priority::Batch, 1), Lane::Standard);
}

#[test]
fn retry_times_of_a_refused_burst_are_spread() {
    let backlog = Duration::from_secs(10);
    let times: Vec<Duration> = (0..1_000)
        .map(|serial| {
            let id = Id {
                incarnation: 7,
                serial,
            };
            jittered_retry_after(backlog, id)
        })
        .collect();
    assert!(
        times
            .iter()
            .all(|time| (5_000..=15_000).contains(&(time.as_millis() as u64)))
    );
    for second in 5..15 {
        let within = times.iter().filter(|time| time.as_secs() == second).count();
        assert!((60..=140).contains(&within), "{within} in second {second}");
    }
}

#[test]
fn retries_never_multiply_an_overload() {
    let mut budget = Budget::default();
    let mut retries = 0;
    for _ in 0..1_000 {
        retries += u32::from(budget.try_spend(1));
    }
    assert_eq!(retries, 25, "the content of a new budget");
    for _ in 0..1_000 {
        budget.record_success();
        retries += u32::from(budget.try_spend(1));
    }
    assert!(
        (110..=126).contains(&retries),
        "a tenth of the successes: {retries}"
    );
    (0..1_000).for_each(|_| budget.record_success());
    assert!(!budget.try_spend(MAX_ATTEMPTS));
}
