//! The rank of a request among those of its service, from the priorities that the configuration states.
//!
//! Load: more prompts than the engines have slots. A lower rank waits longer, by a bounded time, and engines admit it
//! later. Where all priorities are equal, all requests have the highest rank and nothing changes.
//!
//! Priorities are numbers of any size, of which only the order counts. Ranks are therefore computed once for each
//! configuration, not for each request: a configuration can have 1,400 routes and 3,700 workspaces.

use super::config::Config;
use crate::Name;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// How much later a prompt ranks in the wait queue for each level. New prompts of a higher rank that arrive within a
/// second still precede it; the objective of a short prompt is a third of that.
const DELAY_PER_LEVEL: Duration = Duration::from_secs(1);
/// The longest delay of a rank. It bounds how long a prompt of the lowest rank waits behind new ones, to less than a
/// third of the ten seconds that callers of short prompts allow.
const MAX_DELAY: Duration = Duration::from_secs(3);
/// The urgency of new work of the highest rank, which engines assume if none is stated.
const ORDINARY_URGENCY: u8 = 5;
/// The latest urgency that engines know.
const LAST_URGENCY: u8 = 9;
/// How much earlier an engine admits a request whose caller was refused before and has waited as it was told.
const RETRY_ADVANCE: u8 = 1;
/// How much earlier an engine admits a resumed stream. Its caller has part of the answer, and a pause of a quarter of a
/// second makes that late.
const RESUMPTION_ADVANCE: u8 = 3;

/// The rank of a request; lower levels are served first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank(u8);

impl Rank {
    /// Returns the level: `0` for the highest rank.
    pub fn level(self) -> u8 {
        self.0
    }

    /// Returns how much later than its due time a prompt of this rank ranks in the wait queue.
    pub fn order_delay(self) -> Duration {
        (DELAY_PER_LEVEL * u32::from(self.0)).min(MAX_DELAY)
    }

    /// Returns how early an engine should admit a request, from `0`, which is first, to `9`; `None` where that is as for
    /// new work of the highest rank. `retried` states that its caller was refused before, `resumed` that it continues a
    /// stream.
    pub fn urgency(self, retried: bool, resumed: bool) -> Option<u8> {
        let of_rank = ORDINARY_URGENCY.saturating_add(self.0).min(LAST_URGENCY);
        let retry = if retried { RETRY_ADVANCE } else { 0 };
        let resumption = if resumed { RESUMPTION_ADVANCE } else { 0 };
        let urgency = of_rank - retry - resumption;
        (urgency != ORDINARY_URGENCY).then_some(urgency)
    }
}

/// The order of the priorities in a configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ranks {
    /// The position of each workspace's priority among the different ones; empty if all are equal.
    workspaces: HashMap<Name, usize>,
    /// The different priorities of the routes to each service, in ascending order.
    routes: HashMap<Name, Vec<u32>>,
}

impl Ranks {
    /// Orders the priorities in a configuration.
    pub fn new(config: &Config) -> Ranks {
        Ranks {
            workspaces: workspace_positions(config),
            routes: route_priorities(config),
        }
    }

    /// Returns the rank of a request: by the priority of its workspace, then by that of its route among the routes to
    /// `service`. A request without a workspace ranks by its route alone.
    pub fn rank(&self, service: &str, route_priority: u32, workspace: Option<&str>) -> Rank {
        let workspace = workspace.and_then(|name| self.workspaces.get(name));
        let priorities = self.routes.get(service).map_or(&[][..], Vec::as_slice);
        let route = priorities.partition_point(|priority| *priority < route_priority);
        let level = workspace.copied().unwrap_or(0) * priorities.len() + route;
        Rank(u8::try_from(level).unwrap_or(u8::MAX))
    }
}

/// Returns the position of each workspace's priority among the different ones.
fn workspace_positions(config: &Config) -> HashMap<Name, usize> {
    let distinct: BTreeSet<u32> = config.workspace_priorities().values().copied().collect();
    let positions: HashMap<u32, usize> = distinct.into_iter().zip(0..).collect();
    let workspaces = config.workspace_priorities().iter();
    workspaces
        .map(|(name, priority)| (name.clone(), positions[priority]))
        .collect()
}

/// Returns the different priorities of the routes to each service.
fn route_priorities(config: &Config) -> HashMap<Name, Vec<u32>> {
    let mut distinct: HashMap<Name, BTreeSet<u32>> = HashMap::new();
    for route in config.routes() {
        for target in &route.targets {
            let priorities = distinct.entry(target.service.clone()).or_default();
            priorities.insert(route.priority);
        }
    }
    distinct
        .into_iter()
        .map(|(service, priorities)| (service, priorities.into_iter().collect()))
        .collect()
}
