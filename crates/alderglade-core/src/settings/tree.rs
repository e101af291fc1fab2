//! The shapes of the settings files.

use super::policy::Policy;
use crate::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The whole tree in force: the fleet's branch and a branch for each workspace.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Tree {
    /// Grows by one with each accepted change, `0` before the first.
    pub revision: u64,
    /// What holds for all.
    pub fleet: Fleet,
    /// The workspaces by name.
    pub workspaces: BTreeMap<Name, Workspace>,
}

/// What holds for the whole fleet: `fleet.json`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// The models by name.
    pub models: BTreeMap<Name, Model>,
    /// The model engines by name.
    pub engines: BTreeMap<Name, Engine>,
    /// The plain services by name.
    pub services: BTreeMap<Name, Service>,
    /// The values that every request inherits.
    pub policy: Policy,
    /// The caller classes by name, each with the values it sets.
    pub classes: BTreeMap<Name, Policy>,
    /// How many engines of one model and failure domain share a queue; `0` means the default.
    pub cell_engines: usize,
}

/// A model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Prompt tokens that one engine prefills in a second when it does nothing else.
    pub prefill_tokens_per_second: u64,
    /// The time of one decode step of an engine that does nothing else, in milliseconds.
    pub step_ms: u64,
    /// Prompt tokens that one step prefills at most while nothing decodes.
    #[serde(default = "chunk")]
    pub chunk_tokens: u64,
    /// Prompt tokens that one step prefills at most beside decoding streams.
    #[serde(default = "mixed_chunk")]
    pub mixed_chunk_tokens: u64,
    /// The longest prompt, in tokens.
    pub max_prompt_tokens: u64,
    /// The version of the weights that engines shall have; changing it orders a load.
    #[serde(default)]
    pub version: Name,
}

/// A model engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// The model that it serves.
    pub model: Name,
    /// The failure domain that it stands in.
    pub domain: Name,
    /// Its address: IP number and port.
    pub address: Name,
    /// How many tokens of KV cache its memory holds.
    pub kv_tokens: u64,
    /// How many streams it decodes at once.
    pub max_batch: usize,
    /// Whether it refuses orders with an older fencing epoch.
    #[serde(default = "yes")]
    pub checks_orders: bool,
}

/// A plain service beside the engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Whether a call may be sent a second time after contact was lost.
    pub repeatable: bool,
    /// The servers that answer for it.
    pub servers: Vec<Server>,
}

/// One server of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Its name, as the platform's host list gives it.
    pub name: Name,
    /// The failure domain that it stands in.
    pub domain: Name,
    /// Its address: IP number and port.
    pub address: Name,
}

/// A workspace: `workspaces/NAME.json`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Workspace {
    /// The SHA-256 digest of its bearer token, 64 hexadecimal digits.
    pub token_sha256: Name,
    /// The models that it may reach; empty means all.
    pub models: Vec<Name>,
    /// The services that it may reach; empty means all.
    pub services: Vec<Name>,
    /// The values that it sets.
    pub policy: Policy,
    /// What it sets for single caller classes.
    pub classes: BTreeMap<Name, Branch>,
}

/// What a workspace sets for one caller class.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Branch {
    /// The values for the class.
    pub policy: Policy,
    /// The values for single models within the class.
    pub models: BTreeMap<Name, Policy>,
}

/// How many engines share a queue where the settings say nothing.
pub const DEFAULT_CELL_ENGINES: usize = 16;

impl Fleet {
    /// Gives how many engines of one model and failure domain share a queue.
    pub fn cell_size(&self) -> usize {
        match self.cell_engines {
            0 => DEFAULT_CELL_ENGINES,
            size => size,
        }
    }
}

fn chunk() -> u64 {
    2_048
}

fn mixed_chunk() -> u64 {
    512
}

fn yes() -> bool {
    true
}
