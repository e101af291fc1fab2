//! What traffic threads read: an immutable picture that the control thread publishes.

use alderglade_core::Name;
use alderglade_core::settings::Tree;
use alderglade_operator::pages::Status;
use arc_swap::ArcSwap;
use sha2::{Digest, Sha256};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use subtle::ConstantTimeEq;

/// The picture.
#[derive(Debug, Default)]
pub(crate) struct Snapshot {
    /// Whether new requests are taken.
    pub ready: bool,
    /// Whether a planned stop is under way.
    pub draining: bool,
    /// The settings in force.
    pub tree: Arc<Tree>,
    /// The workspaces by the digest of their token.
    pub tokens: Arc<Tokens>,
    /// Engines whose reports this host fetches.
    pub polled: BTreeSet<Name>,
    /// Whether this host is the one to give orders in its failure domain.
    pub orders: bool,
    /// The state as operators see it.
    pub status: Status,
}

/// Where the picture hangs.
pub(crate) type Published = Arc<ArcSwap<Snapshot>>;

/// The workspaces by the digest of their token.
#[derive(Debug, Default)]
pub(crate) struct Tokens {
    by_digest: HashMap<Vec<u8>, Name>,
}

impl Tokens {
    /// Indexes a tree's workspaces.
    pub(crate) fn of(tree: &Tree) -> Tokens {
        let digest = |text: &str| hex::decode(text).unwrap_or_default();
        let workspaces = tree.workspaces.iter();
        let by_digest = workspaces.map(|(name, w)| (digest(&w.token_sha256), name.clone()));
        Tokens {
            by_digest: by_digest.collect(),
        }
    }

    /// Names the workspace that a token belongs to.
    ///
    /// Looking up by digest tells nothing of the token; the digests are then compared in constant
    /// time all the same.
    pub(crate) fn workspace(&self, token: &str) -> Option<Name> {
        let digest = Sha256::digest(token.as_bytes());
        let (stored, name) = self.by_digest.get_key_value(digest.as_slice())?;
        bool::from(stored.as_slice().ct_eq(digest.as_slice())).then(|| name.clone())
    }
}
