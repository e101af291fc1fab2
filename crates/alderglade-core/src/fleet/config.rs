//! The configuration in force: routes, services, limits and workspaces, with their lookups.

mod patch;
mod priority;

pub use patch::Patch;

use super::homes::Homes;
use super::load_table::Pauses;
use super::pass::EngineProfile;
use crate::Name;
use priority::Priorities;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// How often a request of a route may run, and how it is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each request.
    NonIdempotent,
    /// Answered by a series of events.
    Stream {
        /// Whether a broken stream may be resumed at another backend server.
        resumable: bool,
        /// The longest pause between events for which the answer still counts as in time.
        longest_pause: Duration,
    },
}

impl Kind {
    /// Returns whether a request of this kind may run again after it may have run once.
    pub fn is_repeatable(self) -> bool {
        match self {
            Kind::Idempotent => true,
            Kind::NonIdempotent => false,
            Kind::Stream { resumable, .. } => resumable,
        }
    }

    /// Returns the longest pause between events for which an answer still counts as in time, for kinds that have
    /// events.
    pub fn longest_pause(self) -> Option<Duration> {
        match self {
            Kind::Stream { longest_pause, .. } => Some(longest_pause),
            Kind::Idempotent | Kind::NonIdempotent => None,
        }
    }
}

/// A service that a route leads to, with its share of the requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// The service's name.
    pub service: Name,
    /// The share, relative to the other targets of the route.
    pub weight: f64,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name, which operators know it by. Only the order of routes and patches depends on it.
    pub name: Name,
    /// The `Host` that it matches, in lower case.
    pub host: Name,
    /// The prefix of the paths that it matches; begins and ends with a slash.
    pub path_prefix: Name,
    /// How often its requests may run.
    pub kind: Kind,
    /// The longest time for which a request is held.
    pub time_limit: Duration,
    /// The latency objective: the time within which an answer (for a stream, its first event) earns its full value.
    pub objective: Duration,
    /// The priority of its requests among those of a workspace; `0` is the highest. See [`super::rank`].
    pub priority: u32,
    /// The maximum number of backend servers that one request is sent to.
    pub max_attempts: u32,
    /// Whether it needs no key.
    pub public: bool,
    /// The services that its requests go to; at least one.
    pub targets: Vec<Target>,
    /// The regions in which its requests may run; empty for all.
    pub regions: Arc<[Name]>,
}

impl Route {
    /// Returns the target for `draw`, a random number from the uniform distribution over `0.0..1.0`.
    pub fn target(&self, draw: f64) -> Option<&Target> {
        let total: f64 = self.targets.iter().map(|target| target.weight).sum();
        let mut remaining = draw * total;
        for target in &self.targets {
            remaining -= target.weight;
            if remaining < 0.0 {
                return Some(target);
            }
        }
        self.targets.last()
    }
}

/// A service and the properties of its backend servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// The timing of its engines, if its backend servers are model engines.
    pub engine: Option<EngineProfile>,
    /// The number of connections that one backend server accepts from all callers together. Not used: a host has as
    /// many connections to a server as it has requests running there.
    pub max_connections: u32,
    /// How long a backend server is cold after its start.
    pub cold_start: Duration,
    /// The requests per second that a cold server accepts; `0.0` for any number.
    pub cold_per_second: f64,
}

/// Limits on what a caller sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The maximum size of a request's headers, in bytes.
    pub max_header_bytes: usize,
    /// The maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// The longest time for which a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns the limits for a configuration that states none: those that are common for HTTP servers.
    fn default() -> Limits {
        Limits {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One workspace and its keys.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Its name.
    pub name: Name,
    /// The keys that grant access to it.
    pub keys: Vec<Name>,
    /// The priority of its requests; `0` is the highest. See [`super::rank`].
    pub priority: u32,
    /// The regions in which its requests may run; empty for all.
    pub regions: Arc<[Name]>,
}

/// The result of the access check of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Access {
    /// The route or the configuration requires no key.
    Open,
    /// The key belongs to this workspace.
    Workspace(Name),
    /// The key is missing or belongs to no workspace.
    Denied,
}

