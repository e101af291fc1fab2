//! Backend servers that have started again under their id: what was sent to a former lifetime ended with it.

use super::Node;
use crate::event::{self, Record};
use crate::translate::Status;
use alderglade_core::fleet::directory::{Restart, Server};

impl Node {
    /// Says whether a server has started again since.
    pub fn is_superseded(&self, server: &Server) -> bool {
        self.state
            .borrow()
            .directory
            .is_superseded(&server.incarnation)
    }

    /// Waits until a server has started again.
    pub async fn wait_until_superseded(&self, server: &Server) {
        loop {
            let restarted = self.restarted.notified();
            if self.is_superseded(server) {
                return;
            }
            restarted.await;
        }
    }

    /// Takes what a server says of itself in the answer to an order. Says whether that can be the lifetime to which the
    /// order was sent.
    pub fn apply_status(&self, server: &Server, status: Status) -> bool {
        let same = server.incarnation.may_be(status.born);
        if let Some(born) = status.born.filter(|_| !same) {
            let mut state = self.state.borrow_mut();
            state.directory.observe_birth(server.id(), born);
            drop(state);
            self.tell_servers();
        }
        same
    }

    /// Ends what was sent to former lifetimes of servers, and writes which have started again.
    pub(super) fn tell_restarts(&self) {
        let restarts = self.state.borrow_mut().directory.take_restarts();
        if restarts.is_empty() {
            return;
        }
        restarts
            .iter()
            .for_each(|restart| self.tell_restart(restart));
        self.restarted.notify_waiters();
    }

    fn tell_restart(&self, restart: &Restart) {
        // What is kept open leads to the former lifetime, and may not show that it is dead.
        self.client.forget(restart.former.address);
        self.metrics.restarts.inc();
        self.note_cold_restart(restart.now.key());
        event::write(&Record::ServerRestarted {
            server: &restart.now.id,
            born_ms: restart.now.born,
            former_born_ms: restart.former.incarnation.born,
        });
    }
}
