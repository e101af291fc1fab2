//! HTTP client for backend servers: model engines and plain services.
//!
//! [`wire`] defines the JSON bodies, [`engine`] makes the calls to an engine, [`stream`] reads a
//! response token by token, [`gang`] runs a prompt on several engines, [`service`] calls plain services.

pub mod engine;
pub mod gang;
pub mod service;
pub mod stream;
pub mod wire;
