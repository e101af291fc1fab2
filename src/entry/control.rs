//! The control thread: owns the decisions, carries out what follows from them.

use super::engines::Engines;
use super::outside::Platform;
use super::snapshot::{Published, Snapshot};
use alderglade_clock::Instant;
use alderglade_core::Name;
use alderglade_core::error::Kind;
use alderglade_core::inflight::Submission;
use alderglade_core::ledger::Outcome;
use alderglade_core::node::{Action, Event, Node};
use alderglade_core::request::{Id, Refusal};
use alderglade_core::settings::Tokens;
use alderglade_core::slo::Log;
use alderglade_core::time::Time;
use alderglade_operator::event;
use alderglade_operator::metrics::Metrics;
use alderglade_operator::pages::{Backlog, Status};
use alderglade_peer::Peers;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time is let pass this often.
const TICK: Duration = Duration::from_millis(20);
/// The picture for traffic threads is renewed this often.
const PUBLISH: Duration = Duration::from_millis(250);
/// Events handled between two looks at the clock for a tick.
const BURST: usize = 256;

/// What other threads tell the control thread.
pub(crate) enum Input {
    /// A request, and where its thread waits.
    Submit {
        /// The request.
        submission: Box<Submission>,
        /// Where to send what its thread has to do.
        thread: Sender<Instruction>,
    },
    /// Anything else that happened.
    Event(Event),
    /// Somebody wants the counts against the objectives.
    AskLog(Sender<Log>),
}

/// What a request's thread has to do.
#[derive(Debug)]
pub(crate) enum Instruction {
    /// Send the request to these engines.
    Start {
        /// The try.
        attempt: u32,
        /// The engines.
        engines: Vec<Name>,
    },
    /// Send the call to this server.
    Call {
        /// The try.
        attempt: u32,
        /// The server.
        server: Name,
    },
    /// Answer with a failure.
    Refuse(Refusal),
    /// Answer what the first request of the key was answered.
    Replay(Outcome),
}

/// A planned stop that has no request in hand any more.
pub(crate) struct Stop {
    /// Whether nothing was cut off.
    pub whole: bool,
    /// When its time is over.
    pub until: Instant,
}

/// The control thread's own things.
pub(crate) struct Control {
    /// The decisions.
    pub node: Node,
    /// What comes in.
    pub inputs: Receiver<Input>,
    /// Other hosts.
    pub peers: Peers,
    /// Engines.
    pub engines: Engines,
    /// The platform.
    pub platform: Platform,
    /// Where the picture hangs.
    pub published: Published,
    /// Metrics.
    pub metrics: Metrics,
    /// When the process began.
    pub began: Instant,
    /// Threads of requests in hand.
    pub threads: HashMap<Id, Sender<Instruction>>,
    /// When the last request that no engine could take was logged.
    pub no_capacity_logged: Option<Instant>,
}

impl Control {
    /// Runs until a planned stop has finished, or its time is over.
    pub(crate) fn run(mut self, drain_limit: Duration) -> Stop {
        let mut ticked = Instant::now();
        let mut published = None;
        let mut draining = None;
        loop {
            self.take_inputs(TICK.saturating_sub(ticked.elapsed()));
            if ticked.elapsed() >= TICK {
                ticked = Instant::now();
                self.handle(Event::Tick);
            }
            let due = published.is_none_or(|at: Instant| at.elapsed() >= PUBLISH);
            if due || self.has_news() {
                published = Some(Instant::now());
                self.publish();
            }
            if self.published.load().draining {
                let since = *draining.get_or_insert_with(Instant::now);
                let late = since.elapsed() > drain_limit;
                if late {
                    // What is still in hand is answered now that its time is over, too.
                    self.handle(Event::Tick);
                }
                let over = self.node.is_drained();
                if over || late {
                    let whole = self.tell_cut_off(over);
                    self.platform
                        .publish_log(&self.node.view().own().name, self.node.slo().clone());
                    return Stop {
                        whole,
                        until: since + drain_limit,
                    };
                }
            }
        }
    }

    /// Says whether a stop that ends cut nothing off, and logs it if it did.
    fn tell_cut_off(&self, over: bool) -> bool {
        let whole = over && self.node.ended_by_drain() == 0;
        if !whole {
            let left = self.node.ended_by_drain() + self.node.inflight();
            event::write(event::CUT_SHORT, &format!("{left} in hand"));
        }
        whole
    }

    /// Waits for something to happen, no longer than until the next tick, and takes what has.
    fn take_inputs(&mut self, wait: Duration) {
        let mut next = self.inputs.recv_timeout(wait);
        for _ in 0..BURST {
            match next {
                Ok(input) => self.take(input),
                Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => return,
            }
            next = self
                .inputs
                .try_recv()
                .map_err(|_| RecvTimeoutError::Timeout);
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Submit { submission, thread } => {
                self.threads.insert(submission.ticket.id, thread);
                self.handle(Event::Submit(submission));
            }
            Input::Event(event) => {
                if let Event::CallerGone { request } = &event {
                    self.threads.remove(request);
                }
                self.handle(event);
            }
            // Who asked may have stopped waiting.
            Input::AskLog(reply) => drop(reply.send(self.node.slo().clone())),
        }
    }

