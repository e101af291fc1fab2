//! Faults that a virtual clock can't show: killed and stopped processes, cut sockets, signals.

use crate::fleet::{Fleet, PATIENCE, Plan, assert_whole, generate_at, get, wait, wall_ms};
use alderglade_standin::client::{self, Answer, Booking};
use alderglade_standin::fleet::{self, DESK, REVIEW, token};
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// Answers that each caller gets at least, however slow the machine is.
const LEAST_ANSWERS: usize = 2;

/// Sends short prompts to some hosts, one after the other each, while something happens, and until each caller has got some
/// answers.
fn under_load(fleet: &Fleet, hosts: &[usize], happens: impl FnOnce()) -> Vec<(String, Answer)> {
    const CALLERS: usize = 3;
    let over = AtomicBool::new(false);
    let counts: Vec<AtomicUsize> = (0..hosts.len() * CALLERS)
        .map(|_| AtomicUsize::new(0))
        .collect();
    thread::scope(|scope| {
        let mut callers = Vec::new();
        for (place, host) in hosts.iter().enumerate() {
            for caller in 0..CALLERS {
                let over = &over;
                let count = &counts[place * CALLERS + caller];
                callers.push(scope.spawn(move || {
                    let mut answers = Vec::new();
                    while !over.load(Ordering::Relaxed) {
                        let prompt = format!("{host}/{caller}/{:06}", answers.len());
                        let answer = fleet.generate(*host, DESK, &prompt, 1_000, 30);
                        answers.push((prompt, answer));
                        count.store(answers.len(), Ordering::Relaxed);
                    }
                    answers
                }));
            }
        }
        thread::sleep(Duration::from_millis(500));
        happens();
        thread::sleep(Duration::from_millis(500));
        wait("each caller has got some answers", || {
            let mut counts = counts.iter();
            counts.all(|count| count.load(Ordering::Relaxed) >= LEAST_ANSWERS)
        });
        over.store(true, Ordering::Relaxed);
        let answers = callers
            .into_iter()
            .flat_map(|caller| caller.join().expect("a caller"));
        answers.collect()
    })
}

#[test]
fn an_engine_that_dies_costs_no_token() {
    let fleet = Fleet::start(&Plan {
        engines_each: 3,
        ..Plan::default()
    });
    let answers = under_load(&fleet, &[0, 1], || {
        fleet.engines[0].restart();
        thread::sleep(Duration::from_millis(400));
        fleet.engines[1].die();
        thread::sleep(Duration::from_secs(1));
    });
    assert!(answers.len() > 10);
    for (prompt, answer) in answers {
        assert_whole(&answer, &prompt, 30);
    }
}

#[test]
fn a_frozen_engine_loses_its_streams_to_others() {
    let fleet = Fleet::start(&Plan {
        engines_each: 3,
        ..Plan::default()
    });
    let answers = under_load(&fleet, &[0, 1], || {
        fleet.engines[0].with(|model| model.faults.frozen = true);
        thread::sleep(Duration::from_secs(7));
        fleet.engines[0].with(|model| model.faults.frozen = false);
    });
    for (prompt, answer) in answers {
        assert_whole(&answer, &prompt, 30);
    }
    fleet.wait_memory_back();
}

#[test]
fn shuffled_and_foreign_tokens_never_reach_a_caller() {
    let fleet = Fleet::start(&Plan::default());
    for engine in &fleet.engines {
        engine.with(|model| model.faults.shuffled = true);
    }
    let answers = under_load(&fleet, &[0, 1], || thread::sleep(Duration::from_secs(1)));
    for (prompt, answer) in answers {
        assert_whole(&answer, &prompt, 30);
    }
}

#[test]
fn a_killed_host_leaves_no_memory_behind_and_the_other_serves_on() {
    let mut fleet = Fleet::start(&Plan {
        engines_each: 4,
        ..Plan::default()
    });
    thread::scope(|scope| {
        let address = fleet.hosts[1].addresses.callers.clone();
        for number in 0..4 {
            let address = address.clone();
            scope.spawn(move || {
                let tokens = if number == 0 { 1_000_000 } else { 200_000 };
                generate_at(&address, REVIEW, "lost with its host", tokens, 64)
            });
        }
        wait("long prompts run", || {
            fleet
                .engines
                .iter()
                .any(|engine| engine.with(|model| model.free_tokens() < 400_000))
        });
        thread::sleep(Duration::from_millis(300));
        fleet.hosts[1].process.kill();
    });
    fleet.wait_memory_back();
    let answer = fleet.generate(0, DESK, "served by the other", 1_000, 10);
    assert_whole(&answer, "served by the other", 10);
}

