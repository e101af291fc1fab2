//! One entry host's decisions: events go in, actions come out.
//!
//! [`Node::handle`] is the only way in. It is driven by the daemon's control thread and, in
//! scenarios, by a virtual clock. The parts: [`submit`](self) takes requests and finds them a
//! cell, `progress` follows them to their answer, `tries` decides
//! what the end of a try means, `homes` runs the cells whose home this host
//! is, `peers` keeps the view of the other hosts, `claims` keeps the ledger, `stop` ends it all.

mod claims;
mod homes;
mod peers;
mod progress;
mod servers;
mod stop;
mod submit;
mod tries;

use crate::Name;
use crate::book::Report;
use crate::cell::{Cell, Digest, Key};
use crate::estimate::Output;
use crate::inflight::{Submission, Table};
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

/// What happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// A caller's request came.
    Submit(Box<Submission>),
    /// A request's first token came.
    FirstToken {
        /// The request.
        request: Id,
    },
    /// A try at a backend server ended.
    Ended {
        /// The request.
        request: Id,
        /// The try.
        attempt: u32,
        /// How.
        ended: Ended,
    },
    /// A caller went away.
    Gone {
        /// The request.
        request: Id,
    },
    /// A message came from another host.
    Deliver {
        /// The sender.
        from: Name,
        /// The message.
        message: Message,
    },
    /// A host didn't take a message.
    Silent {
        /// The host.
        host: Name,
    },
    /// An engine reported its load.
    Report(Report),
    /// An engine answered a reservation.
    Reserved {
        /// The engine.
        engine: Name,
        /// The request.
        request: Id,
        /// Whether it holds the memory now.
        agreed: bool,
    },
    /// The platform's list of hosts came.
    Hosts {
        /// The entry hosts.
        cards: Vec<Card>,
        /// Backend servers that are leaving.
        leaving: Vec<Name>,
    },
    /// Settings came from the platform.
    Settings(Arc<Tree>),
    /// The platform gave, or failed to give, a shard's segments.
    Segments {
        /// The shard.
        shard: u32,
        /// The segments.
        segments: Option<Vec<ledger::Versioned>>,
    },
    /// A write of a segment ended.
    SegmentWritten {
        /// The shard.
        shard: u32,
        /// How.
        written: ledger::Written,
    },
    /// A segment was emptied.
    SegmentCleared {
        /// The shard.
        shard: u32,
        /// The segment's number.
        number: u64,
        /// Its new version.
        version: u64,
    },
    /// The host is to stop: take nothing new, finish what is in hand.
    Drain,
    /// Time passed.
    Tick,
}

/// How a try at a backend server ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Ended {
    /// The whole answer was delivered.
    Finished {
        /// Tokens in the answer.
        tokens: u64,
        /// What a repeated key is told.
        outcome: ledger::Outcome,
    },
    /// The backend said that it has no room and didn't start.
    NoRoom,
    /// The backend said that it is leaving and didn't start.
    Leaving,
    /// The backend was not reached: nothing was sent.
    Unreached,
    /// Contact was lost after sending.
    Broke,
    /// The backend said that it failed the request.
    Failed,
    /// The caller's time ran out.
    Expired,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a message to another host.
    Send {
        /// The host.
        to: Name,
        /// Its address.
        address: Name,
        /// The message.
        message: Message,
    },
    /// Send a request to its engines.
    Start {
        /// The request.
        request: Id,
        /// The try.
        attempt: u32,
        /// The engines, several for a gang.
        engines: Vec<Name>,
    },
    /// Send a call to a server.
    Call {
        /// The request.
        request: Id,
        /// The try.
        attempt: u32,
        /// The server.
        server: Name,
    },
    /// Answer with a failure.
    Refuse {
        /// The request.
        request: Id,
        /// The answer.
        refusal: Refusal,
    },
    /// Answer with what the first request of the same key was answered.
    Replay {
        /// The request.
        request: Id,
        /// How the first one ended.
        outcome: ledger::Outcome,
    },
    /// Stop a request at its engines, and confirm that it stopped.
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
        /// The entry host that it is held for.
        holder: Name,
        /// The request.
        request: Id,
        /// Memory in tokens.
        tokens: u64,
    },
    /// Free what an engine holds for a request.
    Free {
        /// The engine.
        engine: Name,
        /// The request.
        request: Id,
    },
    /// Read or write the ledger.
    Ledger(ledger::Action),
}

/// How a node is set up.
#[derive(Debug, Clone)]
pub struct Config {
    /// The host's own card.
    pub card: Card,
    /// How engines are picked.
    pub placement: placement::Config,
    /// A planned stop takes at most this long.
    pub drain_limit: Duration,
}

/// A load digest and when it came.
#[derive(Debug, Clone)]
struct Load {
    digest: Digest,
    at: Time,
}

/// One entry host's decisions.
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
    inflight: Table,
    shares: HashMap<Name, Share>,
    loans: HashMap<Name, Loan>,
    servers: servers::Book,
    shards: BTreeMap<u32, ledger::Shard>,
    settling: HashMap<Id, claims::Settling>,
    dropped: HashMap<Id, Time>,
    leaving: peers::Leaving,
    budget: Budget,
    output: Output,
    slo: slo::Log,
    stop: Option<stop::Stop>,
    beat: Option<Time>,
    asked_load: Option<Time>,
    asked_settings: Option<Time>,
    local: VecDeque<Message>,
    actions: Vec<Action>,
}

