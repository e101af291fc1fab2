//! A refusal says "not run" only where nothing can have run.

use crate::each_seed;
use alderglade_core::error::{Kind, Ran, TABLE};
use alderglade_core::fleet::life::{Life, Waiting};
use std::time::Duration;

const AFTER: Duration = Duration::from_millis(100);

#[test]
fn a_request_that_was_never_sent_did_not_run() {
    let refusal = Life::new().refuse(Kind::Overloaded, AFTER);
    assert_eq!(refusal.ran, Ran::No);
    assert_eq!(refusal.kind, Kind::Overloaded);
    assert_eq!(refusal.retry_after, Some(AFTER));
}

#[test]
fn a_disclaimer_after_a_loss_does_not_undo_the_loss() {
    let life = Life::new().send().lost().send().disclaimed();
    let refusal = life.refuse(Kind::Overloaded, AFTER);
    assert_ne!(refusal.ran, Ran::No);
}

/// The statuses that promise that a request did not run.
fn promises(kind: Kind) -> bool {
    matches!(kind.row().status, 408 | 421 | 429 | 503)
}

#[test]
fn no_history_with_a_loss_gives_a_status_that_promises() {
    each_seed(40, |u| {
        let mut life: Life<Waiting> = Life::new();
        let mut lost = false;
        for _ in 0..u.int_in_range(0..=6)? {
            let sent = life.send();
            life = match u.int_in_range(0..=2)? {
                0 => sent.never_sent(),
                1 => sent.disclaimed(),
                _ => {
                    lost = true;
                    sent.lost()
                }
            };
        }
        assert_eq!(life.may_have_run(), lost);
        for row in &TABLE {
            let refusal = life.refuse(row.kind, AFTER);
            if lost {
                assert!(!promises(refusal.kind), "{}", row.label);
                assert_ne!(refusal.ran, Ran::No, "{}", row.label);
            }
        }
        Ok(())
    });
}
