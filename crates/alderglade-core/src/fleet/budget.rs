//! One budget of repeated sends for all hosts together, kept without a common place.
//!
//! In any window a service may get, beyond the first send of each request, at most a share of the
//! requests plus a slack. Each host spends from an equal part of the slack and from the share of
//! its own requests; hosts that aren't heard of still count for a while, so that the sum stays
//! within the bound when the view of the others is wrong.

use crate::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// The part of the bound that hosts spend; the rest covers hosts that came or went in the window.
const SPENT_PART: f64 = 0.6;

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

/// One host's part of the budget of one service.
#[derive(Debug)]
pub struct Budget {
    bound: Bound,
    requests: VecDeque<Time>,
    repeats: VecDeque<Time>,
}

impl Budget {
    /// Starts with nothing spent.
    pub fn new(bound: Bound) -> Budget {
        Budget {
            bound,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    /// Notes the first send of a request.
    pub fn request(&mut self, now: Time) {
        self.trim(now);
        self.requests.push_back(now);
    }

    /// Takes one repeated send, if the host's part of `hosts` holds it.
    pub fn spend(&mut self, now: Time, hosts: usize) -> bool {
        self.trim(now);
        let slack = self.bound.slack / hosts.max(1) as f64;
        let earned = self.bound.ratio * self.requests.len() as f64;
        let most = SPENT_PART * (slack + earned);
        if self.repeats.len() as f64 + 1.0 > most {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    fn trim(&mut self, now: Time) {
        let start = now - self.bound.window;
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|at| *at < start) {
                times.pop_front();
            }
        }
    }
}
