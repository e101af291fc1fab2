//! Guards that note what a request takes, and give it back when they are dropped: on every path, also
//! when the caller leaves and its task is dropped.

use super::Node;
use crate::clock;
use alderglade_core::Name;
use alderglade_core::fleet::book::HoldId;
use alderglade_core::fleet::placement::Part;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::AbortHandle;

/// How long after the expected time a part of a prompt counts as read; about half a pass.
const PART_GRACE: Duration = Duration::from_millis(25);

/// Counts a request in hand.
pub struct InFlight {
    pub(super) node: Rc<Node>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.node.in_flight.set(self.node.in_flight.get() - 1);
        self.node.metrics.in_flight.dec();
    }
}

/// Keeps a placement in the book.
pub struct Held {
    node: Rc<Node>,
    id: HoldId,
    /// Notes the parts of the prompt as they are read.
    parts: Option<AbortHandle>,
}

impl Held {
    /// Keeps a placement that was noted in the book.
    pub(super) fn new(node: Rc<Node>, id: HoldId) -> Held {
        Held {
            node,
            id,
            parts: None,
        }
    }

    /// Notes each part as read when it is expected to be, but for the last one, which the first event
    /// tells of.
    pub fn expect_parts(&mut self, parts: &[Part]) {
        let mut parts = parts.to_vec();
        parts.sort_by_key(|part| part.done);
        parts.truncate(parts.len().saturating_sub(1));
        let (node, id) = (self.node.clone(), self.id);
        let began = clock::now();
        let task = tokio::task::spawn_local(async move {
            for part in parts {
                let due = began + part.done + PART_GRACE;
                if due > clock::now() {
                    tokio::time::sleep_until(clock::instant(due)).await;
                }
                node.state.borrow_mut().book.part_read(id, &part.server);
                node.book_changed.notify_one();
            }
        });
        self.parts = Some(task.abort_handle());
    }

    /// Notes that the prompt has been read.
    pub fn read(&mut self) {
        self.forget_parts();
        self.node.state.borrow_mut().book.read(self.id);
        self.node.book_changed.notify_one();
    }

    fn forget_parts(&mut self) {
        if let Some(parts) = self.parts.take() {
            parts.abort();
        }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.forget_parts();
        self.node.state.borrow_mut().book.release(self.id);
        self.node.book_changed.notify_one();
    }
}

/// Counts a call to a plain backend server.
pub struct Call {
    pub(super) node: Rc<Node>,
    pub(super) server: Name,
}

impl Drop for Call {
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
