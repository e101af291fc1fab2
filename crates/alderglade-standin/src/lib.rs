//! Stand-ins for what alderglade meets outside, and the tools that try it out.
//!
//! Nothing of the product depends on this package. [`platform`], [`engine`] and [`service`] speak
//! the outside systems' protocols on loopback; [`batch`] is the timing model that the engine
//! stand-in and the virtual-clock world share.

pub mod batch;
pub mod bench;
pub mod client;
pub mod command;
pub mod engine;
pub mod experiment;
pub mod fleet;
pub mod fuzz;

pub mod http;
pub mod measure;
pub mod platform;
pub mod process;
pub mod relay;
pub mod scenario;
pub mod service;
pub mod slope;
pub mod world;
