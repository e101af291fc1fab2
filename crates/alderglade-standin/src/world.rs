//! The real decision core of several entry hosts under a virtual clock, with small fakes around.
//!
//! [`World`] holds a queue of happenings in the order of their times. Entry hosts are
//! [`alderglade_core::node::Node`]s; engines are the timing model; the platform, the plain
//! service, the network and the callers are fakes of a few lines. Everything random comes from
//! one seed, so a run gives the same result every time.

mod calls;
pub mod check;
mod engines;
pub mod fault;
mod happening;
mod hosts;
pub mod naive;
mod network;
mod platform;
pub mod requests;
mod services;

use crate::batch;
use crate::engine::model::Model;
use alderglade_core::Name;
use alderglade_core::cell::Key;
use alderglade_core::engine_state::Report;
use alderglade_core::node::{AttemptResult, Event};
use alderglade_core::placement;
use alderglade_core::request::Id;
use alderglade_core::settings::Tree;
use alderglade_core::time::Time;
use check::Ledger;
use fault::Fault;
use happening::Due;
pub(crate) use happening::{Back, Call, Happening};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use requests::Caller;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

/// Hosts let time pass this often.
const TICK: Duration = Duration::from_millis(20);
/// Load reports are fetched this often.
const POLL: Duration = Duration::from_millis(500);
/// Wall clock at the start, in milliseconds of the Unix epoch.
pub const EPOCH_MS: u64 = 1_800_000_000_000;

/// What a world is made of.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Failure domains.
    pub domains: Vec<Name>,
    /// Entry hosts in each.
    pub hosts_each: usize,
    /// Engines in each.
    pub engines_each: usize,
    /// What engines are like.
    pub batch: batch::Config,
    /// How engines are picked.
    pub placement: placement::Config,
    /// One way between hosts and anything else in a domain.
    pub near: Duration,
    /// One way between domains.
    pub far: Duration,
    /// How far load reports lag.
    pub report_lag: Duration,
    /// How far the platform's list of hosts lags.
    pub list_lag: Duration,
    /// Engines that share a queue; `0` means the default.
    pub cell_engines: usize,
    /// Requests that a workspace may start in a second, over all hosts.
    pub requests_per_second: Option<u64>,
    /// Who schedules.
    pub scheduler: Scheduler,
    /// Guards of the core that are switched off, to see a proof fail.
    pub off: Vec<Guard>,
    /// The seed.
    pub seed: u64,
}

/// Who schedules.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scheduler {
    /// The product.
    Alderglade,
    /// Arrival order, engines in turn, no admission.
    Naive,
}

/// A guard that a scenario can switch off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Guard {
    /// The request's own thread answers at the deadline.
    OwnDeadline,
    /// Leases on what engines hold, and the sweep.
    Sweep,
    /// Frames of other tries are dropped.
    Attempts,
    /// The ledger's write is conditional on the version.
    ConditionalWrite,
    /// A word that a server leaves is acted upon.
    Leaving,
    /// A stopping host waits for what is in flight.
    DrainWait,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            domains: vec!["muc-a".into()],
            hosts_each: 2,
            engines_each: 7,
            batch: batch::Config::default(),
            placement: placement::Config::default(),
            near: Duration::from_micros(300),
            far: Duration::from_millis(1),
            report_lag: Duration::from_millis(300),
            list_lag: Duration::from_secs(5),
            cell_engines: 0,
            requests_per_second: None,
            scheduler: Scheduler::Alderglade,
            off: Vec::new(),
            seed: 1,
        }
    }
}

/// An engine and where it is in its step.
pub(crate) struct EngineAt {
    model: Model,
    domain: Name,
    alive: bool,
    stepping: bool,
    generation: u64,
    reports: std::collections::VecDeque<(Time, Report)>,
    leaving_since: Option<Time>,
    listed_from: Option<Time>,
}

