//! The whole path over separate processes, and what callers see of it.

use crate::fleet::{Fleet, Plan, WORKSPACE, assert_whole, wait};
use alderglade_standin::client::{self, Ask};
use alderglade_standin::fleet::{DESK, MODEL, REVIEW, token};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

#[test]
fn short_and_long_prompts_through_all_hosts_are_answered_whole() {
    let fleet = Fleet::start(&Plan {
        domains: &["muc-a", "muc-b", "nue-c"],
        ..Plan::default()
    });
    thread::scope(|scope| {
        for number in 0..60 {
            let fleet = &fleet;
            scope.spawn(move || {
                let long = number % 10 == 0;
                let (class, tokens) = if long {
                    (REVIEW, 200_000)
                } else {
                    (DESK, 1_000)
                };
                let prompt = format!("{number:03} who comes next?");
                let answer = fleet.generate(number % fleet.hosts.len(), class, &prompt, tokens, 20);
                assert_whole(&answer, &prompt, 20);
            });
        }
    });
    fleet.wait_memory_back();
}

#[test]
fn a_prompt_bigger_than_one_engine_passes_through_several() {
    let fleet = Fleet::start(&Plan {
        engines_each: 4,
        ..Plan::default()
    });
    let answer = fleet.generate(0, REVIEW, "a season of orders", 1_000_000, 10);
    assert_whole(&answer, "a season of orders", 10);
    let used = fleet
        .engines
        .iter()
        .filter(|engine| engine.with(|model| model.prefilled()) > 0);
    assert_eq!(used.count(), 3);
    fleet.wait_memory_back();
}

