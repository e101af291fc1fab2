//! Experiments: one JSON file in, a table, JSON and a plot out.
//!
//! Each experiment runs the real core in the virtual-clock [`crate::world`], and the naive version
//! on the same arrivals. The slowdown of a group is its 95th percentile of the time to the first
//! token in the full run divided by the same in a run of that group alone.

pub mod arrivals;
pub mod plot;

use crate::batch;
use crate::world::fault::Fault;
use crate::world::requests::Caller;
use crate::world::{Plan, Scheduler, World};
use alderglade_core::Name;
use alderglade_core::lane::Priority;
use alderglade_core::placement;
use alderglade_core::time::Time;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// An experiment file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// The seed of the arrivals.
    pub seed: u64,
    /// Arrivals come for this long.
    pub seconds: u64,
    /// The failure domains.
    pub domains: Vec<Name>,
    /// Entry hosts in each.
    pub hosts_each: usize,
    /// Engines in each.
    pub engines_each: usize,
    /// Who asks for what.
    pub groups: Vec<Group>,
    /// What fails.
    #[serde(default)]
    pub faults: Vec<Timed>,
    /// Engines that share a queue; `0` means the default.
    #[serde(default)]
    pub cell_engines: usize,
    /// Numbers of placement that differ from the defaults.
    #[serde(default)]
    pub placement: Placement,
}

/// Numbers of placement that an experiment may change.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Placement {
    /// See [`placement::Config::short_window_tokens`].
    pub window: Option<u64>,
    /// See [`placement::Config::beside_per_mille`].
    pub beside_per_mille: Option<u64>,
    /// See [`placement::Config::spare_per_mille`].
    pub spare_per_mille: Option<u64>,
    /// See [`placement::Config::isolate`].
    pub isolate: Option<bool>,
}

/// A fault and its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Timed {
    /// Milliseconds from the start.
    pub at_ms: u64,
    /// The fault.
    pub fault: Fault,
}

/// Requests of one sort.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Its name.
    pub name: Name,
    /// How urgent they are.
    pub priority: Priority,
    /// Prompt lengths, each as likely as the others.
    pub tokens: Vec<u64>,
    /// Tokens of an answer.
    pub output: u64,
    /// The most tokens of an answer, as far as is known beforehand.
    pub output_cap: u64,
    /// Workspaces that they come from, in turn.
    pub workspaces: u64,
    /// The time allowed.
    pub time_allowed_ms: u64,
    /// Beginnings that prompts share, in turn; none where it is left out.
    #[serde(default)]
    pub prefixes: u64,
    /// Tokens of such a beginning.
    #[serde(default)]
    pub prefix_tokens: u64,
    /// When they come.
    pub arrival: Arrival,
    /// Whether the slowdown is measured against a run of this group alone.
    #[serde(default)]
    pub alone: bool,
}

/// When requests come.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Arrival {
    /// At random, so many a second.
    Steady {
        /// Requests a second.
        per_second: f64,
    },
    /// At random, so much of what all engines could serve of this group alone, back to back.
    Load {
        /// The share.
        share: f64,
    },
    /// All within a short time.
    Burst {
        /// When it begins.
        at_ms: u64,
        /// How many there are.
        count: u64,
        /// How long it takes.
        over_ms: u64,
    },
}

/// What one group got.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// The scheduler.
    pub scheduler: &'static str,
    /// The group.
    pub group: Name,
    /// Prompt tokens.
    pub tokens: u64,
    /// Requests.
    pub asked: usize,
    /// Answered whole within their time.
    pub in_time: usize,
    /// Answered whole, but late.
    pub late: usize,
    /// Refused or failed, by kind.
    pub failed: BTreeMap<String, usize>,
    /// Not answered when the run ended.
    pub open: usize,
    /// Time to the first token in milliseconds.
    pub first_token_ms: Percentiles,
    /// Time between tokens in milliseconds, over the whole group.
    pub between_tokens_p95_ms: f64,
    /// 95th percentile of the first token over that of the group alone, median likewise.
    pub slowdown: Option<Slowdown>,
}

/// How much longer a group waits than alone.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Slowdown {
    /// By the median.
    pub p50: f64,
    /// By the 95th percentile.
    pub p95: f64,
}

/// Percentiles of a time.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Percentiles {
    /// The median.
    pub p50: f64,
    /// Of 95 in 100.
    pub p95: f64,
    /// Of 99 in 100.
    pub p99: f64,
}

