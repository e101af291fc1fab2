//! Rate limits of servers: they hold for all hosts together even if messages are lost or late and hosts come and go.

use super::key;
use super::rng::SeededRng;
use alderglade_core::Name;
use alderglade_core::fleet::rate_limit::{self, Grant, GrantRequest, Limits, OwnerView};
use alderglade_core::fleet::statement::Rate;
use alderglade_core::time::Time;
use std::collections::HashMap;
use std::time::Duration;

/// The window over which a limit is checked.
const WINDOW: Duration = Duration::from_secs(4);
/// How long a host waits for a grant.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(50);
/// How long a host asks for no grant after a request without an answer.
const NO_ANSWER_PAUSE: Duration = Duration::from_millis(300);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn rate(number: f64) -> Rate {
    Rate::per_second(number).expect("a rate")
}

/// The view of a host named `own` that `owner` owns the limit.
fn owned_by(owner: &str) -> OwnerView<'_> {
    OwnerView {
        own: "own",
        owner,
        hears_majority: true,
    }
}

/// What hosts send to each other.
enum Message {
    Request(GrantRequest),
    Grant(Grant),
}

/// A message in transit.
struct Envelope {
    at: Time,
    from: usize,
    to: usize,
    message: Message,
}

struct Host {
    name: Name,
    limits: Limits,
    /// When it starts or was started.
    up_since: Time,
    /// The delay with which it learns that others have come or gone.
    lag: Duration,
    /// Its open requests, and by when they must be answered.
    open: HashMap<u64, Time>,
}

/// The parameters of a run.
struct Run {
    rate: f64,
    hosts: usize,
    /// The maximum delay with which a host learns that others have come or gone, in milliseconds.
    max_lag_ms: u64,
    /// The percentage of messages lost.
    lost_percent: u64,
    /// The time between two host failures. A failed host restarts after two seconds.
    failure_interval: Option<Duration>,
    /// Requests at each host in a thousand milliseconds.
    requests_per_second: u64,
}

/// Hosts that send to one server.
struct World {
    run: Run,
    rng: SeededRng,
    hosts: Vec<Host>,
    /// For each host, the times at which it came and went. Others learn of them with a delay.
    availability: Vec<Vec<(Time, bool)>>,
    envelopes: Vec<Envelope>,
    sends: Vec<Time>,
    last_number: u64,
    now: Time,
}

impl World {
    fn new(run: Run, seed: u64) -> World {
        let mut rng = SeededRng(seed);
        let hosts: Vec<Host> = (0..run.hosts)
            .map(|number| Host {
                name: format!("h{number}").into(),
                limits: Limits::default(),
                up_since: Time(0),
                lag: ms(rng.next_below(run.max_lag_ms)),
                open: HashMap::new(),
            })
            .collect();
        let mut world = World {
            availability: hosts.iter().map(|_| vec![(Time(0), true)]).collect(),
            run,
            rng,
            hosts,
            envelopes: Vec::new(),
            sends: Vec::new(),
            last_number: 0,
            now: Time(0),
        };
        world.announce_limit();
        world
    }

    /// Has all hosts receive the server's first statement of its limit.
    fn announce_limit(&mut self) {
        let rate = rate(self.run.rate);
        for host in &mut self.hosts {
            host.limits
                .observe_limit(key("e"), Some(rate), self.now, self.now);
        }
        let owner = self.owner(0);
        self.hosts[owner].limits.take_ownership(key("e"), self.now);
    }

    fn is_up(&self, host: usize, at: Time) -> bool {
        let changes = self.availability[host].iter().rev();
        changes
            .clone()
            .find(|(since, _)| *since <= at)
            .is_some_and(|(_, is_up)| *is_up)
    }

