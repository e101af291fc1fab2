//! The regions where a request may run, as restricted by its route and its workspace.

use alderglade_core::Name;
use alderglade_core::fleet::homes::Homes;
use std::sync::Arc;

fn list(names: &[&str]) -> Arc<[Name]> {
    names.iter().map(|name| Name::from(*name)).collect()
}

#[test]
fn empty_lists_allow_all_regions() {
    let homes = Homes::of([list(&[]), list(&[])]);
    assert!(homes.is_unrestricted());
    assert!(homes.allow(Some(&"bayern".into())));
    assert!(homes.allow(None));
}

#[test]
fn both_lists_apply() {
    let homes = Homes::of([list(&["bayern", "tirol"]), list(&["tirol", "wien"])]);
    let allows = |region: &str| homes.allow(Some(&region.into()));
    assert_eq!(
        ["bayern", "tirol", "wien"].map(allows),
        [false, true, false]
    );
}

#[test]
fn an_unknown_region_is_not_allowed() {
    assert!(!Homes::of([list(&["bayern"])]).allow(None));
}
