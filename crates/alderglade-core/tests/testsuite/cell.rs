//! Cells: placement compared with an exhaustive search, memory accounting, gangs and adoption.

use crate::each_seed;
use crate::queue::ticket;
use alderglade_core::Name;
use alderglade_core::cell::{Action, Cell, End, Key};
use alderglade_core::engine_state::{Holding, Report};
use alderglade_core::error::Kind;
use alderglade_core::lane::Lane;
use alderglade_core::placement::{self, Config};
use alderglade_core::request::{Id, Ticket};
use alderglade_core::settings::Tree;
use alderglade_core::settings::check::read;
use alderglade_core::time::Time;
use arbtest::arbitrary::{Result, Unstructured};
use std::collections::BTreeSet;
use std::time::Duration;

pub fn tree(engines: usize) -> Tree {
    let engine = |number: usize| {
        format!(
            r#""e{number:03}": {{"model": "m", "domain": "d", "address": "127.0.0.1:1",
                "kv_tokens": 400000, "max_batch": 64}}"#
        )
    };
    let engines: Vec<String> = (0..engines).map(engine).collect();
    let text = format!(
        r#"{{"models": {{"m": {{"prefill_tokens_per_second": 25000, "step_ms": 15,
            "max_prompt_tokens": 1000000}}}}, "engines": {{{}}}}}"#,
        engines.join(",")
    );
    Tree {
        fleet: read(&text).expect("readable"),
        revision: 1,
        ..Tree::default()
    }
}

pub fn report(engine: &Name, holdings: Vec<Holding>) -> Report {
    Report {
        engine: engine.clone(),
        incarnation: 1,
        leaving: false,
        holdings,
        evicted: Vec::new(),
    }
}

fn cell(engines: usize, now: Time) -> Cell {
    let tree = tree(engines);
    let names: Vec<Name> = tree.fleet.engines.keys().cloned().collect();
    let key = Key {
        domain: "d".into(),
        model: "m".into(),
        index: 0,
    };
    let mut cell = Cell::new(key, Config::default(), now);
    cell.set_engines(&tree, &names, now);
    names
        .iter()
        .for_each(|name| cell.report(&report(name, Vec::new()), now));
    cell
}

fn grants(cell: &mut Cell) -> Vec<(Id, Vec<Name>)> {
    let grant = |action| match action {
        Action::Grant {
            request, engines, ..
        } => Some((request, engines)),
        _ => None,
    };
    cell.take_actions().into_iter().filter_map(grant).collect()
}

fn short(serial: u64, prompt: u64) -> Ticket {
    ticket(serial, "w", Lane::Urgent, prompt, 1)
}

#[test]
fn short_requests_go_where_an_exhaustive_search_would_send_them() {
    each_seed(60, |u| {
        let mut now = Time::from_millis(1_000);
        let mut cell = cell(u.int_in_range(1..=24)?, now);
        let mut running: Vec<Id> = Vec::new();
        for serial in 0..200 {
            now = now + Duration::from_micros(u.int_in_range(0..=20_000)?);
            progress(u, &mut cell, &mut running, now)?;
            let request = short(serial, placement::TYPICAL_PROMPT_TOKENS);
            let config = Config::default();
            let best = placement::pick_short(&config, cell.engines(), &request, now)
                .map(|engine| placement::first_token(engine, &request));
            let estimate = |cell: &Cell, name: &Name| {
                let engine = cell.engines().find(|engine| engine.name == *name);
                placement::first_token(engine.expect("a known engine"), &request)
            };
            let before: Vec<_> = cell
                .engines()
                .map(|e| (e.name.clone(), estimate(&cell, &e.name)))
                .collect();
            let waiting = cell.waiting();
            cell.enqueue(&"h".into(), request.clone(), now);
            for (id, engines) in grants(&mut cell) {
                if id == request.id && waiting == 0 {
                    let chosen = before.iter().find(|(name, _)| *name == engines[0]);
                    assert_eq!(chosen.map(|(_, time)| *time), best);
                }
                running.push(id);
            }
        }
        Ok(())
    });
}

/// Randomly lets one request end or produce its first token.
fn progress(
    u: &mut Unstructured<'_>,
    cell: &mut Cell,
    running: &mut Vec<Id>,
    now: Time,
) -> Result<()> {
    if running.is_empty() || u.ratio(1, 3)? {
        return Ok(());
    }
    let at = u.int_in_range(0..=running.len() - 1)?;
    if u.ratio(1, 2)? {
        cell.first_token(running[at], now);
    } else {
        cell.finish(running.swap_remove(at), End::Left, now);
    }
    running.extend(grants(cell).into_iter().map(|(id, _)| id));
    Ok(())
}

#[test]
fn granted_memory_never_exceeds_an_engines_memory() {
    each_seed(60, |u| {
        let mut now = Time::from_millis(1_000);
        let mut cell = cell(4, now);
        let mut running: Vec<Id> = Vec::new();
        for serial in 0..200 {
            now = now + Duration::from_micros(u.int_in_range(0..=200_000)?);
            progress(u, &mut cell, &mut running, now)?;
            let long = u.ratio(1, 3)?;
            let prompt = if long {
                u.int_in_range(40_000..=350_000)?
            } else {
                1_000
            };
            let lane = if long { Lane::Long } else { Lane::Urgent };
            cell.enqueue(&"h".into(), ticket(serial, "w", lane, prompt, 1), now);
            running.extend(grants(&mut cell).into_iter().map(|(id, _)| id));
            for engine in cell.engines() {
                let held: u64 = engine.running.values().map(|running| running.need).sum();
                assert!(held <= engine.kv_tokens, "{held} at {}", engine.name);
                assert!(engine.long_prefills() <= 1);
                assert_eq!(engine.free() + held, engine.kv_tokens);
            }
        }
        Ok(())
    });
}

