//! The groups of hosts and servers, and the group of this host.

use super::{Node, State};
use crate::clock;
use crate::event::{self, Record};
use alderglade_core::Name;
use alderglade_core::fleet::directory::Server;
use alderglade_core::fleet::group::Division;
use alderglade_core::fleet::incarnation::Key;
use alderglade_core::fleet::relay::Neighbour;
use alderglade_core::time::Time;

impl Node {
    /// Divides the hosts into groups by their number, as far as it is known.
    pub(super) fn regroup(&self) {
        let mut state = self.state.borrow_mut();
        state.update_reported_hosts(&self.settings.domain, clock::now());
        let changed = state.regroup();
        drop(state);
        if changed {
            self.log_groups();
        }
    }

    /// Returns the leaving servers of the own group.
    pub fn leaving_group_servers(&self, state: &State) -> Vec<Key> {
        let own = &self.settings.host;
        let mut leaving = state.directory.leaving();
        leaving.retain(|server| state.groups.has_server(own, *server));
        leaving
    }

    /// Logs the number of groups and how much of the fleet belongs to this host's group.
    fn log_groups(&self) {
        let state = self.state.borrow();
        let own = &self.settings.host;
        let hosts = state.hosts.names();
        let hosts = hosts.filter(|name| state.groups.same_group(own, name));
        let servers = state.directory.all().map(Server::key);
        let servers = servers.filter(|server| state.groups.has_server(own, *server));
        event::write(&Record::Grouped {
            groups: state.groups.division().groups(),
            hosts: hosts.count(),
            servers: servers.count(),
        });
    }
}

impl State {
    /// Divides the hosts into groups by the number of hosts that the store lists, which is the same for all hosts.
    /// Returns whether the groups have changed.
    fn regroup(&mut self) -> bool {
        let reported = self.reported_hosts.filter(|_| !self.watches_store());
        let hosts = reported.unwrap_or(self.hosts.len());
        let changed = self.groups.set_division(Division::of_hosts(hosts));
        if changed {
            self.update_engines();
        }
        changed
    }

    /// Returns the largest number of hosts that this one knows of: live, listed, or reported by hosts that watch the
    /// store.
    pub(super) fn known_host_count(&self) -> usize {
        let known = self.loads.host_count().max(self.hosts.len());
        self.reported_hosts
            .map_or(known, |reported| known.max(reported))
    }

    /// Updates the number of hosts that the store lists, as reported by the watchers of a failure domain. The last
    /// report stays valid while none of the watchers is live.
    fn update_reported_hosts(&mut self, domain: &Name, now: Time) {
        let live = self.loads.live_hosts(domain, now);
        let watchers = live.filter(|host| host.same_domain && host.store.in_contact);
        let reported = watchers.map(|host| host.store.hosts as usize).max();
        self.reported_hosts = reported.or(self.reported_hosts);
    }

    /// Returns the live hosts of a host's group, where `domain` is its failure domain.
    pub(super) fn live_group_hosts<'a>(
        &'a self,
        host: &'a Name,
        domain: &'a Name,
        now: Time,
    ) -> impl Iterator<Item = Neighbour<'a>> + Clone {
        let live = self.loads.live_hosts(domain, now);
        live.filter(move |other| self.groups.same_group(host, other.name))
    }
}
