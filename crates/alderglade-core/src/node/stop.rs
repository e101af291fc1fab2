//! Draining the host: in-flight requests get no more time than the host has left.

use super::Node;
use super::submit::DEFAULT_RETRY_AFTER;
use crate::error::Kind;
use crate::inflight::{Entry, Stage};
use crate::message::Message;
use crate::request::Refusal;
use crate::time::Time;

/// The state of a planned stop in progress.
#[derive(Debug)]
pub(super) struct Stop {
    /// The time by which all requests have to be answered.
    deadline: Time,
    /// Number of requests ended by that deadline.
    cut_off: usize,
}

impl Node {
    /// Starts a planned stop. Calling it again doesn't extend the time limit.
    pub(super) fn drain(&mut self) {
        let deadline = self.now + self.drain_limit;
        let stop = self.stop.get_or_insert(Stop {
            deadline,
            cut_off: 0,
        });
        let deadline = stop.deadline;
        self.view.own_mut().leaving = true;
        self.last_heartbeat = None;
        self.cap_deadlines(deadline);
        self.tick();
    }

    /// Caps the deadlines of all requests at that of the host.
    ///
    /// Waiting requests are queued again with their shorter time, so that their homes refuse those
    /// that can't finish in time instead of starting them.
    fn cap_deadlines(&mut self, deadline: Time) {
        for request in self.inflight.cap_deadlines(deadline) {
            let Some(entry) = self.inflight.get(request) else {
                continue;
            };
            let Stage::Waiting { cell, home, .. } = entry.stage.clone() else {
                continue;
            };
            let message = Message::Withdraw {
                cell: cell.clone(),
                request,
            };
            self.send(&home, message);
            self.enqueue(request, cell);
        }
    }

    /// Counts a request that expires if the planned stop, not its caller's timeout, set its deadline.
    pub(super) fn count_cut_off(&mut self, entry: &Entry) {
        if let Some(stop) = self.stop.as_mut().filter(|_| entry.is_cut_short()) {
            stop.cut_off += 1;
        }
    }

    /// Returns whether a planned stop is in progress.
    pub(super) fn is_draining(&self) -> bool {
        self.stop.is_some()
    }

    /// Returns the number of requests that were ended because the time limit of the stop was reached.
    pub fn ended_by_drain(&self) -> usize {
        self.stop.as_ref().map_or(0, |stop| stop.cut_off)
    }

    /// Returns whether a draining host has finished: no requests in flight, none waiting in its cells, and
    /// no outcomes to be confirmed.
    pub fn is_drained(&self) -> bool {
        let no_waiting = self.homes.values().all(|cell| cell.waiting() == 0);
        self.is_draining()
            && self.inflight.is_empty()
            && self.pending_outcomes.is_empty()
            && no_waiting
    }
}

/// Changes a refusal for lack of time to [`Kind::Draining`] if the planned stop shortened the request's
/// deadline: another host can give it more time.
pub(super) fn as_draining(refusal: Refusal, entry: &Entry) -> Refusal {
    let lacked_time = matches!(refusal.kind, Kind::Overloaded | Kind::ExpiredWaiting);
    if lacked_time && entry.is_cut_short() {
        return Refusal::new(Kind::Draining, DEFAULT_RETRY_AFTER);
    }
    refusal
}
