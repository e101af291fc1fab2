//! Storage of settings in the platform: immutable parts named by digest, and a root that lists them.
//!
//! Applying settings writes the parts first and the root last, by conditional update. The root
//! contains a write token: after a lost response an operator reads the root back and determines
//! from the token whether its own write took effect. The revision only grows.

use crate::client::{Client, Error};
use crate::object::{Object, PART, ROOT};
use alderglade_core::Name;
use alderglade_core::settings::Tree;
use alderglade_core::settings::tree::{Fleet, Workspace};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::time::Duration;

/// Name of the root, of which there is exactly one.
pub const ROOT_NAME: &str = "root";
/// Number of parts that workspaces are spread over, so that a change transfers little data.
const WORKSPACE_PARTS: u64 = 64;
/// Maximum number of attempts to write the root; after each failed one the root is read back.
const ROOT_WRITE_ATTEMPTS: u32 = 10;
/// Pause between two attempts to write the root.
const ROOT_WRITE_PAUSE: Duration = Duration::from_millis(300);

/// Content of the root.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Root {
    /// Number of the accepted change, increased by one with each.
    pub revision: u64,
    /// Token of the operator whose write created this revision.
    pub token: String,
    /// Digests of the parts that form the tree.
    pub parts: Vec<String>,
}

/// One part of the settings tree.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// Settings of the fleet; exactly one part has them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fleet: Option<Fleet>,
    /// Settings of a subset of the workspaces.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub workspaces: BTreeMap<Name, Workspace>,
}

/// Cache of parts by digest, so that after a change only the changed parts are fetched.
#[derive(Debug, Default)]
pub struct Cache {
    parts: BTreeMap<String, Part>,
}

/// Outcome of [`apply`].
#[derive(Debug, Clone, PartialEq)]
pub enum Applied {
    /// The tree was accepted as this revision.
    Accepted(u64),
    /// The tree is identical to the one in force, which has this revision.
    Unchanged(u64),
    /// Another operator applied a change first; this revision is in force.
    Conflict(u64),
}

/// Reads the root; a fleet without settings has revision `0`.
///
/// # Errors
///
/// Returns an error if the call to the platform fails.
pub fn root(client: &Client) -> Result<Object<Root>, Error> {
    match client.get::<Root>(ROOT, ROOT_NAME) {
        Ok(root) => Ok(root),
        Err(Error::NotFound { .. }) => Ok(Object::new(ROOT, ROOT_NAME, Root::default())),
        Err(error) => Err(error),
    }
}

/// Reads the complete tree that a root refers to.
///
/// # Errors
///
/// Returns an error if the call to the platform fails or a part is missing.
pub fn tree(client: &Client, root: &Root, cache: &mut Cache) -> Result<Tree, Error> {
    let mut parts = BTreeMap::new();
    for digest in &root.parts {
        let part = match cache.parts.remove(digest) {
            Some(part) => part,
            None => client.get::<Part>(PART, digest)?.spec,
        };
        parts.insert(digest.clone(), part);
    }
    cache.parts = parts;
    Ok(join(root.revision, cache.parts.values()))
}

/// Replaces the revision of `base` by `tree`.
///
/// # Errors
///
/// Returns an error if a call to the platform fails; calls for the root are retried first.
pub fn apply(
    client: &Client,
    base: &Object<Root>,
    tree: &Tree,
    token: &str,
) -> Result<Applied, Error> {
    let parts = split(tree);
    let digests: Vec<String> = parts.keys().cloned().collect();
    if digests == base.spec.parts {
        return Ok(Applied::Unchanged(base.spec.revision));
    }
    for (digest, part) in parts {
        if !base.spec.parts.contains(&digest) {
            store_part(client, &digest, part)?;
        }
    }
    let mut next = base.clone();
    next.spec = Root {
        revision: base.spec.revision + 1,
        token: token.into(),
        parts: digests,
    };
    write_root(client, &next)
}

/// Writes the root, retrying until it is known whether this write took effect.
///
/// After a lost response the root is read back. If it is still the old one, the same conditional
/// write is sent again: if the lost one arrives late, one of the two fails with a conflict, and the
/// token shows whose content is in force.
fn write_root(client: &Client, next: &Object<Root>) -> Result<Applied, Error> {
    let mut last_error = None;
    for _ in 0..ROOT_WRITE_ATTEMPTS {
        match client.write(ROOT, next) {
            Ok(root) => return Ok(Applied::Accepted(root.spec.revision)),
            Err(Error::NotFound { kind, name }) => return Err(Error::NotFound { kind, name }),
            Err(error) => last_error = Some(error),
        }
        match root(client) {
            Ok(stored) if stored.spec.token == next.spec.token => {
                return Ok(Applied::Accepted(stored.spec.revision));
            }
            Ok(stored) if stored.spec.revision >= next.spec.revision => {
                return Ok(Applied::Conflict(stored.spec.revision));
            }
            Ok(_) => {}
            Err(error) => last_error = Some(error),
        }
        std::thread::sleep(ROOT_WRITE_PAUSE);
    }
    match last_error {
        Some(error) => Err(error),
        None => Ok(Applied::Conflict(next.spec.revision)),
    }
}

fn store_part(client: &Client, digest: &str, part: Part) -> Result<(), Error> {
    match client.write(PART, &Object::new(PART, digest, part)) {
        Ok(_) | Err(Error::Conflict { .. }) => Ok(()),
        Err(error) => Err(error),
    }
}

fn split(tree: &Tree) -> BTreeMap<String, Part> {
    let fleet = Part {
        fleet: Some(tree.fleet.clone()),
        workspaces: BTreeMap::new(),
    };
    let mut groups: BTreeMap<u64, Part> = BTreeMap::new();
    for (name, workspace) in &tree.workspaces {
        let group = groups.entry(group_of(name)).or_default();
        group.workspaces.insert(name.clone(), workspace.clone());
    }
    std::iter::once(fleet)
        .chain(groups.into_values())
        .map(|part| (digest(&part), part))
        .collect()
}

fn group_of(name: &str) -> u64 {
    let digest = Sha256::digest(name.as_bytes());
    u64::from(digest[0]) % WORKSPACE_PARTS
}

fn digest(part: &Part) -> String {
    let text = serde_json::to_vec(part).unwrap_or_default();
    hex::encode(Sha256::digest(&text))
}

fn join<'a>(revision: u64, parts: impl Iterator<Item = &'a Part>) -> Tree {
    let mut tree = Tree {
        revision,
        ..Tree::default()
    };
    for part in parts {
        if let Some(fleet) = &part.fleet {
            tree.fleet = fleet.clone();
        }
        let workspaces = part.workspaces.iter();
        tree.workspaces
            .extend(workspaces.map(|(name, workspace)| (name.clone(), workspace.clone())));
    }
    tree
}
