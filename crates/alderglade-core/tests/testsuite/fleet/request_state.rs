//! A refusal reports "not run" only if the request can't have run.

use crate::each_seed;
use alderglade_core::error::{Kind, Ran, TABLE};
use alderglade_core::fleet::request_state::{RequestState, Waiting};
use std::time::Duration;

const RETRY_AFTER: Duration = Duration::from_millis(100);

#[test]
fn a_request_that_was_never_sent_did_not_run() {
    let refusal = RequestState::new().refuse(Kind::Overloaded, RETRY_AFTER);
    assert_eq!(refusal.ran, Ran::No);
    assert_eq!(refusal.kind, Kind::Overloaded);
    assert_eq!(refusal.retry_after, Some(RETRY_AFTER));
}

#[test]
fn a_disclaimer_after_a_loss_does_not_undo_the_loss() {
    let request_state = RequestState::new().send().lost().send().disclaimed();
    let refusal = request_state.refuse(Kind::Overloaded, RETRY_AFTER);
    assert_ne!(refusal.ran, Ran::No);
}

/// Returns whether the status of a kind promises that the request did not run.
fn promises_not_run(kind: Kind) -> bool {
    matches!(kind.row().status, 408 | 421 | 429 | 503)
}

#[test]
fn no_request_with_a_loss_gets_a_status_that_promises_it_did_not_run() {
    each_seed(40, |u| {
        let mut request_state: RequestState<Waiting> = RequestState::new();
        let mut lost = false;
        for _ in 0..u.int_in_range(0..=6)? {
            let sent = request_state.send();
            request_state = match u.int_in_range(0..=2)? {
                0 => sent.never_sent(),
                1 => sent.disclaimed(),
                _ => {
                    lost = true;
                    sent.lost()
                }
            };
        }
        assert_eq!(request_state.may_have_run(), lost);
        for row in &TABLE {
            let refusal = request_state.refuse(row.kind, RETRY_AFTER);
            if lost {
                assert!(!promises_not_run(refusal.kind), "{}", row.label);
                assert_ne!(refusal.ran, Ran::No, "{}", row.label);
            }
        }
        Ok(())
    });
}
