//! Serves the traffic of an entry host: accepts callers' HTTP requests, places each of them on a backend server and
//! relays the response.
//!
//! Everything runs on one thread, on `hyper` over a current-thread `tokio` runtime. `alderglade_core::fleet` makes
//! the decisions; this crate carries them out. The wire format of a deployment is known only to the
//! [`translate::Translator`] that is passed in.

pub mod answer;
pub mod attempt;
mod body;
mod body_sender;
pub mod client;
pub mod clock;
pub mod daemon;
pub mod event;
pub mod forward;
pub mod generate;
mod head;
pub mod job;
pub mod listen;
pub mod memory;
pub mod metrics;
pub mod node;
pub mod order;
pub mod peer;
pub mod proxy;
pub mod relay;
pub mod settings;
pub mod slowdown;
pub mod socket;
pub mod ticket;
pub mod translate;
pub mod transport;
pub mod unary;
