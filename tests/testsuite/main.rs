//! Tests by feature.

mod faults;
mod fleet;
mod operators;
mod path;
mod scenarios;