/// What an experiment gave.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// The experiment's name.
    pub name: String,
    /// The seed.
    pub seed: u64,
    /// A row for each scheduler, group and length.
    pub rows: Vec<Row>,
    /// Prompt tokens asked for, and tokens prefilled, by scheduler.
    pub prefill: Vec<Prefill>,
    /// Promises that were broken, which must be none for alderglade.
    pub broken: Vec<String>,
}

/// Prefill work of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Prefill {
    /// The scheduler.
    pub scheduler: &'static str,
    /// Prompt tokens of the requests that finished.
    pub needed: u64,
    /// Tokens that engines prefilled.
    pub done: u64,
}

/// Time after the last arrival in which what is left may finish.
const TAIL: Duration = Duration::from_secs(600);

/// Runs an experiment with both schedulers.
pub fn run(experiment: &Experiment) -> Outcome {
    let mut outcome = Outcome {
        name: experiment.name.clone(),
        seed: experiment.seed,
        rows: Vec::new(),
        prefill: Vec::new(),
        broken: Vec::new(),
    };
    for scheduler in [Scheduler::Naive, Scheduler::Alderglade] {
        let full = simulate(experiment, scheduler, None);
        for group in &experiment.groups {
            let alone = group
                .alone
                .then(|| simulate(experiment, scheduler, Some(&group.name)));
            for tokens in lengths(group) {
                outcome
                    .rows
                    .push(row(scheduler, group, tokens, &full, alone.as_ref()));
            }
        }
        outcome.prefill.push(prefill(experiment, scheduler, &full));
        if scheduler == Scheduler::Alderglade {
            outcome.broken = full.world.ledger.broken;
        }
    }
    outcome
}

fn lengths(group: &Group) -> Vec<u64> {
    let mut lengths = group.tokens.clone();
    lengths.sort_unstable();
    lengths.dedup();
    lengths
}

/// A finished run, with the length of each request in the order of asking.
struct Run {
    world: World,
    tokens: Vec<u64>,
}

fn simulate(experiment: &Experiment, scheduler: Scheduler, only: Option<&Name>) -> Run {
    let mut world = World::new(plan(experiment, scheduler));
    let settle = Duration::from_secs(2);
    world.run_until(Time(0) + settle);
    let arrivals = arrivals::of_groups(
        &experiment.groups,
        arrivals::Site {
            domains: &experiment.domains,
            hosts_each: experiment.hosts_each,
            engines_each: experiment.engines_each,
            seconds: experiment.seconds,
        },
        experiment.seed,
    );
    let wanted = |caller: &Caller| only.is_none_or(|only| *only == caller.group);
    let arrivals: Vec<(Time, Caller)> = arrivals
        .into_iter()
        .filter(|(_, caller)| wanted(caller))
        .collect();
    let tokens = arrivals.iter().map(|(_, caller)| caller.tokens).collect();
    for (at, caller) in arrivals {
        world.ask(at + settle, caller);
    }
    if only.is_none() {
        for timed in &experiment.faults {
            let at = Time::from_millis(timed.at_ms) + settle;
            world.schedule(at, timed.fault.clone());
        }
    }
    let end = Time(0) + settle + Duration::from_secs(experiment.seconds) + TAIL;
    world.run_until(end);
    if scheduler == Scheduler::Alderglade {
        world.ledger.close(end);
    }
    Run { world, tokens }
}

fn plan(experiment: &Experiment, scheduler: Scheduler) -> Plan {
    let defaults = placement::Config::default();
    let wanted = experiment.placement;
    let naive = scheduler == Scheduler::Naive;
    Plan {
        domains: experiment.domains.clone(),
        hosts_each: experiment.hosts_each,
        engines_each: experiment.engines_each,
        batch: batch::Config {
            priorities: !naive,
            ..batch::Config::default()
        },
        placement: placement::Config {
            short_window_tokens: wanted.window.unwrap_or(defaults.short_window_tokens),
            beside_per_mille: wanted.beside_per_mille.unwrap_or(defaults.beside_per_mille),
            spare_per_mille: wanted.spare_per_mille.unwrap_or(defaults.spare_per_mille),
            isolate: wanted.isolate.unwrap_or(defaults.isolate),
            ..defaults
        },
        cell_engines: experiment.cell_engines,
        scheduler,
        seed: experiment.seed,
        ..Plan::default()
    }
}

