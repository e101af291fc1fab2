//! The regions in which a request may run, as its route and its workspace say.

use crate::Name;
use std::sync::Arc;

/// The homes of one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Homes {
    /// The regions that each of its route and its workspace allows, where it names some.
    allowed: Vec<Arc<[Name]>>,
}

impl Homes {
    /// Makes the homes of a request from the regions that its route and its workspace name; one that names none allows all.
    pub fn of(lists: impl IntoIterator<Item = Arc<[Name]>>) -> Homes {
        let named = lists.into_iter().filter(|list| !list.is_empty());
        Homes {
            allowed: named.collect(),
        }
    }

    /// Says whether the request may run anywhere.
    pub fn is_unrestricted(&self) -> bool {
        self.allowed.is_empty()
    }

    /// Says whether it may run in a region. One that isn't known is nobody's home.
    pub fn allow(&self, region: Option<&Name>) -> bool {
        let allows = |list: &Arc<[Name]>| region.is_some_and(|region| list.contains(region));
        self.allowed.iter().all(allows)
    }
}
