//! The state of one entry host, shared by all tasks on its single thread.
//!
//! The decisions are made in `alderglade_core::fleet`. The host keeps their inputs, and its tasks record here what
//! they learn and use.

mod capacity;
mod catch_up;
mod choice;
mod cold;
mod connectivity;
mod departure;
mod era;
mod evacuation;
mod faults;
mod groups;
mod guard;
mod hosts;
mod outbox;
mod permit;
mod progress;
mod quarantine;
mod reachability;
mod relay;
mod restart;
mod retry_budget;
mod share;
mod startup_sync;
mod state;
mod statement;
mod stop;
mod store;

pub use alderglade_core::fleet::message::Host;
pub use choice::Unavailability;
pub use departure::Origin;
pub use guard::{CallGuard, ConnectionGuard, QueueGuard, RequestGuard, ReservationGuard};
pub use hosts::Hosts;
pub use outbox::{Envelope, Recipients};
pub use permit::{NotPermitted, Permit};
pub use progress::{Progress, Stage};
pub use reachability::{ProxiedGuard, Proxy, ProxyUse};
pub use state::State;
pub use store::StoreEvent;

use crate::client::Client;
use crate::clock;
use crate::event::{self, Record};
use crate::job::Job;
use crate::memory::Pool;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::translate::Translator;
use alderglade_core::Name;
use alderglade_core::fleet::contact::Contact;
use alderglade_core::fleet::directory::Server;
use alderglade_core::fleet::health::Outcome;
use alderglade_core::fleet::incarnation::Key;
use alderglade_core::fleet::load_table::{Demand, Reservation};
use alderglade_core::fleet::position::Position;
use alderglade_core::fleet::quarantine::Verdict;
use alderglade_core::time::Time;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{Notify, watch};

/// One tenth of the host's memory is reserved for callers and servers that read slowly, in addition to what each
/// connection uses by itself. Two thousand connections use most of the smallest host's memory.
const BUFFER_MEMORY_DIVISOR: usize = 10;

/// One entry host.
pub struct Node {
    /// The host's settings.
    pub settings: Settings,
    /// Translates between the deployment's formats and the host's.
    pub translator: Box<dyn Translator>,
    /// The host's only HTTP client.
    pub client: Rc<Client>,
    /// Memory for callers and servers that read slowly.
    pub memory: Arc<Pool>,
    /// The mutable state.
    pub state: RefCell<State>,
    /// Metrics for operators.
    pub metrics: Metrics,
    /// Wakes calls to the store that may hang and tasks that wait to make one: the store is available again, or may
    /// be unreachable.
    pub ask_store: Notify,
    /// When the process started.
    started: Time,
    /// Whether the store answers.
    store_contact: Cell<Contact>,
    /// When the host last did something.
    last_active: Cell<Time>,
    /// A moving average of how much the engines have to read.
    pressure: Cell<choice::Pressure>,
    outlooks: RefCell<choice::Outlooks>,
    /// Wakes the task that sends changes to peers.
    pub notice_due: Notify,
    /// Wakes requests that wait until a host that has just started can serve them.
    startup_progress: Notify,
    /// Messages for single hosts that were not sent yet.
    envelopes: RefCell<Vec<Envelope>>,
    /// Wakes the task that sends the envelopes.
    pub envelopes_queued: Notify,
    /// Wakes the tasks that wait for a loan from another host's retry budget.
    loan_answered: Notify,
    /// Grant requests that have no answer yet.
    grant_requests: RefCell<permit::OpenGrantRequests>,
    /// Wakes the tasks that wait for the answer of a server that may have restarted.
    server_restarted: Notify,
    /// Wakes the tasks that wait for what other hosts say of a server, or whose path to a server may be cut.
    path_checked: Notify,
    /// The key with which other hosts send requests through this one.
    pub proxy_key: RefCell<Option<Name>>,
    /// Whether the store has listed what is quarantined.
    quarantine_listed: Cell<bool>,
    /// Quarantine verdicts that were not written to the store yet.
    verdicts: RefCell<Vec<Verdict>>,
    /// Wakes the task that reports findings after a delay.
    pub report_scheduled: Notify,
    /// Wakes the task that writes the verdicts to the store.
    verdicts_ready: Notify,
    /// Wakes the tasks that wait for a reason to query the store.
    pub store_status_changed: Notify,
    /// This incarnation of the process: the store's position when it accepted the host's entry.
    pub incarnation: Cell<Position>,
    /// The store's eras.
    eras: era::Eras,
    /// The queries to other hosts at startup.
    startup_sync: startup_sync::StartupSync,
    /// Since when other hosts have had a newer configuration.
    behind_since: Cell<Option<Time>>,
    stopping_since: watch::Sender<Option<Time>>,
    /// Whether requests without an answer are cut off.
    ending: watch::Sender<bool>,
    requests_in_flight: progress::RequestsInFlight,
    /// The number of open connections of callers.
    connections: Cell<usize>,
}

