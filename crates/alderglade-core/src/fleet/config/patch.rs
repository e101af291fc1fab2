//! The difference between two configurations, for hosts that don't watch the store.
//!
//! Most new versions change a few routes or keys of hundreds. A host that has the older version builds the
//! newer one from the difference, without a call to the store.

use super::priority::{self, Changes};
use super::{Config, Limits, Route, Service};
use crate::Name;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;

/// The difference between two configurations.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Patch {
    /// The version that it applies to.
    pub base: u64,
    /// The version that it leads to.
    pub version: u64,
    limits: Limits,
    dropped_routes: Vec<RouteKey>,
    routes: Vec<Route>,
    dropped_services: Vec<Name>,
    services: Vec<Service>,
    dropped_keys: Vec<Name>,
    keys: Vec<Key>,
    /// The regions of all workspaces that restrict them.
    regions: HashMap<Name, Arc<[Name]>>,
    /// The changed priorities of workspaces; `None` if there are none before or after.
    #[serde(deserialize_with = "priority::or_default")]
    priorities: Option<Box<Changes>>,
}

/// Identifies a route.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct RouteKey {
    host: Name,
    path_prefix: Name,
    name: Name,
}

/// A key and the workspace that it grants access to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Key {
    key: Name,
    workspace: Name,
}

impl RouteKey {
    fn of(route: &Route) -> RouteKey {
        RouteKey {
            host: route.host.clone(),
            path_prefix: route.path_prefix.clone(),
            name: route.name.clone(),
        }
    }

    fn matches(&self, route: &Route) -> bool {
        *self.host == *route.host
            && *self.path_prefix == *route.path_prefix
            && *self.name == *route.name
    }
}

impl Key {
    fn of((key, workspace): (&Name, &Name)) -> Key {
        Key {
            key: key.clone(),
            workspace: workspace.clone(),
        }
    }
}

impl Patch {
    /// Creates the patch that leads from one configuration to another, or returns `None` if only one of them uses keys.
    pub fn between(old: &Config, new: &Config) -> Option<Patch> {
        if old.keys.is_some() != new.keys.is_some() {
            return None;
        }
        let (before, after) = (route_index(old), route_index(new));
        let (old_keys, new_keys) = (key_index(old), key_index(new));
        let removed = before.keys().filter(|key| !after.contains_key(*key));
        let changed = after
            .iter()
            .filter(|(key, route)| before.get(*key) != Some(*route));
        let services = new.services.values();
        let services = services.filter(|service| old.services.get(&service.name) != Some(service));
        let dropped_services = old.services.keys();
        let dropped_services = dropped_services.filter(|name| !new.services.contains_key(*name));
        let dropped_keys = old_keys.keys().filter(|key| !new_keys.contains_key(*key));
        let keys = new_keys
            .iter()
            .filter(|(key, of)| old_keys.get(*key) != Some(*of));
        Some(Patch {
            base: old.version,
            version: new.version,
            limits: new.limits,
            dropped_routes: removed.cloned().collect(),
            routes: changed.map(|(_, route)| (*route).clone()).collect(),
            dropped_services: dropped_services.cloned().collect(),
            services: services.cloned().collect(),
            dropped_keys: dropped_keys.cloned().collect(),
            keys: keys.map(Key::of).collect(),
            regions: new.regions.clone(),
            priorities: Changes::between(&old.priorities, &new.priorities).map(Box::new),
        })
    }
}

fn route_index(config: &Config) -> HashMap<RouteKey, &Route> {
    let routes = config.routes.values().flatten();
    routes.map(|route| (RouteKey::of(route), route)).collect()
}

fn key_index(config: &Config) -> HashMap<Name, Name> {
    config.keys.clone().unwrap_or_default()
}

impl Config {
    /// Returns the configuration that a patch leads to, or `None` if the patch applies to another version or to
    /// priorities that this configuration lacks.
    pub fn apply_patch(&self, patch: &Patch) -> Option<Config> {
        if patch.base != self.version {
            return None;
        }
        let mut next = self.clone();
        next.version = patch.version;
        next.limits = patch.limits;
        next.regions.clone_from(&patch.regions);
        if let Some(changes) = &patch.priorities {
            next.priorities = Arc::new(changes.apply(&self.priorities)?);
        }
        let changed = patch.routes.iter().map(RouteKey::of);
        for key in patch.dropped_routes.iter().cloned().chain(changed) {
            if let Some(list) = next.routes.get_mut(&key.host) {
                list.retain(|route| !key.matches(route));
            }
        }
        for route in &patch.routes {
            let list = next.routes.entry(route.host.clone()).or_default();
            list.push(route.clone());
            super::sort_routes(list);
        }
        next.routes.retain(|_, list| !list.is_empty());
        next.services
            .retain(|name, _| !patch.dropped_services.contains(name));
        for service in &patch.services {
            next.services.insert(service.name.clone(), service.clone());
        }
        if let Some(keys) = &mut next.keys {
            keys.retain(|key, _| !patch.dropped_keys.contains(key));
            let added = patch.keys.iter();
            keys.extend(added.map(|added| (added.key.clone(), added.workspace.clone())));
        }
        Some(next)
    }
}