impl Node {
    /// Starts a node that knows no settings and no other host.
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
            inflight: Table::default(),
            shares: HashMap::new(),
            loans: HashMap::new(),
            servers: servers::Book::default(),
            shards: BTreeMap::new(),
            settling: HashMap::new(),
            dropped: HashMap::new(),
            leaving: peers::Leaving::default(),
            budget: Budget::default(),
            output: Output::default(),
            slo: slo::Log::default(),
            stop: None,
            beat: None,
            asked_load: None,
            asked_settings: None,
            local: VecDeque::new(),
            actions: Vec::new(),
        }
    }

    /// Takes an event and gives the actions that follow from it.
    ///
    /// `wall_ms` is the wall clock in milliseconds of the Unix epoch; only the age of
    /// idempotency keys and the minutes of reports are read from it.
    pub fn handle(&mut self, event: Event, now: Time, wall_ms: u64) -> Vec<Action> {
        self.now = now;
        self.wall_ms = wall_ms;
        if let Some(stopped) = self.view.look(now) {
            self.homes
                .values_mut()
                .for_each(|cell| cell.forgive(stopped));
        }
        self.step(event);
        while let Some(message) = self.local.pop_front() {
            let own = self.own_name();
            self.deliver(own, message);
        }
        std::mem::take(&mut self.actions)
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Submit(submission) => self.submit(*submission),
            Event::FirstToken { request } => self.first_token(request),
            Event::Ended {
                request,
                attempt,
                ended,
            } => self.ended(request, attempt, ended),
            Event::Gone { request } => self.gone(request),
            Event::Deliver { from, message } => self.deliver(from, message),
            Event::Silent { host } => self.view.note_silent(&host, self.now),
            Event::Report(report) => self.report(&report),
            Event::Reserved {
                engine,
                request,
                agreed,
            } => self.reserved(&engine, request, agreed),
            Event::Hosts { cards, leaving } => self.hosts(cards, leaving),
            Event::Settings(tree) => self.take_settings(tree),
            Event::Segments { shard, segments } => self.segments(shard, segments),
            Event::SegmentWritten { shard, written } => self.segment_written(shard, written),
            Event::SegmentCleared {
                shard,
                number,
                version,
            } => self.segment_cleared(shard, number, version),
            Event::Drain => self.drain(),
            Event::Tick => self.tick(),
        }
    }

    fn tick(&mut self) {
        self.tick_peers();
        self.tick_homes();
        self.tick_inflight();
        self.tick_claims();
    }

    /// Says whether the host may serve: it has settings, and none that a peer has outdated.
    pub fn is_ready(&self) -> bool {
        !self.is_draining()
            && self.tree.revision > 0
            && self.view.has_joined(self.now)
            && self.tree.revision >= self.view.highest_revision()
    }

    /// Gives the settings in force here.
    pub fn tree(&self) -> &Arc<Tree> {
        &self.tree
    }

    /// Gives the view of the other hosts.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Gives what was counted against the objectives.
    pub fn slo(&self) -> &slo::Log {
        &self.slo
    }

    /// Goes on counting from what an earlier process of this host published.
    pub fn restore_slo(&mut self, log: slo::Log) {
        self.slo = log;
        self.slo.tidy(self.wall_ms);
    }

    /// Gives the cells whose home this host is.
    pub fn homes(&self) -> impl Iterator<Item = &Cell> {
        self.homes.values()
    }

    /// Gives how many requests are in hand.
    pub fn inflight(&self) -> usize {
        self.inflight.len()
    }

    /// Gives how many writes the ledger's shards have asked for here.
    pub fn ledger_writes(&self) -> u64 {
        self.shards.values().map(ledger::Shard::writes).sum()
    }

    /// Names the engines whose reports this host has to fetch.
    pub fn polled_engines(&self) -> BTreeSet<Name> {
        self.homes
            .keys()
            .filter_map(|key| self.cells.get(key))
            .flatten()
            .cloned()
            .collect()
    }

    /// Says whether a request is in hand.
    pub fn has(&self, request: Id) -> bool {
        self.inflight.get(request).is_some()
    }

    /// Says whether this host is the one to give orders to the engines of its failure domain.
    pub fn gives_orders(&self) -> bool {
        let home = self.view.home("orders", self.now);
        home == self.view.own().name
    }

    /// Gives the last known load of the own domain's cells.
    pub fn near_loads(&self) -> Vec<Digest> {
        let own = &self.view.own().domain;
        let near = self
            .loads
            .values()
            .filter(|load| load.digest.cell.domain == *own);
        let mut digests: Vec<Digest> = near.map(|load| load.digest.clone()).collect();
        digests.sort_by(|a, b| a.cell.cmp(&b.cell));
        digests
    }

    fn own_name(&self) -> Name {
        self.view.own().name.clone()
    }

    /// Sends a message; one to the host itself takes the short way.
    fn send(&mut self, to: &Name, message: Message) {
        if *to == self.view.own().name {
            self.local.push_back(message);
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

    /// Takes settings that are newer than those in force; older ones are dropped.
    fn take_settings(&mut self, tree: Arc<Tree>) {
        if tree.revision <= self.tree.revision {
            return;
        }
        self.view.own_mut().revision = tree.revision;
        self.remember_patch(&tree);
        self.cells = crate::cell::split(&tree);
        self.tree = tree;
        self.shares.clear();
        self.loans.clear();
        self.set_home_engines();
        self.beat = None;
    }
}
