//! The configuration from another host, where the store gives nothing as new: it has come back from a copy, or is away.

use super::Node;
use crate::clock;
use crate::event::{self, Record};
use alderglade_core::fleet::config::Config;
use alderglade_core::fleet::relay::Neighbour;
use alderglade_core::time::Time;
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long another host must have had a newer configuration before it is asked for it: watchers pass on what has changed
/// within milliseconds, and the store gives the rest, up to sixty times slower than its 4 ms where it is slow.
const BEHIND: Duration = Duration::from_millis(500);

/// Where a host has what this one lacks.
#[derive(Debug, Clone, Copy)]
struct Source {
    address: SocketAddr,
    near: bool,
}

impl Node {
    /// Names a host to have the configuration from, if this one has been behind for a while; one of the own failure domain
    /// where there is such. Once named, no other one is for as long again.
    pub fn config_source(&self) -> Option<SocketAddr> {
        let now = clock::now();
        let sources = self.newer_configs(now);
        if sources.is_empty() {
            self.behind_since.set(None);
            return None;
        }
        let since = self.behind_since.get().unwrap_or(now);
        self.behind_since.set(Some(since));
        if now.since(since) < BEHIND {
            return None;
        }
        self.behind_since.set(Some(now));
        let near = sources.iter().any(|source| source.near);
        let best = sources.iter().filter(|source| source.near == near);
        best.choose(&mut rand::rng()).map(|source| source.address)
    }

    /// Takes the configuration that another host has given.
    pub fn take_copy(&self, config: Config, from: SocketAddr) {
        let version = config.version;
        if version > self.state.borrow().config_version() {
            event::write(&Record::ConfigCopied { version, from });
            self.take_config(config);
        }
    }

    /// Gives the configuration in force, to be handed on to a host that lacks it.
    pub fn config_in_force(&self) -> Option<Rc<Config>> {
        self.state.borrow().config.clone()
    }

    /// Lists the hosts heard of lately that have the newest configuration, where that is newer than the own one.
    fn newer_configs(&self, now: Time) -> Vec<Source> {
        let state = self.state.borrow();
        let own = state.config_version();
        let heard = state.loads.live_hosts(&self.settings.domain, now);
        let newest = heard.clone().map(|host| host.store.config).max();
        let Some(newest) = newest.filter(|newest| *newest > own) else {
            return Vec::new();
        };
        let source = |host: Neighbour<'_>| {
            Some(Source {
                address: state.hosts.get(host.name)?,
                near: host.same_domain,
            })
        };
        let newer = heard.filter(|host| host.store.config == newest);
        newer.filter_map(source).collect()
    }
}