impl Node {
    /// Creates a host that knows nothing yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics can't be registered.
    pub fn new(
        settings: Settings,
        translator: Box<dyn Translator>,
    ) -> Result<Rc<Node>, prometheus::Error> {
        Ok(Rc::new(Node {
            memory: Pool::new(settings.memory / BUFFER_MEMORY_DIVISOR),
            settings,
            translator,
            client: Rc::default(),
            state: RefCell::default(),
            metrics: Metrics::new()?,
            ask_store: Notify::new(),
            started: clock::now(),
            store_contact: Cell::default(),
            last_active: Cell::new(clock::now()),
            pressure: Cell::default(),
            outlooks: RefCell::default(),
            notice_due: Notify::new(),
            startup_progress: Notify::new(),
            envelopes: RefCell::default(),
            envelopes_queued: Notify::new(),
            loan_answered: Notify::new(),
            grant_requests: RefCell::default(),
            server_restarted: Notify::new(),
            path_checked: Notify::new(),
            proxy_key: RefCell::default(),
            quarantine_listed: Cell::default(),
            verdicts: RefCell::default(),
            report_scheduled: Notify::new(),
            verdicts_ready: Notify::new(),
            store_status_changed: Notify::new(),
            incarnation: Cell::default(),
            eras: era::Eras::default(),
            startup_sync: startup_sync::StartupSync::default(),
            behind_since: Cell::new(None),
            stopping_since: watch::Sender::new(None),
            ending: watch::Sender::new(false),
            requests_in_flight: progress::RequestsInFlight::default(),
            connections: Cell::new(0),
        }))
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.requests_in_flight.len()
    }

