//! Tests by feature.

mod scenarios;
