//! HTTP server for callers.
//!
//! It uses the HTTP stack of `alderglade_serve`. [`listen`] accepts connections and limits how long they
//! may be idle, [`ask`] parses requests, [`answer`] writes answers token by token.

pub mod answer;
pub mod ask;
pub mod listen;
