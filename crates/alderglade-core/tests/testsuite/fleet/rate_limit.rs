//! Limits that servers name: what all hosts together send, however messages fare and hosts come and go.

use super::chance::Chance;
use super::key;
use alderglade_core::Name;
use alderglade_core::fleet::rate_limit::{self, Grant, Limits, OwnerView, Request};
use alderglade_core::fleet::statement::Rate;
use alderglade_core::time::Time;
use std::collections::HashMap;
use std::time::Duration;

/// The time over which a limit is kept.
const WINDOW: Duration = Duration::from_secs(4);
/// How long a host waits for a grant.
const ANSWER: Duration = Duration::from_millis(50);
/// How long it asks no more after it got no answer.
const NO_ANSWER: Duration = Duration::from_millis(300);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn rate(number: f64) -> Rate {
    Rate::per_second(number).expect("a rate")
}

/// How a host named `own` sees that another one owns the limit.
fn owned_by(owner: &str) -> OwnerView<'_> {
    OwnerView {
        own: "own",
        owner,
        majority: true,
    }
}

/// What hosts send each other.
enum Message {
    Ask(Request),
    Answer(Grant),
}

/// A message on its way.
struct Envelope {
    at: Time,
    from: usize,
    to: usize,
    message: Message,
}

struct Host {
    name: Name,
    limits: Limits,
    /// When it comes up, or since when it is.
    up: Time,
    /// How late it hears that others have come or gone.
    lag: Duration,
    /// Its questions, and by when they must be answered.
    open: HashMap<u64, Time>,
}

/// How a run goes.
struct Run {
    rate: f64,
    hosts: usize,
    /// The latest that a host hears of others that have come or gone, in milliseconds.
    latest_ms: u64,
    /// Messages lost, in a hundred.
    lost: u64,
    /// The time between two ends of a host, which is back two seconds later.
    ends_each: Option<Duration>,
    /// Requests at each host, in a thousand milliseconds.
    demand: u64,
}

/// Hosts that send to one server.
struct World {
    run: Run,
    chance: Chance,
    hosts: Vec<Host>,
    /// For each host, the times at which it came and went, as others hear of them late.
    ups: Vec<Vec<(Time, bool)>>,
    letters: Vec<Envelope>,
    sends: Vec<Time>,
    numbers: u64,
    now: Time,
}

impl World {
    fn new(run: Run, seed: u64) -> World {
        let mut chance = Chance(seed);
        let hosts: Vec<Host> = (0..run.hosts)
            .map(|number| Host {
                name: format!("h{number}").into(),
                limits: Limits::default(),
                up: Time(0),
                lag: ms(chance.below(run.latest_ms)),
                open: HashMap::new(),
            })
            .collect();
        let mut world = World {
            ups: hosts.iter().map(|_| vec![(Time(0), true)]).collect(),
            run,
            chance,
            hosts,
            letters: Vec::new(),
            sends: Vec::new(),
            numbers: 0,
            now: Time(0),
        };
        world.tell_all();
        world
    }

    /// Has all hosts hear what the server says for the first time.
    fn tell_all(&mut self) {
        let rate = rate(self.run.rate);
        for host in &mut self.hosts {
            host.limits
                .observe_limit(key("e"), Some(rate), self.now, self.now);
        }
        let owner = self.owner(0);
        self.hosts[owner].limits.take_ownership(key("e"), self.now);
    }

    fn is_up(&self, host: usize, at: Time) -> bool {
        let changes = self.ups[host].iter().rev();
        changes
            .clone()
            .find(|(since, _)| *since <= at)
            .is_some_and(|(_, up)| *up)
    }

