//! Slots of engines in the forecast and in the spreading of short prompts.

use super::{empty_notice, key, placement, profile, reservation};
use crate::each_seed;
use alderglade_core::fleet::load_table::{Load, LoadTable, Notice, Pauses};
use alderglade_core::fleet::pass::EngineProfile;
use alderglade_core::fleet::placement::{
    Decision, Engine, Plan, ServiceState, Work, choose, expected_answer_time, value,
};
use alderglade_core::fleet::progress::Backlog;
use alderglade_core::time::Time;
use std::collections::HashMap;
use std::time::Duration;

pub(super) const SLOTS: u32 = 12;

/// Returns engines with 12 slots and answers of 2 s, of which each has this many requests.
pub(super) fn engines(running: &[i64]) -> Vec<Engine> {
    let engine = |(number, running): (usize, &i64)| Engine {
        id: key(&format!("e{number:02}")),
        load: Load {
            running: *running,
            ..Load::default()
        },
        backlog: Backlog::default(),
        profile: EngineProfile {
            slots: SLOTS,
            ..profile()
        },
        answer_time: Duration::from_secs(2),
        pauses: Pauses::default(),
        same_domain: true,
        suspect: false,
    };
    running.iter().enumerate().map(engine).collect()
}

pub(super) fn short(random: Option<u64>) -> Work {
    Work {
        random,
        ..placement::short()
    }
}

pub(super) fn state(engines: &[Engine], queued_before: u32, placements: f64) -> ServiceState {
    ServiceState {
        multi_engine_prompts: 0,
        queued_before,
        due_before: 0,
        pressure: 0.0,
        engines: engines.len(),
        placements_per_second: placements,
    }
}

pub(super) fn sent(decision: Decision) -> Plan {
    match decision {
        Decision::Send(plan) => plan,
        other => panic!("not sent: {other:?}"),
    }
}

/// The first event of a prompt that waits for a slot was forecast as if the slot were free.
#[test]
fn the_forecast_includes_the_wait_for_a_slot() {
    let wait = |running| {
        let engines = engines(&[running]);
        let work = Work {
            resumed: true,
            ..short(None)
        };
        let plan = sent(choose(&work, &engines, &state(&engines, 0, 0.0)));
        assert!(plan.time_to_first_event > plan.slot_wait);
        plan.slot_wait.as_millis()
    };
    assert_eq!([wait(11), wait(12), wait(13)], [0, 166, 333]);
}

/// Engines that read long prompts ranked behind engines without a free slot.
#[test]
fn no_short_prompt_goes_to_an_engine_without_a_free_slot_while_a_trusted_one_has_one() {
    each_seed(300, |u| {
        let count: usize = u.int_in_range(1..=54)?;
        let mut running = Vec::new();
        for _ in 0..count {
            running.push(u.int_in_range(9..=14)?);
        }
        let mut engines = engines(&running);
        for engine in &mut engines {
            engine.backlog.queued = f64::from(u.int_in_range(0..=900u16)?);
            engine.suspect = u.ratio(1, 4)?;
        }
        let state = state(&engines, 0, f64::from(u.int_in_range(0..=600u16)?));
        let work = short(Some(u.arbitrary()?));
        let has_slot = |engine: &Engine| engine.load.running < i64::from(SLOTS);
        let trusted = |engine: &Engine| has_slot(engine) && !engine.suspect;
        if engines.iter().any(trusted) {
            let plan = sent(choose(&work, &engines, &state));
            let chosen = engines.iter().find(|engine| engine.id == plan.primary);
            assert!(chosen.is_some_and(trusted), "{plan:?}");
        }
        Ok(())
    });
}

/// Both causes of late answers count: a prompt goes neither to an engine that reads a long prompt nor to a full one if
/// there is a third.
#[test]
fn engines_that_read_long_prompts_are_avoided_among_those_with_free_slots() {
    let mut engines = engines(&[12, 11, 12, 3]);
    engines[3].backlog.queued = 400.0;
    let plan = sent(choose(&short(None), &engines, &state(&engines, 0, 0.0)));
    assert_eq!(plan.primary, key("e01"));
}

