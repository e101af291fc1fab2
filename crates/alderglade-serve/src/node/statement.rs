//! What servers report about themselves in their answers.

use super::{Node, Origin};
use crate::clock;
use crate::event::{self, Record};
use alderglade_core::fleet::directory::{Cold, Server};
use alderglade_core::fleet::incarnation::Key;
use alderglade_core::fleet::rate_limit::LimitReport;
use alderglade_core::fleet::statement::{Rate, Statement};
use alderglade_core::time::Time;
use std::time::Duration;

impl Node {
    /// Applies what a server reports about itself in the answer to something that was `sent` at a time.
    pub fn apply_statement(&self, server: &Server, statement: &Statement, sent: Time) {
        if statement.leaving {
            self.observe_leaving(server);
        }
        if let Some(span) = statement.backoff {
            self.observe_backoff(server, span);
        }
        if let Some(span) = statement.cold.filter(|span| !span.is_zero()) {
            self.record_cold(&Cold {
                server: server.key(),
                service: server.service.clone(),
                span,
            });
        }
        self.observe_limit(server, statement.rate, sent);
    }

    /// Records a server's own report that it leaves. It may come long before the store's report, because the store
    /// may be unavailable.
    fn observe_leaving(&self, server: &Server) {
        let changed = {
            let mut state = self.state.borrow_mut();
            state.directory.mark_leaving(server.key(), clock::now())
        };
        if changed {
            event::write(&Record::ServerLeaves {
                server: server.id(),
            });
            self.log_departures(Origin::Server);
            self.on_servers_changed();
            self.notice_due.notify_one();
        }
    }

    fn observe_backoff(&self, server: &Server, span: Duration) {
        let is_new = {
            let mut state = self.state.borrow_mut();
            state.backoffs.extend(server.key(), span, clock::now())
        };
        if is_new {
            event::write(&Record::ServerBackoff {
                server: server.id(),
                for_ms: span.as_millis() as u64,
            });
        }
    }

    /// Applies the limits of servers that peers report.
    pub fn apply_limit_reports(&self, limits: &[LimitReport]) {
        let now = clock::now();
        for report in limits {
            let changed = self.state.borrow_mut().limits.apply_report(report, now);
            if changed {
                self.on_limit_changed(report.server);
            }
        }
    }

    fn observe_limit(&self, server: &Server, rate: Option<Rate>, sent: Time) {
        let key = server.key();
        let changed = {
            let mut state = self.state.borrow_mut();
            state.limits.observe_limit(key, rate, sent, clock::now())
        };
        if changed {
            self.notice_due.notify_one();
            self.on_limit_changed(key);
        }
    }

    /// Takes ownership of a new limit if this host is its owner, and logs the limit.
    fn on_limit_changed(&self, server: Key) {
        /// Minimum uptime of a host that takes ownership of a limit that is new to it. With a shorter uptime, the
        /// limit may be old and another host may be its owner.
        const MIN_OWNER_UPTIME: Duration = Duration::from_secs(3);
        let now = clock::now();
        let long_running = now.since(self.started) >= MIN_OWNER_UPTIME;
        if long_running && self.limit_owner(server) == self.settings.host {
            self.state.borrow_mut().limits.take_ownership(server, now);
        }
        self.log_limit(server);
    }

    /// Logs a server's current limit.
    fn log_limit(&self, server: Key) {
        let state = self.state.borrow();
        if let Some(known) = state.directory.get(server) {
            event::write(&Record::ServerLimit {
                server: known.id(),
                per_second: state.limits.rate(server).map(Rate::get),
            });
        }
    }
}
