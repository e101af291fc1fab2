//! A small model of hosts, engines and callers in virtual time, with delayed notices.

use crate::fleet::rng::SeededRng;
use crate::fleet::slots::{SLOTS, engines, short, state};
use crate::fleet::{next_notice, reservation};
use alderglade_core::fleet::load_table::{LoadTable, Notice, QueuedId, ReservationId};
use alderglade_core::fleet::placement::{Decision, Engine, Work, choose, demand};
use alderglade_core::time::Time;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

const ENGINES: usize = 28;
pub(super) const OBJECTIVE: u64 = 300;
const PASS: u64 = 60;
/// The burst begins after a while at four fifths of the capacity.
const BURST: std::ops::Range<u64> = 3_000..11_000;
const END: u64 = 13_000;

/// What differs between the cases. Times are in milliseconds.
#[derive(Clone, Copy)]
pub(super) struct Case {
    /// Arrivals in the burst, in percent of what the slots serve.
    pub(super) load: u64,
    pub(super) hosts: usize,
    /// The greatest delay of a notice; the least is 5.
    pub(super) delay: u64,
    /// Whether the delay differs from notice to notice, which reorders them; else it is that of the pair of hosts.
    pub(super) reordered: bool,
    /// Whether hosts hear nothing of the other half of them.
    pub(super) halves: bool,
    /// Whether hosts don't reach the other half of the engines.
    pub(super) split_engines: bool,
    /// When a third of the hosts is killed.
    pub(super) kill_at: Option<u64>,
    /// The callers that retry after 50 ms instead of the stated delay, in percent.
    pub(super) early: u64,
}

pub(super) const CASE: Case = Case {
    load: 115,
    hosts: 6,
    delay: 10,
    reordered: false,
    halves: false,
    split_engines: false,
    kill_at: None,
    early: 0,
};

/// One attempt of a caller.
#[derive(Default)]
pub(super) struct Attempt {
    host: usize,
    /// When the caller's first attempt arrived.
    pub(super) first: u64,
    pub(super) arrived: u64,
    pub(super) early: bool,
    queued: Option<QueuedId>,
    reservation: Option<ReservationId>,
    pub(super) sent: Option<u64>,
    pub(super) refused: Option<u64>,
    answered: Option<u64>,
    /// When the answer ends.
    ends: u64,
}

impl Attempt {
    pub(super) fn is_first(&self) -> bool {
        self.first == self.arrived
    }

    fn is_in_time(&self) -> bool {
        self.answered
            .is_some_and(|at| at <= self.arrived + OBJECTIVE)
    }
}

enum Event {
    Arrival {
        first: u64,
        early: bool,
    },
    /// A held attempt is checked again.
    Check(usize),
    Notice(usize, Box<Notice>),
}

#[derive(Default)]
struct Host {
    loads: LoadTable,
    sequence: u64,
    has_news: bool,
    is_dead: bool,
}

#[derive(Default)]
struct Server {
    waiting: VecDeque<usize>,
    running: Vec<usize>,
}

impl Server {
    fn load(&self) -> usize {
        self.waiting.len() + self.running.len()
    }
}

pub(super) struct Model {
    case: Case,
    now: u64,
    rng: SeededRng,
    hosts: Vec<Host>,
    servers: Vec<Server>,
    pub(super) attempts: Vec<Attempt>,
    /// What happens next, by time; the second number keeps the order of events at the same time.
    events: BTreeMap<(u64, usize), Event>,
    event_count: usize,
    /// Placements beyond an engine's slots while a tenth of all slots was free.
    pub(super) overfilled: usize,
    pub(super) longest_queue: usize,
}

impl Model {
    pub(super) fn run(case: Case, seed: u64) -> Model {
        let mut hosts: Vec<Host> = (0..case.hosts).map(|_| Host::default()).collect();
        for host in &mut hosts {
            let engines = engines(&[0; ENGINES]).into_iter();
            host.loads
                .set_engines(engines.map(|engine| (engine.id, engine.profile)).collect());
        }
        let mut model = Model {
            case,
            now: 0,
            rng: SeededRng(seed),
            hosts,
            servers: (0..ENGINES).map(|_| Server::default()).collect(),
            attempts: Vec::new(),
            events: BTreeMap::new(),
            event_count: 0,
            overfilled: 0,
            longest_queue: 0,
        };
        while model.now < END {
            model.step();
        }
        model
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.event_count += 1;
        self.events.insert((at, self.event_count), event);
    }

