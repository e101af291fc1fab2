//! Delivery of a host's notices to other hosts.
//!
//! Hosts of the own group in another failure domain are reached through one of them, which forwards notices to the
//! others. Sent individually, each change would cross to another failure domain once per host there, and bandwidth
//! between domains is scarce and expensive. One copy for each domain is enough: 4 instead of 236 with 295 hosts in five
//! domains. The forwarding host changes with each heartbeat, so a dead, frozen or disconnected one hides a host from
//! its domain for one heartbeat at most. The first forwarder is derived from the sender's name, which spreads the work
//! over all hosts.
//!
//! Hosts of the own domain, and hosts that have not been heard from yet, receive notices directly.
//!
//! Notices that concern other groups as well go to one host of each of their partitions, which forwards them there. A
//! partition is the hosts of one group in one failure domain.

use super::group::{Division, Group};
use super::relay::Neighbour;
use crate::Name;
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64;

/// Minimum number of hosts in a failure domain for which one of them forwards notices to the others. Forwarding saves
/// little with fewer hosts.
const MIN_FORWARDED_HOSTS: usize = 4;

/// The delivery of a notice to other failure domains.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Fanout {
    /// Hosts that forward the notice within their failure domain.
    pub forwarders: Vec<Name>,
    /// Hosts that the forwarders reach, including the forwarders themselves.
    pub covered: BTreeSet<Name>,
}

/// Returns the fanout of host `own` at heartbeat number `beat` to the hosts of other failure domains in `live_hosts`,
/// the hosts that it receives notices from.
pub fn fanout<'a>(own: &str, beat: u64, live_hosts: impl Iterator<Item = Neighbour<'a>>) -> Fanout {
    let mut domains: BTreeMap<&Name, Vec<&Name>> = BTreeMap::new();
    for host in live_hosts.filter(|host| !host.same_domain) {
        domains.entry(host.domain).or_default().push(host.name);
    }
    let mut fanout = Fanout::default();
    for hosts in domains
        .into_values()
        .filter(|hosts| hosts.len() >= MIN_FORWARDED_HOSTS)
    {
        fanout
            .forwarders
            .extend(forwarder(own, beat, hosts.clone()).cloned());
        fanout.covered.extend(hosts.into_iter().cloned());
    }
    fanout
}

/// The hosts outside the own group that a notice concerns.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Scope {
    /// Whether all hosts are concerned.
    pub all: bool,
    /// Whether all hosts of the own failure domain are concerned.
    pub domain: bool,
    /// Groups whose hosts are all concerned.
    pub groups: BTreeSet<Group>,
}

/// The host that sends a notice.
#[derive(Debug, Clone, Copy)]
pub struct Sender<'a> {
    /// Its name.
    pub name: &'a Name,
    /// Its failure domain.
    pub domain: &'a Name,
    /// The division into groups that it uses.
    pub division: Division,
}

impl Scope {
    /// Returns whether the notice concerns the hosts of a group in a failure domain.
    fn concerns(&self, sender: &Sender<'_>, group: Group, domain: &Name) -> bool {
        self.all || self.groups.contains(&group) || (self.domain && domain == sender.domain)
    }

    /// Returns one host of each partition that the notice concerns, at heartbeat number `beat`. `hosts` are all hosts
    /// with their failure domains.
    pub fn gateways<'a>(
        &self,
        sender: &Sender<'_>,
        beat: u64,
        hosts: impl Iterator<Item = (&'a Name, &'a Name)>,
    ) -> Vec<&'a Name> {
        if *self == Scope::default() {
            return Vec::new();
        }
        let own = sender.division.of_host(sender.name);
        let mut partitions: BTreeMap<(Group, &Name), Vec<&Name>> = BTreeMap::new();
        for (host, domain) in hosts {
            let group = sender.division.of_host(host);
            if group != own && self.concerns(sender, group, domain) {
                partitions.entry((group, domain)).or_default().push(host);
            }
        }
        let partitions = partitions.into_values();
        partitions
            .filter_map(|hosts| forwarder(sender.name, beat, hosts))
            .collect()
    }
}

/// Returns the host that forwards the sender's notices at heartbeat number `beat`; the role rotates through the hosts
/// by name.
fn forwarder<'a>(sender: &str, beat: u64, mut hosts: Vec<&'a Name>) -> Option<&'a Name> {
    hosts.sort();
    let first = xxh3_64(sender.as_bytes());
    let index = first.wrapping_add(beat).checked_rem(hosts.len() as u64)?;
    hosts.get(index as usize).copied()
}
