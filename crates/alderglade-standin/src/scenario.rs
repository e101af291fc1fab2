//! Scripted scenarios: a small JSON file says who asks, what fails when, and what has to hold.
//!
//! A scenario runs the real core in the virtual-clock [`crate::world`]. All promises are checked
//! in every run; a file adds what it expects beyond them, and names the guards without which the
//! run has to fail, so that a proof that can't fail is noticed.

use crate::experiment::{Group, Timed, arrivals};
use crate::world::requests::Caller;
use crate::world::{Guard, Plan, World};
use alderglade_core::Name;
use alderglade_core::lane::Priority;
use alderglade_core::limit::Rate;
use alderglade_core::time::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// A scenario file.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// What it shows, in a sentence.
    pub about: String,
    /// The promise it is about, by its number in `docs/PROOFS.md`.
    pub promise: u32,
    /// The failure domains.
    pub domains: Vec<Name>,
    /// Entry hosts in each.
    pub hosts_each: usize,
    /// Engines in each.
    pub engines_each: usize,
    /// How long it runs, in seconds of the virtual clock.
    pub seconds: u64,
    /// Groups of prompts come for this long, in seconds; all the time where it is left out.
    #[serde(default)]
    pub load_seconds: Option<u64>,
    /// How far the platform's list of hosts lags, in milliseconds.
    #[serde(default = "list_lag")]
    pub list_lag_ms: u64,
    /// The seed of the arrivals.
    #[serde(default = "one")]
    pub seed: u64,
    /// Requests that a workspace may start in a second, over all hosts.
    #[serde(default)]
    pub requests_per_second: Option<u64>,
    /// Groups of prompts.
    #[serde(default)]
    pub groups: Vec<Group>,
    /// Calls that may run at most once.
    #[serde(default)]
    pub bookings: Vec<Booking>,
    /// What fails.
    #[serde(default)]
    pub faults: Vec<Timed>,
    /// What is expected beyond the promises.
    #[serde(default)]
    pub expect: Expect,
    /// Guards without which the run must break a promise.
    #[serde(default)]
    pub red_without: Vec<Guard>,
}

/// A call that may run at most once.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Booking {
    /// When it comes.
    pub at_ms: u64,
    /// The entry host that it comes to.
    pub host: Name,
    /// Its key.
    pub key: Name,
}

/// What is expected beyond the promises.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Expect {
    /// Requests of each group that finish, at least.
    pub finished: BTreeMap<Name, usize>,
    /// Requests of each group that finish, at most.
    pub finished_at_most: BTreeMap<Name, usize>,
    /// Requests of each group that fail without their host being lost, at most.
    pub failed_at_most: BTreeMap<Name, usize>,
    /// Runs of each booking's key, exactly.
    pub runs: BTreeMap<Name, u32>,
    /// Every key was run by the end: none is held by a request that was never sent.
    pub keys_usable: bool,
    /// At the end all memory of all engines is free.
    pub memory_back: bool,
    /// The last revision is in force at every live host.
    pub revision: Option<u64>,
    /// It was in force everywhere within this time of being accepted.
    pub in_force_within_ms: Option<u64>,
    /// Hosts that have stopped as planned.
    pub stopped: Vec<Name>,
}

fn list_lag() -> u64 {
    5_000
}

fn one() -> u64 {
    1
}

/// Hosts find each other before the first request.
const SETTLE: Duration = Duration::from_secs(3);
/// The time that a booking has.
const BOOKING_TIME: Duration = Duration::from_secs(10);

/// What a run gave.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Broken promises and expectations, in words.
    pub broken: Vec<String>,
    /// Happenings that were worked off.
    pub happened: u64,
    /// Requests that were asked.
    pub asked: usize,
}

/// Runs a scenario with some guards switched off.
pub fn run(scenario: &Scenario, off: &[Guard]) -> Outcome {
    let mut world = simulate(scenario, off);
    let mut broken = std::mem::take(&mut world.ledger.broken);
    broken.extend(unmet(scenario, &world));
    Outcome {
        broken,
        happened: world.happened(),
        asked: world.ledger.fates.len(),
    }
}

