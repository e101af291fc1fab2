//! Picks a server for a call to a plain service.

use super::Node;
use crate::Name;
use crate::error::Kind;
use crate::inflight::Place;
use crate::request::{Id, Refusal};
use crate::settings::tree::Server;
use crate::time::Time;
use std::collections::HashMap;
use std::time::Duration;

/// A server that failed is used only as a last resort for this long.
const SUSPECT_TIME: Duration = Duration::from_secs(2);
/// Callers are asked to retry after this time if no server can take a call.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_secs(2);

#[derive(Debug, Default)]
struct ServerState {
    running: u32,
    suspect_until: Time,
}

/// The servers of plain services that this host has sent calls to, by name.
#[derive(Debug, Default)]
pub(super) struct ServerTable {
    servers: HashMap<Name, ServerState>,
}

impl ServerTable {
    /// Returns the number of calls of this host that run at a server.
    fn running(&self, server: &Name) -> u32 {
        self.servers.get(server).map_or(0, |state| state.running)
    }

    fn is_suspect(&self, server: &Name, now: Time) -> bool {
        self.servers
            .get(server)
            .is_some_and(|state| now < state.suspect_until)
    }

    fn start_call(&mut self, server: &Name) {
        self.servers.entry(server.clone()).or_default().running += 1;
    }

    /// Records the end of a call, and whether the server failed it.
    pub(super) fn end_call(&mut self, server: &Name, failed: bool, now: Time) {
        let state = self.servers.entry(server.clone()).or_default();
        state.running = state.running.saturating_sub(1);
        if failed {
            state.suspect_until = now + SUSPECT_TIME;
        }
    }
}

impl Node {
    /// Sends a call to a server of a service, or refuses it if no server is usable.
    pub(super) fn place_call(&mut self, id: Id, service: &Name) {
        match self.pick_server(id, service) {
            Some(server) => {
                self.servers.start_call(&server);
                self.start_placed(id, Place::Server { server });
            }
            None => self.finish(
                id,
                Some(Refusal::new(Kind::NoCapacity, NO_SERVER_RETRY_AFTER)),
            ),
        }
    }

    /// Picks the server of a service that has not failed the request and is not leaving.
    ///
    /// Prefers servers without a recent failure, then those of the own domain, then those with the
    /// fewest running calls.
    fn pick_server(&self, id: Id, service: &Name) -> Option<Name> {
        let entry = self.inflight.get(id)?;
        let servers = &self.tree.fleet.services.get(service)?.servers;
        let own = &self.view.own().domain;
        let usable = |server: &&Server| {
            !entry.failed_by.contains(&server.name)
                && !self.leaving.contains(&server.name, self.now)
        };
        let order = |server: &&Server| {
            (
                self.servers.is_suspect(&server.name, self.now),
                server.domain != *own,
                self.servers.running(&server.name),
            )
        };
        let best = servers.iter().filter(usable).min_by_key(order)?;
        Some(best.name.clone())
    }
}
