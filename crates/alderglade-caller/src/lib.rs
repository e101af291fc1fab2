//! HTTP towards callers.
//!
//! `rouille` holds a streamed body back until a buffer is full, so the server beneath it,
//! `tiny_http`, serves callers: [`listen`] takes connections and bounds how long they may dawdle,
//! [`ask`] reads what is asked, [`answer`] writes answers token by token.

pub mod answer;
pub mod ask;
pub mod listen;
