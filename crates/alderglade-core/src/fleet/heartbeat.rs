//! How often a host sends its holdings to its peers.
//!
//! Changes are sent at once. Heartbeats only show that a host is alive and make up for lost messages.
//! The more hosts there are, the less each of them matters to the others' view, and the more its heartbeats
//! cost. The interval therefore grows with the number of hosts, so that a host sends a bounded number per second.

use crate::time::Time;
use std::time::Duration;

/// The shortest interval. It also applies to hosts that watch the store, since others depend on them.
pub const MIN_INTERVAL: Duration = Duration::from_millis(250);
/// The longest interval. A dead host counts as alive for five of them.
pub const MAX_INTERVAL: Duration = Duration::from_millis(1_000);
/// What each host adds to the interval, so that with up to a hundred hosts each sends at most a hundred
/// heartbeats per second.
const INTERVAL_PER_HOST: Duration = Duration::from_millis(10);
/// Intervals without a notice after which a host's holdings expire. One of them allows for a notice in transit.
const EXPIRY_INTERVALS: u32 = 5;
/// Intervals without a notice after which a host no longer counts as live: two, and more than half of another for a
/// notice in transit.
const LIVENESS_INTERVALS: f64 = 2.6;
/// Minimum time between two full notices, which contain all that a host holds.
const MIN_FULL_NOTICE_INTERVAL: Duration = Duration::from_millis(1_000);
/// The same in intervals, which applies if it is longer.
const FULL_NOTICE_INTERVALS: f64 = 2.5;
/// How long full notices report placed prompts: in two notices at the longest interval.
pub const PLACED_REPORT_TIME: Duration = Duration::from_millis(5_000);

/// Returns the interval of a host that knows `hosts` hosts, itself included. `watches` states whether it watches the
/// store.
pub fn interval(hosts: usize, watches: bool) -> Duration {
    if watches {
        return MIN_INTERVAL;
    }
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    INTERVAL_PER_HOST
        .saturating_mul(hosts)
        .clamp(MIN_INTERVAL, MAX_INTERVAL)
}

/// Returns the time without a notice after which a host with this interval counts as dead, and its holdings expire.
pub fn expiry(interval: Duration) -> Duration {
    interval.max(MIN_INTERVAL) * EXPIRY_INTERVALS
}

/// Returns the time without a notice after which a host with this interval no longer counts as live.
pub fn liveness_timeout(interval: Duration) -> Duration {
    interval.max(MIN_INTERVAL).mul_f64(LIVENESS_INTERVALS)
}

/// Returns the time between two full notices of a host with this interval.
fn full_notice_interval(interval: Duration) -> Duration {
    MIN_FULL_NOTICE_INTERVAL.max(interval.mul_f64(FULL_NOTICE_INTERVALS))
}

/// What a host should send to its peers now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Due {
    /// All that it holds.
    Full,
    /// What has changed, if anything.
    Changes,
}

/// When a host last sent notices to its peers.
#[derive(Debug, Default)]
pub struct Schedule {
    /// Its last notice of any kind.
    last_notice: Option<Time>,
    /// Its last full notice.
    last_full_notice: Option<Time>,
}

impl Schedule {
    /// Returns which notice is due, if heartbeats are sent every `interval`.
    pub fn due(&self, interval: Duration, now: Time) -> Option<Due> {
        let is_over =
            |last: Option<Time>, duration| last.is_none_or(|at| now.since(at) >= duration);
        if is_over(self.last_full_notice, full_notice_interval(interval)) {
            return Some(Due::Full);
        }
        is_over(self.last_notice, interval).then_some(Due::Changes)
    }

    /// Records that a notice is sent now.
    pub fn record(&mut self, due: Due, now: Time) {
        self.last_notice = Some(now);
        if due == Due::Full {
            self.last_full_notice = Some(now);
        }
    }
}