    /// Returns the owner of the limit as seen by a host.
    fn owner(&self, host: usize) -> usize {
        let seen_at = self.now - self.hosts[host].lag;
        let live =
            (0..self.hosts.len()).filter(|other| *other == host || self.is_up(*other, seen_at));
        let names: Vec<&Name> = live.map(|other| &self.hosts[other].name).collect();
        let owner = rate_limit::owner(key("e"), names.into_iter()).expect("a host");
        let place = self.hosts.iter().position(|host| host.name == *owner);
        place.expect("one of the hosts")
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        let mut next_failure = self
            .run
            .failure_interval
            .map(|interval| self.now + interval);
        while self.now < end {
            self.now = self.now + ms(1);
            if next_failure.is_some_and(|at| at <= self.now) {
                self.fail_one();
                next_failure = self
                    .run
                    .failure_interval
                    .map(|interval| self.now + interval);
            }
            self.deliver();
            for host in 0..self.hosts.len() {
                self.expire_requests(host);
                if self.rng.next_below(1_000) < self.run.requests_per_second
                    && self.is_up(host, self.now)
                {
                    self.try_send(host);
                }
            }
        }
    }

    /// Stops the host that owns the limit, or another one. It restarts after two seconds and has received the limit
    /// again.
    fn fail_one(&mut self) {
        let drawn = self.rng.next_host(self.hosts.len());
        let owner = self.owner(drawn);
        let victim = if self.rng.next_below(2) == 0 {
            owner
        } else {
            drawn
        };
        if !self.is_up(victim, self.now) {
            return;
        }
        let restart = self.now + ms(2_000);
        self.availability[victim].push((self.now, false));
        self.availability[victim].push((restart, true));
        let mut limits = Limits::default();
        limits.observe_limit(key("e"), Some(rate(self.run.rate)), restart, restart);
        let host = &mut self.hosts[victim];
        host.limits = limits;
        host.up_since = restart;
        host.open.clear();
    }

    /// Has a host try to send a request.
    fn try_send(&mut self, host: usize) {
        if !self.hosts[host]
            .limits
            .denied_for(key("e"), self.now)
            .is_zero()
        {
            return;
        }
        self.last_number += 1;
        let number = self.last_number;
        let asking = &self.hosts[host];
        let request = asking
            .limits
            .request_if_limited(key("e"), &asking.name, number, self.now);
        let request = request.expect("a limit");
        let owner = self.owner(host);
        self.hosts[host]
            .open
            .insert(number, self.now + ANSWER_TIMEOUT);
        if owner == host {
            let grant = self.grant(host, &request);
            self.apply_grant(host, grant);
        } else {
            self.send(host, owner, Message::Request(request));
        }
    }

    fn grant(&mut self, host: usize, request: &GrantRequest) -> Grant {
        let owner = self.hosts[self.owner(host)].name.clone();
        let granting = &mut self.hosts[host];
        let view = OwnerView {
            own: &granting.name,
            owner: &owner,
            hears_majority: true,
        };
        granting.limits.grant(request, &view, self.now)
    }

    fn apply_grant(&mut self, host: usize, grant: Grant) {
        if self.hosts[host].open.remove(&grant.number).is_none() {
            return;
        }
        if grant.wait_ms == 0 {
            self.sends.push(self.now);
        } else {
            let wait = ms(u64::from(grant.wait_ms));
            self.hosts[host].limits.deny(key("e"), wait, self.now);
        }
    }

    /// Has a host give up on answers that are overdue.
    fn expire_requests(&mut self, host: usize) {
        let now = self.now;
        let host = &mut self.hosts[host];
        let before = host.open.len();
        host.open.retain(|_, until| *until > now);
        if host.open.len() < before {
            host.limits.deny(key("e"), NO_ANSWER_PAUSE, now);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if self.rng.next_below(100) < self.run.lost_percent {
            return;
        }
        let at = self.now + ms(1 + self.rng.next_below(30));
        self.envelopes.push(Envelope {
            at,
            from,
            to,
            message,
        });
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, left) = std::mem::take(&mut self.envelopes)
            .into_iter()
            .partition(|envelope: &Envelope| envelope.at <= now);
        self.envelopes = left;
        for envelope in due {
            if !self.is_up(envelope.to, now) {
                continue;
            }
            match envelope.message {
                Message::Request(request) => {
                    let grant = self.grant(envelope.to, &request);
                    self.send(envelope.to, envelope.from, Message::Grant(grant));
                }
                Message::Grant(grant) => self.apply_grant(envelope.to, grant),
            }
        }
    }