#[test]
fn bad_requests_get_a_clear_answer_and_run_nothing() {
    let fleet = Fleet::start(&Plan::default());
    let host = fleet.hosts[0].addresses.callers.clone();
    let ask = |token: &str, model: &str, class: &str, tokens: u64| {
        client::generate(
            &client::agent(),
            &Ask {
                host: &host,
                token,
                model,
                class,
                prompt: "x",
                tokens,
                output: 5,
            },
        )
    };
    let good = token(WORKSPACE);
    let cases = [
        (ask("wrong", MODEL, DESK, 10), 401, "unauthorized"),
        (ask(&good, "no-such", DESK, 10), 404, "not_found"),
        (ask(&good, MODEL, "no-such", 10), 400, "bad_request"),
        (ask(&good, MODEL, DESK, 2_000_000), 413, "too_large"),
    ];
    for (answer, status, kind) in cases {
        assert_eq!(answer.status, status);
        assert_eq!(answer.kind(), kind);
        assert_eq!(answer.ran(), "no");
        assert!(
            answer
                .closing
                .is_some_and(|closing| closing.detail.is_some())
        );
    }
    let raw = |body: &str| {
        let sent = client::agent()
            .post(format!("http://{host}/v1/generate"))
            .header("authorization", format!("Bearer {good}"))
            .send(body);
        sent.expect("an answer").status().as_u16()
    };
    assert_eq!(raw("{"), 400);
    assert_eq!(
        raw(r#"{"model": "assist-llm", "prompt": "x", "colour": 1}"#),
        400
    );
    let unkeyed = client::agent()
        .post(format!("http://{host}/v1/services/booking-api/confirm"))
        .header("authorization", format!("Bearer {good}"))
        .send("slot");
    assert_eq!(unkeyed.expect("an answer").status().as_u16(), 400);
    assert!(
        fleet
            .engines
            .iter()
            .all(|engine| engine.with(|model| model.started().is_empty()))
    );
    assert!(fleet.service.runs().is_empty());
}

#[test]
fn a_caller_that_goes_away_frees_its_engine() {
    let fleet = Fleet::start(&Plan::default());
    let body = format!(
        r#"{{"model": "{MODEL}", "prompt": "gone", "prompt_tokens": 30000, "max_tokens": 64, "class": "{REVIEW}"}}"#
    );
    let mut socket = TcpStream::connect(&fleet.hosts[0].addresses.callers).expect("a connection");
    let head = format!(
        "POST /v1/generate HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\nContent-Length: {}\r\n\r\n{body}",
        token(WORKSPACE),
        body.len()
    );
    socket.write_all(head.as_bytes()).expect("sent");
    let mut first = [0; 256];
    let read = socket.read(&mut first).expect("the first token");
    assert!(read > 0);
    drop(socket);
    fleet.wait_memory_back();
}

#[test]
fn a_dawdling_caller_holds_up_nobody() {
    let fleet = Fleet::start(&Plan::default());
    let mut dawdlers = Vec::new();
    for _ in 0..50 {
        let mut socket =
            TcpStream::connect(&fleet.hosts[0].addresses.callers).expect("a connection");
        socket
            .write_all(b"POST /v1/generate HTTP/1.1\r\nHost: x\r\nContent-Le")
            .expect("sent");
        dawdlers.push(socket);
    }
    let answer = fleet.generate(0, DESK, "still served", 1_000, 10);
    assert_whole(&answer, "still served", 10);
}

/// The listener once queued a burst of connections behind fewer threads than there were callers that
/// dawdled: one run in some sixty waited 20 s for each four of them.
#[test]
fn bursts_of_dawdling_callers_hold_up_nobody() {
    let fleet = Fleet::start(&Plan::default());
    let half_a_head: &[u8] = b"POST /v1/generate HTTP/1.1\r\nHost: x\r\nContent-Le";
    let half_a_body: &[u8] = b"POST /v1/generate HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{";
    let mut dawdlers = Vec::new();
    for _ in 0..10 {
        let burst: Vec<TcpStream> = thread::scope(|scope| {
            let dawdle = |number: usize| {
                let address = &fleet.hosts[0].addresses.callers;
                scope.spawn(move || {
                    let mut socket = TcpStream::connect(address).expect("a connection");
                    let sent = if number.is_multiple_of(2) {
                        half_a_head
                    } else {
                        half_a_body
                    };
                    socket.write_all(sent).expect("sent");
                    socket
                })
            };
            let all: Vec<_> = (0..40).map(dawdle).collect();
            all.into_iter()
                .map(|one| one.join().expect("a socket"))
                .collect()
        });
        dawdlers.extend(burst);
        let answer = fleet.generate(0, DESK, "still served", 1_000, 10);
        assert_whole(&answer, "still served", 10);
    }
}

#[test]
fn an_overload_is_refused_at_once_with_when_to_come_back() {
    let fleet = Fleet::start(&Plan {
        engines_each: 1,
        ..Plan::default()
    });
    // A minute of prefill at the rate that the settings state, against a time allowed of seconds.
    let answer = client::generate(
        &client::agent(),
        &Ask {
            host: &fleet.hosts[0].addresses.callers,
            token: &token(WORKSPACE),
            model: MODEL,
            class: DESK,
            prompt: "too long for its time",
            tokens: 350_000,
            output: 60,
        },
    );
    assert_whole(&answer, "too long for its time", 60);
    let answers: Vec<_> = thread::scope(|scope| {
        let send = |number: usize| {
            let fleet = &fleet;
            scope.spawn(move || fleet.generate(number % 2, DESK, "burst", 250_000, 5))
        };
        let sent: Vec<_> = (0..8).map(send).collect();
        sent.into_iter()
            .map(|one| one.join().expect("an answer"))
            .collect()
    });
    let refused: Vec<_> = answers
        .iter()
        .filter(|answer| !answer.is_finished())
        .collect();
    assert!(
        !refused.is_empty(),
        "eight times ten seconds of prefill don't fit into twenty"
    );
    for answer in refused {
        assert_eq!((answer.status, answer.ran()), (503, "no"), "{answer:?}");
        assert!(answer.retry_after.is_some_and(|after| after >= 1));
    }
    fleet.wait_memory_back();
}

#[test]
fn a_backlog_of_one_workspace_leaves_the_host_answering_others() {
    let fleet = Fleet::start(&Plan::default());
    thread::scope(|scope| {
        for number in 0..40 {
            let fleet = &fleet;
            scope.spawn(move || {
                fleet.generate(number % 2, REVIEW, "loud", 100_000, 5);
            });
        }
        thread::sleep(Duration::from_millis(200));
        let answer = fleet.generate(0, DESK, "quiet", 1_000, 10);
        assert_whole(&answer, "quiet", 10);
    });
    wait("nothing runs", || {
        fleet
            .engines
            .iter()
            .all(|engine| engine.with(|model| model.is_idle()))
    });
}
