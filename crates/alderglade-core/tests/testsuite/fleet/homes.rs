//! Where a request may run: its route and its workspace each bind.

use alderglade_core::Name;
use alderglade_core::fleet::homes::Homes;
use std::sync::Arc;

fn list(names: &[&str]) -> Arc<[Name]> {
    names.iter().map(|name| Name::from(*name)).collect()
}

#[test]
fn one_that_names_no_regions_allows_all() {
    let homes = Homes::of([list(&[]), list(&[])]);
    assert!(homes.is_unrestricted());
    assert!(homes.allow(Some(&"bayern".into())));
    assert!(homes.allow(None));
}

#[test]
fn both_bind() {
    let homes = Homes::of([list(&["bayern", "tirol"]), list(&["tirol", "wien"])]);
    let allows = |region: &str| homes.allow(Some(&region.into()));
    assert_eq!(
        ["bayern", "tirol", "wien"].map(allows),
        [false, true, false]
    );
}

#[test]
fn a_region_that_is_not_known_is_nobodys_home() {
    assert!(!Homes::of([list(&["bayern"])]).allow(None));
}
