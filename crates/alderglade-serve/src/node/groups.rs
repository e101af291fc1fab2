//! The groups of hosts and servers, and which of them this host shares.

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
    /// Divides the hosts into groups anew, by how many there are as far as is known.
    pub(super) fn regroup(&self) {
        let mut state = self.state.borrow_mut();
        state.hear_listed(&self.settings.domain, clock::now());
        let changed = state.regroup();
        drop(state);
        if changed {
            self.tell_groups();
        }
    }

    /// Lists the servers of the own group that are leaving.
    pub fn shared_leavers(&self, state: &State) -> Vec<Key> {
        let own = &self.settings.host;
        let mut leaving = state.directory.leaving();
        leaving.retain(|server| state.groups.has_server(own, *server));
        leaving
    }

    /// Writes into how many groups the hosts are divided now, and how much of the fleet this one shares.
    fn tell_groups(&self) {
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
    /// Divides the hosts into groups by the number of them that the store lists, as all see it; says whether that changes the
    /// groups.
    fn regroup(&mut self) -> bool {
        let told = self.told_hosts.filter(|_| !self.watches_store());
        let hosts = told.unwrap_or(self.hosts.len());
        let changed = self.groups.set_division(Division::of_hosts(hosts));
        if changed {
            self.note_engines();
        }
        changed
    }

    /// Gives the most hosts that this one knows of: heard, listed, or told by hosts that watch the store.
    pub(super) fn known_hosts(&self) -> usize {
        let known = self.loads.host_count().max(self.hosts.len());
        self.told_hosts.map_or(known, |told| known.max(told))
    }

    /// Takes the number of hosts that the store lists, by those of a failure domain that watch it. What they said last counts
    /// while none of them is heard.
    fn hear_listed(&mut self, domain: &Name, now: Time) {
        let heard = self.loads.live_hosts(domain, now);
        let watchers = heard.filter(|host| host.same_domain && host.store.in_contact);
        let told = watchers.map(|host| host.store.hosts as usize).max();
        self.told_hosts = told.or(self.told_hosts);
    }

    /// Lists the hosts of a host's group that it hears of, where `domain` is its failure domain.
    pub(super) fn heard_in_group<'a>(
        &'a self,
        host: &'a Name,
        domain: &'a Name,
        now: Time,
    ) -> impl Iterator<Item = Neighbour<'a>> + Clone {
        let heard = self.loads.live_hosts(domain, now);
        heard.filter(move |other| self.groups.same_group(host, other.name))
    }
}
