//! The state of one entry host, shared by everything that runs on its one thread.

use crate::client::Client;
use crate::clock;
use crate::event::{self, Record};
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::translate::Translator;
use alderglade_core::Name;
use alderglade_core::fleet::book::{Book, Hold, HoldId};
use alderglade_core::fleet::budget::Budget;
use alderglade_core::fleet::config::Config;
use alderglade_core::fleet::directory::{Change, Directory, Server};
use alderglade_core::fleet::freshness::Freshness;
use alderglade_core::fleet::health::{Health, Outcome};
use alderglade_core::fleet::pass::Figures;
use alderglade_core::fleet::placement::{Engine, Part};
use alderglade_core::time::Time;
use rand::RngExt;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::task::AbortHandle;

/// What is left of the time allowed for stopping when the process ends by itself.
const END_MARGIN: Duration = Duration::from_millis(400);
/// The store was away for so long that entries of servers may have lapsed: they go after three missed
/// heartbeats of 1.2 s, the first of which may have been due at once.
const LAPSED_AFTER: Duration = Duration::from_millis(2_000);

/// How long after the expected time a part of a prompt counts as read; about half a pass.
const PART_GRACE: Duration = Duration::from_millis(25);

/// Another entry host, as the store lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Host {
    /// Its name.
    pub name: Name,
    /// Where it takes notices.
    pub address: SocketAddr,
}

/// What the store has told.
#[derive(Debug)]
pub enum News {
    /// A configuration.
    Config(Config),
    /// A configuration that can't be read.
    ConfigUnreadable(String),
    /// All backend servers.
    Servers(Vec<Server>),
    /// A change of one backend server.
    Server(Change),
    /// All entry hosts.
    Hosts(Vec<Host>),
    /// Nothing newer existed at this time.
    Confirmed(Time),
    /// The store gives no answer.
    Lost(String),
    /// The store has answered a call.
    Answered,
}

/// What changes while the host serves.
#[derive(Default)]
pub struct State {
    /// The configuration in force.
    pub config: Option<Rc<Config>>,
    /// The backend servers.
    pub directory: Directory,
    /// What every host holds at every server.
    pub book: Book,
    /// What was learnt of servers.
    pub health: Health,
    /// The age of the store's word.
    pub freshness: Freshness,
    /// Other entry hosts.
    pub hosts: Vec<Host>,
    budgets: HashMap<Name, Budget>,
    calls: HashMap<Name, u32>,
}

impl State {
    /// Says whether a server should be passed over where others can serve: it has failed, or it lies in
    /// another failure domain that seems cut off from this one.
    fn doubts(&self, own_domain: &Name, server: &Server, now: Time) -> bool {
        let elsewhere = server.domain != *own_domain;
        let cut_off = elsewhere && self.book.is_cut_off(&server.domain, now);
        cut_off || self.health.doubted(&server.id, now)
    }
}

/// Whether the store answers.
#[derive(Debug, Clone, Copy, Default)]
struct Contact {
    /// Since when it doesn't.
    lost_at: Option<Time>,
    /// When it last did.
    answered: Time,
}

/// How much the engines have had to read lately.
#[derive(Debug, Clone, Copy, Default)]
struct Pressure {
    mean: f64,
    at: Time,
}

/// One entry host.
pub struct Node {
    /// Its settings.
    pub settings: Settings,
    /// The deployment's wire.
    pub translator: Box<dyn Translator>,
    /// The one HTTP client.
    pub client: Rc<Client>,
    /// What changes.
    pub state: RefCell<State>,
    /// Figures for operators.
    pub metrics: Metrics,
    /// Wakes calls to the store that may hang since before it came back.
    pub store_back: Notify,
    store: Cell<Contact>,
    pressure: Cell<Pressure>,
    /// Wakes whoever tells peers what has changed.
    pub book_changed: Notify,
    /// This lifetime of the process; `0` until the store has given it a number.
    pub incarnation: Cell<u64>,
    stopping_since: watch::Sender<Option<Time>>,
    in_flight: Cell<usize>,
}

