//! Notices that go to other failure domains through one of their hosts: who hears of what, and what it costs between
//! domains.

use super::{empty_notice, hold, key};
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

/// The hosts of domains of these sizes, and each one's domain.
fn hosts(sizes: &[usize]) -> Vec<(Name, Name)> {
    let numbered = sizes.iter().enumerate();
    let all = numbered.flat_map(|(domain, size)| (0..*size).map(move |host| (domain, host)));
    all.map(|(domain, host)| (name(domain, host), format!("d{domain}").into()))
        .collect()
}

/// The way of a host of the first domain that hears all others.
fn way(own: &Name, beat: u64, hosts: &[(Name, Name)]) -> Fanout {
    let others = hosts.iter().filter(|(name, _)| name != own);
    let heard = others.map(|(name, domain)| Neighbour {
        name,
        domain,
        same_domain: **domain == *"d0",
        store: StoreStatus::default(),
    });
    fanout(own, beat, heard)
}

#[test]
fn one_host_of_each_large_domain_passes_notices_on() {
    let hosts = hosts(&[5, 59, 4, 3, 1]);
    let fanout = way(&name(0, 0), 0, &hosts);
    let domains: Vec<&str> = fanout.forwarders.iter().map(|host| &host[..2]).collect();
    assert_eq!(domains, ["d1", "d2"], "small ones are told directly");
    assert_eq!(fanout.covered.len(), 59 + 4);
    assert!(
        fanout
            .forwarders
            .iter()
            .all(|host| fanout.covered.contains(host))
    );
}

#[test]
fn each_host_has_its_turn_and_senders_share_the_hosts() {
    let hosts = hosts(&[40, 10]);
    let turns = (0..10).flat_map(|beat| way(&name(0, 0), beat, &hosts).forwarders);
    assert_eq!(turns.collect::<BTreeSet<_>>().len(), 10);
    let mut load: BTreeMap<Name, u32> = BTreeMap::new();
    for sender in 0..40 {
        for host in way(&name(0, sender), 3, &hosts).forwarders {
            *load.entry(host).or_default() += 1;
        }
    }
    assert!(load.values().all(|senders| *senders <= 10), "{load:?}");
}

/// One host and what it knows.
struct Host {
    name: Name,
    domain: Name,
    loads: LoadTable,
    sequence: u64,
    held: Vec<ReservationId>,
}

/// A deployment whose messages come at once or never.
struct Fleet {
    hosts: Vec<Host>,
    /// Messages of a hundred that are lost.
    lost: u32,
    /// Hosts that take nothing in and send nothing.
    dead: BTreeSet<Name>,
    /// Messages that have crossed between failure domains.
    crossed: usize,
}

impl Fleet {
    fn new(sizes: &[usize], lost: u32) -> Fleet {
        let host = |(name, domain)| Host {
            name,
            domain,
            loads: LoadTable::default(),
            sequence: 0,
            held: Vec::new(),
        };
        Fleet {
            hosts: hosts(sizes).into_iter().map(host).collect(),
            lost,
            dead: BTreeSet::new(),
            crossed: 0,
        }
    }

    fn place(&self, name: &Name) -> usize {
        let mut hosts = self.hosts.iter();
        hosts
            .position(|host| host.name == *name)
            .expect("a known host")
    }

    /// Sends a notice from one host to another; says whether it came.
    fn send(
        &mut self,
        u: &mut Unstructured<'_>,
        from: usize,
        to: usize,
        notice: &Notice,
        now: Time,
    ) -> Result<bool> {
        if self.hosts[from].domain != self.hosts[to].domain {
            self.crossed += 1;
        }
        let is_dead =
            self.dead.contains(&self.hosts[from].name) || self.dead.contains(&self.hosts[to].name);
        if is_dead || u.int_in_range(0..=99)? < self.lost {
            return Ok(false);
        }
        self.hosts[to].loads.apply_notice(notice, now);
        Ok(true)
    }

