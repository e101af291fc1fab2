//! Routes, keys, targets and patches of a configuration.

use crate::each_seed;
use alderglade_core::Name;
use alderglade_core::fleet::config::{
    Access, Config, Kind, Limits, Patch, Route, Service, Target, Workspace,
};
use arbtest::arbitrary::{Result, Unstructured};
use std::sync::Arc;
use std::time::Duration;

fn route(name: &str, host: &str, prefix: &str, public: bool) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        path_prefix: prefix.into(),
        kind: Kind::Idempotent,
        time_limit: Duration::from_secs(2),
        objective: Duration::from_millis(300),
        priority: 0,
        max_attempts: 2,
        public,
        targets: vec![
            Target {
                service: "a".into(),
                weight: 90.0,
            },
            Target {
                service: "b".into(),
                weight: 10.0,
            },
        ],
        regions: Vec::new().into(),
    }
}

fn config(workspaces: Option<Vec<Workspace>>) -> Config {
    let routes = vec![
        route("short", "one.example", "/a/", false),
        route("long", "one.example", "/a/b/", false),
        route("open", "one.example", "/open/", true),
        route("other", "two.example", "/a/", false),
    ];
    Config::new(3, Limits::default(), routes, Vec::new(), workspaces)
}

fn config_with_keys() -> Config {
    config(Some(vec![Workspace {
        name: "clinic".into(),
        keys: vec!["k1".into(), "k2".into()],
        priority: 1,
        regions: Vec::new().into(),
    }]))
}

fn route_name<'a>(config: &'a Config, host: &str, path: &str) -> Option<&'a str> {
    config.route(host, path).map(|route| &*route.name)
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let config = config_with_keys();
    assert_eq!(route_name(&config, "one.example", "/a/x"), Some("short"));
    assert_eq!(route_name(&config, "one.example", "/a/b/x"), Some("long"));
    assert_eq!(route_name(&config, "two.example", "/a/b/x"), Some("other"));
    assert_eq!(route_name(&config, "one.example", "/ab"), None);
    assert_eq!(route_name(&config, "three.example", "/a/x"), None);
}

#[test]
fn case_and_port_of_the_host_do_not_matter() {
    let config = config_with_keys();
    assert_eq!(
        route_name(&config, "ONE.example:8080", "/a/x"),
        Some("short")
    );
}

#[test]
fn a_key_grants_access_to_its_workspace_and_no_other() {
    let config = config_with_keys();
    let route = config.route("one.example", "/a/x").expect("a route");
    let clinic = Access::Workspace("clinic".into());
    assert_eq!(config.access(route, Some("k2")), clinic);
    assert_eq!(config.access(route, Some("k3")), Access::Denied);
    assert_eq!(config.access(route, None), Access::Denied);
}

#[test]
fn public_routes_and_configurations_without_keys_require_none() {
    let with_keys = config_with_keys();
    let public = with_keys.route("one.example", "/open/x").expect("a route");
    assert_eq!(with_keys.access(public, None), Access::Open);
    let without = config(None);
    let route = without.route("one.example", "/a/x").expect("a route");
    assert_eq!(without.access(route, Some("anything")), Access::Open);
}

#[test]
fn targets_share_requests_by_weight() {
    let config = config_with_keys();
    let route = config.route("one.example", "/a/x").expect("a route");
    let service = |draw: f64| route.target(draw).map(|target| &*target.service);
    assert_eq!(service(0.0), Some("a"));
    assert_eq!(service(0.89), Some("a"));
    assert_eq!(service(0.91), Some("b"));
    assert_eq!(service(0.999_999), Some("b"));
}

#[test]
fn only_kinds_that_may_run_twice_are_repeatable() {
    let stream = |resumable| Kind::Stream {
        resumable,
        longest_pause: Duration::from_millis(250),
    };
    assert!(Kind::Idempotent.is_repeatable());
    assert!(!Kind::NonIdempotent.is_repeatable());
    assert!(stream(true).is_repeatable());
    assert!(!stream(false).is_repeatable());
}

fn regions(u: &mut Unstructured<'_>) -> Result<Arc<[Name]>> {
    let count = u.int_in_range(0..=2)?;
    Ok((0..count)
        .map(|number| Name::from(format!("g{number}")))
        .collect())
}

