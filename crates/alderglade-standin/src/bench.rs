//! What one decision costs: a cell of many engines with many requests waiting.
//!
//! The clock of the machine is read around each call; everything else is the core's.

use crate::fleet::{self, EngineAt};
use alderglade_core::Name;
use alderglade_core::cell::{Action, Cell, End, Key};
use alderglade_core::engine_state::Report;
use alderglade_core::lane::Lane;
use alderglade_core::placement;
use alderglade_core::request::{Id, Ticket};
use alderglade_core::time::Time;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// How large the cell is.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Size {
    /// Engines of the cell.
    pub engines: usize,
    /// Requests that wait.
    pub waiting: usize,
    /// Workspaces that they come from.
    pub workspaces: usize,
}

/// What the decisions cost, in nanoseconds.
#[derive(Debug, Clone, Serialize)]
pub struct Cost {
    /// How large the cell is.
    pub size: Size,
    /// Taking a request: admission and queue.
    pub enqueue: Nanos,
    /// A first token: the engine has room again and the next request is placed.
    pub first_token: Nanos,
    /// A request that has left: the next one is placed.
    pub done: Nanos,
    /// One tick of the cell.
    pub tick: Nanos,
    /// Decisions measured of each sort.
    pub measured: usize,
}

/// Percentiles of a cost.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Nanos {
    /// The median.
    pub p50: u64,
    /// Of 99 in 100.
    pub p99: u64,
}

/// Virtual time between two rounds.
const ROUND: Duration = Duration::from_micros(200);
/// Rounds between two ticks: the daemon ticks every 20 ms.
const ROUNDS_A_TICK: usize = 100;

struct Bench {
    cell: Cell,
    now: Time,
    serial: u64,
    workspaces: Vec<Name>,
    model: Name,
    host: Name,
    running: VecDeque<Id>,
    fresh: VecDeque<Id>,
}

/// Measures `rounds` decisions of each sort.
pub fn run(size: Size, rounds: usize) -> Cost {
    let mut bench = Bench::new(size);
    for _ in 0..size.waiting {
        bench.enqueue();
    }
    let mut enqueue = histogram();
    let mut first_token = histogram();
    let mut done = histogram();
    let mut tick = histogram();
    for round in 0..rounds {
        bench.now = bench.now + ROUND;
        if round % ROUNDS_A_TICK == 0 {
            timed(&mut tick, || bench.cell.tick(bench.now));
            bench.collect();
        }
        timed(&mut enqueue, || bench.enqueue());
        if let Some(id) = bench.fresh.pop_front() {
            timed(&mut first_token, || bench.cell.first_token(id, bench.now));
            bench.running.push_back(id);
            bench.collect();
        }
        if let Some(id) = bench.running.pop_front() {
            timed(&mut done, || bench.cell.finish(id, End::Left, bench.now));
            bench.collect();
        }
    }
    Cost {
        size,
        enqueue: nanos(&enqueue),
        first_token: nanos(&first_token),
        done: nanos(&done),
        tick: nanos(&tick),
        measured: rounds,
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits")
}

fn timed(histogram: &mut Histogram<u64>, act: impl FnOnce()) {
    let began = Instant::now();
    act();
    // An auto-resizing histogram takes any value.
    let _ = histogram.record(began.elapsed().as_nanos() as u64);
}

fn nanos(histogram: &Histogram<u64>) -> Nanos {
    Nanos {
        p50: histogram.value_at_quantile(0.5),
        p99: histogram.value_at_quantile(0.99),
    }
}

impl Bench {
    fn new(size: Size) -> Bench {
        let engines: Vec<EngineAt> = (0..size.engines)
            .map(|number| EngineAt {
                name: format!("e{number:04}").into(),
                domain: "d".into(),
                address: "127.0.0.1:1".into(),
                kv_tokens: 400_000,
            })
            .collect();
        let names: Vec<Name> = engines.iter().map(|engine| engine.name.clone()).collect();
        let tree = fleet::tree(&engines, &[], &[]);
        let key = Key {
            domain: "d".into(),
            model: fleet::MODEL.into(),
            index: 0,
        };
        let now = Time::from_millis(1_000);
        let mut cell = Cell::new(key, placement::Config::default(), now);
        cell.set_engines(&tree, &names, now);
        for engine in names {
            let report = Report {
                engine,
                incarnation: 1,
                leaving: false,
                holdings: Vec::new(),
                evicted: Vec::new(),
            };
            cell.report(&report, now);
        }
        Bench {
            cell,
            now,
            serial: 0,
            workspaces: (0..size.workspaces)
                .map(|w| format!("w{w:05}").into())
                .collect(),
            model: fleet::MODEL.into(),
            host: "h".into(),
            running: VecDeque::new(),
            fresh: VecDeque::new(),
        }
    }

    fn enqueue(&mut self) {
        let ticket = self.ticket();
        self.cell.enqueue(&self.host, ticket, self.now);
        self.collect();
    }

    /// One request in fifty is long.
    fn ticket(&mut self) -> Ticket {
        self.serial += 1;
        let long = self.serial.is_multiple_of(50);
        let workspace = (self.serial.wrapping_mul(7_919) % self.workspaces.len() as u64) as usize;
        Ticket {
            id: Id {
                incarnation: 1,
                serial: self.serial,
            },
            workspace: self.workspaces[workspace].clone(),
            model: self.model.clone(),
            lane: if long { Lane::Long } else { Lane::Urgent },
            weight: 1,
            prompt: if long { 128_000 } else { 1_000 },
            output_cap: 64,
            output_expected: 32,
            prefix: None,
            time_left: Duration::from_secs(3_600),
            attempt: 1,
            avoid: None,
        }
    }

    /// Notes which requests were granted.
    fn collect(&mut self) {
        for action in self.cell.take_actions() {
            if let Action::Grant { request, .. } = action {
                self.fresh.push_back(request);
            }
        }
    }
}
