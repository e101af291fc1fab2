//! Cold servers: what all hosts together send in a second, hosts that are cut off and owners that come and go counted.

use super::chance::Chance;
use super::key;
use alderglade_core::Name;
use alderglade_core::fleet::rate_limit::cold::Bound;
use alderglade_core::fleet::rate_limit::{self, Limits, OwnerView};
use alderglade_core::fleet::statement::Rate;
use alderglade_core::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// How long the servers here are cold.
const SPELL: Duration = Duration::from_secs(30);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn bound() -> Bound {
    Bound {
        factor: 1.5,
        slack: 5.0,
    }
}

/// The most that may reach a server in a second.
fn most(per_second: f64) -> usize {
    (per_second * bound().factor + bound().slack) as usize
}

struct Host {
    name: Name,
    limits: Limits,
    /// On which side of the cut it is.
    side: usize,
    up: bool,
    /// When it asks again.
    next: Time,
}

/// Hosts that all want to send to one cold server, as quickly as they may.
struct World {
    hosts: Vec<Host>,
    per_second: f64,
    chance: Chance,
    now: Time,
    /// What each host has seen of the others is so late.
    lag: VecDeque<Vec<(usize, bool)>>,
    sends: Vec<Time>,
}

impl World {
    fn new(count: usize, per_second: f64, lag_ms: usize, seed: u64) -> World {
        let now = Time::from_millis(10_000);
        let rate = bound().rate(per_second).expect("a bound");
        let host = |number: usize| {
            let mut limits = Limits::default();
            limits.observe_cold(key("e"), rate, SPELL, true, now);
            Host {
                name: format!("h{number}").into(),
                limits,
                side: 0,
                up: true,
                next: now,
            }
        };
        let hosts: Vec<Host> = (0..count).map(host).collect();
        let view: Vec<(usize, bool)> = hosts.iter().map(|host| (host.side, host.up)).collect();
        World {
            lag: std::iter::repeat_n(view, lag_ms.max(1)).collect(),
            hosts,
            per_second,
            chance: Chance(seed),
            now,
            sends: Vec::new(),
        }
    }

    /// Lists the hosts that one hears of, itself among them.
    fn heard(&self, host: usize) -> Vec<usize> {
        let seen = self.lag.front().expect("a view");
        let side = seen[host].0;
        let all = 0..self.hosts.len();
        all.filter(|other| *other == host || seen[*other] == (side, true))
            .collect()
    }

    fn owner(&self, host: usize) -> usize {
        let heard = self.heard(host);
        let names = heard.iter().map(|other| &self.hosts[*other].name);
        let owner = rate_limit::owner(key("e"), names).expect("a host").clone();
        heard
            .into_iter()
            .find(|other| self.hosts[*other].name == owner)
            .expect("one of them")
    }

    /// Has a host ask the owner that it sees, and send where it may.
    fn want(&mut self, host: usize) {
        let owner = self.owner(host);
        let asking = &self.hosts[host];
        let request = asking
            .limits
            .request_if_limited(key("e"), &asking.name, 1, self.now);
        let Some(request) = request else {
            return;
        };
        let reached = self.hosts[owner].up && self.hosts[owner].side == asking.side;
        if !reached {
            self.hosts[host].next = self.now + ms(300);
            return;
        }
        let own_owner = self.hosts[self.owner(owner)].name.clone();
        let majority = 2 * self.heard(owner).len() > self.hosts.len();
        let granting = &mut self.hosts[owner];
        let view = OwnerView {
            own: &granting.name,
            owner: &own_owner,
            majority,
        };
        let wait = granting.limits.grant(&request, &view, self.now).wait();
        if wait.is_zero() {
            self.sends.push(self.now);
        }
        self.hosts[host].next = self.now + wait.max(ms(1));
    }

    fn run(&mut self, span: Duration, mut event: impl FnMut(&mut World)) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + ms(1);
            event(self);
            let view = self.hosts.iter().map(|host| (host.side, host.up)).collect();
            self.lag.pop_front();
            self.lag.push_back(view);
            for host in 0..self.hosts.len() {
                if self.hosts[host].up && self.hosts[host].next <= self.now {
                    self.want(host);
                }
            }
        }
    }

    /// Gives the most that was sent in a second.
    fn most_in_a_second(&self) -> usize {
        let from = |first: &Time| {
            let later = self.sends.iter().filter(|at| *at >= first);
            later.filter(|at| at.since(*first) < ms(1_000)).count()
        };
        self.sends.iter().map(from).max().unwrap_or(0)
    }

    fn check(&self, what: &str) {
        let (sent, most) = (self.most_in_a_second(), most(self.per_second));
        assert!(sent <= most, "{what}: {sent} of {most}");
    }
}

