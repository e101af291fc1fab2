//! The phases between the last event of a server that broke a stream and the first event of the one that continues it.
//!
//! A caller notices the sum of the phases as one pause. The phases show where it was lost: in noticing the break, in
//! choosing another server, or at that server.

use alderglade_core::time::Time;
use std::time::Duration;

/// A change of servers in progress.
pub(super) struct Failover {
    /// Since when the next event could be relayed, or when the request arrived if there was no event.
    waiting_since: Time,
    /// When the break was detected.
    detected_at: Time,
    /// When the new server was chosen.
    placed_at: Time,
    /// When the new server's response began.
    begun_at: Time,
}

/// How long each phase of a change of servers took.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Phases {
    /// From the last event to the detection of the break.
    pub detection: Duration,
    /// From then to the choice of the new server.
    pub choice: Duration,
    /// From then to the head of the new server's response.
    pub head: Duration,
    /// From then to its first event.
    pub first_event: Duration,
}

impl Failover {
    /// Begins with the detection of a break, before the new server is chosen.
    pub fn detected(waiting_since: Time, now: Time) -> Failover {
        Failover {
            waiting_since,
            detected_at: now,
            placed_at: now,
            begun_at: now,
        }
    }

    /// Records that the new server, chosen at `placed_at`, has begun its response.
    pub fn begin(&mut self, placed_at: Time, now: Time) {
        self.placed_at = placed_at;
        self.begun_at = now;
    }

    /// Returns the phases, at the first event of the new server.
    pub fn phases(&self, now: Time) -> Phases {
        Phases {
            detection: self.detected_at.since(self.waiting_since),
            choice: self.placed_at.since(self.detected_at),
            head: self.begun_at.since(self.placed_at),
            first_event: now.since(self.begun_at),
        }
    }
}
