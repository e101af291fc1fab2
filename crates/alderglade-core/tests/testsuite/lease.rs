//! Lease and fencing: several candidates, an object store and random delays.

use crate::each_seed;
use alderglade_core::lease::{Action, Candidate, LEASE_DURATION, ORDER_TIMEOUT, Versioned};
use alderglade_core::time::Time;
use std::time::Duration;

/// A candidate whose clock differs from the others' and whose process is stopped at times.
struct Host {
    candidate: Candidate,
    clock_ahead: Duration,
    stopped_until: Time,
}

#[test]
fn no_two_hosts_send_orders_concurrently_and_epochs_only_grow() {
    each_seed(100, |u| {
        let mut store = Versioned::default();
        let mut hosts = Vec::new();
        for number in 0..3 {
            hosts.push(Host {
                candidate: Candidate::new(format!("h{number}").into(), 1),
                clock_ahead: Duration::from_millis(u.int_in_range(0..=100_000)?),
                stopped_until: Time(0),
            });
        }
        let mut now = Time::from_millis(1_000);
        let mut last_order: Option<(u64, Time)> = None;
        for _ in 0..600 {
            now = now + Duration::from_millis(u.int_in_range(50..=300)?);
            let number = u.int_in_range(0..=2)?;
            let host = &mut hosts[number];
            if now < host.stopped_until {
                continue;
            }
            if u.ratio(1, 80)? {
                host.stopped_until = now + Duration::from_secs(u.int_in_range(1..=30)?);
                continue;
            }
            let own = now + host.clock_ahead;
            match host.candidate.tick(u.ratio(9, 10)?, own) {
                Some(Action::Read) => host.candidate.apply_read(store.clone(), own),
                Some(Action::Write(lease)) if u.ratio(1, 8)? => {
                    // The response is lost, but the write may have taken effect.
                    if lease.version == store.version && u.ratio(1, 2)? {
                        store = next(&store, lease);
                    }
                    host.candidate.apply_write(None, own, own);
                }
                Some(Action::Write(lease)) if lease.version == store.version => {
                    store = next(&store, lease);
                    host.candidate.apply_write(Some(store.clone()), own, own);
                }
                Some(Action::Write(_)) => host.candidate.apply_write(None, own, own),
                None => {}
            }
            if let Some(epoch) = host.candidate.order_epoch(false, own) {
                if let Some((before, at)) = last_order {
                    assert!(epoch >= before, "epoch {epoch} after {before}");
                    let overlap = epoch > before && now.since(at) < ORDER_TIMEOUT;
                    assert!(
                        !overlap,
                        "an order of epoch {before} may still be in flight"
                    );
                }
                last_order = Some((epoch, now));
            }
        }
        Ok(())
    });
}

fn next(store: &Versioned, lease: Versioned) -> Versioned {
    Versioned {
        record: lease.record,
        version: store.version + 1,
    }
}

#[test]
fn a_holder_that_was_stopped_too_long_loses_the_lease() {
    let mut candidate = Candidate::new("h".into(), 1);
    let now = Time::from_millis(1_000);
    assert_eq!(candidate.tick(true, now), Some(Action::Read));
    candidate.apply_read(Versioned::default(), now);
    let later = now + LEASE_DURATION;
    let Some(Action::Write(lease)) = candidate.tick(true, later) else {
        panic!("the candidate should take an empty lease");
    };
    candidate.apply_write(Some(next(&Versioned::default(), lease)), later, later);
    assert!(candidate.order_epoch(true, later).is_some());
    assert!(
        candidate.order_epoch(false, later).is_none(),
        "an earlier holder's orders may be in flight"
    );
    assert!(
        candidate
            .order_epoch(false, later + ORDER_TIMEOUT)
            .is_some()
    );
    assert!(candidate.held(later + LEASE_DURATION).is_none());
}
