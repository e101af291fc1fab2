//! The state machine of one entry host: it consumes events and produces actions.
//!
//! [`Node::handle`] is the only entry point. The daemon's control thread calls it with the real
//! time, simulated scenarios with a virtual clock.
//!
//! The *home* of a cell, a rate or a ledger shard is the entry host that currently manages it. All
//! hosts derive it from their view of the live hosts, so two hosts may disagree for a while.
//!
//! Submodules:
//!
//! - `submit` accepts requests, applies rate limits and picks a cell.
//! - `progress` follows a request from the queue of its cell to its answer.
//! - `attempts` handles the end of an attempt at a backend server and decides on retries.
//! - `servers` picks a server for a call to a plain service.
//! - `homes` runs the cells whose home this host is.
//! - `peers` exchanges heartbeats, load and settings with other hosts.
//! - `quarantine` refuses requests under which backend servers end.
//! - `claims` records non-repeatable requests in the ledger.
//! - `stop` drains the host.

mod attempts;
mod claims;
mod describe;
mod homes;
mod peers;
mod progress;
mod quarantine;
mod servers;
mod stop;
mod submit;

pub use attempts::AttemptResult;

use crate::Name;
use crate::cell::{Cell, Digest, Key};
use crate::engine_state::Report;
use crate::estimate::OutputLengths;
use crate::fleet::quarantine::Quarantine;
use crate::inflight::{InFlight, Submission};
use crate::ledger;
use crate::limit::{Loan, Share};
use crate::membership::{Card, View};
use crate::message::Message;
use crate::placement;
use crate::request::{Id, Refusal};
use crate::retry::Budget;
use crate::settings::Tree;
use crate::settings::patch::Patch;
use crate::slo;
use crate::time::Time;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// An input to [`Node::handle`].
#[derive(Debug, Clone)]
pub enum Event {
    /// A caller sent a request.
    Submit(Box<Submission>),
    /// A backend server sent the first token of a request.
    FirstToken {
        /// The request.
        request: Id,
    },
    /// An attempt at a backend server ended.
    AttemptEnded {
        /// The request.
        request: Id,
        /// The number of the attempt, counted from 1.
        attempt: u32,
        /// The result of the attempt.
        ended: AttemptResult,
    },
    /// The caller disconnected or gave up.
    CallerGone {
        /// The request.
        request: Id,
    },
    /// Another host sent a message.
    Deliver {
        /// The sender.
        from: Name,
        /// The message.
        message: Message,
    },
    /// A message to another host could not be delivered.
    HostUnreachable {
        /// The host.
        host: Name,
    },
    /// An engine reported its load and its holdings.
    Report(Report),
    /// An engine answered a reservation.
    Reserved {
        /// The engine.
        engine: Name,
        /// The request.
        request: Id,
        /// Whether the engine now holds the memory.
        agreed: bool,
    },
    /// The platform published its list of hosts.
    Hosts {
        /// The entry hosts.
        cards: Vec<Card>,
        /// Backend servers that are leaving.
        leaving: Vec<Name>,
    },
    /// The platform published a revision of the settings.
    Settings(Arc<Tree>),
    /// A read of a ledger shard's segments from the platform ended.
    Segments {
        /// The shard.
        shard: u32,
        /// The segments, or `None` if the read failed.
        segments: Option<Vec<ledger::VersionedSegment>>,
    },
    /// A write of a ledger segment ended.
    SegmentWritten {
        /// The shard.
        shard: u32,
        /// The result of the write.
        written: ledger::Written,
    },
    /// An expired ledger segment was emptied.
    SegmentCleared {
        /// The shard.
        shard: u32,
        /// The segment's number.
        number: u64,
        /// The version of its object after the write.
        version: u64,
    },
    /// The host has to stop: reject new requests and finish those in flight.
    Drain,
    /// Periodic call that drives timeouts and retransmissions.
    Tick,
}

/// An output of [`Node::handle`], to be carried out by the daemon.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a message to another host.
    Send {
        /// The host.
        to: Name,
        /// The host's peer address.
        address: Name,
        /// The message.
        message: Message,
    },
    /// Send a prompt to its engines.
    Start {
        /// The request.
        request: Id,
        /// The number of the attempt, counted from 1.
        attempt: u32,
        /// The engines; more than one if a gang serves the prompt.
        engines: Vec<Name>,
    },
    /// Send a call to a server of a plain service.
    Call {
        /// The request.
        request: Id,
        /// The number of the attempt, counted from 1.
        attempt: u32,
        /// The server.
        server: Name,
    },
    /// Answer the caller with an error.
    Refuse {
        /// The request.
        request: Id,
        /// The error and when to retry.
        refusal: Refusal,
    },
    /// Answer the caller with the outcome of an earlier request that had the same idempotency key.
    Replay {
        /// The request.
        request: Id,
        /// The outcome of the earlier request.
        outcome: ledger::Outcome,
    },
    /// Cancel a request at its engines and wait until they confirm it.
    Cancel {
        /// The request.
        request: Id,
        /// The engines.
        engines: Vec<Name>,
    },
    /// Reserve memory at an engine.
    Reserve {
        /// The engine.
        engine: Name,
        /// The entry host that the memory is held for.
        holder: Name,
        /// The request.
        request: Id,
        /// Amount of memory, in tokens of KV cache.
        tokens: u64,
    },
    /// Free the memory that an engine holds for a request.
    Free {
        /// The engine.
        engine: Name,
        /// The request.
        request: Id,
    },
    /// Read or write a ledger segment in the platform.
    Ledger(ledger::Action),
}

