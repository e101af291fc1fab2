//! Whether this host can connect to the servers of each service.

use super::Node;
use crate::clock;
use crate::event::{self, Record};
use alderglade_core::fleet::directory::Server;
use alderglade_core::fleet::reachability::Change;

impl Node {
    /// Records whether a connection to a server could be opened, and logs whether its service has become unreachable
    /// or reachable.
    pub fn record_connect(&self, server: &Server, connected: bool) {
        let now = clock::now();
        let state = &mut *self.state.borrow_mut();
        let service = &server.service;
        let change = if connected {
            state.reachability.record_connection(service, now)
        } else {
            let known = state.directory.of_service(service).count();
            let key = server.key();
            state.reachability.record_failure(service, key, known, now)
        };
        let Some(change) = change else {
            return;
        };
        let unreachable = state.reachability.unreachable_count();
        self.metrics.unreachable.set(unreachable as i64);
        event::write(&match change {
            Change::Lost { failed_servers } => Record::ServiceUnreachable {
                service,
                failed_servers,
                live_hosts: state.loads.live_hosts(&self.settings.domain, now).count(),
            },
            Change::Regained { after } => Record::ServiceReachable {
                service,
                after_ms: after.as_millis() as u64,
            },
        });
    }
}
