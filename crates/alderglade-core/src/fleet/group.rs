//! Groups of hosts and the backend servers that they share.
//!
//! A host tells what it holds to each host that sends to the same servers. Were these all hosts, what one of them sends
//! and hears would grow with their number. Where there are many, hosts and servers are divided into groups: a host sends
//! to the servers of its own group, and tells the hosts of that group. Each group has its part of every failure domain, so
//! that the loss of a domain takes as much from each.
//!
//! The group of a host follows from its name and the number of groups, which is a power of two and doubles with the
//! number of hosts. Hosts that don't agree on it for a moment have groups of which one holds the other. The servers of a
//! service are dealt evenly: ordered by their hashes, and cut into as many pieces of the same size as there are groups. Of
//! those, one that comes or goes moves one at each cut.

use super::directory::Server;
use super::incarnation::Key;
use crate::Name;
use std::collections::{BTreeMap, HashMap};
use xxhash_rust::xxh3::xxh3_64;

/// The least number of hosts of a group, as a mean.
pub const MIN_GROUP_HOSTS: usize = 64;

/// A group.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Group(u32);

/// Into how many groups the hosts are divided.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Division {
    /// The logarithm of the number of groups, to the base of two.
    bits: u32,
}

impl Division {
    /// Gives the division of so many hosts.
    pub fn of_hosts(hosts: usize) -> Division {
        let groups = (hosts / MIN_GROUP_HOSTS).max(1);
        Division {
            bits: groups.ilog2(),
        }
    }

    /// Gives the number of groups.
    pub fn groups(self) -> u32 {
        1 << self.bits
    }

    /// Says whether all hosts are of one group.
    pub fn is_single(self) -> bool {
        self.bits == 0
    }

    /// Gives the group of a host.
    pub fn of_host(self, host: &str) -> Group {
        let hash = xxh3_64(host.as_bytes());
        Group(leading(hash, self.bits))
    }

    /// Gives how many groups come before a host's own where the hosts of a failure domain share a duty. Another group comes first
    /// in each domain, as far as there are enough.
    pub fn precedence(self, domain: &str, host: &str) -> u32 {
        let Group(own) = self.of_host(host);
        let first = leading(xxh3_64(domain.as_bytes()), self.bits);
        own.wrapping_sub(first) % self.groups()
    }

    /// Deals the servers of one service to the groups.
    fn assign<'a>(self, servers: impl Iterator<Item = &'a Server>) -> Vec<(Key, Group)> {
        let order = servers.map(|server| (xxh3_64(server.id().as_bytes()), server.key()));
        let mut order: Vec<(u64, Key)> = order.collect();
        order.sort_unstable();
        let (groups, count) = (self.groups() as usize, order.len());
        let dealt = order.into_iter().enumerate();
        dealt
            .map(|(place, (_, server))| (server, Group((place * groups / count) as u32)))
            .collect()
    }
}

/// Gives the first bits of a hash.
fn leading(hash: u64, bits: u32) -> u32 {
    hash.checked_shr(u64::BITS - bits).unwrap_or(0) as u32
}

/// The groups, as one host knows them.
#[derive(Debug, Default)]
pub struct Groups {
    division: Division,
    /// The group of each server; empty where there is one group.
    servers: HashMap<Key, Group>,
}

impl Groups {
    /// Gives the division.
    pub fn division(&self) -> Division {
        self.division
    }

    /// Takes a division; says whether it is another one. Servers must be dealt anew then.
    pub fn set_division(&mut self, division: Division) -> bool {
        std::mem::replace(&mut self.division, division) != division
    }

    /// Deals servers to the groups.
    pub fn assign<'a>(&mut self, servers: impl Iterator<Item = &'a Server>) {
        self.servers.clear();
        if self.division.is_single() {
            return;
        }
        let mut services: BTreeMap<&Name, Vec<&Server>> = BTreeMap::new();
        for server in servers {
            services.entry(&server.service).or_default().push(server);
        }
        for servers in services.into_values() {
            self.servers
                .extend(self.division.assign(servers.into_iter()));
        }
    }

    /// Gives the group of a host.
    pub fn of_host(&self, host: &str) -> Group {
        self.division.of_host(host)
    }

    /// Gives the group of a server; the first one where the server is not known.
    pub fn of_server(&self, server: Key) -> Group {
        self.servers.get(&server).copied().unwrap_or_default()
    }

    /// Says whether two hosts are of the same group.
    pub fn same_group(&self, host: &str, other: &str) -> bool {
        self.division.is_single() || self.of_host(host) == self.of_host(other)
    }

    /// Says whether a server is of a host's group.
    pub fn has_server(&self, host: &str, server: Key) -> bool {
        self.division.is_single() || self.of_host(host) == self.of_server(server)
    }

    /// Gives those of some servers that are of a host's group, or all of them where there are fewer than `least`.
    pub fn share<'a>(
        &self,
        host: &str,
        mut servers: Vec<&'a Server>,
        least: usize,
    ) -> Vec<&'a Server> {
        if self.division.is_single() {
            return servers;
        }
        let own = self.of_host(host);
        let is_shared = |server: &&Server| self.of_server(server.key()) == own;
        if servers.iter().filter(|server| is_shared(server)).count() >= least {
            servers.retain(is_shared);
        }
        servers
    }
}