/// Configuration of a [`Node`].
#[derive(Debug, Clone)]
pub struct Config {
    /// The identity that this host announces to its peers.
    pub card: Card,
    /// Parameters of the choice of engines.
    pub placement: placement::Config,
    /// Maximum time that a planned stop takes.
    pub drain_limit: Duration,
}

/// A load digest and the time it was received.
#[derive(Debug, Clone)]
struct Load {
    digest: Digest,
    at: Time,
}

/// The state of one entry host.
#[derive(Debug)]
pub struct Node {
    placement: placement::Config,
    drain_limit: Duration,
    now: Time,
    wall_ms: u64,
    tree: Arc<Tree>,
    patches: VecDeque<Arc<Patch>>,
    cells: BTreeMap<Key, Vec<Name>>,
    view: View,
    homes: BTreeMap<Key, Cell>,
    loads: HashMap<Key, Load>,
    inflight: InFlight,
    rate_shares: HashMap<Name, Share>,
    rate_loans: HashMap<Name, Loan>,
    servers: servers::ServerTable,
    shards: BTreeMap<u32, ledger::Shard>,
    pending_outcomes: HashMap<Id, claims::PendingOutcome>,
    dropped: HashMap<Id, Time>,
    leaving: peers::LeavingServers,
    quarantine: Quarantine,
    findings_repeated_at: Option<Time>,
    budget: Budget,
    output_estimate: OutputLengths,
    slo: slo::Log,
    stop: Option<stop::Stop>,
    last_heartbeat: Option<Time>,
    load_asked_at: Option<Time>,
    settings_asked_at: Option<Time>,
    loopback: VecDeque<Message>,
    actions: Vec<Action>,
}

impl Node {
    /// Creates a node without settings that knows no other host.
    pub fn new(config: Config, now: Time) -> Node {
        Node {
            placement: config.placement,
            drain_limit: config.drain_limit,
            now,
            wall_ms: 0,
            tree: Arc::default(),
            patches: VecDeque::new(),
            cells: BTreeMap::new(),
            view: View::new(config.card, now),
            homes: BTreeMap::new(),
            loads: HashMap::new(),
            inflight: InFlight::default(),
            rate_shares: HashMap::new(),
            rate_loans: HashMap::new(),
            servers: servers::ServerTable::default(),
            shards: BTreeMap::new(),
            pending_outcomes: HashMap::new(),
            dropped: HashMap::new(),
            leaving: peers::LeavingServers::default(),
            quarantine: Quarantine::default(),
            findings_repeated_at: None,
            budget: Budget::default(),
            output_estimate: OutputLengths::default(),
            slo: slo::Log::default(),
            stop: None,
            last_heartbeat: None,
            load_asked_at: None,
            settings_asked_at: None,
            loopback: VecDeque::new(),
            actions: Vec::new(),
        }
    }

