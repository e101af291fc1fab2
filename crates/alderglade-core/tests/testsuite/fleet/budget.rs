//! The retry budget: it stays within the bound over all hosts and in any window.

use crate::each_seed;
use alderglade_core::fleet::budget::{Bound, Budget, UNITS_PER_RETRY};
use alderglade_core::time::Time;
use std::time::Duration;

const BOUND: Bound = Bound {
    ratio: 0.2,
    window: Duration::from_secs(10),
    slack: 100.0,
};

#[test]
fn all_hosts_together_stay_within_the_bound_in_every_window() {
    each_seed(20, |u| {
        let hosts = u.int_in_range(1..=8)?;
        let mut budgets: Vec<Budget> = (0..hosts).map(|_| Budget::new(BOUND, Time(0))).collect();
        let mut now = Time(0);
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        for _ in 0..2_000 {
            now = now + Duration::from_millis(u.int_in_range(0..=12)?);
            let host = u.int_in_range(0..=hosts - 1)?;
            if u.ratio(1, 4)? {
                budgets[host].record_request(now);
                requests.push(now);
            }
            if budgets[host].spend(now, hosts) {
                retries.push(now);
            }
        }
        for end in &retries {
            let within = |times: &[Time]| {
                let start = *end - BOUND.window;
                times
                    .iter()
                    .filter(|at| **at >= start && *at <= end)
                    .count() as f64
            };
            let most = BOUND.ratio * within(&requests) + BOUND.slack;
            assert!(within(&retries) <= most, "{} of {most}", within(&retries));
        }
        Ok(())
    });
}

#[test]
fn a_host_alone_has_some_retries_before_any_request() {
    let mut budget = Budget::new(BOUND, Time(0));
    assert!(budget.spend(Time(0), 1));
}

#[test]
fn what_was_spent_is_available_again_after_the_window() {
    let mut budget = Budget::new(BOUND, Time(0));
    while budget.spend(Time(0), 4) {}
    assert!(!budget.spend(Time(0) + BOUND.window, 4));
    let later = Time(0) + BOUND.window + Duration::from_millis(1);
    assert!(budget.spend(later, 4));
}

/// It doesn't know what its previous incarnation spent.
#[test]
fn a_host_that_has_just_started_spends_what_its_previous_incarnation_left() {
    let spend_all =
        |budget: &mut Budget, now| (0..1_000).take_while(|_| budget.spend(now, 1)).count();
    let mut previous = Budget::new(BOUND, Time(0));
    let later = Time(0) + BOUND.window * 3;
    let before = spend_all(&mut previous, later);
    let mut next = Budget::new(BOUND, later);
    let after = spend_all(&mut next, later);
    assert_eq!(before, 60);
    assert_eq!(before + after, 100);
}

#[test]
fn a_retry_that_reached_no_server_is_refunded() {
    let mut budget = Budget::new(BOUND, Time(0));
    while budget.spend(Time(0), 4) {}
    budget.refund();
    assert!(budget.spend(Time(0), 4));
    assert!(!budget.spend(Time(0), 4));
}

/// The host that borrowed it may still use it.
#[test]
fn a_refund_never_includes_a_loan() {
    let now = Time(0) + BOUND.window * 3;
    let mut budget = Budget::new(BOUND, Time(0));
    let whole = budget.remaining(now, 4);
    assert!(budget.spend(now, 4));
    assert_eq!(budget.lend(UNITS_PER_RETRY, now, 4), UNITS_PER_RETRY);
    budget.refund();
    assert_eq!(budget.remaining(now, 4), whole - UNITS_PER_RETRY);
    budget.refund();
    assert_eq!(budget.remaining(now, 4), whole - UNITS_PER_RETRY);
}
