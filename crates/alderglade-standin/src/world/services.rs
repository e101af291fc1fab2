//! Servers of the plain service: each call is counted.

use super::{Back, Happening, World};
use alderglade_core::Name;
use alderglade_core::request::Id;
use alderglade_core::time::Time;
use std::time::Duration;

/// A call takes this long.
const CALL: Duration = Duration::from_millis(20);

/// A server.
#[derive(Debug)]
pub(crate) struct ServerAt {
    pub(crate) domain: Name,
    pub(crate) alive: bool,
    pub(crate) leaving_since: Option<Time>,
    pub(crate) listed_from: Option<Time>,
    pub(crate) lose_answers: u32,
}

impl World {
    pub(crate) fn add_server(&mut self, name: &Name, domain: &Name) {
        let server = ServerAt {
            domain: domain.clone(),
            alive: true,
            leaving_since: None,
            listed_from: None,
            lose_answers: 0,
        };
        self.servers.insert(name.clone(), server);
    }

    /// Sends a call to its server.
    pub(crate) fn start_call(&mut self, request: Id, attempt: u32, server: Name) {
        let Some(running) = self.running.get_mut(&request) else {
            return;
        };
        running.attempt = attempt;
        running.sent = true;
        let host = running.host.clone();
        let reached = self.servers.get(&server).is_some_and(|server| server.alive);
        match self.way(&host, &server).filter(|_| reached) {
            Some(way) => self.after(
                way,
                Happening::Serve {
                    request,
                    attempt,
                    server,
                },
            ),
            None => {
                let back = Back::Unreached;
                self.back_after(CALL, request, attempt, back);
            }
        }
    }

    /// A server runs a call.
    pub(crate) fn serve(&mut self, request: Id, attempt: u32, server: Name) {
        let now = self.now;
        let Some(at) = self.servers.get_mut(&server) else {
            return;
        };
        if !at.alive {
            let back = Back::Broke;
            self.back_after(CALL, request, attempt, back);
            return;
        }
        if at.leaving_since.is_some() {
            let back = Back::ServerLeaving;
            self.back_after(self.plan.near, request, attempt, back);
            return;
        }
        let lost = at.lose_answers > 0;
        at.lose_answers = at.lose_answers.saturating_sub(1);
        self.ledger.note_started(request, &server, now);
        let booking = self
            .running
            .get(&request)
            .and_then(|running| running.booking.clone());
        if let Some(key) = booking {
            self.ledger.note_run(&key);
        }
        let back = if lost { Back::Broke } else { Back::Answered };
        self.back_after(CALL, request, attempt, back);
    }
}