#[test]
fn short_requests_during_a_long_one_stop_at_the_free_memory() {
    let now = Time::from_millis(1_000);
    let mut cell = cell(1, now);
    let long = ticket(0, "w", Lane::Long, 350_000, 1);
    cell.enqueue(&"h".into(), long.clone(), now);
    assert_eq!(grants(&mut cell).len(), 1);
    cell.first_token(long.id, now);
    let mut granted = 0;
    for serial in 1..40 {
        cell.enqueue(&"h".into(), short(serial, 3_000), now);
        for (id, _) in grants(&mut cell) {
            granted += 1;
            cell.first_token(id, now);
        }
    }
    let room = 400_000 - long.kv_tokens_needed();
    assert_eq!(granted, room / short(1, 3_000).kv_tokens_needed());
}

#[test]
fn a_gang_releases_all_its_reservations_if_one_member_refuses() {
    let now = Time::from_millis(1_000);
    let mut cell = cell(4, now);
    let request = ticket(1, "w", Lane::Long, 1_000_000, 1);
    cell.enqueue(&"h".into(), request.clone(), now);
    let mut requested = Vec::new();
    loop {
        let reserve = cell
            .take_actions()
            .into_iter()
            .find_map(|action| match action {
                Action::Reserve { engine, .. } => Some(engine),
                _ => None,
            });
        let Some(engine) = reserve else {
            break;
        };
        requested.push(engine.clone());
        cell.reserved(&engine, request.id, requested.len() < 3, now);
        if requested.len() == 3 {
            break;
        }
    }
    assert!(requested.is_sorted());
    let freed: BTreeSet<Name> = cell
        .take_actions()
        .into_iter()
        .filter_map(|action| match action {
            Action::Free { engine, .. } => Some(engine),
            _ => None,
        })
        .collect();
    assert_eq!(freed, requested.iter().cloned().collect());
    assert_eq!(cell.waiting(), 1, "the request waits for the next attempt");
    cell.withdraw(request.id);
    assert_eq!(cell.waiting(), 0);
    assert!(
        cell.engines()
            .all(|engine| engine.free() == engine.kv_tokens)
    );
}

#[test]
fn a_new_home_adopts_holdings_and_frees_unneeded_ones() {
    let now = Time::from_millis(1_000);
    let mut cell = cell(1, now);
    let id = Id {
        incarnation: 9,
        serial: 9,
    };
    let holding = Holding {
        request: id,
        holder: "other".into(),
        tokens: 100_000,
        age: Duration::from_secs(10),
    };
    cell.report(&report(&"e000".into(), vec![holding.clone()]), now);
    let actions = cell.take_actions();
    assert!(
        matches!(&actions[..], [Action::Verify { to, .. }] if &**to == "other"),
        "{actions:?}"
    );
    assert_eq!(
        cell.engines().next().map(|engine| engine.free()),
        Some(300_000)
    );
    cell.free_unneeded(&"e000".into(), id, now);
    assert!(matches!(&cell.take_actions()[..], [Action::Free { .. }]));
    assert_eq!(
        cell.engines().next().map(|engine| engine.free()),
        Some(400_000)
    );
    cell.report(&report(&"e000".into(), vec![holding]), now);
    cell.take_actions();
    cell.host_died(&"other".into(), now);
    assert!(matches!(&cell.take_actions()[..], [Action::Free { .. }]));
}

#[test]
fn a_request_that_cant_meet_its_deadline_is_refused_immediately() {
    let now = Time::from_millis(1_000);
    let mut cell = cell(1, now);
    let mut late = short(1, 30_000);
    late.time_left = Duration::from_millis(500);
    cell.enqueue(&"h".into(), late, now);
    let refused = cell.take_actions();
    assert!(
        matches!(&refused[..], [Action::Refuse { refusal, .. }]
            if refusal.kind == Kind::Overloaded && refusal.retry_after.is_some()),
        "{refused:?}"
    );
}

#[test]
fn long_requests_always_get_an_engine_and_leave_one() {
    let now = Time::from_millis(1_000);
    let mut cell = cell(3, now);
    for serial in 0..6 {
        cell.enqueue(
            &"h".into(),
            ticket(serial, "w", Lane::Long, 100_000, 1),
            now,
        );
    }
    assert_eq!(
        grants(&mut cell).len(),
        2,
        "one engine of three stays free for short work"
    );
    cell.enqueue(&"h".into(), short(100, 1_000), now);
    let granted = grants(&mut cell);
    let free = cell
        .engines()
        .find(|engine| engine.long_prefills() == 0)
        .map(|e| e.name.clone());
    assert_eq!(
        granted.first().and_then(|(_, engines)| engines.first()),
        free.as_ref()
    );
}

#[test]
fn a_request_sent_several_times_takes_memory_once() {
    let now = Time::from_millis(1_000);
    let mut cell = cell(1, now);
    for _ in 0..3 {
        cell.enqueue(&"h".into(), short(1, 1_000), now);
    }
    // The grant is sent again, in case its message was lost. It takes engines and memory only once.
    let granted = grants(&mut cell);
    assert_eq!(granted.len(), 3);
    assert!(granted.iter().all(|grant| *grant == granted[0]));
    assert_eq!(cell.running(), 1);
    let held: u64 = cell
        .engines()
        .map(|engine| engine.kv_tokens - engine.free())
        .sum();
    assert_eq!(held, short(1, 1_000).kv_tokens_needed());
}