fn row(scheduler: Scheduler, group: &Group, tokens: u64, full: &Run, alone: Option<&Run>) -> Row {
    let mut row = Row {
        scheduler: label(scheduler),
        group: group.name.clone(),
        tokens,
        asked: 0,
        in_time: 0,
        late: 0,
        failed: BTreeMap::new(),
        open: 0,
        first_token_ms: percentiles(full, group, tokens),
        between_tokens_p95_ms: between_tokens(full, group),
        slowdown: None,
    };
    for fate in fates(full, group, tokens) {
        row.asked += 1;
        match fate.answer {
            Some(None) if fate.answered.is_some_and(|at| at <= fate.deadline) => row.in_time += 1,
            Some(None) => row.late += 1,
            Some(Some(refusal)) => {
                *row.failed.entry(refusal.kind.label().into()).or_default() += 1;
            }
            None if fate.lost || fate.unserved => {
                *row.failed.entry("host_gone".into()).or_default() += 1;
            }
            None => row.open += 1,
        }
    }
    row.slowdown = alone.map(|alone| {
        let before = percentiles(alone, group, tokens);
        Slowdown {
            p50: row.first_token_ms.p50 / before.p50.max(0.001),
            p95: row.first_token_ms.p95 / before.p95.max(0.001),
        }
    });
    row
}

fn label(scheduler: Scheduler) -> &'static str {
    match scheduler {
        Scheduler::Alderglade => "alderglade",
        Scheduler::Naive => "naive",
    }
}

/// The fates of a group's requests of one length.
fn fates<'a>(
    run: &'a Run,
    group: &'a Group,
    tokens: u64,
) -> impl Iterator<Item = &'a crate::world::check::Fate> {
    let mut by_serial: Vec<_> = run.world.ledger.fates.iter().collect();
    by_serial.sort_by_key(|(id, _)| id.serial);
    let with_tokens = by_serial.into_iter().zip(&run.tokens);
    with_tokens
        .filter(move |((_, fate), length)| fate.group == group.name && **length == tokens)
        .map(|((_, fate), _)| fate)
}

fn percentiles(run: &Run, group: &Group, tokens: u64) -> Percentiles {
    let mut times = Histogram::<u64>::new(3).expect("three digits");
    for fate in fates(run, group, tokens) {
        if let Some(time) = fate.first_token {
            // An auto-resizing histogram takes any value.
            let _ = times.record(time.as_micros() as u64);
        }
    }
    let at = |quantile: f64| times.value_at_quantile(quantile) as f64 / 1_000.0;
    Percentiles {
        p50: at(0.5),
        p95: at(0.95),
        p99: at(0.99),
    }
}

fn between_tokens(run: &Run, group: &Group) -> f64 {
    let gaps = run.world.ledger.gaps.get(&group.name);
    gaps.map_or(0.0, |gaps| gaps.value_at_quantile(0.95) as f64 / 1_000.0)
}

fn prefill(experiment: &Experiment, scheduler: Scheduler, run: &Run) -> Prefill {
    let mut needed = 0;
    for group in &experiment.groups {
        for tokens in lengths(group) {
            let whole = fates(run, group, tokens).filter(|fate| fate.answer == Some(None));
            needed += whole.count() as u64 * tokens;
        }
    }
    Prefill {
        scheduler: label(scheduler),
        needed,
        done: run.world.prefilled(),
    }
}

/// Writes an outcome as a table.
pub fn table(outcome: &Outcome) -> String {
    let mut text = format!("{} (seed {})\n", outcome.name, outcome.seed);
    text += &format!(
        "{:<11} {:<9} {:>8} {:>6} {:>7} {:>5} {:>5} {:>10} {:>10} {:>10} {:>8} {:>9}  failed\n",
        "SCHEDULER",
        "GROUP",
        "TOKENS",
        "ASKED",
        "IN TIME",
        "LATE",
        "OPEN",
        "TTFT P50",
        "P95",
        "P99",
        "TBT P95",
        "SLOWDOWN"
    );
    for row in &outcome.rows {
        let slowdown = row
            .slowdown
            .map_or("-".into(), |slow| format!("{:.2}", slow.p95));
        text += &format!(
            "{:<11} {:<9} {:>8} {:>6} {:>7} {:>5} {:>5} {:>10.1} {:>10.1} {:>10.1} {:>8.1} {:>9}  {:?}\n",
            row.scheduler,
            row.group,
            row.tokens,
            row.asked,
            row.in_time,
            row.late,
            row.open,
            row.first_token_ms.p50,
            row.first_token_ms.p95,
            row.first_token_ms.p99,
            row.between_tokens_p95_ms,
            slowdown,
            row.failed
        );
    }
    for prefill in &outcome.prefill {
        text += &format!(
            "{}: prefilled {} tokens for {} needed\n",
            prefill.scheduler, prefill.done, prefill.needed
        );
    }
    if !outcome.broken.is_empty() {
        text += &format!("BROKEN PROMISES: {:?}\n", outcome.broken);
    }
    text
}
