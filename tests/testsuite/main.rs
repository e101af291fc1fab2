//! Tests by feature.

mod docs;
mod explain;
mod faults;
mod fleet;
mod operators;
mod path;
mod scenarios;
mod stop;