/// A complete configuration, indexed for lookups.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Its version; a higher one is newer.
    pub version: u64,
    /// Limits on what callers send.
    pub limits: Limits,
    routes: HashMap<Name, Vec<Route>>,
    services: HashMap<Name, Service>,
    keys: Option<HashMap<Name, Name>>,
    /// The regions of the workspaces that restrict them.
    regions: HashMap<Name, Arc<[Name]>>,
    /// The priorities of the workspaces, if they differ.
    #[serde(deserialize_with = "priority::or_default")]
    priorities: Arc<Priorities>,
}

impl Config {
    /// Indexes a configuration. `workspaces` is `None` if keys aren't used at all.
    pub fn new(
        version: u64,
        limits: Limits,
        routes: Vec<Route>,
        services: Vec<Service>,
        workspaces: Option<Vec<Workspace>>,
    ) -> Config {
        let mut by_host: HashMap<Name, Vec<Route>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(route);
        }
        for list in by_host.values_mut() {
            sort_routes(list);
        }
        let restricted = workspaces.iter().flatten();
        let restricted = restricted.filter(|workspace| !workspace.regions.is_empty());
        let regions =
            restricted.map(|workspace| (workspace.name.clone(), workspace.regions.clone()));
        let regions = regions.collect();
        let priorities = priority::of(workspaces.as_deref().unwrap_or_default());
        Config {
            version,
            limits,
            routes: by_host,
            services: services.into_iter().map(|s| (s.name.clone(), s)).collect(),
            keys: workspaces.map(index_keys),
            regions,
            priorities: Arc::new(priorities),
        }
    }

    /// Returns the route of `host` with the longest prefix that matches the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let lower = host.to_ascii_lowercase();
        let name = lower.split(':').next().unwrap_or_default();
        let list = self.routes.get(name)?;
        list.iter()
            .find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Returns the routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values().flatten()
    }

    /// Returns the priorities of the workspaces; empty if all are equal.
    pub fn workspace_priorities(&self) -> &HashMap<Name, u32> {
        &self.priorities
    }

    /// Returns the pauses that answers of a service tolerate, from the routes that lead to it.
    pub fn pauses(&self, service: &str) -> Pauses {
        let leading = self
            .routes()
            .filter(|route| route.targets.iter().any(|to| &*to.service == service));
        Pauses::of(leading.filter_map(|route| route.kind.longest_pause()))
    }

    /// Returns the services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns the service of this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns the regions in which a request of a route and a workspace may run.
    pub fn homes(&self, route: &Route, workspace: Option<&str>) -> Homes {
        let of_workspace = workspace.and_then(|name| self.regions.get(name));
        let both = [Some(&route.regions), of_workspace];
        Homes::of(both.into_iter().flatten().cloned())
    }

    /// Checks whether a request with this key may use a route, and for which workspace.
    pub fn access(&self, route: &Route, key: Option<&str>) -> Access {
        let Some(keys) = &self.keys else {
            return Access::Open;
        };
        if route.public {
            return Access::Open;
        }
        match key.and_then(|key| keys.get(key)) {
            Some(workspace) => Access::Workspace(workspace.clone()),
            None => Access::Denied,
        }
    }
}

fn index_keys(workspaces: Vec<Workspace>) -> HashMap<Name, Name> {
    let mut index = HashMap::new();
    for workspace in workspaces {
        for key in workspace.keys {
            index.insert(key, workspace.name.clone());
        }
    }
    index
}

/// Sorts longer prefixes first, so that the first match of a path is the longest. The further criteria only make the
/// order the same on every host.
fn sort_routes(list: &mut [Route]) {
    list.sort_by(|a, b| {
        let longer = b.path_prefix.len().cmp(&a.path_prefix.len());
        longer
            .then_with(|| a.path_prefix.cmp(&b.path_prefix))
            .then_with(|| a.name.cmp(&b.name))
    });
}