/// Returns how many of the prompts that are placed within the delay of a notice exceed the slots of their engine.
fn overfilled(running: &[i64], in_transit: u64) -> u64 {
    let engines = engines(running);
    let mut exceeding = 0;
    for round in 0..200 {
        let mut taken: HashMap<_, i64> = HashMap::new();
        for number in 0..in_transit {
            let work = short(Some(round * 1_000 + number));
            let state = state(&engines, 0, in_transit as f64 * 100.0);
            let id = sent(choose(&work, &engines, &state)).primary;
            let engine = engines.iter().find(|engine| engine.id == id);
            let load = taken
                .entry(id)
                .or_insert(engine.expect("a known engine").load.running);
            *load += 1;
            exceeding += u64::from(*load > i64::from(SLOTS));
        }
    }
    exceeding
}

/// Hosts that chose within the same 10 ms chose the same engine and filled it beyond its slots.
#[test]
fn hosts_that_choose_at_the_same_moment_rarely_overfill_an_engine() {
    let nearly_full: Vec<i64> = (0..54).map(|number| 10 + number % 2).collect();
    let exceeding = overfilled(&nearly_full, 4);
    assert!(exceeding <= 800 / 100, "{exceeding} of 800");
    let half_full: Vec<i64> = (0..54).map(|number| number % 13).collect();
    let exceeding = overfilled(&half_full, 4);
    assert!(exceeding <= 800 / 200, "{exceeding} of 800");
}

#[test]
fn a_long_prompt_is_answered_by_an_engine_with_a_free_slot() {
    let mut running = [12; 20];
    running[7] = 5;
    let engines = engines(&running);
    for prompt in [45_000, 133_000, 220_000] {
        let work = Work {
            prompt,
            memory: prompt + 800,
            objective: Duration::from_millis(2_500),
            caller_timeout: Duration::from_secs(10),
            time_left: Duration::from_secs(15),
            value: value(prompt),
            ..short(None)
        };
        let plan = sent(choose(&work, &engines, &state(&engines, 0, 0.0)));
        assert_eq!(plan.primary, key("e07"), "{prompt}");
        assert!(plan.slot_wait.is_zero());
    }
}

#[test]
fn the_answer_time_is_averaged_per_service_from_the_first_event_to_the_end() {
    let mut loads = LoadTable::default();
    let servers = [("e1", "llm"), ("e2", "llm"), ("o1", "other")];
    let services = servers.map(|(server, service)| (key(server), service.into()));
    loads.set_services(services.into_iter().collect());
    let answer = |loads: &mut LoadTable, server: &str, begun: u64, ended: u64| {
        let id = loads.reserve(reservation(server, 1_000, 10), Time(0));
        loads.mark_read(id, Time::from_millis(begun));
        loads.mark_read(id, Time::from_millis(begun + 50));
        loads.release(id, Time::from_millis(ended));
    };
    assert_eq!(loads.answer_time(key("e1")), None);
    answer(&mut loads, "e1", 500, 1_500);
    answer(&mut loads, "e2", 500, 3_500);
    answer(&mut loads, "o1", 500, 600);
    let unread = loads.reserve(reservation("e1", 1_000, 10), Time(0));
    loads.release(unread, Time::from_millis(9_000));
    assert_eq!(
        loads.answer_time(key("e2")).map(|time| time.as_millis()),
        Some(2_000)
    );
    assert_eq!(
        loads.answer_time(key("o1")).map(|time| time.as_millis()),
        Some(100)
    );
    assert_eq!(
        expected_answer_time(&profile(), 87, 60.0).as_millis(),
        3 * 60
    );
}

/// The slots that are kept free follow from placements of all hosts; repeated, late or full notices must not count a
/// placement twice.
#[test]
fn placements_of_all_hosts_count_once() {
    let mut sender = LoadTable::default();
    let mut loads = LoadTable::default();
    loads.set_engines([(key("e1"), profile())].into_iter().collect());
    loads.reserve(reservation("e1", 1_000, 10), Time(0));
    let mut number = 0;
    let mut notice = |sender: &mut LoadTable, full: bool| {
        number += 1;
        Notice {
            full,
            holdings: match full {
                true => sender.all_holdings(Time(0)),
                false => sender.take_changes(),
            },
            ..empty_notice("a", 1, number)
        }
    };
    for _ in 0..4 {
        sender.reserve(reservation("e1", 1_000, 10), Time(0));
        let change = notice(&mut sender, false);
        loads.apply_notice(&change, Time(0));
        loads.apply_notice(&change, Time(0));
    }
    let full = notice(&mut sender, true);
    loads.apply_notice(&full, Time(0));
    assert_eq!(loads.placements_per_second(Time(0)), 10.0);
    assert!(loads.placements_per_second(Time::from_millis(2_000)) < 0.5);
}
