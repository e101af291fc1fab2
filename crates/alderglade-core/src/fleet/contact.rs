//! The timing of a host's calls to the store, and what follows from it for how soon the host knows that it can't reach the
//! store, or reaches it again. The sums are in `docs/design/departures.md`.

use crate::time::Time;
use std::time::Duration;

/// How long a watch of the configuration waits. Each answer shows that the store can be reached.
pub const CONFIG_WAIT: Duration = Duration::from_millis(700);
/// How long a watch of the backend servers waits. Its connection may be dead while others are not; the host learns of that
/// when the watch should have ended.
pub const SERVERS_WAIT: Duration = Duration::from_millis(4_000);
/// The timeout of a call, on top of the time that a watch waits for changes. The store usually answers within
/// milliseconds, and takes up to sixty times as long when it is slow.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// The delay after the first failed call, and after each one that timed out. It doubles with each further failure in a row
/// that came at once.
pub const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The longest delay between retries. A longer one delays the detection of the store's return; a shorter one costs
/// more calls, which have a price.
pub const MAX_RETRY_DELAY: Duration = Duration::from_millis(600);
/// The retry delay of a host that relies on other hosts' reports of the store.
pub const FOLLOWER_RETRY_DELAY: Duration = Duration::from_millis(600);
/// A host that watches the store is in contact with it if the store answered within this time.
pub const CONTACT_TIMEOUT: Duration = Duration::from_millis(1_100);
/// A call that takes longer than this, on top of the time that a watch waits, was not answered by a store within reach.
pub const MAX_ANSWER_TIME: Duration = Duration::from_millis(300);
/// How long after its last failed call a host may use servers whose entries are missing. Hosts that have been in contact
/// with the store for three seconds are bound by what it has removed; this leaves time for a request to arrive.
pub const REACH_TIME: Duration = Duration::from_millis(2_850);
/// A host that did nothing for so long may have missed an outage of the store.
pub const STANDSTILL_TIME: Duration = Duration::from_millis(1_000);

/// Whether the store answers a host's calls.
#[derive(Debug, Clone, Copy, Default)]
pub struct Contact {
    is_lost: bool,
    /// When a call last succeeded.
    answered: Time,
}

impl Contact {
    /// Returns whether the last call failed.
    pub fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Returns when a call last succeeded.
    pub fn answered(&self) -> Time {
        self.answered
    }

    /// Returns whether the store answered within [`CONTACT_TIMEOUT`] and no call has failed since.
    pub fn is_recent(&self, now: Time) -> bool {
        !self.is_lost && now.since(self.answered) <= CONTACT_TIMEOUT
    }

    /// Records that a call failed. Returns whether it is the first one in a row.
    pub fn record_failure(&mut self) -> bool {
        !std::mem::replace(&mut self.is_lost, true)
    }

    /// Records that a call succeeded. Returns the time since the one before if calls have failed since.
    pub fn record_answer(&mut self, now: Time) -> Option<Duration> {
        let former = std::mem::replace(&mut self.answered, now);
        std::mem::take(&mut self.is_lost).then(|| now.since(former))
    }
}

/// Returns the delay after `failures` failed calls in a row, for a host that queries the store itself or one that relies
/// on others. A call that timed out has taken long enough by itself.
pub fn retry_delay(queries_store: bool, failures: u32, timed_out: bool) -> Duration {
    /// More than enough to reach the longest delay, and few enough not to overflow the shift.
    const MAX_DOUBLINGS: u32 = 8;
    if !queries_store {
        return FOLLOWER_RETRY_DELAY;
    }
    if timed_out {
        return MIN_RETRY_DELAY;
    }
    let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
    (MIN_RETRY_DELAY * (1 << doublings)).min(MAX_RETRY_DELAY)
}