impl Node {
    /// Makes a host that knows nothing yet.
    ///
    /// # Errors
    ///
    /// Where the metrics can't be set up.
    pub fn new(
        settings: Settings,
        translator: Box<dyn Translator>,
    ) -> Result<Rc<Node>, prometheus::Error> {
        Ok(Rc::new(Node {
            settings,
            translator,
            client: Rc::default(),
            state: RefCell::default(),
            metrics: Metrics::new()?,
            store_back: Notify::new(),
            store: Cell::default(),
            pressure: Cell::default(),
            book_changed: Notify::new(),
            incarnation: Cell::new(0),
            stopping_since: watch::Sender::new(None),
            in_flight: Cell::new(0),
        }))
    }

    /// Takes what the store has told.
    pub fn learn(&self, news: News) {
        let now = clock::now();
        match news {
            News::Config(config) => self.take_config(config),
            News::ConfigUnreadable(problem) => {
                event::write(&Record::ConfigUnreadable { problem: &problem });
            }
            News::Servers(servers) => {
                self.state.borrow_mut().directory.replace(servers, now);
                self.tell_servers();
            }
            News::Server(change) => {
                self.state.borrow_mut().directory.apply(change, now);
                self.tell_servers();
                self.book_changed.notify_one();
            }
            News::Hosts(hosts) => self.state.borrow_mut().hosts = hosts,
            News::Confirmed(at) => self.state.borrow_mut().freshness.confirm(at),
            News::Lost(problem) => self.store_lost(&problem),
            News::Answered => self.store_answered(now),
        }
    }

    /// Asks the host to stop taking work.
    pub fn stop(&self) {
        if self.stopping_since.borrow().is_none() {
            self.stopping_since.send_replace(Some(clock::now()));
            let in_flight = self.in_flight.get();
            event::write(&Record::Stopping { in_flight });
        }
    }

    /// Gives the time since the host was asked to stop.
    pub fn stopping_for(&self) -> Option<Duration> {
        let since = (*self.stopping_since.borrow())?;
        Some(clock::now().since(since))
    }

    /// Gives the time until the process ends, once it was asked to stop.
    pub fn ends_in(&self) -> Option<Duration> {
        let passed = self.stopping_for()?;
        let most = self.settings.grace.saturating_sub(END_MARGIN);
        Some(most.saturating_sub(passed))
    }

    /// Waits until the host has been stopping for `span`.
    pub async fn stopped_for(&self, span: Duration) {
        let mut since = self.stopping_since.subscribe();
        let began = match since.wait_for(Option::is_some).await {
            Ok(began) => *began,
            // The sender lives as long as the host itself.
            Err(_) => None,
        };
        if let Some(began) = began {
            tokio::time::sleep_until(clock::instant(began + span)).await;
        }
    }

    /// Gives the number of requests in hand.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Says whether new connections should come here: the host knows what to serve, isn't stopping, and
    /// has not been without the store for long enough to count as cut off.
    pub fn ready(&self) -> bool {
        let state = self.state.borrow();
        let known = state.config.is_some() && !state.directory.is_empty();
        known && self.stopping_since.borrow().is_none() && !self.cut_off()
    }

    /// Says whether the store has been away for longer than a broken connection takes to mend.
    fn cut_off(&self) -> bool {
        /// Long enough for a few calls in a row to fail; short beside the five seconds after which a
        /// host that is cut off refuses keys.
        const CUT_OFF: Duration = Duration::from_millis(600);
        let lost_at = self.store.get().lost_at;
        lost_at.is_some_and(|at| clock::now().since(at) > CUT_OFF)
    }

    /// Says whether keys may be trusted now.
    pub fn trusts_keys(&self) -> bool {
        let Some(bound) = self.settings.revocation else {
            return true;
        };
        let state = self.state.borrow();
        state.freshness.trusts_keys(clock::now(), bound)
    }

