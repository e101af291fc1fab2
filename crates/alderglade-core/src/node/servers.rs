//! Picking a server of a plain service.

use super::Node;
use crate::Name;
use crate::error::Kind;
use crate::inflight::Place;
use crate::request::{Id, Refusal};
use crate::settings::tree::Server;
use crate::time::Time;
use std::collections::HashMap;
use std::time::Duration;

/// A server that failed is passed over for this long.
const SUSPECT: Duration = Duration::from_secs(2);
/// The time to come back after where no server is left.
const COME_BACK: Duration = Duration::from_secs(2);

#[derive(Debug, Default)]
struct Page {
    running: u32,
    suspect_until: Time,
}

/// What this host knows of the plain services' servers.
#[derive(Debug, Default)]
pub(super) struct Book {
    pages: HashMap<Name, Page>,
}

impl Book {
    fn running(&self, server: &Name) -> u32 {
        self.pages.get(server).map_or(0, |page| page.running)
    }

    fn is_suspect(&self, server: &Name, now: Time) -> bool {
        self.pages
            .get(server)
            .is_some_and(|page| now < page.suspect_until)
    }

    fn enter(&mut self, server: &Name) {
        self.pages.entry(server.clone()).or_default().running += 1;
    }

    /// Notes that a call has left a server.
    pub(super) fn leave(&mut self, server: &Name, fault: bool, now: Time) {
        let page = self.pages.entry(server.clone()).or_default();
        page.running = page.running.saturating_sub(1);
        if fault {
            page.suspect_until = now + SUSPECT;
        }
    }
}

impl Node {
    /// Picks a server for a call: own domain first, then the one with the fewest calls.
    pub(super) fn place_call(&mut self, id: Id, service: &Name) {
        match self.pick_server(id, service) {
            Some(server) => {
                self.servers.enter(&server);
                self.placed(id, Place::Server { server });
            }
            None => self.finish(id, Some(Refusal::new(Kind::NoCapacity, COME_BACK))),
        }
    }

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
