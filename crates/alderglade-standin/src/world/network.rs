//! The network's fake: delays, and cuts between groups.

use super::World;
use alderglade_core::Name;
use std::collections::BTreeSet;
use std::time::Duration;

/// The name that the platform has in cuts.
pub const PLATFORM: &str = "platform";

/// Which pairs can't reach each other.
#[derive(Debug, Default)]
pub(crate) struct Network {
    cuts: BTreeSet<(Name, Name)>,
    /// The share of messages between hosts that are lost, in thousandths.
    pub(crate) lost_per_mille: u32,
}

impl Network {
    /// Cuts or mends the way between two names, both ways.
    pub(crate) fn set_cut(&mut self, a: &Name, b: &Name, cut: bool) {
        for pair in [(a.clone(), b.clone()), (b.clone(), a.clone())] {
            if cut {
                self.cuts.insert(pair);
            } else {
                self.cuts.remove(&pair);
            }
        }
    }

    /// Mends everything.
    pub(crate) fn mend(&mut self) {
        self.cuts.clear();
        self.lost_per_mille = 0;
    }

    fn is_cut(&self, a: &Name, b: &Name) -> bool {
        self.cuts.contains(&(a.clone(), b.clone()))
    }
}

impl World {
    /// Gives the failure domain of a host, engine or server; the platform is its own.
    pub(crate) fn domain_of(&self, name: &Name) -> Name {
        if let Some(host) = self.hosts.get(name) {
            return host.domain.clone();
        }
        if let Some(engine) = self.engines.get(name) {
            return engine.domain.clone();
        }
        if let Some(server) = self.servers.get(name) {
            return server.domain.clone();
        }
        name.clone()
    }

    /// Gives the time from one to another, or nothing where the way is cut.
    ///
    /// Cuts are between single names or between whole failure domains.
    pub(crate) fn way(&self, from: &Name, to: &Name) -> Option<Duration> {
        let (near, far) = (self.domain_of(from), self.domain_of(to));
        let cut = self.network.is_cut(from, to)
            || self.network.is_cut(&near, &far)
            || self.network.is_cut(from, &far)
            || self.network.is_cut(&near, to);
        if cut {
            return None;
        }
        Some(if near == far {
            self.plan.near
        } else {
            self.plan.far
        })
    }
}
