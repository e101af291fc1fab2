//! Tests of the serving library that start no host.

mod answer;
mod client;
mod clock;
mod event;
mod event_lines;
mod hashes;
mod memory;
mod message;
mod metrics;
mod wire_bytes;
