//! A model of hosts, engines and callers in virtual time: short replies beside long prompts of very unlike lengths. Notices
//! are delayed, engines read in passes, and callers that are refused retry once after the stated delay.

use crate::fleet::rng::SeededRng;
use crate::fleet::{key, next_notice, profile};
use alderglade_core::fleet::caller;
use alderglade_core::fleet::incarnation::Key;
use alderglade_core::fleet::load_table::{
    Load, LoadTable, Notice, PAUSE_CLASSES, Part, Pauses, QueuedId, Reservation, ReservationId,
};
use alderglade_core::fleet::pass::EngineProfile;
use alderglade_core::fleet::placement::{
    Decision, Engine, Plan, ServiceState, Work, choose, demand, pressure, value,
};
use alderglade_core::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// What differs between the cases. Times are in milliseconds.
#[derive(Clone, Copy)]
pub(super) struct Case {
    pub(super) hosts: usize,
    pub(super) engines: usize,
    /// Long prompts per second before and after the burst.
    pub(super) long_per_second: f64,
    /// The factor by which there are more of them in the burst.
    pub(super) burst: f64,
    /// Short replies per second.
    pub(super) short_per_second: f64,
    /// The output of answers, in tokens; longer answers fill the engines.
    pub(super) output: u64,
    /// Whether half of the hosts hear nothing of the others and don't reach their engines.
    pub(super) halves: bool,
    /// When callers of long prompts retry, if not after the stated delay.
    pub(super) retry_after: Option<u64>,
    /// The mean, the spread and the maximum of long prompts, in tokens, and their objective.
    pub(super) long: Kind,
}

/// A kind of request.
#[derive(Clone, Copy)]
pub(super) struct Kind {
    pub(super) mean: f64,
    pub(super) spread: f64,
    pub(super) max: f64,
    pub(super) objective: u64,
    pub(super) longest_pause: u64,
    pub(super) time_limit: u64,
}

impl Kind {
    fn caller_timeout(self) -> Duration {
        let [objective, pause] = [self.objective, self.longest_pause].map(Duration::from_millis);
        caller::response_timeout(objective, pause)
    }
}

pub(super) const REVIEW: Kind = Kind {
    mean: 190_000.0,
    spread: 0.51,
    max: 600_000.0,
    objective: 3_000,
    longest_pause: 1_000,
    time_limit: 15_000,
};

const REPLY: Kind = Kind {
    mean: 4_960.0,
    spread: 0.6,
    max: 11_000.0,
    objective: 400,
    longest_pause: 250,
    time_limit: 10_000,
};

/// A burst of long prompts at the engines of one group of hosts.
pub(super) const CASE: Case = Case {
    hosts: 6,
    engines: 37,
    long_per_second: 2.0,
    burst: 10.0,
    short_per_second: 45.0,
    output: 700,
    halves: false,
    retry_after: None,
    long: REVIEW,
};

const BURST: std::ops::Range<u64> = 1_000..11_000;
/// No caller arrives for the first time after this.
const LAST_ARRIVAL: u64 = 12_000;
const END: u64 = 28_000;
/// The greatest delay of a notice; the least is 5.
const MAX_NOTICE_DELAY: u64 = 10;

/// One caller with its attempts.
pub(super) struct Caller {
    pub(super) is_long: bool,
    kind: Kind,
    pub(super) prompt: u64,
    first: u64,
    /// When the current attempt arrived.
    arrived: u64,
    attempts: u32,
    host: usize,
    queued: Option<QueuedId>,
    reservation: Option<ReservationId>,
    /// Parts of the prompt that engines have still to read.
    parts_left: usize,
    pub(super) answered: Option<u64>,
    ends: u64,
}

