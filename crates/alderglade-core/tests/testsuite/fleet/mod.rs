//! Placement by every host on a shared load book.

mod book;
mod budget;
mod caller;
mod config;
mod directory;
mod freshness;
mod health;
mod heartbeat;
mod life;
mod line;
mod message;
mod pass;
mod placement;
mod progress;
mod reach;
mod relay;
mod slowdown;
mod sse;

use alderglade_core::fleet::book::{Hold, Load};
use alderglade_core::fleet::pass::Figures;

/// The figures of the users' engines.
fn figures() -> Figures {
    Figures {
        slots: 16,
        memory_tokens: 232_000,
        step: 1.02,
        step_per_request: 0.00226,
        step_per_thousand: 0.00431,
        read_per_ms: 206.0,
        pairs_per_million: 0.138,
        chunk: 2_048,
        stride: 43,
    }
}

/// A request at one server; `reading` in microseconds.
fn hold(server: &str, reading: u64, memory: i64) -> Hold {
    Hold {
        first: server.into(),
        load: Load {
            placed: reading,
            memory,
            running: 1,
            at_risk: [1_300, 0, 0],
        },
        helpers: Vec::new(),
        giant: false,
    }
}