/// Creates a random configuration from few names, so that two of them have much in common.
fn any_config(u: &mut Unstructured<'_>, version: u64) -> Result<Config> {
    let mut routes = Vec::new();
    for number in 0..u.int_in_range(0..=12)? {
        let host = ["one.example", "two.example"][u.int_in_range(0..=1)?];
        let mut route = route(
            &format!("r{number}"),
            host,
            &format!("/{number}/"),
            u.arbitrary()?,
        );
        route.max_attempts = u.int_in_range(1..=2)?;
        route.regions = regions(u)?;
        routes.push(route);
    }
    let mut services = Vec::new();
    for number in 0..u.int_in_range(0..=3)? {
        services.push(Service {
            name: format!("s{number}").into(),
            engine: None,
            max_connections: u.int_in_range(1..=2)?,
            cold_start: Duration::from_secs(u.int_in_range(0..=1)?),
            cold_per_second: 0.0,
        });
    }
    let mut workspaces = Vec::new();
    for number in 0..u.int_in_range(0..=4)? {
        let key = format!("k{}-{number}", u.int_in_range(0..=1u8)?);
        workspaces.push(Workspace {
            name: format!("w{}", u.int_in_range(0..=2u8)?).into(),
            keys: vec![key.into()],
            priority: u.int_in_range(1..=2)?,
            regions: regions(u)?,
        });
    }
    let limits = Limits {
        max_body_bytes: u.int_in_range(1..=2)?,
        ..Limits::default()
    };
    Ok(Config::new(
        version,
        limits,
        routes,
        services,
        Some(workspaces),
    ))
}

#[test]
fn a_patch_leads_to_exactly_the_newer_configuration() {
    each_seed(200, |u| {
        let (old, new) = (any_config(u, 3)?, any_config(u, 9)?);
        let patch = Patch::between(&old, &new).expect("both use keys");
        assert_eq!(old.apply_patch(&patch), Some(new));
        Ok(())
    });
}

#[test]
fn a_patch_applies_to_its_own_version_only() {
    let old = config_with_keys();
    let at = |version| {
        let mut config = config_with_keys();
        config.version = version;
        config
    };
    let (newer, newest) = (at(8), at(9));
    let patch = Patch::between(&newer, &newest).expect("both use keys");
    assert_eq!(old.apply_patch(&patch), None);
    assert_eq!(newest.apply_patch(&patch), None);
    assert_eq!(newer.apply_patch(&patch), Some(newest));
}

#[test]
fn no_patch_starts_or_ends_the_use_of_keys() {
    assert_eq!(Patch::between(&config_with_keys(), &config(None)), None);
    assert_eq!(Patch::between(&config(None), &config_with_keys()), None);
}

fn config_with_priorities(version: u64, priorities: &[(&str, u32)]) -> Config {
    let workspaces = priorities.iter().map(|(name, priority)| Workspace {
        name: (*name).into(),
        keys: Vec::new(),
        priority: *priority,
        regions: Vec::new().into(),
    });
    let workspaces = Some(workspaces.collect());
    Config::new(
        version,
        Limits::default(),
        Vec::new(),
        Vec::new(),
        workspaces,
    )
}

#[test]
fn priorities_of_workspaces_are_kept_only_if_they_differ() {
    let equal = config_with_priorities(1, &[("a", 4), ("b", 4)]);
    assert!(equal.workspace_priorities().is_empty());
    let differing = config_with_priorities(1, &[("a", 4), ("b", 3)]);
    assert_eq!(differing.workspace_priorities().len(), 2);
}

/// A host that got its configuration from a host of the former version lacks the priorities. If it applied only the
/// changes of the next version, it would order prompts differently from then on.
#[test]
fn a_patch_does_not_apply_where_priorities_are_missing() {
    let old = config_with_priorities(3, &[("a", 1), ("b", 2), ("c", 2)]);
    let new = config_with_priorities(9, &[("a", 1), ("b", 3), ("c", 2)]);
    let patch = Patch::between(&old, &new).expect("both use keys");
    assert_eq!(old.apply_patch(&patch), Some(new));
    let incomplete = config_with_priorities(3, &[]);
    assert_eq!(incomplete.apply_patch(&patch), None);
}
