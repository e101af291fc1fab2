//! Backend servers as alderglade meets them: model engines and plain services, over HTTP.
//!
//! [`wire`] holds the bodies, [`engine`] the calls to an engine, [`stream`] reads an answer token
//! by token, [`gang`] takes a prompt through several engines, [`service`] calls plain services.

pub mod engine;
pub mod gang;
pub mod service;
pub mod stream;
pub mod wire;
