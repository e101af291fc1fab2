//! Groups of hosts, and the backend servers that each group shares.
//!
//! A host reports what it holds at a server to every host that sends to the same servers. If that were all hosts, the
//! messages that one of them sends and receives would grow with their number. Large fleets are therefore divided into
//! groups: a host sends requests to the servers of its own group and reports to the hosts of that group. Each group has
//! hosts in every failure domain, so the loss of a domain affects all groups equally.
//!
//! The group of a host follows from its name and the number of groups, which is a power of two and doubles with the
//! number of hosts. While hosts disagree on the number of groups, one host's group contains the other's. The servers of
//! a service are assigned evenly: they are ordered by hash and split into as many equal ranges as there are groups. A
//! server that is added or removed moves one server at each boundary between ranges.

use super::directory::Server;
use super::incarnation::Key;
use crate::Name;
use std::collections::{BTreeMap, HashMap};
use xxhash_rust::xxh3::xxh3_64;

/// Minimum number of hosts in a group, on average.
pub const MIN_GROUP_HOSTS: usize = 64;

/// The index of a group.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Group(u32);

/// The number of groups that the hosts are divided into.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Division {
    /// Base-2 logarithm of the number of groups.
    bits: u32,
}

impl Division {
    /// Returns the division for a number of hosts.
    pub fn of_hosts(hosts: usize) -> Division {
        let groups = (hosts / MIN_GROUP_HOSTS).max(1);
        Division {
            bits: groups.ilog2(),
        }
    }

    /// Returns the number of groups.
    pub fn groups(self) -> u32 {
        1 << self.bits
    }

    /// Returns whether there is only one group.
    pub fn is_single(self) -> bool {
        self.bits == 0
    }

    /// Returns the group of a host.
    pub fn of_host(self, host: &str) -> Group {
        let hash = xxh3_64(host.as_bytes());
        Group(leading_bits(hash, self.bits))
    }

    /// Returns how many groups take precedence over the host's own for a duty that the hosts of a failure domain share.
    /// Failure domains start with different groups, as far as there are enough groups.
    pub fn precedence(self, domain: &str, host: &str) -> u32 {
        let Group(own) = self.of_host(host);
        let first = leading_bits(xxh3_64(domain.as_bytes()), self.bits);
        own.wrapping_sub(first) % self.groups()
    }

    /// Assigns the servers of one service to groups.
    fn assign<'a>(self, servers: impl Iterator<Item = &'a Server>) -> Vec<(Key, Group)> {
        let order = servers.map(|server| (xxh3_64(server.id().as_bytes()), server.key()));
        let mut order: Vec<(u64, Key)> = order.collect();
        order.sort_unstable();
        let (groups, count) = (self.groups() as usize, order.len());
        let ranked = order.into_iter().enumerate();
        ranked
            .map(|(rank, (_, server))| (server, Group((rank * groups / count) as u32)))
            .collect()
    }
}

/// Returns the most significant bits of a hash.
fn leading_bits(hash: u64, bits: u32) -> u32 {
    hash.checked_shr(u64::BITS - bits).unwrap_or(0) as u32
}

/// The groups of hosts and servers, as known to one host.
#[derive(Debug, Default)]
pub struct Groups {
    division: Division,
    /// The group of each server. Empty if there is only one group.
    servers: HashMap<Key, Group>,
}

impl Groups {
    /// Returns the current division.
    pub fn division(&self) -> Division {
        self.division
    }

    /// Sets the division. Returns whether it changed, in which case the servers must be assigned again.
    pub fn set_division(&mut self, division: Division) -> bool {
        std::mem::replace(&mut self.division, division) != division
    }

    /// Assigns all servers to groups, service by service.
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

    /// Returns the group of a host.
    pub fn of_host(&self, host: &str) -> Group {
        self.division.of_host(host)
    }

    /// Returns the group of a server, or the first group if the server is unknown.
    pub fn of_server(&self, server: Key) -> Group {
        self.servers.get(&server).copied().unwrap_or_default()
    }

    /// Returns whether two hosts are in the same group.
    pub fn same_group(&self, host: &str, other: &str) -> bool {
        self.division.is_single() || self.of_host(host) == self.of_host(other)
    }

    /// Returns whether a server is in the host's group.
    pub fn has_server(&self, host: &str, server: Key) -> bool {
        self.division.is_single() || self.of_host(host) == self.of_server(server)
    }

    /// Returns the given servers that are in the host's group, or all of them if fewer than `least` are.
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
        let in_own_group = |server: &&Server| self.of_server(server.key()) == own;
        if servers.iter().filter(|server| in_own_group(server)).count() >= least {
            servers.retain(in_own_group);
        }
        servers
    }
}
