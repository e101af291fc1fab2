//! The decision logic of alderglade, free of I/O, threads, clocks and global random numbers.
//!
//! Every component takes events together with the current [`time::Time`] and returns actions. The
//! daemon performs the actions. Scripted scenarios, differential tests and benchmarks run the same
//! code under a virtual clock. Nothing in this crate may read a clock, open a socket or start a
//! thread.

pub mod admission;
pub mod cell;
pub mod engine_state;
pub mod error;
pub mod estimate;
pub mod fleet;
pub mod gang;
pub mod inflight;
pub mod lane;
pub mod lease;
pub mod ledger;
pub mod limit;
pub mod membership;
pub mod message;
pub mod node;
pub mod placement;
pub mod queue;
pub mod request;
pub mod retry;
pub mod settings;
pub mod slo;
pub mod stream;
pub mod time;

/// A shared immutable string: the name of a host, an engine, a workspace or a model.
pub type Name = std::sync::Arc<str>;
