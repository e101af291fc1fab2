//! What servers say of themselves in their answers.

use super::Node;
use crate::clock;
use crate::event::{self, Record};
use alderglade_core::fleet::directory::{Cold, Server};
use alderglade_core::fleet::incarnation::Key;
use alderglade_core::fleet::rate_limit::LimitReport;
use alderglade_core::fleet::statement::{Rate, Statement};
use alderglade_core::time::Time;
use std::time::Duration;

impl Node {
    /// Takes what a server says of itself in the answer to something that was `sent` at a time.
    pub fn apply_statement(&self, server: &Server, statement: &Statement, sent: Time) {
        if statement.leaving {
            self.hear_leaving(server);
        }
        if let Some(span) = statement.backoff {
            self.hear_backoff(server, span);
        }
        if let Some(span) = statement.cold.filter(|span| !span.is_zero()) {
            self.note_cold(&Cold {
                server: server.key(),
                service: server.service.clone(),
                span,
            });
        }
        self.hear_limit(server, statement.rate, sent);
    }

    /// Takes a server's own word that it leaves, which may come long before the store's: the store may be away.
    fn hear_leaving(&self, server: &Server) {
        let news = {
            let mut state = self.state.borrow_mut();
            state.directory.mark_leaving(server.key(), clock::now())
        };
        if news {
            event::write(&Record::ServerLeaves {
                server: server.id(),
            });
            self.tell_servers();
            self.loads_changed.notify_one();
        }
    }

    fn hear_backoff(&self, server: &Server, span: Duration) {
        let begins = {
            let mut state = self.state.borrow_mut();
            state.backoffs.note(server.key(), span, clock::now())
        };
        if begins {
            event::write(&Record::ServerBackoff {
                server: server.id(),
                for_ms: span.as_millis() as u64,
            });
        }
    }

    /// Takes what peers tell of servers' limits.
    pub fn apply_limit_reports(&self, limits: &[LimitReport]) {
        let now = clock::now();
        for report in limits {
            let news = self.state.borrow_mut().limits.apply_report(report, now);
            if news {
                self.note_limit(report.server);
            }
        }
    }

    fn hear_limit(&self, server: &Server, rate: Option<Rate>, sent: Time) {
        let key = server.key();
        let news = {
            let mut state = self.state.borrow_mut();
            state.limits.observe_limit(key, rate, sent, clock::now())
        };
        if news {
            self.loads_changed.notify_one();
            self.note_limit(key);
        }
    }

    /// Takes up a limit that is new, where this host owns it, and writes what it is now.
    fn note_limit(&self, server: Key) {
        /// How long a host must have lived to own a limit that is new to it: else the limit may be old, and another host
        /// its owner.
        const LIVED: Duration = Duration::from_secs(3);
        let now = clock::now();
        let lived = now.since(self.began) >= LIVED;
        if lived && self.limit_owner(server) == self.settings.host {
            self.state.borrow_mut().limits.take_ownership(server, now);
        }
        self.tell_limit(server);
    }

    /// Writes what a server's limit is now.
    fn tell_limit(&self, server: Key) {
        let state = self.state.borrow();
        if let Some(known) = state.directory.get(server) {
            event::write(&Record::ServerLimit {
                server: known.id(),
                per_second: state.limits.rate(server).map(Rate::get),
            });
        }
    }
}
