//! Rate limits across several hosts: the error is bounded by the outstanding slices.

use crate::each_seed;
use alderglade_core::limit::{Cost, Loan, Rate, SLICE_LIFETIME, Share};
use alderglade_core::time::Time;
use std::time::Duration;

const RATE: u64 = 100;

/// Returns how many requests `hosts` hosts start together in ten seconds.
///
/// Each host requests a slice from the home when its slice is used up, or uses its fallback if it is
/// `disconnected`.
fn started(
    u: &mut arbtest::arbitrary::Unstructured<'_>,
    hosts: usize,
    disconnected: bool,
) -> arbtest::arbitrary::Result<u64> {
    let rate = Rate::new(Some(RATE), None);
    let mut now = Time::from_millis(1_000);
    let end = now + Duration::from_secs(10);
    let mut loan = Loan::new(rate, now);
    let mut shares: Vec<Share> = (0..hosts).map(|_| Share::new(rate, hosts, now)).collect();
    let mut started = 0;
    while now < end {
        now = now + Duration::from_micros(u.int_in_range(200..=4_000)?);
        let host = u.int_in_range(0..=hosts - 1)?;
        let cost = Cost::of(1);
        if shares[host].take(cost, now) {
            started += 1;
            continue;
        }
        if disconnected {
            started += u64::from(shares[host].take_fallback(rate, hosts, cost, now).is_ok());
            continue;
        }
        if let Ok(slice) = loan.lend(rate, cost, now) {
            shares[host].add_slice(slice, now);
            started += u64::from(shares[host].take(cost, now));
        }
    }
    Ok(started)
}

#[test]
fn holds_over_hosts_within_the_slices_that_are_out() {
    each_seed(20, |u| {
        let hosts = u.int_in_range(1..=8)?;
        // The bucket starts full; each host may hold one slice of two requests when it ends.
        let max = RATE * 11 + hosts as u64 * 2;
        let started = started(u, hosts, false)?;
        assert!(started <= max, "{started} of {max}");
        Ok(())
    });
}

#[test]
fn disconnected_hosts_stay_within_their_fallback_shares() {
    each_seed(20, |u| {
        let hosts = u.int_in_range(1..=8)?;
        let started = started(u, hosts, true)?;
        assert!(started <= RATE * 11 + hosts as u64, "{started}");
        Ok(())
    });
}

#[test]
fn a_slice_expires() {
    let rate = Rate::new(Some(RATE), None);
    let now = Time::from_millis(1_000);
    let mut share = Share::new(rate, 2, now);
    share.add_slice(Cost::of(0), now);
    assert!(share.take(Cost::of(0), now));
    share.add_slice(Cost::of(0), now);
    assert!(!share.take(Cost::of(0), now + SLICE_LIFETIME));
}

#[test]
fn a_refused_loan_reports_when_the_rate_is_available() {
    let rate = Rate::new(Some(10), Some(1_000));
    let now = Time::from_millis(1_000);
    let mut loan = Loan::new(rate, now);
    let mut lent = 0;
    let retry_after = loop {
        match loan.lend(rate, Cost::of(100), now) {
            Ok(_) => lent += 1,
            Err(retry_after) => break retry_after,
        }
    };
    assert!(
        lent >= 5,
        "a full bucket lends at least half of its content in single loans: {lent}"
    );
    assert!(loan.lend(rate, Cost::of(100), now + retry_after).is_ok());
}
