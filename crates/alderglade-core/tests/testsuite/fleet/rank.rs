//! Ranks from the priorities of a configuration, and what follows from a rank.

use alderglade_core::fleet::config::{Config, Kind, Limits, Route, Target, Workspace};
use alderglade_core::fleet::rank::{Rank, Ranks};
use std::time::Duration;

fn route(name: &str, priority: u32, services: &[&str]) -> Route {
    let target = |service: &&str| Target {
        service: (*service).into(),
        weight: 1.0,
    };
    Route {
        name: name.into(),
        host: "one.example".into(),
        path_prefix: format!("/{name}/").into(),
        kind: Kind::Idempotent,
        time_limit: Duration::from_secs(2),
        objective: Duration::from_millis(300),
        priority,
        max_attempts: 2,
        public: false,
        targets: services.iter().map(target).collect(),
        regions: Vec::new().into(),
    }
}

fn ranks(routes: Vec<Route>, workspaces: &[(&str, u32)]) -> Ranks {
    let workspaces = workspaces.iter().map(|(name, priority)| Workspace {
        name: (*name).into(),
        keys: Vec::new(),
        priority: *priority,
        regions: Vec::new().into(),
    });
    let workspaces = Some(workspaces.collect());
    let config = Config::new(1, Limits::default(), routes, Vec::new(), workspaces);
    Ranks::new(&config)
}

/// Only differences between priorities may have an effect. Many configurations state the same one everywhere, and it
/// isn't always zero.
#[test]
fn equal_priorities_give_the_highest_rank() {
    let routes = vec![route("a", 1, &["llm"]), route("b", 1, &["llm"])];
    let ranks = ranks(routes, &[("one", 7), ("two", 7)]);
    for workspace in [Some("one"), Some("two"), None, Some("unknown")] {
        assert_eq!(ranks.rank("llm", 1, workspace), Rank::default());
    }
    assert_eq!(
        Ranks::default().rank("llm", 1, Some("one")),
        Rank::default()
    );
}

#[test]
fn the_priority_of_the_workspace_precedes_that_of_the_route() {
    let routes = vec![
        route("a", 10, &["llm"]),
        route("b", 30, &["llm"]),
        route("c", 20, &["llm"]),
    ];
    let ranks = ranks(routes, &[("low", 900), ("high", 5), ("same", 5)]);
    let level = |workspace, route| ranks.rank("llm", route, Some(workspace)).level();
    let high = [10, 20, 30].map(|route| level("high", route));
    assert_eq!(high, [0, 1, 2]);
    assert_eq!([10, 20, 30].map(|route| level("same", route)), high);
    assert_eq!([10, 20, 30].map(|route| level("low", route)), [3, 4, 5]);
    let without = ranks.rank("llm", 20, None);
    assert_eq!(without.level(), 1, "it ranks by its route alone");
}

/// A service whose routes all have the lowest priority of the configuration is not behind anything.
#[test]
fn only_routes_to_the_same_service_count() {
    let routes = vec![
        route("a", 0, &["calls"]),
        route("b", 2, &["llm"]),
        route("c", 5, &["llm", "calls"]),
    ];
    let ranks = ranks(routes, &[]);
    assert_eq!(ranks.rank("llm", 2, None).level(), 0);
    assert_eq!(ranks.rank("llm", 5, None).level(), 1);
    assert_eq!(ranks.rank("calls", 5, None).level(), 1);
}

/// Returns the rank with a level.
fn rank(level: u32) -> Rank {
    let routes = (0..=level).map(|priority| route(&format!("r{priority}"), priority, &["llm"]));
    ranks(routes.collect(), &[]).rank("llm", level, None)
}

/// An unbounded delay would starve the lowest ranks of a configuration with many priorities.
#[test]
fn the_delay_of_a_rank_is_bounded() {
    let delays = [0, 1, 2, 3, 4, 300].map(|level| rank(level).order_delay().as_millis());
    assert_eq!(delays, [0, 1_000, 2_000, 3_000, 3_000, 3_000]);
}

/// Engines reject an urgency outside of 0 to 9, and treat a missing one like 5.
#[test]
fn urgencies_follow_from_rank_retry_and_resumption() {
    let urgencies =
        |retried, resumed| [0, 1, 4, 9].map(|level| rank(level).urgency(retried, resumed));
    assert_eq!(urgencies(false, false), [None, Some(6), Some(9), Some(9)]);
    assert_eq!(urgencies(true, false), [Some(4), None, Some(8), Some(8)]);
    assert_eq!(urgencies(false, true), [Some(2), Some(3), Some(6), Some(6)]);
    assert_eq!(urgencies(true, true), [Some(1), Some(2), None, None]);
}