    /// Returns the maximum number of requests sent in one window.
    fn most_in_a_window(&self) -> usize {
        let from = |first: &Time| {
            let later = self.sends.iter().filter(|at| *at >= first);
            later.filter(|at| at.since(*first) < WINDOW).count()
        };
        self.sends.iter().map(from).max().unwrap_or(0)
    }

    /// Returns the number of requests that a server with this limit may get in one window.
    fn allowed(&self) -> usize {
        (self.run.rate * WINDOW.as_secs_f64() * 1.5) as usize + 5
    }
}

/// Owners come and go, messages are lost, and hosts learn of each other late. No window may exceed the limit.
#[test]
fn all_hosts_together_stay_within_a_limit() {
    for seed in 0..60_u64 {
        let mut rng = SeededRng(seed);
        let hosts = [2, 3, 9, 40, 120][rng.next_host(5)];
        let run = Run {
            rate: [0.5, 1.2, 1.7, 5.0, 12.0, 30.0][rng.next_host(6)],
            hosts,
            // The delays that heartbeats of few hosts and of many allow.
            max_lag_ms: if hosts > 40 { 2_600 } else { 900 },
            lost_percent: rng.next_below(20),
            failure_interval: (seed % 3 != 0).then(|| ms(1_500 + rng.next_below(4_000))),
            requests_per_second: [1, 10, 100][rng.next_host(3)],
        };
        let mut world = World::new(run, seed);
        world.run(Duration::from_secs(20));
        let (most, allowed) = (world.most_in_a_window(), world.allowed());
        assert!(most <= allowed, "seed {seed}: {most} of {allowed}");
    }
}

/// The limit is used up if there is enough demand.
#[test]
fn a_limit_is_used() {
    for (hosts, number) in [(1, 1.2), (3, 1.2), (9, 5.0), (9, 30.0), (40, 5.0)] {
        let run = Run {
            rate: number,
            hosts,
            max_lag_ms: 900,
            lost_percent: 1,
            failure_interval: None,
            requests_per_second: 100,
        };
        let mut world = World::new(run, 7);
        world.run(Duration::from_secs(20));
        let taken = number * 20.0;
        let sent = world.sends.len() as f64;
        assert!(sent >= taken * 0.6, "{hosts} hosts: {sent} of {taken}");
    }
}

/// The first owner of a limit has no predecessor to wait for.
#[test]
fn the_first_owner_grants_at_once() {
    let mut limits = Limits::default();
    let now = Time::from_millis(10_000);
    limits.observe_limit(key("e"), Some(rate(2.0)), now, now);
    limits.take_ownership(key("e"), now);
    let request = limits
        .request_if_limited(key("e"), &"a".into(), 1, now)
        .expect("a limit");
    assert_eq!(limits.grant(&request, &owned_by("own"), now).wait_ms, 0);
    assert_eq!(limits.grant(&request, &owned_by("own"), now).wait_ms, 500);
}

/// Every host gets its share: none starves behind others that ask more often.
#[test]
fn hosts_that_wait_are_assigned_different_times() {
    let mut limits = Limits::default();
    let now = Time::from_millis(10_000);
    limits.observe_limit(key("e"), Some(rate(2.0)), now, now);
    let mut wait = |host: &str, now: Time| {
        let request = limits
            .request_if_limited(key("e"), &host.into(), 1, now)
            .expect("a limit");
        limits.grant(&request, &owned_by("own"), now).wait_ms
    };
    // A successor's bucket is empty: the first grant follows when it has settled, and then one every half second.
    assert_eq!(wait("a", now), 1_500);
    assert_eq!(wait("b", now), 2_000);
    assert_eq!(wait("a", now), 1_500, "it keeps its place");
    assert_eq!(wait("c", now), 2_500);
    let later = now + ms(1_500);
    assert_eq!(wait("a", later), 0);
    assert_eq!(wait("b", later), 500);
}