/// Hosts are cut off alone and in groups, end and come back, and hear of each other late.
#[test]
fn all_hosts_together_keep_to_what_a_cold_server_bears() {
    for seed in 0..30_u64 {
        let mut chance = Chance(seed);
        let count = [1, 2, 9, 59, 140][chance.host(5)];
        let per_second = [1.0, 3.0, 14.0, 40.0][chance.host(4)];
        let mut world = World::new(count, per_second, chance.host(1_500), seed);
        world.run(Duration::from_secs(6), |world| {
            let drawn = world.chance.below(4_000);
            let host = world.chance.host(world.hosts.len());
            let side = world.chance.host(4);
            match drawn {
                0..4 => world.hosts[host].side = side,
                4 => world.hosts.iter_mut().for_each(|host| host.side = 0),
                5 => {
                    let sides = 1 + side;
                    let hosts = world.hosts.iter_mut().enumerate();
                    hosts.for_each(|(number, host)| host.side = number % sides);
                }
                6..9 => {
                    let rate = bound().rate(world.per_second).expect("a bound");
                    let now = world.now;
                    let host = &mut world.hosts[host];
                    host.up = !host.up;
                    host.limits = Limits::default();
                    host.limits.observe_cold(key("e"), rate, SPELL, true, now);
                }
                _ => {}
            }
        });
        world.check(&format!("seed {seed}, {count} hosts, {per_second}"));
    }
}

/// All are cut off from each other: nobody can know what the others send, so nobody sends.
#[test]
fn hosts_that_hear_of_nobody_send_nothing() {
    let mut world = World::new(59, 14.0, 1, 1);
    let hosts = world.hosts.iter_mut().enumerate();
    hosts.for_each(|(number, host)| host.side = number);
    world.run(ms(1_500), |_| {});
    assert!(world.sends.is_empty());
}

/// A cold server isn't idle either: what half of the bound allows is used.
#[test]
fn what_a_cold_server_bears_is_used() {
    for count in [1, 9, 59] {
        let mut world = World::new(count, 14.0, 200, 3);
        world.run(Duration::from_secs(4), |_| {});
        let sent = world.sends.len();
        assert!(sent >= 30, "{count} hosts: {sent} in four seconds");
    }
}

#[test]
fn the_smaller_bound_counts_where_a_cold_server_names_a_limit() {
    let now = Time::from_millis(10_000);
    let rate = |number| Rate::per_second(number).expect("a rate");
    let mut limits = Limits::default();
    limits.observe_limit(key("e"), Some(rate(4.0)), now, now);
    assert!(limits.observe_cold(key("e"), rate(10.0), SPELL, true, now));
    assert_eq!(limits.effective_limit(key("e"), now), Some(rate(4.0)));
    assert!(!limits.observe_cold(key("e"), rate(2.0), SPELL, true, now));
    assert_eq!(limits.effective_limit(key("e"), now), Some(rate(2.0)));
    assert_eq!(
        limits.effective_limit(key("e"), now + SPELL),
        Some(rate(4.0))
    );
}

/// A question tells the owner, which may not have heard of the spell, and hosts tell others what they have from the server.
#[test]
fn hosts_tell_each_other_of_cold_servers() {
    let now = Time::from_millis(10_000);
    let rate = Rate::per_second(3.0).expect("a rate");
    let mut one = Limits::default();
    one.observe_cold(key("e"), rate, SPELL, true, now);
    let mut other = Limits::default();
    let request = one
        .request_if_limited(key("e"), &"a".into(), 1, now)
        .expect("a bound");
    let view = OwnerView {
        own: "other",
        owner: "other",
        majority: true,
    };
    other.grant(&request, &view, now);
    assert_eq!(other.effective_limit(key("e"), now), Some(rate));
    assert!(other.cold_reports(now).is_empty(), "it has it from one");
    let mut third = Limits::default();
    for told in one.cold_reports(now) {
        assert!(third.apply_cold_report(&told, now));
        assert!(!third.apply_cold_report(&told, now));
    }
    assert_eq!(third.effective_limit(key("e"), now), Some(rate));
    assert_eq!(third.effective_limit(key("e"), now + SPELL), None);
    assert!(one.cold_reports(now + SPELL).is_empty());
}

/// All hosts start at once, and each has heard of nobody yet.
#[test]
fn a_host_that_has_no_list_of_hosts_hears_no_majority() {
    assert!(!rate_limit::is_majority(1, None));
    assert!(rate_limit::is_majority(1, Some(1)));
    assert!(!rate_limit::is_majority(29, Some(59)));
    assert!(rate_limit::is_majority(30, Some(59)));
    assert!(!rate_limit::is_majority(70, Some(140)));
}

#[test]
fn half_of_the_bound_is_granted_by_one_owner() {
    for per_second in [1.0, 3.0, 14.0, 40.0, 400.0] {
        let rate = bound().rate(per_second).expect("a bound").get();
        let half = (per_second * 1.5 + 5.0) / 2.0;
        let saved = (rate * 0.25).max(1.0);
        assert!(rate + saved <= half, "{per_second}: {rate}");
        assert!(rate > half * 0.5, "{per_second}: {rate}");
    }
    assert_eq!(bound().rate(0.0), None, "it bears any number");
}
