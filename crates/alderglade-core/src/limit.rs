//! Rate limits per workspace across several entry hosts.
//!
//! A workspace's home owns the rate and lends slices of it. A host requests a slice for the work
//! that it is about to start, and may start that much. The error of the limit is the sum of the
//! outstanding slices. Slices expire. A host that can't reach the home falls back to an equal share
//! of the rate, so that a disconnected host neither stops its callers nor doubles the rate.

use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A slice expires after this time.
pub const SLICE_LIFETIME: Duration = Duration::from_millis(500);
/// Capacity of a bucket, in seconds of its rate.
const BURST_SECONDS: f64 = 1.0;

/// The cost of requests against a rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Cost {
    /// Number of requests.
    pub requests: f64,
    /// Number of prompt tokens.
    pub tokens: f64,
}

impl Cost {
    /// Returns the cost of one request with a prompt of `tokens`.
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

/// A rate per second; infinite if there is no limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rate(pub Cost);

impl Rate {
    /// Creates a rate from settings. `None` means no limit.
    pub fn new(requests: Option<u64>, tokens: Option<u64>) -> Rate {
        Rate(Cost {
            requests: requests.map_or(f64::INFINITY, |rate| rate as f64),
            tokens: tokens.map_or(f64::INFINITY, |rate| rate as f64),
        })
    }

    /// Returns whether neither requests nor tokens are limited.
    pub fn is_unlimited(self) -> bool {
        self.0.requests.is_infinite() && self.0.tokens.is_infinite()
    }

    /// Returns `share` thousandths of the rate.
    pub fn per_mille(self, share: u64) -> Rate {
        Rate(self.0.times(share as f64 / 1_000.0))
    }

    fn per_host(self, hosts: usize) -> Rate {
        Rate(self.0.times(1.0 / hosts.max(1) as f64))
    }
}

/// A token bucket. A cost larger than the bucket is accepted when the bucket is full and leaves it
/// in debt.
#[derive(Debug, Clone, Copy)]
pub struct Bucket {
    level: Cost,
    filled_at: Time,
}

impl Bucket {
    /// Creates a full bucket.
    pub fn full(rate: Rate, now: Time) -> Bucket {
        let level = rate.0.times(BURST_SECONDS);
        Bucket {
            level,
            filled_at: now,
        }
    }

    fn fill(&mut self, rate: Rate, now: Time) {
        let seconds = now.since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        if seconds > 0.0 {
            self.level = self.level.plus(rate.0.times(seconds));
        }
        self.level = self.level.at_most(rate.0.times(BURST_SECONDS));
    }

    /// Takes a cost from the bucket.
    ///
    /// # Errors
    ///
    /// Returns the time after which the bucket will cover the cost, if it doesn't now.
    pub fn take(&mut self, rate: Rate, cost: Cost, now: Time) -> Result<(), Duration> {
        self.fill(rate, now);
        let required = cost.at_most(rate.0.times(BURST_SECONDS));
        if self.level.covers(required) {
            self.level = self.level.minus(cost);
            return Ok(());
        }
        let missing = required.minus(self.level);
        let seconds = (missing.requests / rate.0.requests).max(missing.tokens / rate.0.tokens);
        Err(Duration::from_secs_f64(seconds.clamp(0.001, 3_600.0)))
    }

    /// Takes as much of `wanted` as the bucket holds, and returns it.
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

/// One entry host's share of a workspace's rate.
#[derive(Debug, Clone, Copy)]
pub struct Share {
    slice: Cost,
    expires_at: Time,
    fallback: Bucket,
}

impl Share {
    /// Creates a share without a slice. Its fallback is an equal part of the rate among `hosts`.
    pub fn new(rate: Rate, hosts: usize, now: Time) -> Share {
        Share {
            slice: Cost::default(),
            expires_at: Time(0),
            fallback: Bucket::full(rate.per_host(hosts), now),
        }
    }

    /// Takes a cost from the slice. Returns whether the slice covered it.
    pub fn take(&mut self, cost: Cost, now: Time) -> bool {
        let covered = now < self.expires_at && self.slice.covers(cost);
        if covered {
            self.slice = self.slice.minus(cost);
        }
        covered
    }

    /// Takes a cost from the fallback, for use while the home can't be reached.
    ///
    /// # Errors
    ///
    /// Returns the time after which the fallback will cover the cost, if it doesn't now.
    pub fn take_fallback(
        &mut self,
        rate: Rate,
        hosts: usize,
        cost: Cost,
        now: Time,
    ) -> Result<(), Duration> {
        self.fallback.take(rate.per_host(hosts), cost, now)
    }

    /// Adds a slice from the home to the rest of the previous one.
    pub fn add_slice(&mut self, slice: Cost, now: Time) {
        let remaining = if now < self.expires_at {
            self.slice
        } else {
            Cost::default()
        };
        self.slice = remaining.plus(slice);
        self.expires_at = now + SLICE_LIFETIME;
    }
}

/// Size of a lent slice as a multiple of the requested cost. With more than `1`, a host doesn't have
/// to ask the home for every request.
const LOAN_FACTOR: f64 = 2.0;

/// The home's state of one workspace's rate.
#[derive(Debug, Clone, Copy)]
pub struct Loan {
    bucket: Bucket,
}

impl Loan {
    /// Creates a loan with a full bucket.
    pub fn new(rate: Rate, now: Time) -> Loan {
        Loan {
            bucket: Bucket::full(rate, now),
        }
    }

    /// Lends a slice that covers `cost`, and up to the same amount on top if the bucket holds it.
    ///
    /// # Errors
    ///
    /// Returns the time after which the bucket will cover `cost`, if it doesn't now.
    pub fn lend(&mut self, rate: Rate, cost: Cost, now: Time) -> Result<Cost, Duration> {
        self.bucket.take(rate, cost, now)?;
        let extra = self.bucket.lend(rate, cost.times(LOAN_FACTOR - 1.0), now);
        Ok(cost.plus(extra))
    }
}