/// The world.
pub struct World {
    pub(crate) plan: Plan,
    pub(crate) now: Time,
    order: u64,
    random: ChaCha8Rng,
    queue: BinaryHeap<Reverse<Due>>,
    pub(crate) hosts: BTreeMap<Name, hosts::HostAt>,
    pub(crate) engines: BTreeMap<Name, EngineAt>,
    pub(crate) servers: BTreeMap<Name, services::ServerAt>,
    pub(crate) platform: platform::PlatformAt,
    pub(crate) network: network::Network,
    pub(crate) running: BTreeMap<Id, requests::Running>,
    pub(crate) naive: naive::Naive,
    /// What is held against the promises.
    pub ledger: Ledger,
    happened: u64,
}

impl World {
    /// Makes a world in which all hosts have the first settings.
    pub fn new(plan: Plan) -> World {
        let mut world = World {
            now: Time(0),
            order: 0,
            random: ChaCha8Rng::seed_from_u64(plan.seed),
            queue: BinaryHeap::new(),
            hosts: BTreeMap::new(),
            engines: BTreeMap::new(),
            servers: BTreeMap::new(),
            platform: platform::PlatformAt::default(),
            network: network::Network::default(),
            running: BTreeMap::new(),
            naive: naive::Naive::default(),
            ledger: Ledger::default(),
            happened: 0,
            plan,
        };
        world.build();
        world
    }

    fn build(&mut self) {
        let domains = self.plan.domains.clone();
        for domain in &domains {
            for number in 0..self.plan.engines_each {
                self.add_engine(&format!("{domain}-e{number:03}").into(), domain);
            }
            self.add_server(&format!("{domain}-s0").into(), domain);
        }
        let tree = self.first_tree();
        self.platform.accept(tree);
        self.ledger.first_tree = self.platform.tree.clone();
        for domain in &domains {
            for number in 0..self.plan.hosts_each {
                self.start_host(&format!("{domain}-h{number}").into(), domain);
            }
        }
        self.naive.engines = self.engines.keys().cloned().collect();
    }

    fn first_tree(&self) -> Tree {
        let engines: Vec<crate::fleet::EngineAt> = self
            .engines
            .iter()
            .map(|(name, engine)| crate::fleet::EngineAt {
                name: name.clone(),
                domain: engine.domain.clone(),
                address: "127.0.0.1:1".into(),
                kv_tokens: self.plan.batch.kv_tokens,
            })
            .collect();
        let servers: Vec<crate::fleet::ServerAt> = self
            .servers
            .iter()
            .map(|(name, server)| crate::fleet::ServerAt {
                name: name.clone(),
                domain: server.domain.clone(),
                address: "127.0.0.1:1".into(),
            })
            .collect();
        let mut tree = crate::fleet::tree(&engines, &servers, &[]);
        tree.revision = 1;
        tree.fleet.cell_engines = self.plan.cell_engines;
        tree.fleet.policy.requests_per_second = self.plan.requests_per_second;
        for engine in tree.fleet.engines.values_mut() {
            engine.max_batch = self.plan.batch.max_batch;
        }
        tree
    }

    /// Gives the present time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Gives how many happenings there were.
    pub fn happened(&self) -> u64 {
        self.happened
    }

    /// Gives what the world is made of.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Gives the revision in force at each live host.
    pub fn revisions(&self) -> Vec<(Name, u64)> {
        let live = self.hosts.iter().filter_map(|(name, host)| {
            let node = host.node.as_ref()?;
            Some((name.clone(), node.tree().revision))
        });
        live.collect()
    }

    /// Gives the settings in force at the platform.
    pub fn tree(&self) -> Arc<Tree> {
        self.platform.tree.clone()
    }

    /// Has a fault begin or end at a time.
    pub fn schedule(&mut self, at: Time, fault: Fault) {
        self.at(at, Happening::Fault(fault));
    }

