//! Settings in the platform: immutable parts named by digest, and one root that names them.
//!
//! Applying writes the parts first and the root last, by conditional update. The root carries a
//! write token: an operator whose answer was lost reads the root back and sees by the token
//! whether the own write took effect. The revision only grows.

use crate::client::{Client, Error};
use crate::object::{Object, PART, ROOT};
use alderglade_core::Name;
use alderglade_core::settings::Tree;
use alderglade_core::settings::tree::{Fleet, Workspace};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::time::Duration;

/// The root's name; there is one.
pub const ROOT_NAME: &str = "root";
/// Workspaces are spread over this many parts, so that one change moves little.
const PARTS: u64 = 64;
/// After a lost answer the root is read back this often.
const READ_BACKS: u32 = 10;
/// Pause before the root is read back again.
const READ_BACK_PAUSE: Duration = Duration::from_millis(300);

/// The content of the root.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Root {
    /// Grows by one with each accepted change.
    pub revision: u64,
    /// The writer's token.
    pub token: String,
    /// Digests of the parts.
    pub parts: Vec<String>,
}

/// One part of the tree.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// The fleet's branch, in one part only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fleet: Option<Fleet>,
    /// Some of the workspaces.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub workspaces: BTreeMap<Name, Workspace>,
}

/// Parts read before, by digest, so that a change fetches only what changed.
#[derive(Debug, Default)]
pub struct Cache {
    parts: BTreeMap<String, Part>,
}

/// How applying ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Applied {
    /// It is accepted under this revision.
    Accepted(u64),
    /// It is the same as what is in force.
    Unchanged(u64),
    /// Another operator was first; this revision is in force.
    Conflict(u64),
}

/// Reads the root; a fleet without settings has revision `0`.
///
/// # Errors
///
/// Where the platform gives no answer.
pub fn root(client: &Client) -> Result<Object<Root>, Error> {
    match client.get::<Root>(ROOT, ROOT_NAME) {
        Ok(root) => Ok(root),
        Err(Error::NotFound { .. }) => Ok(Object::new(ROOT, ROOT_NAME, Root::default())),
        Err(error) => Err(error),
    }
}

/// Reads the whole tree that a root names.
///
/// # Errors
///
/// Where the platform gives no answer or a part is missing.
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

/// Applies a tree in place of the revision that `base` names.
///
/// # Errors
///
/// Where the platform gives no answer, even after reading back.
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

/// Writes the root until it is known whether this write took effect.
///
/// After a lost answer the root is read back. Where it still is the old one the same conditional
/// write is sent again: if the lost one arrives late, one of the two meets a conflict and the
/// token tells whose content is in force.
fn write_root(client: &Client, next: &Object<Root>) -> Result<Applied, Error> {
    let mut last = None;
    for _ in 0..READ_BACKS {
        match client.write(ROOT, next) {
            Ok(root) => return Ok(Applied::Accepted(root.spec.revision)),
            Err(Error::NotFound { kind, name }) => return Err(Error::NotFound { kind, name }),
            Err(error) => last = Some(error),
        }
        match root(client) {
            Ok(found) if found.spec.token == next.spec.token => {
                return Ok(Applied::Accepted(found.spec.revision));
            }
            Ok(found) if found.spec.revision >= next.spec.revision => {
                return Ok(Applied::Conflict(found.spec.revision));
            }
            Ok(_) => {}
            Err(error) => last = Some(error),
        }
        std::thread::sleep(READ_BACK_PAUSE);
    }
    match last {
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
    u64::from(digest[0]) % PARTS
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
            .extend(workspaces.map(|(name, w)| (name.clone(), w.clone())));
    }
    tree
}
