//! The state of one entry host, shared by everything that runs on its one thread.
//!
//! Decisions are those of `alderglade_core::fleet`; the host keeps what they go by, and notes here what
//! its tasks learn and take up.

mod catch_up;
mod choice;
mod cold;
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
mod reach;
mod relay;
mod restart;
mod retry_budget;
mod startup_sync;
mod state;
mod statement;
mod stop;
mod store;

pub use alderglade_core::fleet::message::Host;
pub use choice::Unavailability;
pub use guard::{CallGuard, Connected, InFlight, QueueGuard, ReservationGuard};
pub use hosts::Hosts;
pub use outbox::{Envelope, Recipients};
pub use permit::{NotPermitted, Permit};
pub use progress::{Progress, Stage};
pub use state::State;
pub use store::StoreEvent;

use crate::client::Client;
use crate::clock;
use crate::event::{self, Record};
use crate::memory::Pool;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::translate::Translator;
use alderglade_core::Name;
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

/// The part of the host's memory that is kept for callers and servers that read slowly, beside what each connection has by
/// itself: a tenth. Two thousand connections take most of the smallest host's memory.
const KEPT_PART: usize = 10;

/// One entry host.
pub struct Node {
    /// Its settings.
    pub settings: Settings,
    /// The deployment's wire.
    pub translator: Box<dyn Translator>,
    /// The one HTTP client.
    pub client: Rc<Client>,
    /// What may be kept for callers and servers that read slowly.
    pub memory: Arc<Pool>,
    /// What changes.
    pub state: RefCell<State>,
    /// Figures for operators.
    pub metrics: Metrics,
    /// Wakes calls to the store that may hang, and whoever waits to make one: it is back, or may be out of reach.
    pub ask_store: Notify,
    /// When the process began.
    began: Time,
    /// Whether the store answers.
    store: Cell<store::Contact>,
    /// How much the engines have had to read lately.
    pressure: Cell<choice::Pressure>,
    /// Wakes whoever tells peers what has changed.
    pub loads_changed: Notify,
    /// Wakes requests that wait for what a host that has just started must learn first.
    learnt: Notify,
    /// Messages for single hosts that have not been sent yet.
    envelopes: RefCell<Vec<Envelope>>,
    /// Wakes whoever sends these.
    pub envelopes_queued: Notify,
    /// Wakes whoever waits for a part of another host's budget.
    lent: Notify,
    /// Questions for grants that are not answered yet.
    claims: RefCell<permit::Claims>,
    /// Wakes whoever waits for the answer of a server that may have started again.
    restarted: Notify,
    /// What was decided on requests and the store has not been told yet.
    verdicts: RefCell<Vec<Verdict>>,
    /// Wakes whoever tells the store.
    verdicts_made: Notify,
    /// Wakes whoever waits for a reason to ask the store.
    pub store_status_changed: Notify,
    /// This lifetime of the process: where the store was when it took the host's entry.
    pub incarnation: Cell<Position>,
    /// The store's eras.
    eras: era::Eras,
    /// What others tell this host as it starts.
    startup_sync: startup_sync::StartupSync,
    /// Since when other hosts have had a newer configuration.
    behind_since: Cell<Option<Time>>,
    stopping_since: watch::Sender<Option<Time>>,
    /// Whether requests without an answer are cut off.
    ending: watch::Sender<bool>,
    in_hand: progress::InHand,
    /// Connections of callers that are open.
    connections: Cell<usize>,
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
            memory: Pool::new(settings.memory / KEPT_PART),
            settings,
            translator,
            client: Rc::default(),
            state: RefCell::default(),
            metrics: Metrics::new()?,
            ask_store: Notify::new(),
            began: clock::now(),
            store: Cell::default(),
            pressure: Cell::default(),
            loads_changed: Notify::new(),
            learnt: Notify::new(),
            envelopes: RefCell::default(),
            envelopes_queued: Notify::new(),
            lent: Notify::new(),
            claims: RefCell::default(),
            restarted: Notify::new(),
            verdicts: RefCell::default(),
            verdicts_made: Notify::new(),
            store_status_changed: Notify::new(),
            incarnation: Cell::default(),
            eras: era::Eras::default(),
            startup_sync: startup_sync::StartupSync::default(),
            behind_since: Cell::new(None),
            stopping_since: watch::Sender::new(None),
            ending: watch::Sender::new(false),
            in_hand: progress::InHand::default(),
            connections: Cell::new(0),
        }))
    }

    /// Gives the number of requests in hand.
    pub fn in_flight(&self) -> usize {
        self.in_hand.len()
    }

    /// Gives the number of callers' connections that are open.
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Says whether new connections should come here: the host knows what to serve, isn't stopping, and
    /// isn't cut off from the store.
    pub fn ready(&self) -> bool {
        let state = self.state.borrow();
        let known = state.config.is_some() && !state.directory.is_empty();
        let known = known && self.knows_evacuations(&state);
        known && !self.is_stopping() && !state.connectivity.is_disconnected(clock::now())
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
    pub fn track_request(self: &Rc<Node>) -> InFlight {
        let progress = Rc::new(Progress::begin(clock::now()));
        self.metrics.in_flight.inc();
        if self.is_stopping() {
            self.metrics.taken_stopping.inc();
        }
        InFlight {
            node: self.clone(),
            number: self.in_hand.add(progress.clone()),
            progress,
        }
    }

    /// Notes an open connection of a caller until the guard is dropped.
    pub fn track_connection(self: &Rc<Node>) -> Connected {
        self.connections.set(self.connections.get() + 1);
        self.metrics.caller_connections.inc();
        Connected { node: self.clone() }
    }

    /// Notes a placement in the book until the guard is dropped.
    pub fn reserve(self: &Rc<Node>, hold: Reservation) -> ReservationGuard {
        let id = self.state.borrow_mut().loads.reserve(hold, clock::now());
        self.loads_changed.notify_one();
        ReservationGuard::new(self.clone(), id)
    }

    /// Takes a prompt into the line of those that wait, until the guard is dropped.
    pub fn enqueue(self: &Rc<Node>, demand: Demand) -> QueueGuard {
        let id = self.state.borrow_mut().loads.enqueue(demand, clock::now());
        QueueGuard::new(self.clone(), id)
    }

    /// Notes a call to a plain backend server until the guard is dropped.
    pub fn track_call(self: &Rc<Node>, server: Key) -> CallGuard {
        *self.state.borrow_mut().calls.entry(server).or_default() += 1;
        CallGuard {
            node: self.clone(),
            server,
        }
    }

    /// Notes how a call to a server ended.
    pub fn record_outcome(&self, server: Key, outcome: Outcome) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        state.health.record(server, outcome, now);
        if outcome == Outcome::Sound {
            state.quarantine.record_alive(server);
        }
    }

    /// Notes that the server at an address refuses work, by the word of the one that was `asked`, and has
    /// peers told. One that refuses for itself may only be full, which concerns nobody else.
    ///
    /// Gives the server, if it is known.
    pub fn record_refusing_server(&self, address: SocketAddr, asked: &Server) -> Option<Key> {
        let state = &mut *self.state.borrow_mut();
        let server = state.directory.at(address)?;
        let (key, slots) = (server.key(), i64::from(server.slots));
        let may_be_full = key == asked.key() && state.loads.total(key).running >= slots;
        if !may_be_full {
            state.health.eject(key, clock::now());
            self.loads_changed.notify_one();
            event::write(&Record::ServerRefusing {
                server: server.id(),
                by: asked.id(),
            });
        }
        Some(key)
    }

    /// Gives how far the store is known with regard to the backend servers.
    pub fn servers_position(&self) -> Position {
        self.state.borrow().directory.position()
    }

    /// Says whether a server is known, listed and not leaving, whether new work may go to its failure domain or not.
    pub fn is_active(&self, key: Key) -> bool {
        self.state.borrow().directory.active(key).is_some()
    }

    /// Gives a server that new work may go to.
    pub fn server(&self, key: Key) -> Option<Server> {
        self.state.borrow().directory.get(key).cloned()
    }

    /// Lets what is over its time lapse; called a few times a second.
    pub fn tick(&self) {
        let now = clock::now();
        self.client.expire();
        self.tick_quarantine();
        let mut state = self.state.borrow_mut();
        let dropped = state.directory.expire(now);
        let silent = state.loads.expire(now);
        let taken_back = state.evacuations.expire(now);
        let joined = std::mem::take(&mut state.newcomers);
        self.set_gauges(&mut state, now);
        drop(state);
        self.look_for_store();
        self.store_status_changed.notify_waiters();
        tell_peers(joined, silent);
        self.regroup();
        if dropped {
            self.tell_servers();
        }
        if taken_back {
            self.put_evacuations_in_force();
        }
    }

    /// Sets the figures for operators that only show how things stand.
    fn set_gauges(&self, state: &mut State, now: Time) {
        let metrics = &self.metrics;
        metrics.repeats_left.set(self.retries_left(state, now));
        let passed_over = state.health.ejected_count(now) as i64;
        metrics.passed_over.set(passed_over);
        metrics.limited.set(state.limits.count() as i64);
        metrics.hosts.set(state.loads.host_count() as i64);
        let age = state.freshness.age(now);
        let age = age.map_or(-1, |age| age.as_millis() as i64);
        metrics.store_age.set(age);
        let opened = self.client.opened().cast_signed();
        metrics.connections.set(opened);
    }
}

/// Writes which hosts have come and which are silent: a line for all of them, since each host writes it, and a failure
/// domain or the whole deployment may come and go at once.
fn tell_peers(mut joined: Vec<Name>, mut silent: Vec<Name>) {
    /// Hosts that are named in a line.
    const NAMED: usize = 4;
    for list in [&mut joined, &mut silent] {
        list.sort();
    }
    let named = |list: &[Name]| list.iter().take(NAMED).cloned().collect::<Vec<_>>();
    if !joined.is_empty() {
        let (peers, count) = (&*named(&joined), joined.len());
        event::write(&Record::PeerJoined { peers, count });
    }
    if !silent.is_empty() {
        let (peers, count) = (&*named(&silent), silent.len());
        event::write(&Record::PeerLost { peers, count });
    }
}
