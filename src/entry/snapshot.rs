//! What traffic threads read: an immutable picture that the control thread publishes.

use alderglade_core::Name;
use alderglade_core::settings::{Tokens, Tree};
use alderglade_operator::pages::Status;
use arc_swap::ArcSwap;
use std::collections::BTreeSet;
use std::sync::Arc;

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