    /// Returns the number of open connections of callers.
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Returns whether the load balancer should send new connections to this host: it knows what to serve, isn't
    /// stopping, and isn't disconnected from the store.
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        let known = state.config.is_some() && !state.directory.is_empty();
        let known = known && self.knows_evacuations(&state);
        known && !self.is_stopping() && !state.connectivity.is_disconnected(clock::now())
    }

    /// Returns whether API keys may be trusted now.
    pub fn trusts_keys(&self) -> bool {
        let Some(bound) = self.settings.revocation else {
            return true;
        };
        let state = self.state.borrow();
        state.freshness.trusts_keys(clock::now(), bound)
    }

    /// Counts a request in flight until the guard is dropped.
    pub fn track_request(self: &Rc<Node>) -> RequestGuard {
        let progress = Rc::new(Progress::new(clock::now()));
        self.metrics.in_flight.inc();
        if self.is_stopping() {
            self.metrics.taken_stopping.inc();
        }
        RequestGuard {
            node: self.clone(),
            number: self.requests_in_flight.add(progress.clone()),
            progress,
        }
    }

    /// Counts an open connection of a caller until the guard is dropped.
    pub fn track_connection(self: &Rc<Node>) -> ConnectionGuard {
        self.connections.set(self.connections.get() + 1);
        self.metrics.caller_connections.inc();
        ConnectionGuard { node: self.clone() }
    }

    /// Adds a job's reservation to the load table, and its use to that of its workspace, until the guard is dropped.
    pub fn reserve(self: &Rc<Node>, job: &Job, reservation: Reservation) -> ReservationGuard {
        let slot = self.track_use(job, &reservation);
        let id = self
            .state
            .borrow_mut()
            .loads
            .reserve(reservation, clock::now());
        self.notice_due.notify_one();
        ReservationGuard::new(self.clone(), id, slot)
    }

    /// Adds a prompt to the wait queue until the guard is dropped.
    pub fn enqueue(self: &Rc<Node>, demand: Demand) -> QueueGuard {
        let id = self.state.borrow_mut().loads.enqueue(demand, clock::now());
        QueueGuard::new(self.clone(), id)
    }

    /// Counts a call to a plain backend server until the guard is dropped.
    pub fn track_call(self: &Rc<Node>, server: Key) -> CallGuard {
        *self.state.borrow_mut().calls.entry(server).or_default() += 1;
        CallGuard {
            node: self.clone(),
            server,
        }
    }

    /// Records the outcome of a call to a server.
    pub fn record_outcome(&self, server: Key, outcome: Outcome) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        state.health.record(server, outcome, now);
        if outcome == Outcome::Success {
            state.quarantine.record_alive(server);
        }
    }

    /// Records that the server at an address refuses work, as reported by the server that was `asked`, and informs
    /// the peers. A server that refuses on its own behalf may only be full, which concerns no other host.
    ///
    /// Returns the server if it is known.
    pub fn record_refusing_server(&self, address: SocketAddr, asked: &Server) -> Option<Key> {
        let state = &mut *self.state.borrow_mut();
        let server = state.directory.at(address)?;
        let (key, slots) = (server.key(), i64::from(server.slots));
        let may_be_full = key == asked.key() && state.loads.total(key).running >= slots;
        if !may_be_full {
            state.health.eject(key, clock::now());
            self.notice_due.notify_one();
            event::write(&Record::ServerRefusing {
                server: server.id(),
                by: asked.id(),
            });
        }
        Some(key)
    }

    /// Returns the store's position up to which the backend servers are known.
    pub fn servers_position(&self) -> Position {
        self.state.borrow().directory.position()
    }

    /// Returns whether a server is known, listed and not leaving, whether its failure domain is evacuated or not.
    pub fn is_active(&self, key: Key) -> bool {
        self.state.borrow().directory.active(key).is_some()
    }

    /// Returns whether new work may be sent to a server at this moment.
    pub fn is_usable(&self, key: Key) -> bool {
        self.state.borrow().directory.is_usable(key, clock::now())
    }

    /// Returns a server if new work may be sent to it.
    pub fn server(&self, key: Key) -> Option<Server> {
        self.state.borrow().directory.get(key).cloned()
    }

    /// Removes expired state; called several times a second.
    pub fn tick(&self) {
        self.observe_standstill();
        let now = clock::now();
        self.client.expire();
        self.tick_quarantine();
        let mut state = self.state.borrow_mut();
        let expired_servers = state.directory.expire(now);
        let lost = state.loads.expire(now);
        lost.iter().for_each(|host| state.shares.forget(host));
        if !lost.is_empty() {
            let State { proxies, hosts, .. } = &mut *state;
            proxies.retain(|host| hosts.get(host).is_some());
        }
        state.shares.expire(now);
        let expired_evacuations = state.evacuations.expire(now);
        let joined = std::mem::take(&mut state.newcomers);
        self.set_gauges(&mut state, now);
        drop(state);
        self.observe_store();
        self.check_watches();
        self.store_status_changed.notify_waiters();
        log_peers(joined, lost);
        self.regroup();
        if expired_servers {
            self.log_departures(Origin::Expiry);
            self.on_servers_changed();
        }
        if expired_evacuations {
            self.enforce_evacuations();
        }
    }

    /// Updates the gauges that show the current state.
    fn set_gauges(&self, state: &mut State, now: Time) {
        let metrics = &self.metrics;
        metrics.repeats_left.set(self.retries_left(state, now));
        let ejected = state.health.ejected_count(now) as i64;
        metrics.passed_over.set(ejected);
        metrics.limited.set(state.limits.count() as i64);
        metrics.hosts.set(state.loads.host_count() as i64);
        let age = state.freshness.age(now);
        let age = age.map_or(-1, |age| age.as_millis() as i64);
        metrics.store_age.set(age);
        let opened = self.client.opened().cast_signed();
        metrics.connections.set(opened);
    }
}

/// Logs which hosts have joined and which are silent. Each host logs this, and a failure domain or the whole
/// deployment may join or leave at once, so one line lists all of them.
fn log_peers(mut joined: Vec<Name>, mut lost: Vec<Name>) {
    /// Maximum number of hosts that are named in a line.
    const MAX_NAMED_HOSTS: usize = 4;
    for list in [&mut joined, &mut lost] {
        list.sort();
    }
    let named = |list: &[Name]| {
        list.iter()
            .take(MAX_NAMED_HOSTS)
            .cloned()
            .collect::<Vec<_>>()
    };
    if !joined.is_empty() {
        let (peers, count) = (&*named(&joined), joined.len());
        event::write(&Record::PeerJoined { peers, count });
    }
    if !lost.is_empty() {
        let (peers, count) = (&*named(&lost), lost.len());
        event::write(&Record::PeerLost { peers, count });
    }
}
