//! The types of the settings files.

use super::policy::Policy;
use crate::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The settings of one revision: the fleet's branch and a branch for each workspace.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Tree {
    /// Incremented with each accepted change; `0` before the first.
    pub revision: u64,
    /// The settings of the whole fleet.
    pub fleet: Fleet,
    /// The workspaces by name.
    pub workspaces: BTreeMap<Name, Workspace>,
}

/// The settings of the whole fleet: `fleet.json`.
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
    /// The caller classes by name, each with the values that it sets.
    pub classes: BTreeMap<Name, Policy>,
    /// Maximum number of engines of a model and failure domain that share a queue; `0` means
    /// [`DEFAULT_CELL_ENGINES`].
    pub cell_engines: usize,
}

/// A model and its speed on one engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Prefill speed of an otherwise idle engine, in prompt tokens per second.
    pub prefill_tokens_per_second: u64,
    /// Duration of one decode step of an otherwise idle engine, in milliseconds.
    pub step_ms: u64,
    /// Maximum number of prompt tokens prefilled per step while nothing is decoded.
    #[serde(default = "chunk")]
    pub chunk_tokens: u64,
    /// Maximum number of prompt tokens prefilled per step while streams are decoded.
    #[serde(default = "mixed_chunk")]
    pub mixed_chunk_tokens: u64,
    /// Maximum length of a prompt, in tokens.
    pub max_prompt_tokens: u64,
    /// The version of the weights that engines have to load; a change orders a load.
    #[serde(default)]
    pub version: Name,
}

/// A model engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// The model that it serves.
    pub model: Name,
    /// The failure domain that it belongs to.
    pub domain: Name,
    /// Its IP address and port.
    pub address: Name,
    /// Capacity of its KV cache, in tokens.
    pub kv_tokens: u64,
    /// Maximum number of streams that it decodes at once.
    pub max_batch: usize,
    /// Whether it rejects orders with an outdated fencing epoch.
    #[serde(default = "yes")]
    pub checks_orders: bool,
}

/// A plain service beside the engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Whether a call may be sent again after the connection was lost.
    pub repeatable: bool,
    /// The servers that provide the service.
    pub servers: Vec<Server>,
}

/// One server of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Its name in the platform's list of hosts.
    pub name: Name,
    /// The failure domain that it belongs to.
    pub domain: Name,
    /// Its IP address and port.
    pub address: Name,
}

/// The settings of a workspace: `workspaces/NAME.json`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Workspace {
    /// The SHA-256 digest of its bearer token, 64 hexadecimal digits.
    pub token_sha256: Name,
    /// The models that it may use; empty means all.
    pub models: Vec<Name>,
    /// The services that it may call; empty means all.
    pub services: Vec<Name>,
    /// The values that all its requests inherit.
    pub policy: Policy,
    /// Settings for individual caller classes.
    pub classes: BTreeMap<Name, Branch>,
}

/// The settings of a workspace for one caller class.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Branch {
    /// The values for the class.
    pub policy: Policy,
    /// The values for individual models within the class.
    pub models: BTreeMap<Name, Policy>,
}

/// Value of [`Fleet::cell_size`] if the settings give none.
pub const DEFAULT_CELL_ENGINES: usize = 16;

impl Fleet {
    /// Returns the maximum number of engines of a model and failure domain that share a queue.
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
