//! Rates per workspace that hold over several entry hosts.
//!
//! A workspace's home owns the rate and lends slices of it: a host asks for what it expects to
//! need in the next moment and may start that much. The error is the sum of the slices that are
//! out. A slice lapses, and a host that can't reach the home falls back to an equal part of the
//! rate, so that a cut-off host neither stops nor doubles the rate.

use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A slice is good for this long.
pub const SLICE_LIFE: Duration = Duration::from_millis(500);
/// A bucket holds what the rate gives in this many seconds.
const BURST_SECONDS: f64 = 1.0;

/// What a request costs: itself and its prompt tokens.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Cost {
    /// Requests.
    pub requests: f64,
    /// Prompt tokens.
    pub tokens: f64,
}

impl Cost {
    /// The cost of one request with a prompt of `tokens`.
    pub fn of(tokens: u64) -> Cost {
        Cost {
            requests: 1.0,
            tokens: tokens as f64,
        }
    }

    fn covers(self, other: Cost) -> bool {
        self.requests >= other.requests && self.tokens >= other.tokens
    }

    fn minus(self, other: Cost) -> Cost {
        Cost {
            requests: self.requests - other.requests,
            tokens: self.tokens - other.tokens,
        }
    }

    fn plus(self, other: Cost) -> Cost {
        Cost {
            requests: self.requests + other.requests,
            tokens: self.tokens + other.tokens,
        }
    }

    fn times(self, factor: f64) -> Cost {
        Cost {
            requests: self.requests * factor,
            tokens: self.tokens * factor,
        }
    }

    fn at_most(self, other: Cost) -> Cost {
        Cost {
            requests: self.requests.min(other.requests),
            tokens: self.tokens.min(other.tokens),
        }
    }
}

/// A rate a second; infinite where there is no limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rate(pub Cost);

impl Rate {
    /// Makes a rate from settings; `None` is no limit.
    pub fn new(requests: Option<u64>, tokens: Option<u64>) -> Rate {
        Rate(Cost {
            requests: requests.map_or(f64::INFINITY, |rate| rate as f64),
            tokens: tokens.map_or(f64::INFINITY, |rate| rate as f64),
        })
    }

    /// Says whether there is no limit at all.
    pub fn is_free(self) -> bool {
        self.0.requests.is_infinite() && self.0.tokens.is_infinite()
    }

    /// Gives a part of the rate, in thousandths.
    pub fn per_mille(self, share: u64) -> Rate {
        Rate(self.0.times(share as f64 / 1_000.0))
    }

    fn part(self, hosts: usize) -> Rate {
        Rate(self.0.times(1.0 / hosts.max(1) as f64))
    }
}

/// A bucket that fills at a rate. A prompt larger than the bucket may run it into debt once full.
#[derive(Debug, Clone, Copy)]
pub struct Bucket {
    level: Cost,
    at: Time,
}

impl Bucket {
    /// Starts full.
    pub fn full(rate: Rate, now: Time) -> Bucket {
        let level = rate.0.times(BURST_SECONDS);
        Bucket { level, at: now }
    }

    fn fill(&mut self, rate: Rate, now: Time) {
        let seconds = now.since(self.at).as_secs_f64();
        self.at = now;
        if seconds > 0.0 {
            self.level = self.level.plus(rate.0.times(seconds));
        }
        self.level = self.level.at_most(rate.0.times(BURST_SECONDS));
    }

    /// Takes a cost, or says after how long it will be there.
    ///
    /// # Errors
    ///
    /// Gives the time after which the bucket will cover the cost.
    pub fn take(&mut self, rate: Rate, cost: Cost, now: Time) -> Result<(), Duration> {
        self.fill(rate, now);
        let wanted = cost.at_most(rate.0.times(BURST_SECONDS));
        if self.level.covers(wanted) {
            self.level = self.level.minus(cost);
            return Ok(());
        }
        let missing = wanted.minus(self.level);
        let seconds = (missing.requests / rate.0.requests).max(missing.tokens / rate.0.tokens);
        Err(Duration::from_secs_f64(seconds.clamp(0.001, 3_600.0)))
    }

    /// Takes as much of `wanted` as is there.
    pub fn lend(&mut self, rate: Rate, wanted: Cost, now: Time) -> Cost {
        self.fill(rate, now);
        let none = Cost::default();
        let lent = wanted.at_most(self.level);
        let lent = Cost {
            requests: lent.requests.max(none.requests),
            tokens: lent.tokens.max(none.tokens),
        };
        self.level = self.level.minus(lent);
        lent
    }
}

/// What one entry host may start for a workspace.
#[derive(Debug, Clone, Copy)]
pub struct Share {
    slice: Cost,
    lapses: Time,
    fallback: Bucket,
}

impl Share {
    /// Starts with no slice, and an equal part among `hosts` to fall back to.
    pub fn new(rate: Rate, hosts: usize, now: Time) -> Share {
        Share {
            slice: Cost::default(),
            lapses: Time(0),
            fallback: Bucket::full(rate.part(hosts), now),
        }
    }

    /// Takes a cost from the slice, if it covers it.
    pub fn take(&mut self, cost: Cost, now: Time) -> bool {
        let covered = now < self.lapses && self.slice.covers(cost);
        if covered {
            self.slice = self.slice.minus(cost);
        }
        covered
    }

    /// Takes a cost from the host's own part, because the home can't be reached.
    ///
    /// # Errors
    ///
    /// Gives the time after which the part will cover the cost.
    pub fn take_fallback(
        &mut self,
        rate: Rate,
        hosts: usize,
        cost: Cost,
        now: Time,
    ) -> Result<(), Duration> {
        self.fallback.take(rate.part(hosts), cost, now)
    }

    /// Adds a slice from the home to what is left of the last one.
    pub fn lent(&mut self, slice: Cost, now: Time) {
        let left = if now < self.lapses {
            self.slice
        } else {
            Cost::default()
        };
        self.slice = left.plus(slice);
        self.lapses = now + SLICE_LIFE;
    }
}

/// What a home lends beyond the cost asked for, as a factor, so that not each request asks.
const AHEAD: f64 = 2.0;

/// The home's side of one workspace's rate.
#[derive(Debug, Clone, Copy)]
pub struct Loan {
    bucket: Bucket,
}

impl Loan {
    /// Starts with a full bucket.
    pub fn new(rate: Rate, now: Time) -> Loan {
        Loan {
            bucket: Bucket::full(rate, now),
        }
    }

    /// Lends a slice that covers `cost`, and as much again where the bucket holds it.
    ///
    /// # Errors
    ///
    /// Gives the time after which the bucket will cover the cost.
    pub fn lend(&mut self, rate: Rate, cost: Cost, now: Time) -> Result<Cost, Duration> {
        self.bucket.take(rate, cost, now)?;
        let more = self.bucket.lend(rate, cost.times(AHEAD - 1.0), now);
        Ok(cost.plus(more))
    }
}