    fn step(&mut self) {
        self.now += 1;
        if self.case.kill_at == Some(self.now) {
            self.kill();
        }
        let load = if BURST.contains(&self.now) {
            self.case.load
        } else {
            80
        };
        // A slot is held for 2.1 s: a pass, and an answer of 1 to 3 s that ends with a pass.
        let slots = ENGINES as u64 * u64::from(SLOTS);
        if self.rng.next_below(100 * 2_130) < slots * load {
            let early = self.rng.next_below(100) < self.case.early;
            self.schedule(
                self.now,
                Event::Arrival {
                    first: self.now,
                    early,
                },
            );
        }
        while let Some(entry) = self
            .events
            .first_entry()
            .filter(|entry| entry.key().0 <= self.now)
        {
            match entry.remove() {
                Event::Arrival { first, early } => self.arrive(first, early),
                Event::Check(attempt) => self.place(attempt),
                Event::Notice(to, notice) => {
                    self.hosts[to]
                        .loads
                        .apply_notice(&notice, Time::from_millis(self.now));
                }
            }
        }
        (0..ENGINES).for_each(|server| self.end_pass(server));
        (0..self.hosts.len()).for_each(|host| self.notify(host));
    }

    fn arrive(&mut self, first: u64, early: bool) {
        let alive = |host: &usize| !self.hosts[*host].is_dead;
        let alive: Vec<usize> = (0..self.hosts.len()).filter(alive).collect();
        let host = alive[self.rng.next_host(alive.len())];
        let arrived = self.now;
        self.attempts.push(Attempt {
            host,
            first,
            arrived,
            early,
            ..Attempt::default()
        });
        self.place(self.attempts.len() - 1);
    }

    /// Decides on an attempt as its host does.
    fn place(&mut self, number: usize) {
        let now = Time::from_millis(self.now);
        let attempt = &mut self.attempts[number];
        let host = &mut self.hosts[attempt.host];
        if host.is_dead {
            return;
        }
        let mut engines: Vec<Engine> = engines(&[0; ENGINES]);
        for (number, engine) in engines.iter_mut().enumerate() {
            engine.load = host.loads.total(engine.id);
            engine.backlog = host.loads.backlog(engine.id, now);
            engine.suspect = self.case.split_engines && number % 2 != attempt.host % 2;
        }
        let work = Work {
            waited: Duration::from_millis(self.now - attempt.arrived),
            time_left: Duration::from_millis((attempt.first + 10_000).saturating_sub(self.now)),
            earlier: Duration::from_millis(attempt.arrived - attempt.first),
            ..short(Some(self.rng.next_below(u64::MAX)))
        };
        let demand = demand(&work, &engines[0].profile, ENGINES);
        let is_new = attempt.queued.is_none();
        let queued = *attempt
            .queued
            .get_or_insert_with(|| host.loads.enqueue(demand, now));
        let before = host.loads.update_queued(queued, demand, now).all;
        let state = state(&engines, before, host.loads.placements_per_second(now));
        let decision = choose(&work, &engines, &state);
        let is_held = matches!(decision, Decision::Wait(_));
        host.has_news |= is_new == is_held;
        if !is_held {
            host.loads.dequeue(queued);
        }
        match decision {
            Decision::Wait(wait) => {
                let recheck = (wait.recheck_after.as_micros() as u64).div_ceil(1_000);
                self.schedule(self.now + recheck, Event::Check(number));
            }
            Decision::Refuse(delay) => {
                attempt.refused = Some(self.now);
                let (first, early) = (attempt.first, attempt.early);
                let delay = if early { 50 } else { delay.as_millis() as u64 };
                self.schedule(self.now + delay, Event::Arrival { first, early });
            }
            Decision::Send(plan) => {
                attempt.sent = Some(self.now);
                let server = engines.iter().position(|engine| engine.id == plan.primary);
                let server = server.expect("a known engine");
                let load = reservation(&format!("e{server:02}"), 24_000, 6_400);
                attempt.reservation = Some(host.loads.reserve(load, now));
                host.has_news = true;
                self.send(server, number);
            }
        }
    }