/// Runs a scenario and gives the world as it is at the end.
pub fn simulate(scenario: &Scenario, off: &[Guard]) -> World {
    let mut world = World::new(Plan {
        domains: scenario.domains.clone(),
        hosts_each: scenario.hosts_each,
        engines_each: scenario.engines_each,
        list_lag: Duration::from_millis(scenario.list_lag_ms),
        requests_per_second: scenario.requests_per_second,
        seed: scenario.seed,
        off: off.to_vec(),
        ..Plan::default()
    });
    world.run_until(Time(0) + SETTLE);
    let asked = arrivals::of_groups(
        &scenario.groups,
        arrivals::Site {
            domains: &scenario.domains,
            hosts_each: scenario.hosts_each,
            engines_each: scenario.engines_each,
            seconds: scenario.load_seconds.unwrap_or(scenario.seconds),
        },
        scenario.seed,
    );
    for (at, mut caller) in asked {
        caller.rate = Rate::new(scenario.requests_per_second, None);
        world.ask(at + SETTLE, caller);
    }
    for booking in &scenario.bookings {
        world.ask(
            Time::from_millis(booking.at_ms) + SETTLE,
            caller_of(booking),
        );
    }
    for timed in &scenario.faults {
        world.schedule(Time::from_millis(timed.at_ms) + SETTLE, timed.fault.clone());
    }
    let end = Time(0) + SETTLE + Duration::from_secs(scenario.seconds);
    world.run_until(end);
    world.ledger.close(end);
    world
}

/// Makes the caller of a booking.
pub fn caller_of(booking: &Booking) -> Caller {
    Caller {
        group: "booking".into(),
        host: booking.host.clone(),
        workspace: "clinic".into(),
        weight: 1,
        priority: Priority::Urgent,
        tokens: 0,
        output: 1,
        output_cap: 1,
        time_allowed: BOOKING_TIME,
        prefix: None,
        rate: Rate::new(None, None),
        booking: Some(booking.key.clone()),
    }
}

fn unmet(scenario: &Scenario, world: &World) -> Vec<String> {
    let expect = &scenario.expect;
    let mut unmet = Vec::new();
    for (group, least) in &expect.finished {
        let finished = finished(world, group);
        if finished < *least {
            unmet.push(format!("{finished} of {group} finished, expected {least}"));
        }
    }
    for (group, most) in &expect.finished_at_most {
        let finished = finished(world, group);
        if finished > *most {
            unmet.push(format!(
                "{finished} of {group} finished, expected {most} at most"
            ));
        }
    }
    for (group, most) in &expect.failed_at_most {
        let of_group = world
            .ledger
            .fates
            .values()
            .filter(|fate| fate.group == *group);
        let failed = of_group
            .filter(|fate| matches!(fate.answer, Some(Some(_))))
            .count();
        if failed > *most {
            unmet.push(format!(
                "{failed} of {group} failed, expected {most} at most"
            ));
        }
    }
    for (key, wanted) in &expect.runs {
        let runs = world.ledger.runs.get(key).copied().unwrap_or(0);
        if runs != *wanted {
            unmet.push(format!("booking {key} ran {runs} times, expected {wanted}"));
        }
    }
    if expect.keys_usable {
        let unused = |booking: &&Booking| !world.ledger.runs.contains_key(&booking.key);
        let keys = scenario
            .bookings
            .iter()
            .filter(unused)
            .map(|booking| &booking.key);
        unmet.extend(keys.map(|key| format!("booking {key} can't be run")));
    }
    if expect.memory_back {
        unmet.extend(held_memory(world));
    }
    unmet.extend(unmet_revision(expect, world));
    for host in &expect.stopped {
        if !world.ledger.stopped.contains_key(host) {
            unmet.push(format!("{host} has not stopped"));
        }
    }
    unmet
}

fn finished(world: &World, group: &Name) -> usize {
    let of_group = world
        .ledger
        .fates
        .values()
        .filter(|fate| fate.group == *group);
    of_group.filter(|fate| fate.answer == Some(None)).count()
}

/// Lists engines that hold memory for somebody.
pub fn held_memory(world: &World) -> Vec<String> {
    let whole = world.plan().batch.kv_tokens;
    let held = world
        .free_memory()
        .into_iter()
        .filter(|(_, free)| *free != whole);
    held.map(|(engine, free)| format!("{engine} still holds {} tokens", whole - free))
        .collect()
}

fn unmet_revision(expect: &Expect, world: &World) -> Vec<String> {
    let Some(revision) = expect.revision else {
        return Vec::new();
    };
    let mut unmet: Vec<String> = world
        .revisions()
        .into_iter()
        .filter(|(_, has)| *has != revision)
        .map(|(host, has)| format!("{host} has revision {has}, expected {revision}"))
        .collect();
    let Some(limit) = expect.in_force_within_ms else {
        return unmet;
    };
    let late = world.ledger.in_force_after(revision).into_iter();
    let late = late.filter(|(_, after)| after.as_millis() as u64 > limit);
    unmet.extend(
        late.map(|(host, after)| format!("{host} had revision {revision} after {after:?}")),
    );
    unmet
}
