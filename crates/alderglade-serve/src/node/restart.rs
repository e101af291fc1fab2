//! Backend servers that have restarted under the same id: what was sent to a former incarnation ended with it.

use super::Node;
use crate::event::{self, Record};
use crate::translate::Status;
use alderglade_core::fleet::directory::{Restart, Server};

impl Node {
    /// Returns whether a server has restarted since.
    pub fn is_superseded(&self, server: &Server) -> bool {
        self.state
            .borrow()
            .directory
            .is_superseded(&server.incarnation)
    }

    /// Waits until a server has restarted.
    pub async fn wait_until_superseded(&self, server: &Server) {
        loop {
            let server_restarted = self.server_restarted.notified();
            if self.is_superseded(server) {
                return;
            }
            server_restarted.await;
        }
    }

    /// Applies the status that a server reports in the answer to an order. Returns whether the answer can come from
    /// the incarnation to which the order was sent.
    pub fn apply_status(&self, server: &Server, status: Status) -> bool {
        let same = server.incarnation.may_be(status.born);
        if let Some(born) = status.born.filter(|_| !same) {
            let mut state = self.state.borrow_mut();
            state.directory.observe_birth(server.id(), born);
            drop(state);
            self.on_servers_changed();
        }
        same
    }

    /// Ends the calls to former incarnations of servers and logs the restarts.
    pub(super) fn handle_restarts(&self) {
        let restarts = self.state.borrow_mut().directory.take_restarts();
        if restarts.is_empty() {
            return;
        }
        restarts
            .iter()
            .for_each(|restart| self.handle_restart(restart));
        self.server_restarted.notify_waiters();
    }

    fn handle_restart(&self, restart: &Restart) {
        // Open connections lead to the former incarnation, and may not show that it is dead.
        self.client.forget(restart.former.address);
        self.metrics.restarts.inc();
        self.record_cold_restart(restart.now.key());
        event::write(&Record::ServerRestarted {
            server: &restart.now.id,
            born_ms: restart.now.born,
            former_born_ms: restart.former.incarnation.born,
        });
    }
}
