//! What operators see and use: logs, metrics, pages, commands and reports.

pub mod command;
pub mod event;
pub mod files;
pub mod logging;
pub mod metrics;
pub mod pages;
pub mod plot;
pub mod shell;
