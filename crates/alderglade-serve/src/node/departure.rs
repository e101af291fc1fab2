//! Logs how servers depart: by whom the host was told, until when it uses them nevertheless, and its last send to each.

use super::Node;
use crate::clock;
use crate::event::{self, Record, ServerDeparting, ServerDropped, ServerReturned};
use alderglade_core::fleet::directory::departure::{Departure, Keep, Step};
use alderglade_core::fleet::incarnation::Key;
use alderglade_core::time::Time;
use std::net::SocketAddr;

/// Who told this host that a server departs.
#[derive(Debug, Clone, Copy)]
pub enum Origin<'a> {
    /// The store, in answer to a call of this host.
    Store,
    /// Another host, by its name.
    Host(&'a str),
    /// Another host, by the address from which it sends messages.
    Address(SocketAddr),
    /// The server itself, in an answer.
    Server,
    /// Nobody: the time for which the server was kept is over.
    Expiry,
}

impl Origin<'_> {
    fn label(self) -> &'static str {
        match self {
            Origin::Store => "store",
            Origin::Host(_) | Origin::Address(_) => "peer",
            Origin::Server => "server",
            Origin::Expiry => "expiry",
        }
    }
}

impl Node {
    /// Records that a request is sent to a server.
    pub fn record_send(&self, server: Key) {
        let mut state = self.state.borrow_mut();
        state.directory.record_send(server, clock::now());
    }

    /// Logs the steps of servers' departures that followed from what `origin` told.
    pub fn log_departures(&self, origin: Origin<'_>) {
        let departures = self.state.borrow_mut().directory.take_departures();
        let now = clock::now();
        for departure in &departures {
            self.log_departure(departure, origin, now);
        }
    }

    fn log_departure(&self, departure: &Departure, origin: Origin<'_>, now: Time) {
        let server: &str = &departure.server;
        match departure.step {
            Step::Noticed { sign, keep } => {
                let state = self.state.borrow();
                let position = state.directory.position();
                let peer = match origin {
                    Origin::Host(name) => Some(name.to_string()),
                    Origin::Address(address) => {
                        let name = state.hosts.name_of(address);
                        Some(name.map_or_else(|| address.to_string(), ToString::to_string))
                    }
                    Origin::Store | Origin::Server | Origin::Expiry => None,
                };
                let kept_ms = match keep {
                    Some(Keep::Grace(until) | Keep::Told(until)) => {
                        Some(until.left(now).as_millis() as u64)
                    }
                    Some(Keep::StoreReturn) | None => None,
                };
                event::write(&Record::ServerDeparting(ServerDeparting {
                    server,
                    sign: sign.label(),
                    told_by: origin.label(),
                    peer: peer.as_deref(),
                    era: position.era,
                    revision: position.revision,
                    store_age_ms: state.freshness.age(now).map(|age| age.as_millis() as u64),
                    kept: keep.map(Keep::label),
                    kept_ms,
                }));
            }
            Step::Dropped {
                sign,
                after,
                last_send,
            } => event::write(&Record::ServerDropped(ServerDropped {
                server,
                sign: sign.label(),
                after_ms: after.as_millis() as u64,
                last_send_ms: last_send.map(|at| now.since(at).as_millis() as u64),
            })),
            Step::Returned { after } => event::write(&Record::ServerReturned(ServerReturned {
                server,
                after_ms: after.as_millis() as u64,
            })),
        }
    }
}
