//! What servers say of themselves in their answers.

use super::Node;
use crate::event::{self, Record};
use alderglade_core::fleet::directory::Server;
use alderglade_core::fleet::statement::{Rate, Statement};

impl Node {
    /// Takes what a server says of itself in an answer, and writes what is new of it.
    pub fn hear_statement(&self, server: &Server, statement: &Statement) {
        let mut state = self.state.borrow_mut();
        let before = state.statements.insert(server.key(), *statement);
        drop(state);
        let before = before.unwrap_or_default();
        let id = server.id();
        if statement.leaving && !before.leaving {
            event::write(&Record::ServerLeaves { server: id });
        }
        if let Some(span) = statement.backoff {
            event::write(&Record::ServerBackoff {
                server: id,
                for_ms: span.as_millis() as u64,
            });
        }
        if statement.rate != before.rate {
            event::write(&Record::ServerLimit {
                server: id,
                per_second: statement.rate.map(Rate::get),
            });
        }
    }
}
