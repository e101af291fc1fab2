//! A small fleet on loopback: its settings files, host files and the platform's list.

use crate::process::{Addresses, Process};
use alderglade_core::Name;
use alderglade_core::lane::Priority;
use alderglade_core::settings::tree::{
    Engine, Fleet as FleetBranch, Model, Server, Service, Tree, Workspace,
};
use alderglade_core::settings::{Policy, tree::Branch};
use alderglade_platform::hosts::{ADDRESS, DOMAIN, ENTRY, OPERATOR, ROLE, Spec};
use alderglade_platform::object::{Kind, Object};
use sha2::{Digest, Sha256};
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU16, AtomicU32, Ordering};

/// The model that engine stand-ins serve.
pub const MODEL: &str = "assist-llm";
/// The plain service.
pub const SERVICE: &str = "booking-api";
/// The class of short urgent work.
pub const DESK: &str = "desk";
/// The class of long reviews.
pub const REVIEW: &str = "review";

const NODE: Kind = Kind {
    plural: "nodes",
    name: "Node",
};

/// Gives the token of a workspace of the small fleet.
pub fn token(workspace: &str) -> String {
    format!("token-of-{workspace}")
}

/// A folder that is removed when it is dropped.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
}

impl Folder {
    /// Makes an empty folder among the temporary files.
    ///
    /// # Panics
    ///
    /// Where it can't be made.
    pub fn new() -> Folder {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("alderglade-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(path.join("workspaces")).expect("a temporary folder");
        Folder { path }
    }

    /// Gives the path.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Writes a file.
    ///
    /// # Panics
    ///
    /// Where it can't be written.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.path.join(name);
        std::fs::write(&path, text).expect("a written file");
        path
    }

    /// Writes a tree as settings files.
    pub fn write_tree(&self, tree: &Tree) {
        self.write("fleet.json", &json(&tree.fleet));
        for (name, workspace) in &tree.workspaces {
            self.write(&format!("workspaces/{name}.json"), &json(workspace));
        }
    }
}

impl Default for Folder {
    fn default() -> Folder {
        Folder::new()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // What is left among the temporary files does no harm.
        let _ = std::fs::remove_dir_all(&self.path);
    }
}

fn json<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}

/// An engine of the fleet.
#[derive(Debug, Clone)]
pub struct EngineAt {
    /// Its name.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Its address.
    pub address: String,
    /// Its KV memory in tokens.
    pub kv_tokens: u64,
}

/// A server of the plain service.
#[derive(Debug, Clone)]
pub struct ServerAt {
    /// Its name.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Its address.
    pub address: String,
}

/// Makes the settings of a small fleet.
pub fn tree(engines: &[EngineAt], servers: &[ServerAt], workspaces: &[&str]) -> Tree {
    let mut tree = Tree {
        fleet: fleet_branch(engines, servers),
        ..Tree::default()
    };
    for name in workspaces {
        tree.workspaces.insert((*name).into(), workspace(name));
    }
    tree
}

fn fleet_branch(engines: &[EngineAt], servers: &[ServerAt]) -> FleetBranch {
    let batch = crate::batch::Config::default();
    let mut fleet = FleetBranch::default();
    fleet.models.insert(
        MODEL.into(),
        Model {
            prefill_tokens_per_second: batch.rate,
            step_ms: batch.step.as_millis() as u64,
            chunk_tokens: batch.chunk,
            mixed_chunk_tokens: batch.mixed_chunk,
            max_prompt_tokens: 1_000_000,
            version: "v1".into(),
        },
    );
    for engine in engines {
        let entry = Engine {
            model: MODEL.into(),
            domain: engine.domain.clone(),
            address: engine.address.as_str().into(),
            kv_tokens: engine.kv_tokens,
            max_batch: batch.max_batch,
            checks_orders: true,
        };
        fleet.engines.insert(engine.name.clone(), entry);
    }
    let server = |server: &ServerAt| Server {
        name: server.name.clone(),
        domain: server.domain.clone(),
        address: server.address.as_str().into(),
    };
    let service = Service {
        repeatable: false,
        servers: servers.iter().map(server).collect(),
    };
    fleet.services.insert(SERVICE.into(), service);
    fleet.policy.time_allowed_ms = Some(60_000);
    fleet.policy.max_output_tokens = Some(64);
    fleet.classes.insert(
        DESK.into(),
        Policy {
            priority: Some(Priority::Urgent),
            time_allowed_ms: Some(20_000),
            ..Policy::default()
        },
    );
    fleet.classes.insert(
        REVIEW.into(),
        Policy {
            priority: Some(Priority::Batch),
            time_allowed_ms: Some(600_000),
            ..Policy::default()
        },
    );
    fleet
}

fn workspace(name: &str) -> Workspace {
    Workspace {
        token_sha256: hex::encode(Sha256::digest(token(name).as_bytes())).into(),
        classes: [(DESK.into(), Branch::default())].into(),
        ..Workspace::default()
    }
}

/// Gives a host's line of the platform's list.
pub fn listed_host(name: &str, domain: &str, addresses: &Addresses) -> Object<Spec> {
    let mut object = Object::new(NODE, name, Spec::default());
    let labels = &mut object.metadata.labels;
    labels.insert(ROLE.into(), ENTRY.into());
    labels.insert(DOMAIN.into(), domain.into());
    let annotations = &mut object.metadata.annotations;
    annotations.insert(ADDRESS.into(), addresses.peers.clone());
    annotations.insert(OPERATOR.into(), addresses.operators.clone());
    object
}

/// An entry host's own settings.
#[derive(Debug, Clone)]
pub struct HostFile<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its failure domain.
    pub domain: &'a str,
    /// The platform's address.
    pub platform: &'a str,
    /// Further fields as JSON, such as `"max_requests": 10`.
    pub more: &'a str,
}

/// Gives a loopback address that no other host of this process has had.
///
/// A host's ports are free again once it has ended, and the system may give them to whoever asks for any port next. Stand-ins
/// listen on `127.0.0.1`: on an address of its own, a host's ports go to none of them, so that a caller of an ended host
/// is turned away and never answered by another test's stand-in.
fn own_address() -> Ipv4Addr {
    static COUNT: AtomicU16 = AtomicU16::new(0);
    let [high, low] = COUNT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    Ipv4Addr::new(127, 1, high, low)
}

/// Starts an entry host on free ports of a loopback address that is its own.
///
/// # Panics
///
/// Where it doesn't start.
pub fn start_entry(
    program: &Path,
    folder: &Folder,
    host: &HostFile<'_>,
    quiet: bool,
) -> (Process, Addresses) {
    let more = if host.more.is_empty() {
        String::new()
    } else {
        format!(", {}", host.more)
    };
    let ip = own_address();
    let text = format!(
        r#"{{"name": "{}", "domain": "{}", "callers": "{ip}:0", "peers": "{ip}:0",
            "operators": "{ip}:0", "platform": "{}", "list_every_ms": 500{more}}}"#,
        host.name, host.domain, host.platform
    );
    let path = folder.write(&format!("host-{}.json", host.name), &text);
    let path = path.to_str().expect("a path of plain letters");
    Process::start(program, &["--settings", path], quiet)
}