    /// Has a host tell all others, and those that it goes through pass it on.
    fn tell(
        &mut self,
        u: &mut Unstructured<'_>,
        from: usize,
        beat: u64,
        whole: bool,
        now: Time,
    ) -> Result<()> {
        let host = &mut self.hosts[from];
        host.sequence += 1;
        let holdings = if whole {
            host.loads.all_holdings(now)
        } else {
            host.loads.take_changes()
        };
        let notice = Notice {
            domain: host.domain.clone(),
            full: whole,
            holdings,
            ..empty_notice(&host.name, 1, host.sequence)
        };
        let (own, domain) = (host.name.clone(), host.domain.clone());
        let way = fanout(&own, beat, host.loads.live_hosts(&domain, now));
        let direct = 0..self.hosts.len();
        let direct =
            direct.filter(|to| *to != from && !way.covered.contains(&self.hosts[*to].name));
        for to in direct.collect::<Vec<_>>() {
            self.send(u, from, to, &notice, now)?;
        }
        for through in way.forwarders {
            let through = self.place(&through);
            if !self.send(u, from, through, &notice, now)? {
                continue;
            }
            let domain = self.hosts[through].domain.clone();
            let near = self.hosts[through].loads.live_hosts(&domain, now);
            let near: Vec<Name> = near
                .filter(|host| host.same_domain)
                .map(|host| host.name.clone())
                .collect();
            for to in near {
                let to = self.place(&to);
                self.send(u, through, to, &notice, now)?;
            }
        }
        Ok(())
    }

    /// What a host thinks is held at a server.
    fn view(&self, host: &Host) -> Load {
        Load {
            placed: 0,
            ..host.loads.total(key("e"))
        }
    }
}

/// Hosts place and release, messages are lost, hosts die; a few heartbeats later all that live see the same load. A host
/// that died is silent for all after its time.
#[test]
fn all_hosts_see_the_same_load_a_few_heartbeats_later() {
    const BEAT: Duration = Duration::from_millis(250);
    each_seed(12, |u| {
        let lost = u.int_in_range(0..=10)?;
        let mut fleet = Fleet::new(&[6, 9, 5, 2], lost);
        let count = fleet.hosts.len();
        let mut now = Time(0);
        for beat in 0..12 {
            now = now + BEAT;
            for host in 0..count {
                let from = &mut fleet.hosts[host];
                if u.ratio(1, 3)? {
                    from.held
                        .push(from.loads.reserve(hold("e", 1_000, 10), now));
                } else if let Some(id) = from.held.pop() {
                    from.loads.release(id, now);
                }
                fleet.tell(u, host, beat, beat % 4 == 0, now)?;
            }
            if u.ratio(1, 3)? {
                let host = u.int_in_range(0..=count - 1)?;
                fleet.dead.insert(fleet.hosts[host].name.clone());
            }
        }
        fleet.lost = 0;
        // A dead host is routed through until it is missed, and counts until it has lapsed.
        for beat in 12..24 {
            now = now + BEAT;
            for host in 0..count {
                let is_dead = fleet.dead.contains(&fleet.hosts[host].name);
                if !is_dead {
                    fleet.tell(u, host, beat, beat % 4 == 0, now)?;
                }
                fleet.hosts[host].loads.expire(now);
            }
        }
        let living = fleet
            .hosts
            .iter()
            .filter(|host| !fleet.dead.contains(&host.name));
        let held: usize = living.clone().map(|host| host.held.len()).sum();
        for host in living {
            assert_eq!(fleet.view(host).running, held as i64, "{}", host.name);
        }
        Ok(())
    });
}

/// 295 hosts in five domains: a change crosses four times in place of 236 times.
#[test]
fn a_change_crosses_once_to_each_domain() {
    each_seed(1, |u| {
        let mut fleet = Fleet::new(&[59; 5], 0);
        let now = Time::from_millis(1_000);
        for host in 0..fleet.hosts.len() {
            fleet.tell(u, host, 0, true, now)?;
        }
        fleet.crossed = 0;
        fleet.hosts[7].loads.reserve(hold("e", 1_000, 10), now);
        fleet.tell(u, 7, 1, false, now)?;
        assert_eq!(fleet.crossed, 4);
        for host in &fleet.hosts {
            assert_eq!(fleet.view(host).running, 1, "{}", host.name);
        }
        Ok(())
    });
}
