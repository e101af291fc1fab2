//! Notices forwarded in other failure domains by one of their hosts: who receives them, and the traffic between
//! domains.

use super::{empty_notice, key, reservation};
use crate::each_seed;
use alderglade_core::Name;
use alderglade_core::fleet::fanout::{Fanout, fanout};
use alderglade_core::fleet::load_table::{Load, LoadTable, Notice, ReservationId};
use alderglade_core::fleet::relay::{Neighbour, StoreStatus};
use alderglade_core::time::Time;
use arbtest::arbitrary::{Result, Unstructured};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

fn name(domain: usize, host: usize) -> Name {
    format!("d{domain}-h{host:02}").into()
}

/// Creates hosts in domains of the given sizes, each with its domain.
fn hosts(sizes: &[usize]) -> Vec<(Name, Name)> {
    let numbered = sizes.iter().enumerate();
    let all = numbered.flat_map(|(domain, size)| (0..*size).map(move |host| (domain, host)));
    all.map(|(domain, host)| (name(domain, host), format!("d{domain}").into()))
        .collect()
}

/// Returns the fanout of a host of the first domain that receives notices from all others.
fn fanout_to_all(own: &Name, beat: u64, hosts: &[(Name, Name)]) -> Fanout {
    let others = hosts.iter().filter(|(name, _)| name != own);
    let live_hosts = others.map(|(name, domain)| Neighbour {
        name,
        domain,
        same_domain: **domain == *"d0",
        store: StoreStatus::default(),
    });
    fanout(own, beat, live_hosts)
}

#[test]
fn one_host_of_each_large_domain_forwards_notices() {
    let hosts = hosts(&[5, 59, 4, 3, 1]);
    let fanout = fanout_to_all(&name(0, 0), 0, &hosts);
    let domains: Vec<&str> = fanout.forwarders.iter().map(|host| &host[..2]).collect();
    assert_eq!(
        domains,
        ["d1", "d2"],
        "hosts of small domains are sent to directly"
    );
    assert_eq!(fanout.covered.len(), 59 + 4);
    assert!(
        fanout
            .forwarders
            .iter()
            .all(|host| fanout.covered.contains(host))
    );
}

#[test]
fn forwarding_rotates_and_is_spread_over_the_hosts() {
    let hosts = hosts(&[40, 10]);
    let turns = (0..10).flat_map(|beat| fanout_to_all(&name(0, 0), beat, &hosts).forwarders);
    assert_eq!(turns.collect::<BTreeSet<_>>().len(), 10);
    let mut load: BTreeMap<Name, u32> = BTreeMap::new();
    for sender in 0..40 {
        for host in fanout_to_all(&name(0, sender), 3, &hosts).forwarders {
            *load.entry(host).or_default() += 1;
        }
    }
    assert!(load.values().all(|senders| *senders <= 10), "{load:?}");
}

/// One host and the loads that it knows.
struct Host {
    name: Name,
    domain: Name,
    loads: LoadTable,
    sequence: u64,
    reservations: Vec<ReservationId>,
}

/// A deployment whose messages come at once or never.
struct Fleet {
    hosts: Vec<Host>,
    /// Percentage of messages that are lost.
    loss_percent: u32,
    /// Hosts that take nothing in and send nothing.
    dead: BTreeSet<Name>,
    /// Number of messages sent between failure domains.
    cross_domain_sends: usize,
}

impl Fleet {
    fn new(sizes: &[usize], loss_percent: u32) -> Fleet {
        let host = |(name, domain)| Host {
            name,
            domain,
            loads: LoadTable::default(),
            sequence: 0,
            reservations: Vec::new(),
        };
        Fleet {
            hosts: hosts(sizes).into_iter().map(host).collect(),
            loss_percent,
            dead: BTreeSet::new(),
            cross_domain_sends: 0,
        }
    }

    fn index_of(&self, name: &Name) -> usize {
        let mut hosts = self.hosts.iter();
        hosts
            .position(|host| host.name == *name)
            .expect("a known host")
    }

    /// Sends a notice from one host to another. Returns whether it arrived.
    fn send(
        &mut self,
        u: &mut Unstructured<'_>,
        from: usize,
        to: usize,
        notice: &Notice,
        now: Time,
    ) -> Result<bool> {
        if self.hosts[from].domain != self.hosts[to].domain {
            self.cross_domain_sends += 1;
        }
        let is_dead =
            self.dead.contains(&self.hosts[from].name) || self.dead.contains(&self.hosts[to].name);
        if is_dead || u.int_in_range(0..=99)? < self.loss_percent {
            return Ok(false);
        }
        self.hosts[to].loads.apply_notice(notice, now);
        Ok(true)
    }

