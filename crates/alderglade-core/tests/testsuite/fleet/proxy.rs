//! Which host carries a request to a server that the own host can't connect to.

use alderglade_core::Name;
use alderglade_core::fleet::proxy::{Candidate, Proxies};
use alderglade_core::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

const NOW: Time = Time(1_000_000_000);

/// Hosts by name and failure domain.
struct Hosts(Vec<(Name, Name)>);

impl Hosts {
    fn new(hosts: &[(&str, &str)]) -> Hosts {
        let hosts = hosts.iter();
        Hosts(
            hosts
                .map(|(name, domain)| ((*name).into(), (*domain).into()))
                .collect(),
        )
    }

    /// Chooses a host for a request from `north` to a server in `south`.
    fn choose(&self, proxies: &Proxies, now: Time, random: f64) -> Option<Name> {
        let candidates = self.0.iter();
        let candidates = candidates.map(|(host, domain)| Candidate { host, domain });
        let (north, south): (Name, Name) = ("north".into(), "south".into());
        let chosen = proxies.choose(candidates, [&north, &south], now, || random);
        chosen.map(|chosen| chosen.host.clone())
    }
}

#[test]
fn hosts_near_the_server_or_this_host_come_first() {
    let hosts = Hosts::new(&[("far", "east"), ("near", "south")]);
    let chosen = hosts.choose(&Proxies::default(), NOW, 0.5);
    assert_eq!(chosen.as_deref(), Some("near"));
}

/// Guards against hosts that ask one that is cut off itself again and again.
#[test]
fn a_host_that_could_not_help_is_left_out_for_longer_each_time() {
    let hosts = Hosts::new(&[("h1", "north")]);
    let name: Name = "h1".into();
    let mut proxies = Proxies::default();
    let mut tries = 0;
    for step in 0..20_000 {
        let now = NOW + Duration::from_millis(step);
        if hosts.choose(&proxies, now, 0.0).is_some() {
            tries += 1;
            proxies.record_failure(&name, now);
        }
    }
    assert!((5..=10).contains(&tries), "{tries} in 20 seconds");
    proxies.record_success(&name, NOW + Duration::from_secs(30));
    let later = NOW + Duration::from_secs(31);
    assert!(hosts.choose(&proxies, later, 0.0).is_some());
}

/// Guards against all requests through the first host that has helped.
#[test]
fn open_requests_spread_over_the_hosts() {
    let hosts = Hosts::new(&[
        ("h1", "north"),
        ("h2", "south"),
        ("h3", "south"),
        ("h4", "east"),
    ]);
    let mut proxies = Proxies::default();
    let mut open: BTreeMap<Name, usize> = BTreeMap::new();
    for _ in 0..100 {
        let chosen = hosts.choose(&proxies, NOW, 0.0).expect("a host");
        proxies.begin(&chosen);
        proxies.record_success(&chosen, NOW);
        *open.entry(chosen).or_default() += 1;
    }
    assert!(
        open.values().all(|open| (20..=30).contains(open)),
        "{open:?}"
    );
    for (host, count) in &open {
        (0..*count).for_each(|_| proxies.end(host));
    }
    proxies.retain(|_| false);
    assert!(hosts.choose(&proxies, NOW, 0.0).is_some());
}

#[test]
fn without_hosts_there_is_no_choice() {
    assert_eq!(Hosts::new(&[]).choose(&Proxies::default(), NOW, 0.0), None);
}