    fn handle(&mut self, event: Event) {
        let began = Instant::now();
        let ended = match &event {
            Event::AttemptEnded { request, .. } => Some(*request),
            _ => None,
        };
        let now = Time(self.began.elapsed().as_micros() as u64);
        let actions = self.node.handle(event, now, wall_ms());
        for action in actions {
            self.carry_out(action);
        }
        if let Some(request) = ended {
            self.forget_finished(request);
        }
        self.metrics
            .control_micros
            .inc_by(began.elapsed().as_micros() as u64);
    }

    /// Lets the thread of a request go that has nothing more to be told.
    fn forget_finished(&mut self, request: Id) {
        if !self.node.contains(request) {
            self.threads.remove(&request);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send {
                to,
                address,
                message,
            } => {
                self.metrics.messages.inc();
                self.peers.send(to, address, message);
            }
            Action::Start {
                request,
                attempt,
                engines,
            } => self.instruct(request, Instruction::Start { attempt, engines }),
            Action::Call {
                request,
                attempt,
                server,
            } => self.instruct(request, Instruction::Call { attempt, server }),
            Action::Refuse { request, refusal } => {
                if refusal.kind == Kind::NoCapacity {
                    self.log_no_capacity(request);
                }
                self.instruct(request, Instruction::Refuse(refusal));
                self.threads.remove(&request);
            }
            Action::Replay { request, outcome } => {
                self.instruct(request, Instruction::Replay(outcome));
                self.threads.remove(&request);
            }
            Action::Cancel { request, engines } => self.engines.cancel(request, engines),
            Action::Reserve {
                engine,
                holder,
                request,
                tokens,
            } => self.engines.reserve(engine, holder, request, tokens),
            Action::Free { engine, request } => self.engines.cancel(request, vec![engine]),
            Action::Ledger(action) => self.platform.ledger(action),
        }
    }

    /// Logs why no engine could take a request, at most once a second.
    fn log_no_capacity(&mut self, request: Id) {
        const INTERVAL: Duration = Duration::from_secs(1);
        let recent = self.no_capacity_logged;
        if recent.is_none_or(|at| at.elapsed() >= INTERVAL) {
            self.no_capacity_logged = Some(Instant::now());
            let cells = self.node.describe_cells();
            event::write(event::NO_CAPACITY, &format!("{request}: {cells}"));
        }
    }

    fn instruct(&self, request: Id, instruction: Instruction) {
        if let Some(thread) = self.threads.get(&request) {
            // A thread that is gone has said so by an event of its own.
            let _ = thread.send(instruction);
        }
    }

    fn has_news(&self) -> bool {
        let shown = self.published.load();
        let newer = shown.tree.revision != self.node.tree().revision;
        newer || shown.ready != self.node.is_ready()
    }

    /// Hangs up a new picture.
    fn publish(&self) {
        let shown = self.published.load();
        let tree = self.node.tree().clone();
        let same = shown.tree.revision == tree.revision;
        let tokens = if same {
            shown.tokens.clone()
        } else {
            event::write(event::SETTINGS, &format!("revision {}", tree.revision));
            Arc::new(Tokens::of(&tree))
        };
        let status = self.status();
        self.metrics.inflight.set(status.inflight as i64);
        self.metrics.revision.set(status.revision as i64);
        self.metrics.live_hosts.set(status.peers.len() as i64 + 1);
        let waiting: usize = status.backlog.iter().map(|cell| cell.waiting).sum();
        self.metrics.waiting.set(waiting as i64);
        self.metrics
            .ledger_writes
            .set(self.node.ledger_writes() as i64);
        self.engines.set_settings(&tree);
        let snapshot = Snapshot {
            ready: status.ready,
            draining: status.draining,
            tokens,
            polled: self.node.polled_engines(),
            orders: self.node.is_order_sender(),
            status,
            tree,
        };
        self.published.store(Arc::new(snapshot));
    }

    fn status(&self) -> Status {
        let own = self.node.view().own();
        let now = Time(self.began.elapsed().as_micros() as u64);
        let backlog = |cell: &alderglade_core::cell::Cell| Backlog {
            cell: cell.key.to_string(),
            waiting: cell.waiting(),
            running: cell.running(),
        };
        Status {
            host: own.name.to_string(),
            domain: own.domain.to_string(),
            ready: self.node.is_ready(),
            draining: own.leaving,
            revision: own.revision,
            inflight: self.node.inflight(),
            peers: self.node.view().live_peers(now).cloned().collect(),
            cells: self.node.domain_loads(),
            backlog: self.node.homes().map(backlog).collect(),
        }
    }
}

/// Gives the wall clock in milliseconds of the Unix epoch.
pub(crate) fn wall_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}
