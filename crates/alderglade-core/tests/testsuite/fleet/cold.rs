//! Cold servers: the requests of all hosts together in one second, with network partitions and changing owners.

use super::key;
use super::rng::SeededRng;
use alderglade_core::Name;
use alderglade_core::fleet::rate_limit::cold::Bound;
use alderglade_core::fleet::rate_limit::{self, Limits, OwnerView};
use alderglade_core::fleet::statement::Rate;
use alderglade_core::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// How long the servers in these tests are cold.
const COLD_TIME: Duration = Duration::from_secs(30);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn bound() -> Bound {
    Bound {
        factor: 1.5,
        slack: 5.0,
    }
}

/// The maximum number of requests that may reach a server in a second.
fn max_per_second(per_second: f64) -> usize {
    (per_second * bound().factor + bound().slack) as usize
}

struct Host {
    name: Name,
    limits: Limits,
    /// The side of the network partition that it is on.
    side: usize,
    up: bool,
    /// When it asks again.
    next_request: Time,
}

/// Hosts that all try to send to one cold server as fast as they may.
struct World {
    hosts: Vec<Host>,
    per_second: f64,
    rng: SeededRng,
    now: Time,
    /// The views of the hosts, which reach them with a delay of one millisecond per entry.
    delayed_views: VecDeque<Vec<(usize, bool)>>,
    sends: Vec<Time>,
}

impl World {
    fn new(count: usize, per_second: f64, lag_ms: usize, seed: u64) -> World {
        let now = Time::from_millis(10_000);
        let rate = bound().rate(per_second).expect("a bound");
        let host = |number: usize| {
            let mut limits = Limits::default();
            limits.observe_cold(key("e"), rate, COLD_TIME, true, now);
            Host {
                name: format!("h{number}").into(),
                limits,
                side: 0,
                up: true,
                next_request: now,
            }
        };
        let hosts: Vec<Host> = (0..count).map(host).collect();
        let view: Vec<(usize, bool)> = hosts.iter().map(|host| (host.side, host.up)).collect();
        World {
            delayed_views: std::iter::repeat_n(view, lag_ms.max(1)).collect(),
            hosts,
            per_second,
            rng: SeededRng(seed),
            now,
            sends: Vec::new(),
        }
    }

    /// Returns the hosts that a host hears from, itself included.
    fn live_hosts(&self, host: usize) -> Vec<usize> {
        let seen = self.delayed_views.front().expect("a view");
        let side = seen[host].0;
        let all = 0..self.hosts.len();
        all.filter(|other| *other == host || seen[*other] == (side, true))
            .collect()
    }

    fn owner(&self, host: usize) -> usize {
        let live_hosts = self.live_hosts(host);
        let names = live_hosts.iter().map(|other| &self.hosts[*other].name);
        let owner = rate_limit::owner(key("e"), names).expect("a host").clone();
        live_hosts
            .into_iter()
            .find(|other| self.hosts[*other].name == owner)
            .expect("one of them")
    }

    /// Has a host ask the owner that it sees for a grant, and send if it gets one.
    fn try_send(&mut self, host: usize) {
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
            self.hosts[host].next_request = self.now + ms(300);
            return;
        }
        let own_owner = self.hosts[self.owner(owner)].name.clone();
        let majority = 2 * self.live_hosts(owner).len() > self.hosts.len();
        let granting = &mut self.hosts[owner];
        let view = OwnerView {
            own: &granting.name,
            owner: &own_owner,
            hears_majority: majority,
        };
        let wait = granting.limits.grant(&request, &view, self.now).wait();
        if wait.is_zero() {
            self.sends.push(self.now);
        }
        self.hosts[host].next_request = self.now + wait.max(ms(1));
    }

    fn run(&mut self, span: Duration, mut event: impl FnMut(&mut World)) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + ms(1);
            event(self);
            let view = self.hosts.iter().map(|host| (host.side, host.up)).collect();
            self.delayed_views.pop_front();
            self.delayed_views.push_back(view);
            for host in 0..self.hosts.len() {
                if self.hosts[host].up && self.hosts[host].next_request <= self.now {
                    self.try_send(host);
                }
            }
        }
    }

    /// Returns the maximum number of requests sent in a second.
    fn max_in_a_second(&self) -> usize {
        let from = |first: &Time| {
            let later = self.sends.iter().filter(|at| *at >= first);
            later.filter(|at| at.since(*first) < ms(1_000)).count()
        };
        self.sends.iter().map(from).max().unwrap_or(0)
    }

    fn check(&self, what: &str) {
        let (sent, most) = (self.max_in_a_second(), max_per_second(self.per_second));
        assert!(sent <= most, "{what}: {sent} of {most}");
    }
}

