//! The traffic of an entry host: takes callers' HTTP, places each request, passes the answer on.
//!
//! Everything runs on one thread, on `hyper` over a current-thread `tokio` runtime. Decisions are
//! those of `alderglade_core::fleet`; this crate carries them out. What a deployment calls things on
//! the wire is known only to a [`translate::Translator`] that is passed in.

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
pub mod job;
pub mod listen;
pub mod memory;
pub mod metrics;
pub mod node;
pub mod order;
pub mod peer;
pub mod relay;
pub mod settings;
pub mod slowdown;
pub mod ticket;
pub mod translate;
pub mod unary;
