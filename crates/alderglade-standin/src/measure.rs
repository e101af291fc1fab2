//! Slopes for `docs/CAPACITY.md`: what control costs, at several sizes each.
//!
//! Processor time is the machine's, taken around the core's own calls. Bytes are those of the
//! codec that entry hosts use between each other, without the few bytes of framing.

mod control;
mod counts;
pub mod idle;
mod ledger;
mod request;
mod settings;

use crate::fleet::{self, EngineAt, MODEL};
use alderglade_core::cell::{Digest, Key};
use alderglade_core::membership::Card;
use alderglade_core::message::{Heartbeat, Message};
use alderglade_core::node::{Config, Event, Node};
use alderglade_core::placement;
use alderglade_core::settings::Tree;
use alderglade_core::time::Time;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;

/// One measured number.
#[derive(Debug, Clone, Serialize)]
pub struct Figure {
    /// What was measured.
    pub what: &'static str,
    /// The size at which it was.
    pub size: String,
    /// The number.
    pub value: f64,
    /// Its unit.
    pub unit: &'static str,
}

fn figure(what: &'static str, size: impl ToString, value: f64, unit: &'static str) -> Figure {
    Figure {
        what,
        size: size.to_string(),
        value,
        unit,
    }
}

/// Measures all slopes that need no processes.
pub fn run() -> Vec<Figure> {
    let mut figures = Vec::new();
    control::heartbeats(&mut figures);
    control::ticks(&mut figures);
    request::measure(&mut figures);
    settings::measure(&mut figures);
    ledger::measure(&mut figures);
    counts::measure(&mut figures);
    figures
}

fn bytes(message: &Message) -> u64 {
    bincode::serialized_size(message).unwrap_or(0)
}

fn card(name: &str) -> Card {
    Card {
        name: name.into(),
        domain: "domain-01".into(),
        address: format!("10.20.30.40:7000/{name}").into(),
        incarnation: 1,
        leaving: false,
        revision: 1_000,
    }
}

fn digest(index: u32) -> Digest {
    Digest {
        cell: Key {
            domain: "domain-01".into(),
            model: MODEL.into(),
            index,
        },
        open: 16,
        waits: [Duration::from_millis(5); 3],
        largest: 5_760_000,
    }
}

fn heartbeat(name: &str, cells: u32) -> Message {
    Message::Heartbeat(Heartbeat {
        card: card(name),
        cells: (0..cells).map(digest).collect(),
        leaving: Vec::new(),
    })
}

fn tree(engines: usize, workspaces: usize) -> Tree {
    let engines: Vec<EngineAt> = (0..engines)
        .map(|number| EngineAt {
            name: format!("engine-{number:04}").into(),
            domain: "domain-01".into(),
            address: "127.0.0.1:1".into(),
            kv_tokens: 400_000,
        })
        .collect();
    let names: Vec<String> = (0..workspaces)
        .map(|n| format!("workspace-{n:05}"))
        .collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut tree = fleet::tree(&engines, &[], &names);
    tree.revision = 1;
    tree
}

fn node(name: &str, tree: &Tree, now: Time) -> Node {
    let config = Config {
        card: card(name),
        placement: placement::Config::default(),
        drain_limit: Duration::from_secs(600),
    };
    let mut node = Node::new(config, now);
    node.handle(Event::Settings(Arc::new(tree.clone())), now, 0);
    node
}
