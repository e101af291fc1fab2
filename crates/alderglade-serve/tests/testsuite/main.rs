//! Tests of the serving library that need no sockets.

mod answer;
mod client;
mod clock;
mod event;
mod event_lines;
mod hashes;
mod memory;
mod message;
mod wire_bytes;
