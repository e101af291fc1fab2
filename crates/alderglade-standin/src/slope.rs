//! How the load book and the placement on it grow with hosts and engines.
//!
//! The decisions are the core's; the machine's clock is read around many calls at once, so that
//! reading it costs nothing beside them.

use alderglade_core::Name;
use alderglade_core::fleet::evacuation;
use alderglade_core::fleet::incarnation::{Incarnation, Key};
use alderglade_core::fleet::load_table::{Load, LoadTable, Notice, Pauses, Reservation};
use alderglade_core::fleet::pass::EngineProfile;
use alderglade_core::fleet::placement::{self, Engine, ServiceState, Work};
use alderglade_core::fleet::position::Position;
use alderglade_core::fleet::relay::StoreStatus;
use alderglade_core::time::Time;
use serde::Serialize;
use std::hint::black_box;
use std::time::{Duration, Instant};

/// Figures of an engine as the users' sheets state them.
const FIGURES: EngineProfile = EngineProfile {
    slots: 16,
    memory_tokens: 232_000,
    step: 1.02,
    step_per_request: 0.00226,
    step_per_thousand: 0.00431,
    read_per_ms: 206.0,
    pairs_per_million: 0.138,
    chunk: 2_048,
    stride: 43,
};
/// Requests that each host has running, spread over the engines.
const RUNNING: usize = 12;

/// One size that is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Size {
    /// Entry hosts that share a book.
    pub hosts: usize,
    /// Engines that they place on.
    pub engines: usize,
}

/// What is measured at a size. Times are means in nanoseconds.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Row {
    /// The size.
    pub size: Size,
    /// Bytes of a notice of one change.
    pub change_bytes: usize,
    /// Bytes of a whole notice.
    pub whole_bytes: usize,
    /// Taking a notice of one change.
    pub hear: u64,
    /// Summing up the engines and placing a short prompt.
    pub place_short: u64,
    /// The same for a long prompt read in parts.
    pub place_long: u64,
    /// Bytes of the book in memory, estimated from its entries.
    pub entries: usize,
}

/// Measures one size, `rounds` calls each.
///
/// # Panics
///
/// Where a notice can't be written, which would be a fault of the codec.
pub fn measure(size: Size, rounds: usize) -> Row {
    let mut loads = LoadTable::default();
    let engines = (0..size.engines).map(|number| (engine_key(number), FIGURES));
    loads.set_engines(engines.collect());
    let mut others: Vec<Other> = (1..size.hosts).map(|host| Other::new(host, size)).collect();
    for other in &mut others {
        loads.apply_notice(&other.notice(true), Time(0));
    }
    let mut sender = Other::new(0, size);
    sender.notice(true);
    let whole_bytes = bytes(&sender.notice(true));
    let change_bytes = bytes(&sender.change(0, size));
    let notices: Vec<Notice> = (0..rounds)
        .map(|round| {
            let index = round % others.len().max(1);
            match others.get_mut(index) {
                Some(other) => other.change(round, size),
                None => sender.change(round, size),
            }
        })
        .collect();
    let hear = each(rounds, |round| {
        loads.apply_notice(&notices[round], Time(0));
    });
    Row {
        size,
        change_bytes,
        whole_bytes,
        hear,
        place_short: each(rounds, |_| place(&mut loads, size, 5_000)),
        place_long: each(rounds, |_| place(&mut loads, size, 133_000)),
        entries: size.hosts * RUNNING.min(size.engines) + size.engines,
    }
}

/// A host whose notices are heard.
struct Other {
    name: Name,
    loads: LoadTable,
    sequence: u64,
}

impl Other {
    fn new(number: usize, size: Size) -> Other {
        let mut loads = LoadTable::default();
        for running in 0..RUNNING {
            loads.reserve(hold(number * 7 + running * 5, size), Time(0));
        }
        Other {
            name: format!("host-{number}").into(),
            loads,
            sequence: 0,
        }
    }

    fn change(&mut self, round: usize, size: Size) -> Notice {
        self.loads.take_changes();
        self.loads.reserve(hold(round, size), Time(0));
        self.notice(false)
    }

    fn notice(&mut self, whole: bool) -> Notice {
        self.sequence += 1;
        Notice {
            host: self.name.clone(),
            domain: "domain-1".into(),
            incarnation: Position::new(1, 1),
            sequence: self.sequence,
            interval_ms: 1_000,
            full: whole,
            multi_engine_prompts: 0,
            queued: Vec::new(),
            store: StoreStatus::default(),
            leaving: Vec::new(),
            ejections: Vec::new(),
            unanswered: Vec::new(),
            quarantine: Vec::new(),
            limits: Vec::new(),
            cold: Vec::new(),
            evacuations: evacuation::Snapshot::default(),
            holdings: if whole {
                self.loads.all_holdings(Time(0))
            } else {
                self.loads.take_changes()
            },
        }
    }
}

fn hold(number: usize, size: Size) -> Reservation {
    Reservation {
        primary: engine_key(number % size.engines),
        load: Load {
            placed_micros: 25_000,
            memory: 6_000,
            running: 1,
            value_at_risk: [1_300, 0, 0],
        },
        helpers: Vec::new(),
        multi_engine: false,
    }
}

fn engine_key(number: usize) -> Key {
    Incarnation::new(format!("i-{number:010}"), None).key()
}

fn place(loads: &mut LoadTable, size: Size, prompt: u64) {
    let engine = |number: usize| {
        let id = engine_key(number);
        Engine {
            load: loads.total(id),
            backlog: loads.backlog(id, Time(0)),
            id,
            profile: FIGURES,
            answer_time: Duration::from_secs(2),
            pauses: Pauses::default(),
            same_domain: number.is_multiple_of(3),
            suspect: false,
        }
    };
    let engines: Vec<Engine> = (0..size.engines).map(engine).collect();
    let shared = ServiceState {
        multi_engine_prompts: 0,
        queued_before: 0,
        due_before: 0,
        pressure: placement::pressure(&engines),
        engines: engines.len(),
        placements_per_second: loads.placements_per_second(Time(0)),
    };
    black_box(placement::choose(&work(prompt), &engines, &shared));
}

fn work(prompt: u64) -> Work {
    Work {
        prompt,
        memory: prompt + 1_000,
        objective: Duration::from_millis(2_500),
        caller_timeout: Duration::from_millis(10_000),
        waited: Duration::ZERO,
        is_retry: false,
        earlier: Duration::ZERO,
        resumed: false,
        order_delay: Duration::ZERO,
        queues_for_slots: true,
        over_share: false,
        time_left: Duration::from_secs(15),
        value: placement::value(prompt),
        avoid: Vec::new(),
        stalled: Vec::new(),
        random: Some(prompt),
    }
}

fn bytes(notice: &Notice) -> usize {
    postcard::to_stdvec(notice)
        .expect("a notice can be written")
        .len()
}

fn each(rounds: usize, mut act: impl FnMut(usize)) -> u64 {
    let began = Instant::now();
    for round in 0..rounds {
        act(round);
    }
    let mean = began.elapsed().as_nanos() / rounds.max(1) as u128;
    u64::try_from(mean).unwrap_or(u64::MAX)
}