    /// Sends a notice from a host to all others, directly or through forwarders.
    fn broadcast(
        &mut self,
        u: &mut Unstructured<'_>,
        from: usize,
        beat: u64,
        full: bool,
        now: Time,
    ) -> Result<()> {
        let host = &mut self.hosts[from];
        host.sequence += 1;
        let holdings = if full {
            host.loads.all_holdings(now)
        } else {
            host.loads.take_changes()
        };
        let notice = Notice {
            domain: host.domain.clone(),
            full,
            holdings,
            ..empty_notice(&host.name, 1, host.sequence)
        };
        let (own, domain) = (host.name.clone(), host.domain.clone());
        let fanout = fanout(&own, beat, host.loads.live_hosts(&domain, now));
        let direct = 0..self.hosts.len();
        let direct =
            direct.filter(|to| *to != from && !fanout.covered.contains(&self.hosts[*to].name));
        for to in direct.collect::<Vec<_>>() {
            self.send(u, from, to, &notice, now)?;
        }
        for forwarder in fanout.forwarders {
            let forwarder = self.index_of(&forwarder);
            if !self.send(u, from, forwarder, &notice, now)? {
                continue;
            }
            let domain = self.hosts[forwarder].domain.clone();
            let neighbours = self.hosts[forwarder].loads.live_hosts(&domain, now);
            let neighbours: Vec<Name> = neighbours
                .filter(|host| host.same_domain)
                .map(|host| host.name.clone())
                .collect();
            for to in neighbours {
                let to = self.index_of(&to);
                self.send(u, forwarder, to, &notice, now)?;
            }
        }
        Ok(())
    }

    /// Returns the load of the server as a host sees it.
    fn view(&self, host: &Host) -> Load {
        Load {
            placed_micros: 0,
            ..host.loads.total(key("e"))
        }
    }
}

/// Hosts reserve and release, messages are lost, hosts die. A few heartbeats later all live hosts see the same load,
/// and the load of a dead host has expired everywhere.
#[test]
fn all_hosts_see_the_same_load_a_few_heartbeats_later() {
    const BEAT: Duration = Duration::from_millis(250);
    each_seed(12, |u| {
        let loss_percent = u.int_in_range(0..=10)?;
        let mut fleet = Fleet::new(&[6, 9, 5, 2], loss_percent);
        let count = fleet.hosts.len();
        let mut now = Time(0);
        for beat in 0..12 {
            now = now + BEAT;
            for host in 0..count {
                let from = &mut fleet.hosts[host];
                if u.ratio(1, 3)? {
                    from.reservations
                        .push(from.loads.reserve(reservation("e", 1_000, 10), now));
                } else if let Some(id) = from.reservations.pop() {
                    from.loads.release(id, now);
                }
                fleet.broadcast(u, host, beat, beat % 4 == 0, now)?;
            }
            if u.ratio(1, 3)? {
                let host = u.int_in_range(0..=count - 1)?;
                fleet.dead.insert(fleet.hosts[host].name.clone());
            }
        }
        fleet.loss_percent = 0;
        // A dead host stays a forwarder until it is found silent, and its load counts until it has expired.
        for beat in 12..24 {
            now = now + BEAT;
            for host in 0..count {
                let is_dead = fleet.dead.contains(&fleet.hosts[host].name);
                if !is_dead {
                    fleet.broadcast(u, host, beat, beat % 4 == 0, now)?;
                }
                fleet.hosts[host].loads.expire(now);
            }
        }
        let living = fleet
            .hosts
            .iter()
            .filter(|host| !fleet.dead.contains(&host.name));
        let reservations: usize = living.clone().map(|host| host.reservations.len()).sum();
        for host in living {
            assert_eq!(
                fleet.view(host).running,
                reservations as i64,
                "{}",
                host.name
            );
        }
        Ok(())
    });
}

/// With 295 hosts in five domains, a change crosses between domains four times instead of 236 times.
#[test]
fn a_change_crosses_to_each_domain_once() {
    each_seed(1, |u| {
        let mut fleet = Fleet::new(&[59; 5], 0);
        let now = Time::from_millis(1_000);
        for host in 0..fleet.hosts.len() {
            fleet.broadcast(u, host, 0, true, now)?;
        }
        fleet.cross_domain_sends = 0;
        fleet.hosts[7]
            .loads
            .reserve(reservation("e", 1_000, 10), now);
        fleet.broadcast(u, 7, 1, false, now)?;
        assert_eq!(fleet.cross_domain_sends, 4);
        for host in &fleet.hosts {
            assert_eq!(fleet.view(host).running, 1, "{}", host.name);
        }
        Ok(())
    });
}
