//! The platform's service as alderglade meets it: an object API and a list of hosts.
//!
//! The protocol is the published one of the Kubernetes API conventions, as far as it is needed:
//! objects with `metadata.resourceVersion`, conditional `PUT`, `POST` that fails where the object
//! exists, label selectors, and watches as a stream of JSON lines. Each call is one request on the
//! platform's account; a waiting watch counts as one.

pub mod client;
pub mod hosts;
pub mod lease;
pub mod ledger;
pub mod object;
pub mod settings;
pub mod slo;

pub use client::{Client, Error};
