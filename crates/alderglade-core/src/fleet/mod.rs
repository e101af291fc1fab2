//! Decentralized placement: every entry host places its own requests, based on a shared view of the load.
//!
//! Each entry host decides from a [`load_table::LoadTable`] of what every host holds at every backend server; there are
//! no home hosts that grant placements. No request waits for another host: if a host is stopped, killed or
//! disconnected, the others' view becomes less accurate, but they keep serving.

pub mod backoff;
pub mod budget;
pub mod caller;
pub mod config;
pub mod confirmation;
pub mod connectivity;
pub mod contact;
pub mod directory;
pub mod ending;
pub mod evacuation;
pub mod fanout;
pub mod faults;
pub mod fingerprint;
pub mod freshness;
pub mod group;
pub mod health;
pub mod heartbeat;
pub mod homes;
pub mod incarnation;
pub mod load_table;
pub mod loan;
pub mod message;

pub mod part;
pub mod pass;
pub mod placement;
pub mod position;
pub mod progress;
pub mod proxy;
pub mod quarantine;
pub mod rank;
pub mod rate_limit;
pub mod reachability;
pub mod reassembly;
pub mod relay;
pub mod request_number;
pub mod request_state;
pub mod share;
pub mod slowdown;
pub mod sse;
pub mod statement;
