//! A stand-in for a model engine: the timing model behind HTTP, with faults.
//!
//! Each token's text is the beginning of the prompt and the token's number, so that a test can
//! tell whose answer a token belongs to.

pub mod model;
mod serve;

use crate::batch::{Config, Emitted};
use crate::http::{self, Listening};
use alderglade_core::Name;
use alderglade_core::engine_state::Report;
use alderglade_core::request::Id;
use alderglade_core::time::Time;
use model::Model;
pub use serve::ECHO;
use std::collections::{HashMap, HashSet};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// How often the engine's load is noted for later reports.
const REPORT_EVERY: Duration = Duration::from_millis(100);
/// An idle engine looks for work this often.
const IDLE: Duration = Duration::from_millis(1);

struct State {
    model: Model,
    streams: HashMap<Id, Sender<Emitted>>,
    keep: HashSet<Id>,
    report: Option<Report>,
}

impl State {
    fn listen(&mut self, id: Id) -> Receiver<Emitted> {
        let (sender, receiver) = mpsc::channel();
        self.streams.insert(id, sender);
        receiver
    }
}

/// What the engine's threads share.
#[derive(Clone)]
struct Shared {
    name: Name,
    state: Arc<Mutex<State>>,
    began: Instant,
}

impl Shared {
    fn now(&self) -> Time {
        Time(self.began.elapsed().as_micros() as u64)
    }
}

/// How an engine stand-in is set up.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Its name.
    pub name: Name,
    /// Its address.
    pub address: String,
    /// Its timing.
    pub batch: Config,
    /// How much faster than the model's time it runs.
    pub scale: f64,
    /// How far its load reports lag behind.
    pub lag: Duration,
    /// Whether it refuses orders with an older epoch.
    pub checks_orders: bool,
}

/// The engine's stand-in.
#[derive(Clone)]
pub struct Engine {
    shared: Shared,
    listening: Arc<Listening>,
}

impl Engine {
    /// Starts an engine.
    pub fn start(setup: &Setup) -> Engine {
        let state = State {
            model: Model::new(&setup.name, setup.batch, setup.checks_orders),
            streams: HashMap::new(),
            keep: HashSet::new(),
            report: None,
        };
        let shared = Shared {
            name: setup.name.clone(),
            state: Arc::new(Mutex::new(state)),
            began: Instant::now(),
        };
        let serving = shared.clone();
        let listening = http::listen(&setup.address, move |request| serving.serve(request));
        let stepping = shared.clone();
        let scale = setup.scale;
        thread::spawn(move || stepping.run_steps(scale));
        let reporting = shared.clone();
        let lag = setup.lag;
        thread::spawn(move || reporting.run_reports(lag));
        Engine {
            shared,
            listening: Arc::new(listening),
        }
    }

    /// Gives its name.
    pub fn name(&self) -> &Name {
        &self.shared.name
    }

    /// Gives the address.
    pub fn address(&self) -> String {
        self.listening.address().to_string()
    }

    /// Does something with the engine's model, such as setting a fault or reading its account.
    pub fn with<T>(&self, act: impl FnOnce(&mut Model) -> T) -> T {
        act(&mut lock(&self.shared.state).model)
    }

    /// Starts anew with empty memory; all streams end.
    pub fn restart(&self) {
        let mut state = lock(&self.shared.state);
        state.model.restart();
        state.streams.clear();
    }

    /// Takes no further connections and drops all streams.
    pub fn die(&self) {
        self.listening.stop();
        let mut state = lock(&self.shared.state);
        state.model.faults.refusing = true;
        state.streams.clear();
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl Shared {
    /// Steps through the model's time, `scale` times as fast as the clock.
    fn run_steps(&self, scale: f64) {
        loop {
            let (time, emitted) = self.step();
            if time.is_zero() {
                thread::sleep(IDLE);
                continue;
            }
            thread::sleep(time.div_f64(scale));
            self.hand_out(&emitted);
        }
    }

    fn step(&self) -> (Duration, Vec<Emitted>) {
        let now = self.now();
        let mut state = lock(&self.state);
        for id in state.model.lapse(now) {
            state.streams.remove(&id);
        }
        if state.model.faults.frozen || state.model.is_idle() {
            return (Duration::ZERO, Vec::new());
        }
        let keep = state.keep.clone();
        state.model.step(|id| keep.contains(&id))
    }

    fn hand_out(&self, emitted: &[Emitted]) {
        let mut state = lock(&self.state);
        for token in emitted {
            let gone = match state.streams.get(&token.id) {
                Some(stream) => stream.send(*token).is_err(),
                None => false,
            };
            if gone {
                state.model.free(token.id);
            }
            if gone || token.last {
                state.streams.remove(&token.id);
            }
        }
    }

    /// Notes the load now and publishes it when it is as old as the lag.
    fn run_reports(&self, lag: Duration) {
        let behind = lag.as_millis() / REPORT_EVERY.as_millis();
        let mut waiting = std::collections::VecDeque::new();
        loop {
            let now = self.now();
            let mut state = lock(&self.state);
            if !state.model.faults.frozen {
                waiting.push_back(state.model.report(now));
            }
            if waiting.len() as u128 > behind {
                state.report = waiting.pop_front();
            }
            drop(state);
            thread::sleep(REPORT_EVERY);
        }
    }
}