impl Caller {
    fn work(&self, now: u64, output: u64, random: u64) -> Work {
        let millis = Duration::from_millis;
        let Kind {
            objective,
            time_limit,
            ..
        } = self.kind;
        Work {
            prompt: self.prompt,
            memory: self.prompt + output,
            objective: millis(objective),
            caller_timeout: self.kind.caller_timeout(),
            waited: millis(now - self.arrived),
            time_left: millis((self.first + time_limit).saturating_sub(now)),
            is_retry: self.arrived > self.first + 100,
            earlier: millis(self.arrived - self.first),
            resumed: false,
            order_delay: Duration::ZERO,
            queues_for_slots: true,
            over_share: false,
            value: value(self.prompt),
            avoid: Vec::new(),
            stalled: Vec::new(),
            random: Some(random),
        }
    }
}

enum Event {
    Arrival(usize),
    /// A held prompt is checked again.
    Check(usize),
    Notice(usize, Box<Notice>),
}

#[derive(Default)]
struct Host {
    loads: LoadTable,
    sequence: u64,
    has_news: bool,
    pressure: f64,
    pressure_at: u64,
}

/// An engine: in each pass it reads all parts that waited when the pass began.
#[derive(Default)]
struct Server {
    waiting: Vec<(usize, f64)>,
    reading: Vec<usize>,
    writing: Vec<usize>,
    pass_ends: u64,
}

pub(super) struct Model {
    case: Case,
    profile: EngineProfile,
    now: u64,
    rng: SeededRng,
    hosts: Vec<Host>,
    servers: Vec<Server>,
    /// The key of each engine.
    keys: Vec<Key>,
    pub(super) callers: Vec<Caller>,
    /// What happens next, by time; the second number keeps the order of events at the same time.
    events: BTreeMap<(u64, usize), Event>,
    event_count: usize,
}