    /// Notes a request in hand until the guard is dropped.
    pub fn enter(self: &Rc<Node>) -> InFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        self.metrics.in_flight.inc();
        InFlight { node: self.clone() }
    }

    /// Notes a placement in the book until the guard is dropped.
    pub fn hold(self: &Rc<Node>, hold: Hold) -> Held {
        let id = self.state.borrow_mut().book.hold(hold);
        self.book_changed.notify_one();
        Held {
            node: self.clone(),
            id,
            parts: None,
        }
    }

    /// Notes a call to a plain backend server until the guard is dropped.
    pub fn call(self: &Rc<Node>, server: &Name) -> Call {
        *self
            .state
            .borrow_mut()
            .calls
            .entry(server.clone())
            .or_default() += 1;
        Call {
            node: self.clone(),
            server: server.clone(),
        }
    }

    /// Notes how a call to a server ended.
    pub fn note(&self, server: &Name, outcome: Outcome) {
        let now = clock::now();
        self.state.borrow_mut().health.note(server, outcome, now);
    }

    /// Notes the first send of a request to a service.
    pub fn first_send(&self, service: &Name) {
        self.with_budget(service, |budget, now, _| budget.request(now));
    }

    /// Takes one repeated send to a service from the budget.
    pub fn spend_repeat(&self, service: &Name) -> bool {
        let spent = self.with_budget(service, |budget, now, hosts| budget.spend(now, hosts));
        if spent {
            self.metrics.repeats.inc();
        }
        spent
    }

    /// Gives the engines of a service as this host sees them, in the order of their ids.
    pub fn engines(&self, service: &str, figures: Figures) -> Vec<Engine> {
        let now = clock::now();
        let state = self.state.borrow();
        let servers = state.directory.of_service(service);
        servers
            .map(|server| Engine {
                id: server.id.clone(),
                load: state.book.total(&server.id),
                figures,
                near: server.domain == self.settings.domain,
                doubted: state.doubts(&self.settings.domain, server, now),
            })
            .collect()
    }

    /// Smooths the pressure on the engines: takes what it is now and gives its recent mean.
    pub fn pressure(&self, now_is: f64) -> f64 {
        /// The time over which the mean is taken; about as long as a long prompt is read.
        const OVER: f64 = 0.7;
        let now = clock::now();
        let Pressure { mean, at } = self.pressure.get();
        let weight = 1.0 - (-now.since(at).as_secs_f64() / OVER).exp();
        let mean = mean + weight * (now_is - mean);
        self.pressure.set(Pressure { mean, at: now });
        mean
    }

    /// Picks the plain backend server with the fewest own calls that hasn't been tried.
    pub fn pick(&self, service: &str, tried: &[Name]) -> Option<Server> {
        let now = clock::now();
        let state = self.state.borrow();
        let mut rng = rand::rng();
        let cost = |server: &Server, draw: f64| {
            let calls = state.calls.get(&server.id).copied().unwrap_or(0);
            let busy = f64::from(calls) / f64::from(server.slots.max(1));
            let far = f64::from(u8::from(server.domain != self.settings.domain)) * 0.05;
            let doubted =
                f64::from(u8::from(state.doubts(&self.settings.domain, server, now))) * 100.0;
            let tried = f64::from(u8::from(tried.contains(&server.id))) * 1_000.0;
            busy + far + doubted + tried + state.health.failing(&server.id) + 0.1 * draw
        };
        let servers = state.directory.of_service(service);
        let costs = servers.map(|server| (cost(server, rng.random::<f64>()), server));
        let least = costs.min_by(|a, b| a.0.total_cmp(&b.0));
        least.map(|(_, server)| server.clone())
    }

    /// Gives a server that new work may go to.
    pub fn server(&self, id: &str) -> Option<Server> {
        self.state.borrow().directory.get(id).cloned()
    }

    /// Lets what is over its time lapse; called a few times a second.
    pub fn tick(&self) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let dropped = state.directory.expire(now);
        let silent = state.book.expire(now);
        let age = state.freshness.age(now);
        self.metrics.hosts.set(state.book.hosts() as i64);
        self.metrics
            .store_age
            .set(age.map_or(-1, |age| age.as_millis() as i64));
        self.metrics
            .connections
            .set(self.client.opened().cast_signed());
        drop(state);
        for peer in &silent {
            event::write(&Record::PeerLost { peer });
        }
        if dropped {
            self.tell_servers();
        }
    }

    fn take_config(&self, config: Config) {
        let mut state = self.state.borrow_mut();
        let before = state.config.as_ref().map(|config| config.version);
        if before.is_some_and(|before| before >= config.version) {
            return;
        }
        let version = config.version;
        state.config = Some(Rc::new(config));
        drop(state);
        self.metrics.config.set(version.cast_signed());
        event::write(&Record::ConfigInForce { version, before });
    }

    fn tell_servers(&self) {
        let mut state = self.state.borrow_mut();
        let State {
            directory, health, ..
        } = &mut *state;
        health.retain(|id| directory.get(id).is_some());
        let known = directory.len();
        let leaving = directory.leaving().len();
        self.metrics.servers.set(known as i64);
        event::write(&Record::ServersChanged { known, leaving });
    }

    fn store_lost(&self, problem: &str) {
        let contact = self.store.get();
        if contact.lost_at.is_some() {
            return;
        }
        self.store.set(Contact {
            lost_at: Some(clock::now()),
            ..contact
        });
        self.state.borrow_mut().directory.store_lost();
        event::write(&Record::StoreLost { problem });
    }

    fn store_answered(&self, now: Time) {
        let Contact { lost_at, answered } = self.store.get();
        self.store.set(Contact {
            lost_at: None,
            answered: now,
        });
        if lost_at.is_none() {
            return;
        }
        let away = now.since(answered);
        let mut state = self.state.borrow_mut();
        state.directory.store_returned(now, away >= LAPSED_AFTER);
        drop(state);
        event::write(&Record::StoreBack {
            age_ms: away.as_millis() as u64,
        });
        self.store_back.notify_waiters();
    }

    fn with_budget<T>(&self, service: &Name, act: impl FnOnce(&mut Budget, Time, usize) -> T) -> T {
        let mut state = self.state.borrow_mut();
        let hosts = state.book.hosts().max(state.hosts.len() + 1);
        let bound = self.settings.retries;
        let budget = state
            .budgets
            .entry(service.clone())
            .or_insert_with(|| Budget::new(bound));
        act(budget, clock::now(), hosts)
    }
}

