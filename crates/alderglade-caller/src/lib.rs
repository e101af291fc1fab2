//! HTTP towards callers.
//!
//! Callers are served on the stack of `alderglade_serve`: [`listen`] takes connections and bounds how
//! long they may dawdle, [`ask`] understands what is asked, [`answer`] writes answers token by token.

pub mod answer;
pub mod ask;
pub mod listen;
