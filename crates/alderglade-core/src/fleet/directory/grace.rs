//! Until when entries may be missing from the store although their servers are alive.

use super::STORE_RETURN_GRACE;
use crate::fleet::contact::REACH_TIME;
use crate::time::Time;
use std::time::Duration;

/// The number of heartbeats in a row that a server must miss for its entry to lapse.
const MISSED_HEARTBEATS: u32 = 3;
/// The shortest time between two heartbeats. Servers send one about every 1.2 s.
const MIN_HEARTBEAT: Duration = Duration::from_millis(1_000);
/// The longest time between two heartbeats.
const MAX_HEARTBEAT: Duration = Duration::from_millis(1_400);
/// How long an outage matters after its end: until then it may have prevented the first heartbeat that was missed.
const OUTAGE_RETENTION: Duration = MAX_HEARTBEAT.saturating_mul(MISSED_HEARTBEATS - 1);

/// The state of an entry that is missing from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Missing {
    /// Until when the entry may be written again, as far as this host's own contact with the store shows. `None` while
    /// the store is unavailable to it: the store's return decides.
    pub until: Option<Time>,
    /// The same as other hosts report it.
    pub told_until: Option<Time>,
}

/// The present outage of the store.
#[derive(Debug, Clone, Copy)]
struct Outage {
    /// When the store answered last.
    answered: Time,
    /// Whether entries could be missing then.
    in_grace: bool,
    /// Whether a call of this host has failed. Otherwise only other hosts seem to have lost the store.
    is_confirmed: bool,
}

/// A time in which heartbeats may have failed.
#[derive(Debug, Clone, Copy)]
struct Span {
    start: Time,
    end: Time,
}

impl Span {
    /// Returns when the next heartbeat may be due after one in this span, as far as that lies in `other`.
    fn next_heartbeat_in(self, other: Span) -> Option<Span> {
        let start = other.start.max(self.start + MIN_HEARTBEAT);
        let end = other.end.min(self.end + MAX_HEARTBEAT);
        (start <= end).then_some(Span { start, end })
    }
}

/// Returns whether a server may have missed so many heartbeats in a row that its entry has lapsed.
fn may_have_lapsed(outages: &[Span]) -> bool {
    let mut missed = outages.to_vec();
    for _ in 1..MISSED_HEARTBEATS {
        let next = missed.iter().flat_map(|span| {
            let spans = outages.iter();
            spans.filter_map(|outage| span.next_heartbeat_in(*outage))
        });
        missed = next.collect();
    }
    !missed.is_empty()
}

/// The grace period, and the outages that it follows from.
#[derive(Debug, Default)]
pub(super) struct Grace {
    /// Until when entries may be missing, apart from a present outage.
    until: Option<Time>,
    outage: Option<Outage>,
    /// When the last call that failed was made. The store could not be reached at some time after that.
    failed: Option<Time>,
    /// The outages of the last [`OUTAGE_RETENTION`].
    ended: Vec<Span>,
}

impl Grace {
    /// Returns whether the store is unavailable.
    pub fn is_outage(&self) -> bool {
        self.outage.is_some()
    }

    /// Records that a call failed that was made at `started`.
    pub fn record_failure(&mut self, started: Time) {
        self.failed = self.failed.max(Some(started));
        if let Some(outage) = &mut self.outage {
            outage.is_confirmed = true;
        }
    }

    /// Records that no other host seems to reach the store any more; `answered` is when it is last known to have answered
    /// one. The next call of this host shows whether it is unavailable.
    pub fn suspect_outage(&mut self, answered: Time) {
        let in_grace = self.until.is_some_and(|until| until > answered);
        self.outage.get_or_insert(Outage {
            answered,
            in_grace,
            is_confirmed: false,
        });
    }

    /// Records that the store is unavailable; `answered` is when it answered last.
    pub fn begin_outage(&mut self, answered: Time) {
        self.suspect_outage(answered);
        if let Some(outage) = &mut self.outage {
            outage.is_confirmed = true;
        }
    }

    /// Records that the store is available again. Returns until when the entries that are missing may be written again.
    ///
    /// Entries may have lapsed if the store was unavailable for long enough, in one outage or in several. Those that
    /// had lapsed before could not be written meanwhile; the next heartbeat of their servers writes them.
    ///
    /// This host may have been cut off from a store that was available, so the period ends [`REACH_TIME`] after its last
    /// failed call.
    pub fn end_outage(&mut self, now: Time) -> Time {
        if let Some(outage) = self.outage.take()
            && outage.is_confirmed
        {
            let oldest = now - OUTAGE_RETENTION;
            self.ended.retain(|span| span.end >= oldest);
            self.ended.push(Span {
                start: outage.answered,
                end: now,
            });
            let grace = if may_have_lapsed(&self.ended) {
                STORE_RETURN_GRACE
            } else if outage.in_grace {
                MAX_HEARTBEAT
            } else {
                Duration::ZERO
            };
            self.extend((now + grace).min(self.bound()));
        }
        self.until.map_or(now, |until| until.max(now))
    }

    /// Begins a grace period at a host that has just started, if its calls have failed before.
    pub fn extend_after_failure(&mut self, now: Time) {
        if self.failed.is_some() {
            self.extend((now + STORE_RETURN_GRACE).min(self.bound()));
        }
    }

    /// Returns when a grace period ends at the latest that follows from this host's own calls.
    fn bound(&self) -> Time {
        self.failed
            .map_or(Time::NEVER, |failed| failed + REACH_TIME)
    }

    /// Extends the grace period to `until`. That holds beyond a present outage.
    pub fn extend(&mut self, until: Time) {
        self.until = self.until.max(Some(until));
    }

    /// Returns how much longer the grace period lasts. Zero during an outage, because its end is then unknown.
    pub fn left(&self, now: Time) -> Duration {
        match self.until {
            Some(until) if !self.is_outage() => until.left(now),
            _ => Duration::ZERO,
        }
    }

    /// Returns the state of an entry that goes missing now, or `None` if its server is gone. Other hosts report that
    /// entries may be missing for `told`.
    pub fn missing(&self, told: Duration, now: Time) -> Option<Missing> {
        let told_until = (!told.is_zero()).then(|| now + told);
        let until = if self.is_outage() {
            None
        } else {
            Some(self.until.map_or(now, |until| until.max(now)))
        };
        let is_gone = until == Some(now) && told_until.is_none();
        (!is_gone).then_some(Missing { until, told_until })
    }

    /// Returns whether the server of a missing entry is gone.
    pub fn is_over(&self, missing: Missing, now: Time) -> bool {
        let is_past = |until: Time| until <= now;
        let own_over = !self.is_outage() && missing.until.is_some_and(is_past);
        own_over && missing.told_until.is_none_or(is_past)
    }
}
