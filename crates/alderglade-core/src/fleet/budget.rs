//! One budget of repeated sends for all hosts together, kept without a common place.
//!
//! In any window a service may get, beyond the first send of each request, at most a share of the requests plus a slack.
//! Each host owns an equal part of the slack and the share of its own requests; hosts that aren't heard of still count
//! for a while, so that the sum stays within the bound when the view of the others is wrong.
//!
//! Among hundreds of hosts a part is a repeat or two, while failures come where they come. A host that has used up its
//! own asks others, which lend what they don't need: what is lent counts as spent at the lender from then on, whether it
//! arrives or not, and must be used at once. So the sum stays within the bound however messages are lost, late or
//! doubled, and nobody has to agree on anything.

use crate::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// One repeated send, in the unit in which parts are counted and lent.
pub const UNITS_PER_RETRY: u32 = 1_000;
/// How long what is lent may be used, from when it was asked for. Loans are asked for when they are needed; a failure
/// seldom comes alone, so that a rest finds its use.
pub const LOAN_LIFETIME: Duration = Duration::from_millis(1_000);

/// The part of the bound that hosts spend; the rest covers hosts that came or went in the window.
const SPENT_PART: f64 = 0.6;
/// The part of the bound that hosts spend within a window of their start: the rest may have been spent before it.
const SPENT_AT_START: f64 = 1.0 - SPENT_PART;

/// The bound on repeated sends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Repeated sends allowed for each request.
    pub ratio: f64,
    /// The length of the sliding window.
    pub window: Duration,
    /// Repeated sends allowed beside the ratio, over all hosts.
    pub slack: f64,
}

/// A part of the budget, in thousandths of a repeat, and until when it counts or may be used.
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
    began: Time,
    requests: VecDeque<Time>,
    /// What was spent of the own part.
    spent: VecDeque<Amount>,
    /// What was lent of it.
    lent: VecDeque<Amount>,
    /// What others have lent, and what was not needed after all.
    borrowed: VecDeque<Amount>,
}

impl Budget {
    /// Starts with nothing spent; the host began to serve at `began`.
    pub fn new(bound: Bound, began: Time) -> Budget {
        Budget {
            bound,
            began,
            requests: VecDeque::new(),
            spent: VecDeque::new(),
            lent: VecDeque::new(),
            borrowed: VecDeque::new(),
        }
    }

    /// Notes the first send of a request.
    pub fn request(&mut self, now: Time) {
        self.trim(now);
        self.requests.push_back(now);
    }

    /// Takes one repeated send, if the host's part of `hosts`, with what it has borrowed, holds it.
    pub fn spend(&mut self, now: Time, hosts: usize) -> bool {
        if self.missing(now, hosts) > 0 {
            return false;
        }
        let mut needed = UNITS_PER_RETRY;
        while let Some(lent) = self.borrowed.front_mut().filter(|_| needed > 0) {
            let used = lent.part.min(needed);
            lent.part -= used;
            needed -= used;
            if lent.part == 0 {
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

    /// Gives what is missing for one repeated send.
    pub fn missing(&mut self, now: Time, hosts: usize) -> u32 {
        let own = self.remaining(now, hosts);
        let borrowed = self.borrowed.iter().map(|lent| lent.part);
        let left = borrowed.fold(own, u32::saturating_add);
        UNITS_PER_RETRY.saturating_sub(left)
    }

    /// Takes back the last repeated send that was spent, since it reached no server. Where a part of it was borrowed it is
    /// lost: its lender counts it for just as long as it might have been used.
    pub fn refund(&mut self) {
        let last = self
            .spent
            .back()
            .filter(|last| last.part == UNITS_PER_RETRY);
        if last.is_some() {
            self.spent.pop_back();
        }
    }

    /// Lends another host as much as it asks for, if that is left; gives how much.
    pub fn lend(&mut self, asked: u32, now: Time, hosts: usize) -> u32 {
        let part = self.remaining(now, hosts).min(asked).min(UNITS_PER_RETRY);
        if part > 0 {
            // It is used later than now, but before `LOAN_LIFETIME` is over, and counts for a window from then on.
            let until = now + LOAN_LIFETIME + self.bound.window;
            self.lent.push_back(Amount { part, until });
        }
        part
    }

    /// Takes what another host has lent.
    pub fn deposit(&mut self, part: u32, until: Time) {
        self.borrowed.push_back(Amount { part, until });
    }

    /// Gives what is left of the host's own part, in thousandths of a repeat.
    pub fn remaining(&mut self, now: Time, hosts: usize) -> u32 {
        self.trim(now);
        let has_started = now.since(self.began) <= self.bound.window + LOAN_LIFETIME;
        let part = if has_started {
            SPENT_AT_START
        } else {
            SPENT_PART
        };
        let slack = self.bound.slack / hosts.max(1) as f64;
        let earned = self.bound.ratio * self.requests.len() as f64;
        let most = part * (slack + earned) * f64::from(UNITS_PER_RETRY);
        let gone = self.spent.iter().chain(&self.lent);
        let gone = gone.map(|amount| amount.part);
        // Casting from floats saturates.
        (most as u32).saturating_sub(gone.fold(0, u32::saturating_add))
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