    fn send(&mut self, server: usize, number: usize) {
        let slots = SLOTS as usize;
        self.servers[server].waiting.push_back(number);
        let free = self
            .servers
            .iter()
            .map(|server| slots.saturating_sub(server.load()));
        let is_scarce = free.sum::<usize>() < ENGINES * slots / 10;
        let server = &self.servers[server];
        self.overfilled += usize::from(server.load() > slots && !is_scarce);
        self.longest_queue = self.longest_queue.max(server.load().saturating_sub(slots));
    }

    /// Ends a pass of an engine, and with it answers, and begins the next one, which reads prompts that have a slot.
    fn end_pass(&mut self, server: usize) {
        if !(self.now + server as u64 * 7).is_multiple_of(PASS) {
            return;
        }
        let now = Time::from_millis(self.now);
        let Server { waiting, running } = &mut self.servers[server];
        running.retain(|number| {
            let attempt = &mut self.attempts[*number];
            let host = &mut self.hosts[attempt.host];
            let id = attempt.reservation.expect("a running request");
            let has_ended = attempt.ends <= self.now;
            if has_ended {
                host.loads.release(id, now);
                host.has_news = true;
            } else if attempt.answered.is_none() {
                attempt.answered = Some(self.now + 24);
                host.loads.mark_read(id, now);
            }
            !has_ended
        });
        while running.len() < SLOTS as usize
            && let Some(number) = waiting.pop_front()
        {
            self.attempts[number].ends = self.now + PASS + 1_000 + self.rng.next_below(2_000);
            running.push(number);
        }
    }

    /// Kills a third of the hosts; engines drop their requests.
    fn kill(&mut self) {
        let is_killed = |host: usize| host < self.case.hosts / 3;
        for (number, host) in self.hosts.iter_mut().enumerate() {
            host.is_dead = is_killed(number);
        }
        for server in &mut self.servers {
            let remains = |number: &usize| !is_killed(self.attempts[*number].host);
            server.waiting.retain(remains);
            server.running.retain(remains);
        }
    }

    /// Sends the notice of a host if it has news or a heartbeat is due.
    fn notify(&mut self, from: usize) {
        let now = Time::from_millis(self.now);
        let host = &mut self.hosts[from];
        let beat = self.now + 30 * from as u64;
        let has_news = std::mem::take(&mut host.has_news) || beat.is_multiple_of(250);
        if host.is_dead || !has_news {
            return;
        }
        host.loads.expire(now);
        host.sequence += 1;
        let full = beat.is_multiple_of(1_000);
        let name = format!("h{from}");
        let notice = next_notice(&mut host.loads, &name, host.sequence, full, now);
        let halves = self.case.halves;
        let hears = |to: &usize| *to != from && !(halves && to % 2 != from % 2);
        for to in (0..self.case.hosts).filter(hears) {
            let of_notice = self.rng.next_below(self.case.delay);
            let of_pair = (from * 7 + to * 3) as u64;
            let delay = if self.case.reordered {
                of_notice
            } else {
                of_pair
            };
            let at = self.now + 5 + delay % (self.case.delay - 4);
            self.schedule(at, Event::Notice(to, Box::new(notice.clone())));
        }
    }

    /// Returns the number of attempts that arrived in the burst, and the share of those in time, in percent.
    pub(super) fn in_time(&self, is_counted: impl Fn(&Attempt) -> bool) -> (usize, usize) {
        let attempts = self.attempts.iter();
        let counted =
            attempts.filter(|attempt| BURST.contains(&attempt.arrived) && is_counted(attempt));
        let (count, in_time) = counted.fold((0, 0), |(count, in_time), attempt| {
            (count + 1, in_time + usize::from(attempt.is_in_time()))
        });
        (count, in_time * 100 / count.max(1))
    }
}
