//! How often a host tells its peers what it holds.
//!
//! What has changed is told at once; heartbeats only show that a host lives and make good what was lost.
//! The more hosts there are, the less each of them matters to the others' view, and the more its heartbeats
//! cost: their interval grows with the number of hosts, so that a host sends a bounded number a second.

use crate::time::Time;
use std::time::Duration;

/// The shortest interval, and that of hosts that watch the store, by whom others go.
pub const MIN_INTERVAL: Duration = Duration::from_millis(250);
/// The longest interval; a host that dies counts for five of them.
pub const MAX_INTERVAL: Duration = Duration::from_millis(1_000);
/// What each host adds to the interval, so that with up to a hundred of them a host sends at most a hundred
/// heartbeats a second.
const PER_HOST: Duration = Duration::from_millis(10);
/// Intervals without a notice after which a host holds nothing any more; one of them is for a notice on
/// its way.
const LAPSE: u32 = 5;
/// The time without a notice after which a host no longer counts as heard, in intervals: two, and more than
/// half of another for a notice on its way.
const HEARD: f64 = 2.6;
/// The least time from one whole notice, of all that a host holds, to the next.
const LEAST_WHOLE: Duration = Duration::from_millis(1_000);
/// The least time from one whole notice to the next in intervals, which is longer where these are.
const WHOLE_INTERVALS: f64 = 2.5;
/// How long a host tells in whole notices what it has placed: in two of them, where the interval is longest.
pub const PLACED_REPORT_TIME: Duration = Duration::from_millis(5_000);

/// Gives the interval of a host that knows of so many `hosts`, itself among them; `watches` says whether it watches
/// the store.
pub fn interval(hosts: usize, watches: bool) -> Duration {
    if watches {
        return MIN_INTERVAL;
    }
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    PER_HOST
        .saturating_mul(hosts)
        .clamp(MIN_INTERVAL, MAX_INTERVAL)
}

/// Gives the time without a notice after which a host with this interval counts as dead, and holds nothing any more.
pub fn expiry(interval: Duration) -> Duration {
    interval.max(MIN_INTERVAL) * LAPSE
}

/// Gives the time without a notice after which a host with this interval no longer counts as heard.
pub fn liveness_timeout(interval: Duration) -> Duration {
    interval.max(MIN_INTERVAL).mul_f64(HEARD)
}

/// Gives the time from one whole notice to the next of a host with this interval.
fn whole(interval: Duration) -> Duration {
    LEAST_WHOLE.max(interval.mul_f64(WHOLE_INTERVALS))
}

/// What a host should tell its peers now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Due {
    /// All that it holds.
    Whole,
    /// What has changed, if anything.
    Changes,
}

/// When a host last told its peers something.
#[derive(Debug, Default)]
pub struct Schedule {
    /// Its last notice of any kind.
    told: Option<Time>,
    /// Its last notice of all that it holds.
    whole: Option<Time>,
}

impl Schedule {
    /// Says what is due, where heartbeats come at `interval`.
    pub fn due(&self, interval: Duration, now: Time) -> Option<Due> {
        let over = |last: Option<Time>, span| last.is_none_or(|at| now.since(at) >= span);
        if over(self.whole, whole(interval)) {
            return Some(Due::Whole);
        }
        over(self.told, interval).then_some(Due::Changes)
    }

    /// Notes that peers are told something now.
    pub fn note(&mut self, due: Due, now: Time) {
        self.told = Some(now);
        if due == Due::Whole {
            self.whole = Some(now);
        }
    }
}