/// Hosts are cut off alone and in groups, stop and restart, and learn of each other late.
#[test]
fn all_hosts_together_stay_within_the_limit_of_a_cold_server() {
    for seed in 0..30_u64 {
        let mut rng = SeededRng(seed);
        let count = [1, 2, 9, 59, 140][rng.next_host(5)];
        let per_second = [1.0, 3.0, 14.0, 40.0][rng.next_host(4)];
        let mut world = World::new(count, per_second, rng.next_host(1_500), seed);
        world.run(Duration::from_secs(6), |world| {
            let drawn = world.rng.next_below(4_000);
            let host = world.rng.next_host(world.hosts.len());
            let side = world.rng.next_host(4);
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
                    host.limits
                        .observe_cold(key("e"), rate, COLD_TIME, true, now);
                }
                _ => {}
            }
        });
        world.check(&format!("seed {seed}, {count} hosts, {per_second}"));
    }
}

/// All hosts are cut off from each other. None can know what the others send, so none may send.
#[test]
fn isolated_hosts_send_nothing() {
    let mut world = World::new(59, 14.0, 1, 1);
    let hosts = world.hosts.iter_mut().enumerate();
    hosts.for_each(|(number, host)| host.side = number);
    world.run(ms(1_500), |_| {});
    assert!(world.sends.is_empty());
}

/// The limit must not leave a cold server idle: half of it is used.
#[test]
fn the_limit_of_a_cold_server_is_used() {
    for count in [1, 9, 59] {
        let mut world = World::new(count, 14.0, 200, 3);
        world.run(Duration::from_secs(4), |_| {});
        let sent = world.sends.len();
        assert!(sent >= 30, "{count} hosts: {sent} in four seconds");
    }
}

#[test]
fn the_lower_limit_counts_if_a_cold_server_states_one() {
    let now = Time::from_millis(10_000);
    let rate = |number| Rate::per_second(number).expect("a rate");
    let mut limits = Limits::default();
    limits.observe_limit(key("e"), Some(rate(4.0)), now, now);
    assert!(limits.observe_cold(key("e"), rate(10.0), COLD_TIME, true, now));
    assert_eq!(limits.effective_limit(key("e"), now), Some(rate(4.0)));
    assert!(!limits.observe_cold(key("e"), rate(2.0), COLD_TIME, true, now));
    assert_eq!(limits.effective_limit(key("e"), now), Some(rate(2.0)));
    assert_eq!(
        limits.effective_limit(key("e"), now + COLD_TIME),
        Some(rate(4.0))
    );
}

/// A request for a grant tells an owner of a cold period that it may not know, and hosts report first-hand knowledge.
#[test]
fn hosts_report_cold_servers_to_each_other() {
    let now = Time::from_millis(10_000);
    let rate = Rate::per_second(3.0).expect("a rate");
    let mut one = Limits::default();
    one.observe_cold(key("e"), rate, COLD_TIME, true, now);
    let mut other = Limits::default();
    let request = one
        .request_if_limited(key("e"), &"a".into(), 1, now)
        .expect("a bound");
    let view = OwnerView {
        own: "other",
        owner: "other",
        hears_majority: true,
    };
    other.grant(&request, &view, now);
    assert_eq!(other.effective_limit(key("e"), now), Some(rate));
    assert!(
        other.cold_reports(now).is_empty(),
        "it has the report from another host"
    );
    let mut third = Limits::default();
    for report in one.cold_reports(now) {
        assert!(third.apply_cold_report(&report, now));
        assert!(!third.apply_cold_report(&report, now));
    }
    assert_eq!(third.effective_limit(key("e"), now), Some(rate));
    assert_eq!(third.effective_limit(key("e"), now + COLD_TIME), None);
    assert!(one.cold_reports(now + COLD_TIME).is_empty());
}

/// When all hosts start at once, none has heard from another yet.
#[test]
fn a_host_that_has_no_list_of_hosts_hears_no_majority() {
    assert!(!rate_limit::is_majority(1, None));
    assert!(rate_limit::is_majority(1, Some(1)));
    assert!(!rate_limit::is_majority(29, Some(59)));
    assert!(rate_limit::is_majority(30, Some(59)));
    assert!(!rate_limit::is_majority(70, Some(140)));
}

#[test]
fn one_owner_grants_half_of_the_limit() {
    for per_second in [1.0, 3.0, 14.0, 40.0, 400.0] {
        let rate = bound().rate(per_second).expect("a bound").get();
        let half = (per_second * 1.5 + 5.0) / 2.0;
        let saved = (rate * 0.25).max(1.0);
        assert!(rate + saved <= half, "{per_second}: {rate}");
        assert!(rate > half * 0.5, "{per_second}: {rate}");
    }
    assert_eq!(bound().rate(0.0), None, "it accepts any number");
}