#[test]
fn a_host_that_is_not_the_owner_grants_nothing() {
    let mut limits = Limits::default();
    let now = Time::from_millis(10_000);
    limits.observe_limit(key("e"), Some(rate(100.0)), now, now);
    let later = now + ms(5_000);
    let request = limits
        .request_if_limited(key("e"), &"a".into(), 1, later)
        .expect("a limit");
    assert!(limits.grant(&request, &owned_by("other"), later).wait_ms > 0);
}

/// The owner may not have received the limit, so the request for a grant carries it.
#[test]
fn a_request_for_a_grant_reports_the_limit_to_its_owner() {
    let now = Time::from_millis(10_000);
    let mut asking = Limits::default();
    asking.observe_limit(key("e"), Some(rate(1.0)), now, now);
    let request = asking
        .request_if_limited(key("e"), &"a".into(), 1, now)
        .expect("a limit");
    let mut owner = Limits::default();
    assert!(owner.grant(&request, &owned_by("own"), now).wait_ms > 0);
    assert_eq!(owner.rate(key("e")), Some(rate(1.0)));
}

/// Answers may overtake each other: one that was sent before the limit was stated doesn't end it.
#[test]
fn only_an_answer_to_a_later_request_ends_a_limit() {
    let mut limits = Limits::default();
    let at = Time::from_millis;
    assert!(limits.observe_limit(key("e"), Some(rate(3.0)), at(100), at(120)));
    assert!(!limits.observe_limit(key("e"), None, at(110), at(130)));
    assert_eq!(limits.rate(key("e")), Some(rate(3.0)));
    assert!(limits.observe_limit(key("e"), None, at(125), at(140)));
    assert_eq!(limits.rate(key("e")), None);
    assert!(!limits.observe_limit(key("other"), None, at(125), at(140)));
}

/// The later of two reports counts, and a host that received a later one no longer reports its own.
#[test]
fn hosts_report_the_latest_limit_to_each_other() {
    let at = Time::from_millis;
    let mut one = Limits::default();
    let mut other = Limits::default();
    one.observe_limit(key("e"), Some(rate(3.0)), at(100), at(120));
    for report in one.reports(at(150)) {
        assert!(other.apply_report(&report, at(152)));
    }
    assert_eq!(other.rate(key("e")), Some(rate(3.0)));
    assert!(
        other.reports(at(160)).is_empty(),
        "it has the limit from another host"
    );
    other.observe_limit(key("e"), None, at(200), at(210));
    for report in other.reports(at(220)) {
        assert!(one.apply_report(&report, at(222)));
    }
    assert_eq!(one.rate(key("e")), None);
    assert!(one.reports(at(230)).is_empty());
    assert!(
        other.reports(at(20_000)).is_empty(),
        "all hosts know by then"
    );
}

/// A server's entry may expire while the store is unavailable, and return in the same incarnation.
#[test]
fn a_limit_outlasts_an_entry_that_expires() {
    let mut limits = Limits::default();
    let now = Time::from_millis(100_000);
    limits.observe_limit(key("e"), Some(rate(3.0)), now, now);
    limits.retain(|_| false, now + ms(5_000));
    assert!(limits.rate(key("e")).is_some());
    limits.retain(|_| false, now + ms(100_000));
    assert!(limits.rate(key("e")).is_none());
}

#[test]
fn only_valid_numbers_are_rates() {
    assert_eq!(Rate::per_second(-1.0), None);
    assert_eq!(Rate::per_second(f64::NAN), None);
    assert!(
        rate(0.0).get() > 0.0,
        "a request must still show when the limit ends"
    );
    assert!(rate(f64::INFINITY).get().is_finite());
}
