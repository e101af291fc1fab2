//! How a host's notices reach other hosts.
//!
//! Those of the own group in other failure domains are reached through one of them, which passes notices on. Told one by one,
//! each change crosses to another failure domain as often as there are hosts, and bytes between domains
//! are dear and few. One copy for each domain is enough: 4 in place of 236 where 295 hosts stand in five domains. The host
//! that passes notices on changes with each heartbeat, so that one that is dead, frozen or cut off hides a host from its
//! domain for the time of a heartbeat at most; who is first is drawn by the sender's name, so that all share the work.
//!
//! Hosts of the own domain are told directly, and so are all those of whom nothing was heard yet.
//!
//! What concerns other groups too goes to one host of each of their parts, a part being the hosts of one group in one failure
//! domain, and is passed on there.

use super::group::{Division, Group};
use super::relay::Neighbour;
use crate::Name;
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64;

/// Hosts of a failure domain from which on one of them passes notices on to the others; with fewer of them there is little
/// to save.
const LEAST: usize = 4;

/// Who is told, and how.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Fanout {
    /// Hosts that pass notices on in their failure domain.
    pub forwarders: Vec<Name>,
    /// Hosts that are reached through these, themselves among them.
    pub covered: BTreeSet<Name>,
}

/// Gives the way to the hosts of other failure domains among those `heard` of, for the host `own` after so many heartbeats.
pub fn fanout<'a>(own: &str, beat: u64, heard: impl Iterator<Item = Neighbour<'a>>) -> Fanout {
    let mut domains: BTreeMap<&Name, Vec<&Name>> = BTreeMap::new();
    for host in heard.filter(|host| !host.same_domain) {
        domains.entry(host.domain).or_default().push(host.name);
    }
    let mut fanout = Fanout::default();
    for hosts in domains.into_values().filter(|hosts| hosts.len() >= LEAST) {
        fanout
            .forwarders
            .extend(in_turn(own, beat, hosts.clone()).cloned());
        fanout.covered.extend(hosts.into_iter().cloned());
    }
    fanout
}

/// What concerns hosts of other groups, and so which of them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Scope {
    /// Whether it concerns all hosts.
    pub all: bool,
    /// Whether it concerns all hosts of the own failure domain.
    pub domain: bool,
    /// The groups all of whose hosts it concerns.
    pub groups: BTreeSet<Group>,
}

/// The host that tells, as others see it.
#[derive(Debug, Clone, Copy)]
pub struct Sender<'a> {
    /// Its name.
    pub name: &'a Name,
    /// Its failure domain.
    pub domain: &'a Name,
    /// How it sees the groups.
    pub division: Division,
}

impl Scope {
    /// Says whether it concerns a part of the hosts.
    fn is_of(&self, sender: &Sender<'_>, group: Group, domain: &Name) -> bool {
        self.all || self.groups.contains(&group) || (self.domain && domain == sender.domain)
    }

    /// Gives a host of each part that it concerns, after so many heartbeats, among `hosts`, each with its failure domain.
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
        let mut parts: BTreeMap<(Group, &Name), Vec<&Name>> = BTreeMap::new();
        for (host, domain) in hosts {
            let group = sender.division.of_host(host);
            if group != own && self.is_of(sender, group, domain) {
                parts.entry((group, domain)).or_default().push(host);
            }
        }
        let parts = parts.into_values();
        parts
            .filter_map(|hosts| in_turn(sender.name, beat, hosts))
            .collect()
    }
}

/// Gives the host whose turn it is after so many heartbeats to pass on what a sender tells.
fn in_turn<'a>(sender: &str, beat: u64, mut hosts: Vec<&'a Name>) -> Option<&'a Name> {
    hosts.sort();
    let first = xxh3_64(sender.as_bytes());
    let place = first.wrapping_add(beat).checked_rem(hosts.len() as u64)?;
    hosts.get(place as usize).copied()
}
