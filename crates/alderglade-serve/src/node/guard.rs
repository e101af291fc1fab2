//! Guards that record what a request uses and release it on drop: on every path, also when the caller disconnects and
//! its task is dropped.

use super::share::SlotGuard;
use super::{Node, Progress};
use crate::clock;
use alderglade_core::fleet::incarnation::Key;
use alderglade_core::fleet::load_table::{
    Demand, Precedence, QueuedId, Reservation, ReservationId,
};
use std::cell::Cell;
use std::rc::Rc;

/// Counts a request in flight.
pub struct RequestGuard {
    pub(super) node: Rc<Node>,
    pub(super) number: u64,
    /// The progress of the request.
    pub progress: Rc<Progress>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.node.requests_in_flight.remove(self.number);
        self.node.metrics.in_flight.dec();
    }
}

/// Counts an open connection of a caller.
pub struct ConnectionGuard {
    pub(super) node: Rc<Node>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.node.connections.set(self.node.connections.get() - 1);
        self.node.metrics.caller_connections.dec();
    }
}

/// Keeps a reservation in the load table.
pub struct ReservationGuard {
    node: Rc<Node>,
    id: ReservationId,
    /// The reservation while it is suspended.
    suspended: Option<Reservation>,
    /// The slot that the answer holds, if it counts for a workspace. It counts until the end also while the
    /// reservation is suspended: the server goes on with the request.
    slot: Option<SlotGuard>,
}

impl ReservationGuard {
    /// Guards a reservation that was added to the load table.
    pub(super) fn new(
        node: Rc<Node>,
        id: ReservationId,
        slot: Option<SlotGuard>,
    ) -> ReservationGuard {
        ReservationGuard {
            node,
            id,
            suspended: None,
            slot,
        }
    }

    /// Removes the reservation from the load table for now, so that it doesn't count against the one that is to
    /// replace it.
    pub fn suspend(&mut self) {
        if self.suspended.is_none() {
            self.suspended = self.release();
        }
    }

    /// Adds the reservation to the load table again, if it was suspended.
    pub fn resume(&mut self) {
        let Some(reservation) = self.suspended.take() else {
            return;
        };
        self.id = self
            .node
            .state
            .borrow_mut()
            .loads
            .reserve(reservation, clock::now());
        self.node.notice_due.notify_one();
    }

    fn release(&self) -> Option<Reservation> {
        let mut state = self.node.state.borrow_mut();
        let reservation = state.loads.release(self.id, clock::now());
        drop(state);
        self.node.notice_due.notify_one();
        reservation
    }

    /// Records that the prompt has been read.
    pub fn mark_read(&mut self) {
        let mut state = self.node.state.borrow_mut();
        let changed = state.loads.mark_read(self.id, clock::now());
        drop(state);
        if changed {
            self.node.notice_due.notify_one();
        }
        if let Some(slot) = &mut self.slot {
            slot.begin();
        }
    }
}

impl Drop for ReservationGuard {
    fn drop(&mut self) {
        if self.suspended.is_none() {
            self.release();
        }
    }
}

/// Keeps a prompt in the wait queue.
pub struct QueueGuard {
    node: Rc<Node>,
    id: QueuedId,
    /// What peers know of the prompt.
    announced: Announced,
    is_due: Cell<bool>,
}

/// What peers know of a queued prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Announced {
    Nothing,
    Queued,
    /// That others have to wait for it.
    Due,
}

impl QueueGuard {
    /// Guards a prompt that was added to the wait queue. Peers are informed only if it has to wait.
    pub(super) fn new(node: Rc<Node>, id: QueuedId) -> QueueGuard {
        QueueGuard {
            node,
            id,
            announced: Announced::Nothing,
            is_due: Cell::new(false),
        }
    }

    /// Updates the prompt's current demand. Returns how many prompts precede it.
    pub fn update(&self, demand: Demand) -> Precedence {
        self.is_due.set(demand.due_ms <= 0);
        let mut state = self.node.state.borrow_mut();
        state.loads.update_queued(self.id, demand, clock::now())
    }

    /// Informs peers that the prompt waits, on the first call, and once more when it is due.
    pub fn announce(&mut self) {
        let state = if self.is_due.get() {
            Announced::Due
        } else {
            Announced::Queued
        };
        if self.announced < state {
            self.announced = state;
            self.node.notice_due.notify_one();
        }
    }
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        self.node.state.borrow_mut().loads.dequeue(self.id);
        if self.announced > Announced::Nothing {
            self.node.notice_due.notify_one();
        }
    }
}

/// Counts a call to a plain backend server.
pub struct CallGuard {
    pub(super) node: Rc<Node>,
    pub(super) server: Key,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let mut state = self.node.state.borrow_mut();
        if let Some(calls) = state.calls.get_mut(&self.server) {
            *calls -= 1;
            if *calls == 0 {
                state.calls.remove(&self.server);
            }
        }
    }
}