#[test]
fn a_stopped_host_holds_nobody_up_and_goes_on_when_it_wakes() {
    let fleet = Fleet::start(&Plan {
        hosts_each: 3,
        ..Plan::default()
    });
    let answers = under_load(&fleet, &[0, 1], || {
        fleet.hosts[2].process.signal("STOP");
        thread::sleep(Duration::from_secs(4));
        fleet.hosts[2].process.signal("CONT");
        thread::sleep(Duration::from_secs(2));
    });
    for (prompt, answer) in answers {
        assert_whole(&answer, &prompt, 30);
    }
    let answer = fleet.generate(2, DESK, "awake again", 1_000, 10);
    assert_whole(&answer, "awake again", 10);
    fleet.wait_memory_back();
}

#[test]
fn a_rolling_stop_cuts_nothing_off() {
    let mut fleet = Fleet::start(&Plan {
        hosts_each: 2,
        ..Plan::default()
    });
    for round in 0..2 {
        let name = fleet.hosts[0].name.clone();
        let process_id = fleet.hosts[0].process.pid();
        let answers = under_load(&fleet, &[0, 1], || {
            if round == 0 {
                fleet.hosts[0].process.signal("TERM");
            } else {
                let drained = fleet.command(&["drain", &name]);
                assert!(drained.status.success(), "{drained:?}");
            }
            thread::sleep(Duration::from_secs(2));
        });
        for (prompt, answer) in answers {
            // The stopped host refuses, or is gone; what it took it answers whole.
            let turned_away = answer.status == 0 || answer.kind() == "draining";
            if !turned_away {
                assert_whole(&answer, &prompt, 30);
            }
        }
        let mut old = fleet.hosts.remove(0);
        assert_eq!(old.process.pid(), process_id);
        let status = old.process.wait(PATIENCE).expect("the host stops");
        assert!(
            status.success(),
            "a planned stop exits with 0, not {status}"
        );
        fleet.start_host(&name, "muc-a");
        fleet.wait_ready();
    }
    fleet.wait_memory_back();
}

/// Gives the port of an address.
fn port(address: &str) -> &str {
    address.rsplit(':').next().expect("a port")
}

#[test]
fn no_stand_in_answers_for_a_host_that_has_stopped() {
    let mut fleet = Fleet::start(&Plan::default());
    // Another test may already use the port on the address of the stand-ins.
    let (mut host, stranger) = loop {
        let host = fleet.hosts.remove(0);
        let port = port(&host.addresses.callers);
        if let Ok(stranger) = TcpListener::bind(format!("127.0.0.1:{port}")) {
            break (host, stranger);
        }
        fleet.start_host("muc-a-more", "muc-a");
    };
    host.process.signal("TERM");
    host.process.wait(PATIENCE).expect("the host stops");
    let address = &host.addresses.callers;
    let answer = generate_at(address, DESK, "to a host that is gone", 1_000, 30);
    assert_eq!(answer.status, 0, "{answer:?}");
    stranger.set_nonblocking(true).expect("a listener");
    assert!(stranger.accept().is_err(), "a stand-in got the request");
}

#[test]
fn a_booking_runs_once_however_often_it_is_asked_for() {
    let fleet = Fleet::start(&Plan {
        domains: &["muc-a", "muc-b"],
        engines_each: 1,
        ..Plan::default()
    });
    fleet.platform.set_faults(|faults| faults.lose_writes = 5);
    let answers: Vec<_> = thread::scope(|scope| {
        let ask = |number: usize| {
            let fleet = &fleet;
            scope.spawn(move || {
                fleet.book(
                    number % 4,
                    &format!("key-{}", number / 4),
                    &format!("slot-{}", number / 4),
                )
            })
        };
        let asked: Vec<_> = (0..40).map(ask).collect();
        asked
            .into_iter()
            .map(|one| one.join().expect("an answer"))
            .collect()
    });
    for (number, answer) in answers.iter().enumerate() {
        let known = matches!(answer.status, 200 | 409 | 503);
        assert!(known, "{number}: {answer:?}");
    }
    for key in 0..10 {
        wait("each key is answered in the end", || {
            thread::sleep(Duration::from_millis(100));
            fleet
                .book(key % 4, &format!("key-{key}"), &format!("slot-{key}"))
                .status
                == 200
        });
    }
    let expected: BTreeMap<String, u32> = (0..10).map(|key| (format!("slot-{key}"), 1)).collect();
    assert_eq!(fleet.service.runs(), expected);
    let reused = fleet.book(0, "key-0", "another slot");
    assert_eq!(reused.status, 422);
}

#[test]
fn a_booking_with_a_lost_answer_is_unknown_and_never_sent_again() {
    let fleet = Fleet::start(&Plan {
        engines_each: 1,
        ..Plan::default()
    });
    fleet.service.set_faults(|faults| faults.lose_answers = 1);
    let first = fleet.book(0, "k", "slot");
    assert_eq!(first.status, 504);
    assert_eq!(
        first.closing.map(|closing| closing.ran),
        Some("unknown".into())
    );
    for host in [0, 1, 0] {
        let again = fleet.book(host, "k", "slot");
        assert_ne!(again.status, 200);
        assert_ne!(again.closing.map(|closing| closing.ran), Some("no".into()));
    }
    assert_eq!(fleet.service.runs().get("slot"), Some(&1));
}

