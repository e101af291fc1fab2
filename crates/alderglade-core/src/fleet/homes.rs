//! The regions in which a request may run, as restricted by its route and its workspace.

use crate::Name;
use std::sync::Arc;

/// The home regions of one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Homes {
    /// The regions allowed by the route and by the workspace; one that names no regions is left out.
    allowed: Vec<Arc<[Name]>>,
}

impl Homes {
    /// Creates the homes of a request from the region lists of its route and its workspace. An empty list allows all
    /// regions.
    pub fn of(lists: impl IntoIterator<Item = Arc<[Name]>>) -> Homes {
        let nonempty = lists.into_iter().filter(|list| !list.is_empty());
        Homes {
            allowed: nonempty.collect(),
        }
    }

    /// Returns whether the request may run in any region.
    pub fn is_unrestricted(&self) -> bool {
        self.allowed.is_empty()
    }

    /// Returns whether the request may run in a region. An unknown region is allowed only for an unrestricted request.
    pub fn allow(&self, region: Option<&Name>) -> bool {
        let allows = |list: &Arc<[Name]>| region.is_some_and(|region| list.contains(region));
        self.allowed.iter().all(allows)
    }
}
