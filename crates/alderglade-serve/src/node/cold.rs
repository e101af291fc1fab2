//! Backend servers that are cold, and receive no more requests than a cold server can handle.

use super::{Node, State};
use crate::clock;
use crate::event::{self, Record};
use alderglade_core::fleet::directory::{Cold, Server};
use alderglade_core::fleet::incarnation::Key;
use alderglade_core::fleet::rate_limit::cold::ColdReport;
use alderglade_core::fleet::statement::Rate;
use std::time::Duration;

impl Node {
    /// Applies the cold periods that servers' entries report. They are kept until the configuration gives the rate of
    /// cold servers.
    pub(super) fn apply_listed_cold(&self) {
        let cold_servers = {
            let mut state = self.state.borrow_mut();
            if state.config.is_none() {
                return;
            }
            state.directory.take_cold()
        };
        for cold in cold_servers {
            self.record_cold(&cold);
        }
    }

    /// Records that the servers of a failure domain whose evacuation has just ended may be cold. Their entries report
    /// this only later.
    pub(super) fn record_cold_domain(&self, domain: &str) {
        let cold_servers: Vec<Cold> = {
            let state = self.state.borrow();
            let servers = state.directory.active_in(domain);
            servers
                .filter_map(|server| state.cold_after_start(server))
                .collect()
        };
        for cold in cold_servers {
            self.insert_cold(&cold, false);
        }
    }

    /// Records that a server has restarted and is cold, as after any start.
    pub(super) fn record_cold_restart(&self, server: Key) {
        let cold = {
            let state = self.state.borrow();
            let known = state.directory.active(server);
            known.and_then(|known| state.cold_after_start(known))
        };
        if let Some(cold) = cold {
            self.record_cold(&cold);
        }
    }

    /// Records that a server is cold, as reported by itself or by the store. Hosts that watch the store report it to
    /// the others.
    pub(super) fn record_cold(&self, cold: &Cold) {
        let first_hand = self.state.borrow().watches_store();
        self.insert_cold(cold, first_hand);
    }

    fn insert_cold(&self, cold: &Cold, first_hand: bool) {
        let changed = {
            let mut state = self.state.borrow_mut();
            let Some(rate) = self.cold_rate(&state, &cold.service) else {
                return;
            };
            let now = clock::now();
            let limits = &mut state.limits;
            limits.observe_cold(cold.server, rate, cold.span, first_hand, now)
        };
        if changed {
            self.announce_cold(cold.server, cold.span);
        }
    }

    /// Applies peers' reports of cold servers. Reports of unknown servers are ignored, because their entries will
    /// report the same.
    pub fn apply_cold_reports(&self, cold: &[ColdReport]) {
        for report in cold {
            let changed = {
                let mut state = self.state.borrow_mut();
                let known = state.directory.knows(report.server);
                known && state.limits.apply_cold_report(report, clock::now())
            };
            if changed {
                self.announce_cold(report.server, report.remaining());
            }
        }
    }

    /// Returns the rate at which requests to a cold server of a service are granted, if it is limited.
    fn cold_rate(&self, state: &State, service: &str) -> Option<Rate> {
        let bound = self.settings.cold?;
        let service = state.config.as_ref()?.service(service)?;
        bound.rate(service.cold_per_second)
    }

    /// Logs that a server is cold and triggers a notice to the peers.
    fn announce_cold(&self, server: Key, span: Duration) {
        let state = self.state.borrow();
        if let Some(known) = state.directory.active(server) {
            event::write(&Record::ServerCold {
                server: known.id(),
                for_ms: span.as_millis() as u64,
            });
        }
        self.notice_due.notify_one();
    }
}

impl State {
    /// Returns for how long a server is cold if it has just started; `None` if its service has no cold start time.
    fn cold_after_start(&self, server: &Server) -> Option<Cold> {
        let service = self.config.as_ref()?.service(&server.service)?;
        let cold = Cold {
            server: server.key(),
            service: server.service.clone(),
            span: service.cold_start,
        };
        (!cold.span.is_zero()).then_some(cold)
    }
}
