//! Client of the platform's service: an object API and a list of hosts.
//!
//! The protocol is the subset of the Kubernetes API conventions that alderglade needs: objects with
//! `metadata.resourceVersion`, conditional `PUT`, `POST` that fails if the object exists, label
//! selectors, and watches as a stream of JSON lines. The platform accounts each call as one request;
//! an open watch counts as one.

pub mod client;
pub mod hosts;
pub mod lease;
pub mod ledger;
pub mod object;
pub mod settings;
pub mod slo;

pub use client::{Client, Error};
