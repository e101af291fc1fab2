//! Tests by feature.

mod docs;
mod faults;
mod fleet;
mod operators;
mod path;
mod scenarios;
