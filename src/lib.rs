//! alderglade: a serving layer for language-model prompts of very unlike lengths.
//!
//! [`entry`] puts the parts together into the daemon that every entry host runs.

pub mod entry;
