//! Copies the configuration from another host if the store doesn't provide one as new: it was restored from a copy,
//! or it is unavailable.

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

/// How long another host must have had a newer configuration before this host copies it. Watchers forward changes
/// within milliseconds, and the store provides the rest, even when it is up to sixty times slower than its usual 4
/// ms.
const CATCH_UP_DELAY: Duration = Duration::from_millis(500);

/// A host that has a newer configuration.
#[derive(Debug, Clone, Copy)]
struct ConfigSource {
    address: SocketAddr,
    same_domain: bool,
}

impl Node {
    /// Returns a host to copy the configuration from, if this one has been behind for a while; preferably a host of
    /// the own failure domain. After that, no other host is returned until the same delay has passed again.
    pub fn config_source(&self) -> Option<SocketAddr> {
        let now = clock::now();
        let sources = self.newer_config_sources(now);
        if sources.is_empty() {
            self.behind_since.set(None);
            return None;
        }
        let since = self.behind_since.get().unwrap_or(now);
        self.behind_since.set(Some(since));
        if now.since(since) < CATCH_UP_DELAY {
            return None;
        }
        self.behind_since.set(Some(now));
        let any_same_domain = sources.iter().any(|source| source.same_domain);
        let preferred = sources
            .iter()
            .filter(|source| source.same_domain == any_same_domain);
        preferred
            .choose(&mut rand::rng())
            .map(|source| source.address)
    }

    /// Applies the configuration that was copied from another host.
    pub fn apply_copied_config(&self, config: Config, from: SocketAddr) {
        let version = config.version;
        if version > self.state.borrow().config_version() {
            event::write(&Record::ConfigCopied { version, from });
            self.apply_config(config);
        }
    }

    /// Returns the configuration in force, to be sent to a host that lacks it.
    pub fn config_in_force(&self) -> Option<Rc<Config>> {
        self.state.borrow().config.clone()
    }

    /// Returns the live hosts that have the newest configuration, if that is newer than the own one.
    fn newer_config_sources(&self, now: Time) -> Vec<ConfigSource> {
        let state = self.state.borrow();
        let own_version = state.config_version();
        let live = state.loads.live_hosts(&self.settings.domain, now);
        let newest = live.clone().map(|host| host.store.config).max();
        let Some(newest) = newest.filter(|newest| *newest > own_version) else {
            return Vec::new();
        };
        let source = |host: Neighbour<'_>| {
            Some(ConfigSource {
                address: state.hosts.get(host.name)?,
                same_domain: host.same_domain,
            })
        };
        let newer = live.filter(|host| host.store.config == newest);
        newer.filter_map(source).collect()
    }
}