#[test]
fn without_the_platform_prompts_are_served_and_bookings_refused_truthfully() {
    let fleet = Fleet::start(&Plan::default());
    fleet.platform.set_faults(|faults| faults.down = true);
    let answer = fleet.generate(0, DESK, "no platform", 1_000, 10);
    assert_whole(&answer, "no platform", 10);
    let refused = fleet.book(0, "k", "slot");
    assert_eq!(refused.status, 503);
    let closing = refused.closing.expect("a closing line");
    assert_eq!(
        (closing.ran.as_str(), closing.kind.as_deref()),
        ("no", Some("platform_unavailable"))
    );
    assert!(closing.retry_after_ms.is_some());
    assert!(fleet.service.runs().is_empty());
    fleet.platform.set_faults(|faults| faults.down = false);
    wait("the booking goes through", || {
        fleet.book(1, "k", "slot").status == 200
    });
    assert_eq!(fleet.service.runs().get("slot"), Some(&1));
}

#[test]
fn an_old_key_is_refused_without_a_claim_about_the_past() {
    let fleet = Fleet::start(&Plan::default());
    let booked = client::book(
        &client::agent(),
        &Booking {
            host: &fleet.hosts[0].addresses.callers,
            token: &token(crate::fleet::WORKSPACE),
            path: "booking-api/confirm",
            key: "old",
            issued_ms: wall_ms() - 3_600_000,
            body: "slot",
            time_allowed_ms: 5_000,
        },
    );
    assert_eq!(booked.status, 409);
    let closing = booked.closing.expect("a closing line");
    assert_eq!(
        (closing.ran.as_str(), closing.kind.as_deref()),
        ("unknown", Some("key_expired"))
    );
    assert!(fleet.service.runs().is_empty());
}

#[test]
fn a_leaving_engine_gets_nothing_new() {
    let fleet = Fleet::start(&Plan {
        engines_each: 3,
        ..Plan::default()
    });
    let leaving = fleet.engines[0].clone();
    let answers = under_load(&fleet, &[0, 1], || {
        leaving.with(|model| model.faults.leaving = true);
        thread::sleep(Duration::from_secs(1));
        let before = leaving.with(|model| model.started().len());
        thread::sleep(Duration::from_secs(1));
        assert_eq!(leaving.with(|model| model.started().len()), before);
    });
    for (prompt, answer) in answers {
        assert_whole(&answer, &prompt, 30);
    }
}

#[test]
fn a_domain_cut_off_from_the_platform_serves_on_and_restarts_from_peers() {
    let mut fleet = Fleet::start(&Plan {
        hosts_each: 3,
        ..Plan::default()
    });
    fleet.platform_relay.set_cut(true);
    let answers = under_load(&fleet, &[0, 1], || {
        fleet.hosts[2].process.signal("KILL");
        thread::sleep(Duration::from_secs(1));
    });
    for (prompt, answer) in answers {
        assert_whole(&answer, &prompt, 30);
    }
    fleet.hosts.remove(2);
    let seed = fleet.hosts[0].addresses.peers.clone();
    fleet.start_host_with("muc-a-h2", "muc-a", &format!(r#""seeds": ["{seed}"]"#));
    fleet.wait_ready();
    let answer = fleet.generate(2, DESK, "learnt from peers", 1_000, 10);
    assert_whole(&answer, "learnt from peers", 10);
    fleet.platform_relay.set_cut(false);
}

#[test]
fn orders_are_fenced_and_stop_with_the_platform() {
    let fleet = Fleet::start(&Plan::default());
    let given = || -> Vec<usize> {
        fleet
            .engines
            .iter()
            .map(|engine| engine.with(|model| model.orders().len()))
            .collect()
    };
    wait("each engine has its order", || {
        given().iter().all(|count| *count > 0)
    });
    let epochs: Vec<u64> = fleet
        .engines
        .iter()
        .flat_map(|engine| {
            engine.with(|model| {
                model
                    .orders()
                    .iter()
                    .map(|order| order.epoch)
                    .collect::<Vec<_>>()
            })
        })
        .collect();
    let newest = epochs.iter().max().copied().unwrap_or(0);
    let old = alderglade_backend::wire::Order {
        epoch: newest - 1,
        model: fleet::MODEL.into(),
        version: "old".into(),
    };
    let client = alderglade_backend::engine::Client::new(&fleet.engines[0].address());
    assert!(client.order(&old).is_err(), "an older epoch is refused");
    assert!(
        get(&format!(
            "http://{}/metrics",
            fleet.hosts[0].addresses.operators
        ))
        .is_some()
    );
}