    /// Gives the owner of the limit as a host sees it.
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
        let mut next_end = self.run.ends_each.map(|each| self.now + each);
        while self.now < end {
            self.now = self.now + ms(1);
            if next_end.is_some_and(|at| at <= self.now) {
                self.end_one();
                next_end = self.run.ends_each.map(|each| self.now + each);
            }
            self.deliver();
            for host in 0..self.hosts.len() {
                self.give_up(host);
                if self.chance.below(1_000) < self.run.demand && self.is_up(host, self.now) {
                    self.want(host);
                }
            }
        }
    }

    /// Ends the host that owns the limit, or another one; it is back after two seconds, and has heard of the limit again.
    fn end_one(&mut self) {
        let drawn = self.chance.host(self.hosts.len());
        let owner = self.owner(drawn);
        let victim = if self.chance.below(2) == 0 {
            owner
        } else {
            drawn
        };
        if !self.is_up(victim, self.now) {
            return;
        }
        let back = self.now + ms(2_000);
        self.ups[victim].push((self.now, false));
        self.ups[victim].push((back, true));
        let mut limits = Limits::default();
        limits.observe_limit(key("e"), Some(rate(self.run.rate)), back, back);
        let host = &mut self.hosts[victim];
        host.limits = limits;
        host.up = back;
        host.open.clear();
    }

    /// Has a host want to send a request.
    fn want(&mut self, host: usize) {
        if !self.hosts[host]
            .limits
            .denied_for(key("e"), self.now)
            .is_zero()
        {
            return;
        }
        self.numbers += 1;
        let number = self.numbers;
        let asking = &self.hosts[host];
        let request = asking
            .limits
            .request_if_limited(key("e"), &asking.name, number, self.now);
        let request = request.expect("a limit");
        let owner = self.owner(host);
        self.hosts[host].open.insert(number, self.now + ANSWER);
        if owner == host {
            let grant = self.grant(host, &request);
            self.take(host, grant);
        } else {
            self.send(host, owner, Message::Ask(request));
        }
    }

    fn grant(&mut self, host: usize, request: &Request) -> Grant {
        let owner = self.hosts[self.owner(host)].name.clone();
        let granting = &mut self.hosts[host];
        let view = OwnerView {
            own: &granting.name,
            owner: &owner,
            majority: true,
        };
        granting.limits.grant(request, &view, self.now)
    }

    fn take(&mut self, host: usize, grant: Grant) {
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

    /// Has a host wait no longer for answers that are late.
    fn give_up(&mut self, host: usize) {
        let now = self.now;
        let host = &mut self.hosts[host];
        let before = host.open.len();
        host.open.retain(|_, until| *until > now);
        if host.open.len() < before {
            host.limits.deny(key("e"), NO_ANSWER, now);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if self.chance.below(100) < self.run.lost {
            return;
        }
        let at = self.now + ms(1 + self.chance.below(30));
        self.letters.push(Envelope {
            at,
            from,
            to,
            message,
        });
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, left) = std::mem::take(&mut self.letters)
            .into_iter()
            .partition(|letter: &Envelope| letter.at <= now);
        self.letters = left;
        for letter in due {
            if !self.is_up(letter.to, now) {
                continue;
            }
            match letter.message {
                Message::Ask(request) => {
                    let grant = self.grant(letter.to, &request);
                    self.send(letter.to, letter.from, Message::Answer(grant));
                }
                Message::Answer(grant) => self.take(letter.to, grant),
            }
        }
    }

    /// Gives the most that was sent in one window.
    fn most_in_a_window(&self) -> usize {
        let from = |first: &Time| {
            let later = self.sends.iter().filter(|at| *at >= first);
            later.filter(|at| at.since(*first) < WINDOW).count()
        };
        self.sends.iter().map(from).max().unwrap_or(0)
    }

    /// Gives what a server with this limit may get in one window.
    fn allowed(&self) -> usize {
        (self.run.rate * WINDOW.as_secs_f64() * 1.5) as usize + 5
    }
}

/// Owners come and go, messages are lost, and hosts hear of each other late: no window gets more than it may.
#[test]
fn all_hosts_together_keep_to_a_limit() {
    for seed in 0..60_u64 {
        let mut chance = Chance(seed);
        let hosts = [2, 3, 9, 40, 120][chance.host(5)];
        let run = Run {
            rate: [0.5, 1.2, 1.7, 5.0, 12.0, 30.0][chance.host(6)],
            hosts,
            // What heartbeats of few hosts and of many allow.
            latest_ms: if hosts > 40 { 2_600 } else { 900 },
            lost: chance.below(20),
            ends_each: (seed % 3 != 0).then(|| ms(1_500 + chance.below(4_000))),
            demand: [1, 10, 100][chance.host(3)],
        };
        let mut world = World::new(run, seed);
        world.run(Duration::from_secs(20));
        let (most, allowed) = (world.most_in_a_window(), world.allowed());
        assert!(most <= allowed, "seed {seed}: {most} of {allowed}");
    }
}

