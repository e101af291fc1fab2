//! A planned stop: no request gets more time than the host has left.

use super::Node;
use super::submit::COME_BACK;
use crate::error::Kind;
use crate::inflight::{Entry, Stage};
use crate::message::Message;
use crate::request::Refusal;
use crate::time::Time;

/// A planned stop under way.
#[derive(Debug)]
pub(super) struct Stop {
    until: Time,
    cut_off: usize,
}

impl Node {
    /// Begins to stop. A further order doesn't lengthen the time for it.
    pub(super) fn drain(&mut self) {
        let until = self.now + self.drain_limit;
        let stop = self.stop.get_or_insert(Stop { until, cut_off: 0 });
        let until = stop.until;
        self.view.own_mut().leaving = true;
        self.beat = None;
        self.bound(until);
        self.tick();
    }

    /// Leaves no request more time than the host has. Homes are told, which refuse what can't be done in
    /// time rather than begin it.
    fn bound(&mut self, until: Time) {
        for request in self.inflight.bound(until) {
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

    pub(super) fn count_cut_off(&mut self, entry: &Entry) {
        if let Some(stop) = self.stop.as_mut().filter(|_| entry.is_bounded()) {
            stop.cut_off += 1;
        }
    }

    /// Says whether the host is to stop.
    pub(super) fn is_draining(&self) -> bool {
        self.stop.is_some()
    }

    /// Gives how many requests were ended because the time to stop was over.
    pub fn cut_off(&self) -> usize {
        self.stop.as_ref().map_or(0, |stop| stop.cut_off)
    }

    /// Says whether a stopping host has nothing in hand and waits for no confirmation.
    pub fn is_drained(&self) -> bool {
        let homes = self.homes.values().all(|cell| cell.waiting() == 0);
        self.is_draining() && self.inflight.is_empty() && self.settling.is_empty() && homes
    }
}

/// Names the stop as the cause where a request had too little time because of it: another host has more.
pub(super) fn as_draining(refusal: Refusal, entry: &Entry) -> Refusal {
    let late = matches!(refusal.kind, Kind::Overloaded | Kind::ExpiredWaiting);
    if late && entry.is_bounded() {
        return Refusal::new(Kind::Draining, COME_BACK);
    }
    refusal
}