    /// Processes an event and returns the actions that result from it.
    ///
    /// `wall_ms` is the wall-clock time in milliseconds since the Unix epoch. It is used only for
    /// the age of idempotency keys and for the per-minute counts of the objectives. Everything else
    /// depends on `now` only.
    pub fn handle(&mut self, event: Event, now: Time, wall_ms: u64) -> Vec<Action> {
        self.now = now;
        self.wall_ms = wall_ms;
        // While this process was suspended, it could not receive reports of its engines.
        if let Some(suspended) = self.view.detect_pause(now) {
            self.homes
                .values_mut()
                .for_each(|cell| cell.extend_timeouts(suspended));
        }
        self.handle_event(event);
        while let Some(message) = self.loopback.pop_front() {
            let own = self.own_name();
            self.handle_message(own, message);
        }
        std::mem::take(&mut self.actions)
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Submit(submission) => self.submit(*submission),
            Event::FirstToken { request } => self.handle_first_token(request),
            Event::AttemptEnded {
                request,
                attempt,
                ended,
            } => self.handle_attempt_end(request, attempt, ended),
            Event::CallerGone { request } => self.handle_caller_gone(request),
            Event::Deliver { from, message } => self.handle_message(from, message),
            Event::HostUnreachable { host } => self.view.mark_silent(&host, self.now),
            Event::Report(report) => self.handle_report(&report),
            Event::Reserved {
                engine,
                request,
                agreed,
            } => self.handle_reservation_answer(&engine, request, agreed),
            Event::Hosts { cards, leaving } => self.handle_host_list(cards, leaving),
            Event::Settings(tree) => self.apply_settings(tree),
            Event::Segments { shard, segments } => self.handle_segments(shard, segments),
            Event::SegmentWritten { shard, written } => self.handle_segment_written(shard, written),
            Event::SegmentCleared {
                shard,
                number,
                version,
            } => self.handle_segment_cleared(shard, number, version),
            Event::Drain => self.drain(),
            Event::Tick => self.tick(),
        }
    }

    fn tick(&mut self) {
        self.tick_peers();
        self.tick_homes();
        self.tick_inflight();
        self.tick_claims();
        self.tick_quarantine();
    }

    /// Returns whether the host may serve requests.
    ///
    /// It may if it is not draining, has settings, has joined its peers ([`View::has_joined`]), and
    /// no peer has reported a newer revision of the settings.
    pub fn is_ready(&self) -> bool {
        !self.is_draining()
            && self.tree.revision > 0
            && self.view.has_joined(self.now)
            && self.tree.revision >= self.view.highest_revision()
    }

    /// Returns the settings in force on this host.
    pub fn tree(&self) -> &Arc<Tree> {
        &self.tree
    }

    /// Returns this host's view of the other hosts.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns the counts of requests that met or missed their objectives.
    pub fn slo(&self) -> &slo::Log {
        &self.slo
    }

    /// Restores the counts that an earlier process of this host published, to continue from them.
    pub fn restore_slo(&mut self, log: slo::Log) {
        self.slo = log;
        self.slo.tidy(self.wall_ms);
    }

    /// Returns the cells whose home this host is.
    pub fn homes(&self) -> impl Iterator<Item = &Cell> {
        self.homes.values()
    }

    /// Returns the number of requests in flight.
    pub fn inflight(&self) -> usize {
        self.inflight.len()
    }

    /// Returns the number of writes that the ledger shards on this host have requested.
    pub fn ledger_writes(&self) -> u64 {
        self.shards.values().map(ledger::Shard::writes).sum()
    }

    /// Returns the engines whose load reports this host has to fetch: those of its own cells.
    pub fn polled_engines(&self) -> BTreeSet<Name> {
        self.homes
            .keys()
            .filter_map(|key| self.cells.get(key))
            .flatten()
            .cloned()
            .collect()
    }

    /// Returns whether a request is in flight.
    pub fn contains(&self, request: Id) -> bool {
        self.inflight.get(request).is_some()
    }

    /// Returns whether this host is the one that sends orders to the engines of its failure domain.
    pub fn is_order_sender(&self) -> bool {
        let home = self.view.home("orders", self.now);
        home == self.view.own().name
    }

    /// Returns the last known load of the cells in this host's failure domain, sorted by cell.
    pub fn domain_loads(&self) -> Vec<Digest> {
        let own = &self.view.own().domain;
        let local = self
            .loads
            .values()
            .filter(|load| load.digest.cell.domain == *own);
        let mut digests: Vec<Digest> = local.map(|load| load.digest.clone()).collect();
        digests.sort_by(|a, b| a.cell.cmp(&b.cell));
        digests
    }

    fn own_name(&self) -> Name {
        self.view.own().name.clone()
    }

    /// Sends a message to a host.
    ///
    /// Messages to this host itself are queued and processed before [`Node::handle`] returns.
    /// Messages to unknown hosts are dropped.
    fn send(&mut self, to: &Name, message: Message) {
        if *to == self.view.own().name {
            self.loopback.push_back(message);
            return;
        }
        let Some(card) = self.view.card(to) else {
            return;
        };
        self.actions.push(Action::Send {
            to: to.clone(),
            address: card.address.clone(),
            message,
        });
    }

    fn refuse(&mut self, request: Id, refusal: Refusal) {
        self.actions.push(Action::Refuse { request, refusal });
    }

    /// Applies settings if they are newer than those in force; older ones are ignored.
    fn apply_settings(&mut self, tree: Arc<Tree>) {
        if tree.revision <= self.tree.revision {
            return;
        }
        self.view.own_mut().revision = tree.revision;
        self.record_patch(&tree);
        self.cells = crate::cell::split(&tree);
        self.tree = tree;
        self.rate_shares.clear();
        self.rate_loans.clear();
        self.set_home_engines();
        // Announces the new revision at once.
        self.last_heartbeat = None;
    }
}
