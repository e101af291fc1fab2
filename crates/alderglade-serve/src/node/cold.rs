//! Backend servers that are cold, and get no more requests than they bear.

use super::{Node, State};
use crate::clock;
use crate::event::{self, Record};
use alderglade_core::fleet::directory::{Cold, Server};
use alderglade_core::fleet::incarnation::Key;
use alderglade_core::fleet::rate_limit::cold::ColdReport;
use alderglade_core::fleet::statement::Rate;
use std::time::Duration;

impl Node {
    /// Takes what entries of servers have said of cold spells. They wait until the configuration tells what cold servers bear.
    pub(super) fn take_cold(&self) {
        let cold_servers = {
            let mut state = self.state.borrow_mut();
            if state.config.is_none() {
                return;
            }
            state.directory.take_cold()
        };
        for cold in cold_servers {
            self.note_cold(&cold);
        }
    }

    /// Takes that the servers of a failure domain may be cold, which was evacuated until now: their entries say so only later.
    pub(super) fn note_cold_domain(&self, domain: &str) {
        let cold_servers: Vec<Cold> = {
            let state = self.state.borrow();
            let servers = state.directory.active_in(domain);
            servers
                .filter_map(|server| state.as_started(server))
                .collect()
        };
        for cold in cold_servers {
            self.note_cold_from(&cold, false);
        }
    }

    /// Takes that a server has started again, and is cold as after any start.
    pub(super) fn note_cold_restart(&self, server: Key) {
        let cold = {
            let state = self.state.borrow();
            let known = state.directory.active(server);
            known.and_then(|known| state.as_started(known))
        };
        if let Some(cold) = cold {
            self.note_cold(&cold);
        }
    }

    /// Takes a server's own word, or that of the store, that it is cold. Hosts that watch the store tell the others.
    pub(super) fn note_cold(&self, cold: &Cold) {
        let first_hand = self.state.borrow().watches_store();
        self.note_cold_from(cold, first_hand);
    }

    fn note_cold_from(&self, cold: &Cold, first_hand: bool) {
        let news = {
            let mut state = self.state.borrow_mut();
            let Some(rate) = self.cold_rate(&state, &cold.service) else {
                return;
            };
            let now = clock::now();
            let limits = &mut state.limits;
            limits.observe_cold(cold.server, rate, cold.span, first_hand, now)
        };
        if news {
            self.tell_cold(cold.server, cold.span);
        }
    }

    /// Takes what peers tell of cold servers. The entry of one that isn't known yet will say it, too.
    pub fn apply_cold_reports(&self, cold: &[ColdReport]) {
        for report in cold {
            let news = {
                let mut state = self.state.borrow_mut();
                let known = state.directory.knows(report.server);
                known && state.limits.apply_cold_report(report, clock::now())
            };
            if news {
                self.tell_cold(report.server, report.left());
            }
        }
    }

    /// Gives the rate at which a cold server of a service is granted, where there is a bound on that.
    fn cold_rate(&self, state: &State, service: &str) -> Option<Rate> {
        let bound = self.settings.cold?;
        let service = state.config.as_ref()?.service(service)?;
        bound.rate(service.cold_per_second)
    }

    /// Writes that a server is cold, and has peers told.
    fn tell_cold(&self, server: Key, span: Duration) {
        let state = self.state.borrow();
        if let Some(known) = state.directory.active(server) {
            event::write(&Record::ServerCold {
                server: known.id(),
                for_ms: span.as_millis() as u64,
            });
        }
        self.loads_changed.notify_one();
    }
}

impl State {
    /// Gives for how long a server would be cold that has just started; `None` where its service has no such time.
    fn as_started(&self, server: &Server) -> Option<Cold> {
        let service = self.config.as_ref()?.service(&server.service)?;
        let cold = Cold {
            server: server.key(),
            service: server.service.clone(),
            span: service.cold_start,
        };
        (!cold.span.is_zero()).then_some(cold)
    }
}