    /// Has a caller ask at a time.
    pub fn ask(&mut self, at: Time, caller: Caller) {
        self.at(at, Happening::Ask(Box::new(caller)));
    }

    pub(crate) fn at(&mut self, at: Time, happening: Happening) {
        self.order += 1;
        self.queue.push(Reverse(Due {
            at,
            order: self.order,
            happening,
        }));
    }

    pub(crate) fn after(&mut self, pause: Duration, happening: Happening) {
        self.at(self.now + pause, happening);
    }

    /// Something comes back from an engine or a server after a pause.
    pub(crate) fn back_after(&mut self, pause: Duration, request: Id, attempt: u32, back: Back) {
        self.back_at(self.now + pause, request, attempt, back);
    }

    pub(crate) fn back_at(&mut self, at: Time, request: Id, attempt: u32, back: Back) {
        self.at(
            at,
            Happening::Back {
                request,
                attempt,
                back,
            },
        );
    }

    pub(crate) fn wall_ms(&self) -> u64 {
        EPOCH_MS + self.now.as_millis()
    }

    pub(crate) fn is_off(&self, guard: Guard) -> bool {
        self.plan.off.contains(&guard)
    }

    /// Runs until a time.
    pub fn run_until(&mut self, end: Time) {
        while let Some(Reverse(due)) = self.queue.peek() {
            if due.at > end {
                break;
            }
            let Some(Reverse(due)) = self.queue.pop() else {
                break;
            };
            self.now = due.at;
            self.happened += 1;
            self.happen(due.happening);
        }
        self.now = end;
    }

    /// Says whether a message between hosts is lost now.
    pub(crate) fn loses_message(&mut self) -> bool {
        let share = self.network.lost_per_mille;
        share > 0 && self.random.random_range(0..1_000) < share
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Tick { host, incarnation } => self.tick_host(host, incarnation),
            Happening::Poll { host, incarnation } => self.poll(host, incarnation),
            Happening::Event {
                host,
                incarnation,
                event,
            } => self.host_event(&host, incarnation, *event),
            Happening::Message { to, from, message } => self.message(&to, from, *message),
            Happening::Step { engine } => self.step(&engine),
            Happening::StepEnd {
                engine,
                generation,
                emitted,
            } => self.step_end(&engine, generation, emitted),
            Happening::Start { request, attempt } => self.start_at_engine(request, attempt),
            Happening::Back {
                request,
                attempt,
                back,
            } => self.back(request, attempt, back),
            Happening::Call {
                host,
                engine,
                call,
                tries,
            } => self.call(host, engine, call, tries),
            Happening::Serve {
                request,
                attempt,
                server,
            } => self.serve(request, attempt, server),
            Happening::Platform {
                host,
                incarnation,
                call,
            } => self.platform_call(host, incarnation, call),
            Happening::Look { host, incarnation } => self.look(host, incarnation),
            Happening::List { host, incarnation } => self.list(host, incarnation),
            Happening::Ask(caller) => self.take_ask(*caller),
            Happening::Deadline { request } => self.own_deadline(request),
            Happening::Fault(fault) => self.fault(fault),
        }
    }

    /// Gives the cells whose home each live host is.
    pub fn homes(&self) -> BTreeMap<Name, Vec<Key>> {
        let live = self.hosts.iter().filter_map(|(name, host)| {
            let node = host.node.as_ref()?;
            Some((
                name.clone(),
                node.homes().map(|cell| cell.key.clone()).collect(),
            ))
        });
        live.collect()
    }

    pub(crate) fn end_try(&mut self, request: Id, ended: AttemptResult) {
        let Some(running) = self.running.get_mut(&request) else {
            return;
        };
        running.stream = None;
        let (host, incarnation, attempt) =
            (running.host.clone(), running.incarnation, running.attempt);
        let event = Event::AttemptEnded {
            request,
            attempt,
            ended,
        };
        self.host_event(&host, incarnation, event);
    }
}