/// Counts a request in hand.
pub struct InFlight {
    node: Rc<Node>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.node.in_flight.set(self.node.in_flight.get() - 1);
        self.node.metrics.in_flight.dec();
    }
}

/// Keeps a placement in the book.
pub struct Held {
    node: Rc<Node>,
    id: HoldId,
    parts: Option<AbortHandle>,
}

impl Held {
    /// Notes each part as read when it is expected to be, but for the last ones, which the first event
    /// tells of.
    pub fn expect_parts(&mut self, parts: &[Part]) {
        let mut parts = parts.to_vec();
        parts.sort_by_key(|part| part.done);
        parts.truncate(parts.len().saturating_sub(1));
        let (node, id) = (self.node.clone(), self.id);
        let began = clock::now();
        let task = tokio::task::spawn_local(async move {
            for part in parts {
                let due = began + part.done + PART_GRACE;
                if due > clock::now() {
                    tokio::time::sleep_until(clock::instant(due)).await;
                }
                node.state.borrow_mut().book.part_read(id, &part.server);
                node.book_changed.notify_one();
            }
        });
        self.parts = Some(task.abort_handle());
    }

    /// Notes that the prompt has been read.
    pub fn read(&mut self) {
        if let Some(parts) = self.parts.take() {
            parts.abort();
        }
        self.node.state.borrow_mut().book.read(self.id);
        self.node.book_changed.notify_one();
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        if let Some(parts) = self.parts.take() {
            parts.abort();
        }
        self.node.state.borrow_mut().book.release(self.id);
        self.node.book_changed.notify_one();
    }
}

/// Counts a call to a plain backend server.
pub struct Call {
    node: Rc<Node>,
    server: Name,
}

impl Drop for Call {
    fn drop(&mut self) {
        let mut state = self.node.state.borrow_mut();
        if let Some(calls) = state.calls.get_mut(&self.server) {
            *calls -= 1;
            if *calls == 0 {
                state.calls.remove(&self.server);
            }
        }
    }
}
