//! Guards that note what a request takes, and give it back when they are dropped: on every path, also
//! when the caller leaves and its task is dropped.

use super::{Node, Progress};
use crate::clock;
use alderglade_core::fleet::incarnation::Key;
use alderglade_core::fleet::load_table::{Demand, QueuedId, Reservation, ReservationId};
use std::rc::Rc;

/// Counts a request in hand.
pub struct InFlight {
    pub(super) node: Rc<Node>,
    pub(super) number: u64,
    /// How far the request has come.
    pub progress: Rc<Progress>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.node.in_hand.remove(self.number);
        self.node.metrics.in_flight.dec();
    }
}

/// Counts an open connection of a caller.
pub struct Connected {
    pub(super) node: Rc<Node>,
}

impl Drop for Connected {
    fn drop(&mut self) {
        self.node.connections.set(self.node.connections.get() - 1);
        self.node.metrics.caller_connections.dec();
    }
}

/// Keeps a placement in the book.
pub struct ReservationGuard {
    node: Rc<Node>,
    id: ReservationId,
    /// The placement while it is set aside.
    suspended: Option<Reservation>,
}

impl ReservationGuard {
    /// Keeps a placement that was noted in the book.
    pub(super) fn new(node: Rc<Node>, id: ReservationId) -> ReservationGuard {
        ReservationGuard {
            node,
            id,
            suspended: None,
        }
    }

    /// Takes the placement out of the book for now, so that it doesn't stand in the way of the one that is to replace it.
    pub fn suspend(&mut self) {
        if self.suspended.is_none() {
            self.suspended = self.release();
        }
    }

    /// Puts the placement back into the book, if it was set aside.
    pub fn resume(&mut self) {
        let Some(hold) = self.suspended.take() else {
            return;
        };
        self.id = self
            .node
            .state
            .borrow_mut()
            .loads
            .reserve(hold, clock::now());
        self.node.loads_changed.notify_one();
    }

    fn release(&self) -> Option<Reservation> {
        let mut state = self.node.state.borrow_mut();
        let hold = state.loads.release(self.id, clock::now());
        drop(state);
        self.node.loads_changed.notify_one();
        hold
    }

    /// Notes that the prompt has been read.
    pub fn mark_read(&mut self) {
        let mut state = self.node.state.borrow_mut();
        let tell = state.loads.mark_read(self.id, clock::now());
        drop(state);
        if tell {
            self.node.loads_changed.notify_one();
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

/// Keeps a prompt in the line of those that wait.
pub struct QueueGuard {
    node: Rc<Node>,
    id: QueuedId,
    /// Whether peers know of it.
    announced: bool,
}

impl QueueGuard {
    /// Keeps a prompt that was taken into the line; peers are told only if it has to wait.
    pub(super) fn new(node: Rc<Node>, id: QueuedId) -> QueueGuard {
        QueueGuard {
            node,
            id,
            announced: false,
        }
    }

    /// Takes what the prompt needs as it stands now; gives how many prompts go before it.
    pub fn update(&self, demand: Demand) -> u32 {
        let mut state = self.node.state.borrow_mut();
        state.loads.update_queued(self.id, demand, clock::now())
    }

    /// Has peers told that the prompt waits, the first time.
    pub fn announce(&mut self) {
        if !std::mem::replace(&mut self.announced, true) {
            self.node.loads_changed.notify_one();
        }
    }
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        self.node.state.borrow_mut().loads.dequeue(self.id);
        if self.announced {
            self.node.loads_changed.notify_one();
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