impl Model {
    pub(super) fn run(case: Case, seed: u64) -> Model {
        let profile = EngineProfile {
            slots: 10,
            stride: 68,
            ..profile()
        };
        let keys: Vec<Key> = (0..case.engines)
            .map(|number| key(&format!("e{number:03}")))
            .collect();
        let mut hosts: Vec<Host> = (0..case.hosts).map(|_| Host::default()).collect();
        for host in &mut hosts {
            let engines = keys.iter().map(|key| (*key, profile));
            host.loads.set_engines(engines.collect());
        }
        let mut model = Model {
            case,
            profile,
            now: 0,
            rng: SeededRng(seed),
            hosts,
            servers: keys.iter().map(|_| Server::default()).collect(),
            keys,
            callers: Vec::new(),
            events: BTreeMap::new(),
            event_count: 0,
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
        if self.now < LAST_ARRIVAL {
            let burst = BURST.contains(&self.now);
            let factor = if burst { self.case.burst } else { 1.0 };
            self.maybe_arrive(true, self.case.long_per_second * factor);
            self.maybe_arrive(false, self.case.short_per_second);
        }
        while let Some(entry) = self
            .events
            .first_entry()
            .filter(|entry| entry.key().0 <= self.now)
        {
            match entry.remove() {
                Event::Arrival(caller) => self.arrive(caller),
                Event::Check(caller) => self.place(caller),
                Event::Notice(to, notice) => {
                    let now = Time::from_millis(self.now);
                    self.hosts[to].loads.apply_notice(&notice, now);
                }
            }
        }
        (0..self.servers.len()).for_each(|server| self.run_engine(server));
        (0..self.hosts.len()).for_each(|host| self.notify(host));
    }

    fn maybe_arrive(&mut self, is_long: bool, per_second: f64) {
        if self.fraction() >= per_second / 1_000.0 {
            return;
        }
        let kind = if is_long { self.case.long } else { REPLY };
        let prompt = self.prompt(kind);
        self.callers.push(Caller {
            is_long,
            kind,
            prompt,
            first: self.now,
            arrived: self.now,
            attempts: 0,
            host: 0,
            queued: None,
            reservation: None,
            parts_left: 0,
            answered: None,
            ends: 0,
        });
        self.schedule(self.now, Event::Arrival(self.callers.len() - 1));
    }

    fn fraction(&mut self) -> f64 {
        self.rng.next_below(1 << 32) as f64 / (1_u64 << 32) as f64
    }

    /// Returns a length with a logarithmic normal distribution.
    fn prompt(&mut self, kind: Kind) -> u64 {
        let normal = (0..12).map(|_| self.fraction()).sum::<f64>() - 6.0;
        let mean = kind.mean.ln() - kind.spread * kind.spread / 2.0;
        (mean + kind.spread * normal).exp().min(kind.max) as u64
    }

    fn arrive(&mut self, number: usize) {
        let host = self.rng.next_host(self.hosts.len());
        let caller = &mut self.callers[number];
        caller.host = host;
        caller.arrived = self.now;
        caller.attempts += 1;
        self.place(number);
    }

    /// Returns the engines as a host sees them.
    fn engines(&mut self, host: usize) -> Vec<Engine> {
        let now = Time::from_millis(self.now);
        let loads = &mut self.hosts[host].loads;
        let engine = |(number, id): (usize, &Key)| {
            let id = *id;
            Engine {
                id,
                load: loads.total(id),
                backlog: loads.backlog(id, now),
                profile: self.profile,
                answer_time: Duration::from_millis(1_500),
                pauses: Pauses::default(),
                same_domain: true,
                suspect: self.case.halves && number % 2 != host % 2,
            }
        };
        self.keys.iter().enumerate().map(engine).collect()
    }

    /// Decides on a prompt as its host does.
    fn place(&mut self, number: usize) {
        let now = Time::from_millis(self.now);
        let random = self.rng.next_below(u64::MAX);
        let caller = &self.callers[number];
        let work = caller.work(self.now, self.case.output, random);
        let engines = self.engines(caller.host);
        let demand = demand(&work, &self.profile, engines.len());
        let caller = &mut self.callers[number];
        let host = &mut self.hosts[caller.host];
        let is_new = caller.queued.is_none();
        let loads = &mut host.loads;
        let queued = *caller
            .queued
            .get_or_insert_with(|| loads.enqueue(demand, now));
        let before = loads.update_queued(queued, demand, now);
        let state = ServiceState {
            multi_engine_prompts: loads.multi_engine_prompts(),
            queued_before: before.all,
            due_before: before.due,
            pressure: host.update_pressure(self.now, pressure(&engines)),
            engines: engines.len(),
            placements_per_second: host.loads.placements_per_second(now),
        };
        let decision = choose(&work, &engines, &state);
        let is_held = matches!(decision, Decision::Wait(_));
        host.has_news |= is_new == is_held;
        if !is_held {
            host.loads.dequeue(queued);
            caller.queued = None;
        }
        match decision {
            Decision::Wait(wait) => {
                let recheck = (wait.recheck_after.as_micros() as u64).div_ceil(1_000);
                self.schedule(self.now + recheck, Event::Check(number));
            }
            Decision::Refuse(delay) => {
                let stated = (delay.as_millis() as u64).min(work.time_left.as_millis() as u64 / 3);
                let own = self.case.retry_after.filter(|_| caller.is_long);
                if caller.attempts < 2 {
                    self.schedule(self.now + own.unwrap_or(stated), Event::Arrival(number));
                }
            }
            Decision::Send(plan) => self.send(number, &plan),
        }
    }

    fn send(&mut self, number: usize, plan: &Plan) {
        let caller = &mut self.callers[number];
        let host = &mut self.hosts[caller.host];
        let now = Time::from_millis(self.now);
        let reservation = reservation(caller, plan, self.case.output);
        caller.reservation = Some(host.loads.reserve(reservation, now));
        host.has_news = true;
        let readers = || plan.helpers.iter().chain([&plan.primary]);
        caller.parts_left = readers().count();
        for (server, key) in self.servers.iter_mut().zip(&self.keys) {
            if readers().any(|reader| reader == key) {
                server.waiting.push((number, plan.part_ms));
            }
        }
    }

    /// Ends a pass of an engine, and with it answers, and begins the next one.
    fn run_engine(&mut self, server: usize) {
        if self.servers[server].pass_ends > self.now {
            return;
        }
        for number in std::mem::take(&mut self.servers[server].reading) {
            self.callers[number].parts_left -= 1;
            if self.callers[number].parts_left == 0 {
                self.begin_answer(server, number);
            }
        }
        let now = Time::from_millis(self.now);
        let Server {
            waiting,
            reading,
            writing,
            pass_ends,
        } = &mut self.servers[server];
        writing.retain(|number| {
            let caller = &self.callers[*number];
            let host = &mut self.hosts[caller.host];
            let has_ended = caller.ends <= self.now;
            if has_ended && let Some(id) = caller.reservation {
                host.loads.release(id, now);
                host.has_news = true;
            }
            !has_ended
        });
        let parts: f64 = waiting.iter().map(|(_, part)| part).sum();
        reading.extend(waiting.drain(..).map(|(number, _)| number));
        if writing.is_empty() && reading.is_empty() {
            return;
        }
        let idle = self.profile.idle_pass(writing.len() as u32, 30_000);
        *pass_ends = self.now + (idle + parts).ceil() as u64;
    }

    /// Begins an answer after the last part of its prompt was read; the engine that read it writes it here.
    fn begin_answer(&mut self, server: usize, number: usize) {
        let strides = 1 + self.rng.next_below(2 * self.case.output / 68);
        let caller = &mut self.callers[number];
        let waited = Duration::from_millis(self.now - caller.arrived);
        let in_time = self.now <= caller.first + caller.kind.time_limit;
        if in_time && waited <= caller.kind.caller_timeout() {
            caller.answered = Some(self.now);
        }
        caller.ends = self.now + strides * 75;
        let host = &mut self.hosts[caller.host];
        if let Some(id) = caller.reservation {
            host.has_news |= host.loads.mark_read(id, Time::from_millis(self.now));
        }
        self.servers[server].writing.push(number);
    }

    /// Sends the notice of a host if it has news or a heartbeat is due.
    fn notify(&mut self, from: usize) {
        let now = Time::from_millis(self.now);
        let host = &mut self.hosts[from];
        let beat = self.now + 30 * from as u64;
        let has_news = std::mem::take(&mut host.has_news) || beat.is_multiple_of(250);
        if !has_news {
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
            let delay = (from * 7 + to * 3) as u64 % (MAX_NOTICE_DELAY - 4);
            self.schedule(
                self.now + 5 + delay,
                Event::Notice(to, Box::new(notice.clone())),
            );
        }
    }

    /// Returns the callers with long prompts, shortest prompt first.
    pub(super) fn long_callers(&self) -> Vec<&Caller> {
        let mut callers: Vec<&Caller> = self.callers.iter().filter(|one| one.is_long).collect();
        callers.sort_by_key(|caller| caller.prompt);
        callers
    }
}

impl Host {
    /// Returns the moving average of the pressure, with the time constant that hosts use.
    fn update_pressure(&mut self, now: u64, current: f64) -> f64 {
        let elapsed = (now - self.pressure_at) as f64 / 1_000.0;
        let weight = 1.0 - (-elapsed / 0.7).exp();
        self.pressure += weight * (current - self.pressure);
        self.pressure_at = now;
        self.pressure
    }
}

/// Returns the reservation of a plan.
fn reservation(caller: &Caller, plan: &Plan, output: u64) -> Reservation {
    let reading = (plan.part_ms * 1_000.0) as u64;
    let reserved: u64 = plan.shares.iter().map(|share| share.tokens).sum();
    let share_of = |server| {
        let share = plan.shares.iter().find(|share| share.server == server);
        share.map_or(0, |share| share.tokens as i64)
    };
    let mut value_at_risk = [0; PAUSE_CLASSES];
    value_at_risk[if caller.is_long { 2 } else { 0 }] = (value(caller.prompt) * 1_000.0) as i64;
    let memory = (caller.prompt + output).saturating_sub(reserved) as i64;
    let helper = |server| Part {
        server,
        load: Load {
            placed_micros: reading,
            memory: share_of(server),
            ..Load::default()
        },
    };
    Reservation {
        primary: plan.primary,
        load: Load {
            placed_micros: reading,
            memory: memory + share_of(plan.primary),
            running: 1,
            value_at_risk,
        },
        helpers: plan.helpers.iter().map(|server| helper(*server)).collect(),
        multi_engine: plan.multi_engine,
    }
}
