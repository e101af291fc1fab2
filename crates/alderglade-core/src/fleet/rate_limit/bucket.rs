//! What the owner of a limit may give out.

use crate::Name;
use crate::fleet::heartbeat;
use crate::fleet::statement::Rate;
use crate::time::Time;
use std::collections::HashMap;
use std::time::Duration;

/// How long an owner that may follow another one grants nothing: until the hosts that ask the former one have heard that
/// it is gone or has been followed.
const SETTLING: Duration = heartbeat::MAX_INTERVAL;
/// The grants of how much time may be saved up where nobody asks for them.
const SAVED: Duration = Duration::from_millis(250);
/// The longest wait for a grant that a host is told: others may want none any more by then.
const LONGEST_WAIT: Duration = Duration::from_secs(5);

/// The grants of one limit.
#[derive(Debug)]
pub(super) struct Bucket {
    /// What may be given out.
    tokens: f64,
    /// As of when.
    at: Time,
    /// Hosts that were told to come back, and when.
    line: HashMap<Name, Time>,
}

impl Bucket {
    /// Makes the bucket of a limit's first owner.
    pub(super) fn new(now: Time) -> Bucket {
        Bucket {
            tokens: 1.0,
            at: now,
            line: HashMap::new(),
        }
    }

    /// Makes the bucket of an owner that may follow another one: it is empty, and stays so for a while.
    pub(super) fn succeed(now: Time) -> Bucket {
        Bucket {
            tokens: 0.0,
            at: now + SETTLING,
            line: HashMap::new(),
        }
    }

    /// Takes a grant for a host; gives how long the host must wait for one, which is nothing where it was taken.
    ///
    /// Hosts that must wait are told different times, one after the other, so that each of them gets its part and few ask
    /// in vain.
    pub(super) fn take(&mut self, host: &Name, rate: Rate, now: Time) -> Duration {
        self.refill(rate, now);
        self.line.retain(|_, at| *at > now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            self.line.remove(host);
            return Duration::ZERO;
        }
        if let Some(at) = self.line.get(host) {
            return at.left(now);
        }
        let missing = Duration::from_secs_f64((1.0 - self.tokens) / rate.get());
        let next = self.at.max(now) + missing;
        let last = self.line.values().max().copied();
        let free = last.map_or(next, |last| next.max(last + rate.interval()));
        let at = free.min(now + LONGEST_WAIT);
        self.line.insert(host.clone(), at);
        at.left(now)
    }

    fn refill(&mut self, rate: Rate, now: Time) {
        let passed = now.since(self.at);
        self.at = self.at.max(now);
        let most = (rate.get() * SAVED.as_secs_f64()).max(1.0);
        self.tokens = (self.tokens + rate.get() * passed.as_secs_f64()).min(most);
    }
}