/// What a server takes is used where there is enough to do.
#[test]
fn a_limit_is_used() {
    for (hosts, number) in [(1, 1.2), (3, 1.2), (9, 5.0), (9, 30.0), (40, 5.0)] {
        let run = Run {
            rate: number,
            hosts,
            latest_ms: 900,
            lost: 1,
            ends_each: None,
            demand: 100,
        };
        let mut world = World::new(run, 7);
        world.run(Duration::from_secs(20));
        let taken = number * 20.0;
        let sent = world.sends.len() as f64;
        assert!(sent >= taken * 0.6, "{hosts} hosts: {sent} of {taken}");
    }
}

/// Who takes up a limit that was named just now has no one before it to wait for.
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

/// Each of the hosts gets its part: nobody waits for ever behind others that ask more often.
#[test]
fn hosts_that_wait_are_told_different_times() {
    let mut limits = Limits::default();
    let now = Time::from_millis(10_000);
    limits.observe_limit(key("e"), Some(rate(2.0)), now, now);
    let mut wait = |host: &str, now: Time| {
        let request = limits
            .request_if_limited(key("e"), &host.into(), 1, now)
            .expect("a limit");
        limits.grant(&request, &owned_by("own"), now).wait_ms
    };
    // An owner begins with nothing: the first grant comes after it has settled, and then one each half second.
    assert_eq!(wait("a", now), 1_500);
    assert_eq!(wait("b", now), 2_000);
    assert_eq!(wait("a", now), 1_500, "it has its place");
    assert_eq!(wait("c", now), 2_500);
    let then = now + ms(1_500);
    assert_eq!(wait("a", then), 0);
    assert_eq!(wait("b", then), 500);
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

/// The owner may not have heard of the limit: the question tells.
#[test]
fn a_question_tells_the_owner_of_the_limit() {
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

/// Answers pass each other: one that was made before the limit was named says nothing against it.
#[test]
fn only_a_later_answer_ends_a_limit() {
    let mut limits = Limits::default();
    let at = Time::from_millis;
    assert!(limits.observe_limit(key("e"), Some(rate(3.0)), at(100), at(120)));
    assert!(!limits.observe_limit(key("e"), None, at(110), at(130)));
    assert_eq!(limits.rate(key("e")), Some(rate(3.0)));
    assert!(limits.observe_limit(key("e"), None, at(125), at(140)));
    assert_eq!(limits.rate(key("e")), None);
    assert!(!limits.observe_limit(key("other"), None, at(125), at(140)));
}

/// Of two hosts' words the later one counts, and who has heard a later one tells no more.
#[test]
fn hosts_tell_each_other_what_was_heard_last() {
    let at = Time::from_millis;
    let mut one = Limits::default();
    let mut other = Limits::default();
    one.observe_limit(key("e"), Some(rate(3.0)), at(100), at(120));
    for told in one.reports(at(150)) {
        assert!(other.apply_report(&told, at(152)));
    }
    assert_eq!(other.rate(key("e")), Some(rate(3.0)));
    assert!(
        other.reports(at(160)).is_empty(),
        "it has it from another host"
    );
    other.observe_limit(key("e"), None, at(200), at(210));
    for told in other.reports(at(220)) {
        assert!(one.apply_report(&told, at(222)));
    }
    assert_eq!(one.rate(key("e")), None);
    assert!(one.reports(at(230)).is_empty());
    assert!(other.reports(at(20_000)).is_empty(), "all know by then");
}

/// A server's entry may lapse while the store is away, and come back in the same lifetime.
#[test]
fn a_limit_outlasts_an_entry_that_lapses() {
    let mut limits = Limits::default();
    let now = Time::from_millis(100_000);
    limits.observe_limit(key("e"), Some(rate(3.0)), now, now);
    limits.retain(|_| false, now + ms(5_000));
    assert!(limits.rate(key("e")).is_some());
    limits.retain(|_| false, now + ms(100_000));
    assert!(limits.rate(key("e")).is_none());
}

#[test]
fn what_is_no_rate_is_none() {
    assert_eq!(Rate::per_second(-1.0), None);
    assert_eq!(Rate::per_second(f64::NAN), None);
    assert!(rate(0.0).get() > 0.0, "its end must show");
    assert!(rate(f64::INFINITY).get().is_finite());
}
