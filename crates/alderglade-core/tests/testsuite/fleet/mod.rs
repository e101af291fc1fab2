//! Decentralized placement: every host places its own requests, based on a shared load table.

mod backoff;
mod budget;
mod burst;
mod caller;
mod cold;
mod config;
mod confirmation;
mod connectivity;
mod departures;
mod directory;
mod ending;
mod evacuation;
mod fanout;
mod faults;
mod fingerprint;
mod freshness;
mod group;
mod health;
mod heartbeat;
mod homes;
mod incarnation;
mod load_table;
mod loan;
mod outage;
mod pass;
mod placement;
mod progress;
mod proxy;
mod quarantine;
mod queue;
mod rank;
mod rate_limit;
mod reachability;
mod reassembly;
mod relay;
mod request_state;
mod restored;
mod rng;
mod share;
mod sizes;
mod slot_queue;
mod slots;
mod slowdown;
mod sse;

use alderglade_core::fleet::directory::{Directory, Server};
use alderglade_core::fleet::evacuation::Snapshot;
use alderglade_core::fleet::incarnation::{Incarnation, Key};
use alderglade_core::fleet::load_table::{Load, LoadTable, Notice, Reservation};
use alderglade_core::fleet::pass::EngineProfile;
use alderglade_core::fleet::position::Position;
use alderglade_core::fleet::relay::StoreStatus;
use alderglade_core::time::Time;
use std::collections::BTreeSet;

/// The profile of the users' engines.
fn profile() -> EngineProfile {
    EngineProfile {
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

/// Returns the key of a server that doesn't state its birth time.
fn key(id: &str) -> Key {
    Incarnation::new(id, None).key()
}

/// Returns an engine server in the domain `north` that doesn't state its birth time.
fn server(id: &str, leaving: bool) -> Server {
    Server {
        incarnation: Incarnation::new(id, None),
        service: "llm".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        domain: "north".into(),
        slots: 16,
        leaving,
        cold_ms: 0,
    }
}

/// Returns a notice of a host in the domain `north` that holds nothing.
fn empty_notice(host: &str, incarnation: u64, sequence: u64) -> Notice {
    Notice {
        host: host.into(),
        domain: "north".into(),
        incarnation: Position::new(1, incarnation),
        sequence,
        interval_ms: 250,
        full: false,
        multi_engine_prompts: 0,
        queued: Vec::new(),
        store: StoreStatus::default(),
        leaving: Vec::new(),
        ejections: Vec::new(),
        unanswered: Vec::new(),
        quarantine: Vec::new(),
        limits: Vec::new(),
        cold: Vec::new(),
        evacuations: Snapshot::default(),
        holdings: Vec::new(),
    }
}

/// Returns the next notice of a host: all that it holds if it is `full`, else what has changed.
fn next_notice(loads: &mut LoadTable, host: &str, sequence: u64, full: bool, now: Time) -> Notice {
    let changes = loads.take_changes();
    Notice {
        full,
        multi_engine_prompts: loads.own_multi_engine_prompts(),
        queued: loads.queued_demands(now),
        holdings: if full {
            loads.all_holdings(now)
        } else {
            changes
        },
        ..empty_notice(host, 1, sequence)
    }
}

/// Returns the reservation of one request at one server; `reading` is in microseconds.
fn reservation(server: &str, reading: u64, memory: i64) -> Reservation {
    Reservation {
        primary: key(server),
        load: Load {
            placed_micros: reading,
            memory,
            running: 1,
            value_at_risk: [1_300, 0, 0],
        },
        helpers: Vec::new(),
        multi_engine: false,
    }
}

/// Returns the ids of the servers that accept work.
fn active_ids(directory: &Directory) -> BTreeSet<String> {
    let servers = directory.of_service("llm");
    servers.map(|server| server.id().to_string()).collect()
}

/// Returns a set of server ids.
fn id_set(ids: &[&str]) -> BTreeSet<String> {
    ids.iter().map(ToString::to_string).collect()
}
