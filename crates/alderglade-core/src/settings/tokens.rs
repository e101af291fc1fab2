//! Finds the workspace that a bearer token belongs to.

use super::tree::Tree;
use crate::Name;
use sha2::{Digest, Sha256};
use std::collections::HashMap;
use subtle::ConstantTimeEq;

/// The workspaces by the SHA-256 digest of their token.
#[derive(Debug, Default)]
pub struct Tokens {
    by_digest: HashMap<Vec<u8>, Name>,
}

impl Tokens {
    /// Builds the index for the workspaces of a tree.
    pub fn of(tree: &Tree) -> Tokens {
        let digest = |text: &str| hex::decode(text).unwrap_or_default();
        let workspaces = tree.workspaces.iter();
        let by_digest = workspaces.map(|(name, w)| (digest(&w.token_sha256), name.clone()));
        Tokens {
            by_digest: by_digest.collect(),
        }
    }

    /// Returns the workspace that a token belongs to, if any.
    ///
    /// The time of the lookup by digest reveals nothing about the token. The digests are compared in
    /// constant time nevertheless.
    pub fn workspace(&self, token: &str) -> Option<Name> {
        let digest = Sha256::digest(token.as_bytes());
        let (stored, name) = self.by_digest.get_key_value(digest.as_slice())?;
        bool::from(stored.as_slice().ct_eq(digest.as_slice())).then(|| name.clone())
    }
}
