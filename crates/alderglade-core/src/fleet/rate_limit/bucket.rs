//! The token bucket from which the owner of a limit issues grants.

use crate::Name;
use crate::fleet::heartbeat;
use crate::fleet::statement::Rate;
use crate::time::Time;
use std::collections::HashMap;
use std::time::Duration;

/// How long an owner that may have a predecessor grants nothing. By then the hosts that still ask the predecessor
/// have learnt that it is gone or was replaced.
const SETTLE_TIME: Duration = heartbeat::MAX_INTERVAL;
/// The time for which unused grants accumulate.
const ACCUMULATION_TIME: Duration = Duration::from_millis(250);
/// The longest wait for a grant that a host is assigned. Hosts ahead of it may need no grant any more by then.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// The grants of one limit.
#[derive(Debug)]
pub(super) struct Bucket {
    /// The number of grants available.
    tokens: f64,
    /// The time up to which tokens were added.
    refilled_to: Time,
    /// Hosts that were told to retry later, and when.
    waiting: HashMap<Name, Time>,
}

impl Bucket {
    /// Creates the bucket of a limit's first owner.
    pub(super) fn new(now: Time) -> Bucket {
        Bucket {
            tokens: 1.0,
            refilled_to: now,
            waiting: HashMap::new(),
        }
    }

    /// Creates the bucket of an owner that may have a predecessor. It is empty, and isn't refilled until
    /// [`SETTLE_TIME`] is over.
    pub(super) fn for_successor(now: Time) -> Bucket {
        Bucket {
            tokens: 0.0,
            refilled_to: now + SETTLE_TIME,
            waiting: HashMap::new(),
        }
    }

    /// Takes a grant for a host. Returns how long the host must wait for one; zero if the grant was taken.
    ///
    /// Waiting hosts are assigned different times, one after the other, so that each of them gets its share and few
    /// ask again without success.
    pub(super) fn take(&mut self, host: &Name, rate: Rate, now: Time) -> Duration {
        self.refill(rate, now);
        self.waiting.retain(|_, at| *at > now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            self.waiting.remove(host);
            return Duration::ZERO;
        }
        if let Some(at) = self.waiting.get(host) {
            return at.left(now);
        }
        let time_to_token = Duration::from_secs_f64((1.0 - self.tokens) / rate.get());
        let next = self.refilled_to.max(now) + time_to_token;
        let last = self.waiting.values().max().copied();
        let slot = last.map_or(next, |last| next.max(last + rate.interval()));
        let at = slot.min(now + MAX_WAIT);
        self.waiting.insert(host.clone(), at);
        at.left(now)
    }

    fn refill(&mut self, rate: Rate, now: Time) {
        let elapsed = now.since(self.refilled_to);
        self.refilled_to = self.refilled_to.max(now);
        let capacity = (rate.get() * ACCUMULATION_TIME.as_secs_f64()).max(1.0);
        self.tokens = (self.tokens + rate.get() * elapsed.as_secs_f64()).min(capacity);
    }
}
