//! One retry budget that all hosts share without central state.
//!
//! In any window, a service may receive retries for at most a share of the requests plus a slack.
//! Each host owns an equal part of the slack and the share of its own requests. Hosts that are no longer heard still
//! count for a while, so that the sum stays within the bound when a host's view of the others is wrong.
//!
//! Among hundreds of hosts a part is a retry or two, while failures concentrate on a few hosts. A host that has used
//! up its own part asks others, which lend what they don't need. A loan counts as spent at the lender from then on,
//! whether it arrives or not, and must be used at once. So the sum stays within the bound even if messages are lost,
//! late or duplicated, and the hosts need no consensus.

use crate::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Units in which parts of the budget are counted and lent, per retry.
pub const UNITS_PER_RETRY: u32 = 1_000;
/// How long a loan may be used, counted from its request. Loans are requested when they are needed. Failures seldom
/// come alone, so that a remainder is used soon, too.
pub const LOAN_LIFETIME: Duration = Duration::from_millis(1_000);

/// Fraction of the bound that hosts spend. The rest covers hosts that joined or left within the window.
const SPENDABLE_FRACTION: f64 = 0.6;
/// Fraction of the bound that a host spends within one window of its start. Its previous incarnation may have spent the
/// rest.
const SPENDABLE_FRACTION_AT_START: f64 = 1.0 - SPENDABLE_FRACTION;

/// The bound on retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// The length of the sliding window.
    pub window: Duration,
    /// Retries allowed in addition to the ratio, over all hosts.
    pub slack: f64,
}

/// A part of the budget, in units, and until when it counts or may be used.
#[derive(Debug, Clone, Copy)]
struct Amount {
    part: u32,
    until: Time,
}

/// One host's part of the budget of one service.
#[derive(Debug)]
pub struct Budget {
    bound: Bound,
    /// When the host began to serve.
    started_at: Time,
    requests: VecDeque<Time>,
    /// What was spent of the host's own part.
    spent: VecDeque<Amount>,
    /// What was lent of it.
    lent: VecDeque<Amount>,
    /// Loans from other hosts that are still unused.
    borrowed: VecDeque<Amount>,
}

impl Budget {
    /// Creates a budget of which nothing is spent; the host began to serve at `started_at`.
    pub fn new(bound: Bound, started_at: Time) -> Budget {
        Budget {
            bound,
            started_at,
            requests: VecDeque::new(),
            spent: VecDeque::new(),
            lent: VecDeque::new(),
            borrowed: VecDeque::new(),
        }
    }

    /// Records the first send of a request.
    pub fn record_request(&mut self, now: Time) {
        self.trim(now);
        self.requests.push_back(now);
    }

    /// Spends one retry. Returns whether the host's own part among `hosts` hosts and its loans were enough for it.
    pub fn spend(&mut self, now: Time, hosts: usize) -> bool {
        if self.missing(now, hosts) > 0 {
            return false;
        }
        let mut needed = UNITS_PER_RETRY;
        while let Some(loan) = self.borrowed.front_mut().filter(|_| needed > 0) {
            let used = loan.part.min(needed);
            loan.part -= used;
            needed -= used;
            if loan.part == 0 {
                self.borrowed.pop_front();
            }
        }
        if needed > 0 {
            let until = now + self.bound.window;
            self.spent.push_back(Amount {
                part: needed,
                until,
            });
        }
        true
    }

    /// Returns how many units are missing for one retry.
    pub fn missing(&mut self, now: Time, hosts: usize) -> u32 {
        let own = self.remaining(now, hosts);
        let borrowed = self.borrowed.iter().map(|loan| loan.part);
        let available = borrowed.fold(own, u32::saturating_add);
        UNITS_PER_RETRY.saturating_sub(available)
    }

    /// Refunds the last retry, since it reached no server. A retry that was partly borrowed isn't refunded: the
    /// lender counts the loan only as long as it might have been used.
    pub fn refund(&mut self) {
        let last = self
            .spent
            .back()
            .filter(|last| last.part == UNITS_PER_RETRY);
        if last.is_some() {
            self.spent.pop_back();
        }
    }

    /// Lends another host as much of `requested` units as remains. Returns how many units were lent.
    pub fn lend(&mut self, requested: u32, now: Time, hosts: usize) -> u32 {
        let part = self
            .remaining(now, hosts)
            .min(requested)
            .min(UNITS_PER_RETRY);
        if part > 0 {
            // The borrower uses the loan before `LOAN_LIFETIME` is over, and it counts for a window from then on.
            let until = now + LOAN_LIFETIME + self.bound.window;
            self.lent.push_back(Amount { part, until });
        }
        part
    }

    /// Adds a loan of another host.
    pub fn deposit(&mut self, part: u32, until: Time) {
        self.borrowed.push_back(Amount { part, until });
    }

    /// Returns how many units remain of the host's own part.
    pub fn remaining(&mut self, now: Time, hosts: usize) -> u32 {
        self.trim(now);
        let just_started = now.since(self.started_at) <= self.bound.window + LOAN_LIFETIME;
        let fraction = if just_started {
            SPENDABLE_FRACTION_AT_START
        } else {
            SPENDABLE_FRACTION
        };
        let slack = self.bound.slack / hosts.max(1) as f64;
        let earned = self.bound.ratio * self.requests.len() as f64;
        let total = fraction * (slack + earned) * f64::from(UNITS_PER_RETRY);
        let used = self.spent.iter().chain(&self.lent);
        let used = used.map(|amount| amount.part);
        // Casts from floats saturate.
        (total as u32).saturating_sub(used.fold(0, u32::saturating_add))
    }

    fn trim(&mut self, now: Time) {
        let start = now - self.bound.window;
        while self.requests.front().is_some_and(|at| *at < start) {
            self.requests.pop_front();
        }
        for amounts in [&mut self.spent, &mut self.lent, &mut self.borrowed] {
            amounts.retain(|amount| amount.until >= now);
        }
    }
}
