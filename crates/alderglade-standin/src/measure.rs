//! Slopes for `docs/CAPACITY.md`: what control costs, at several sizes each.
//!
//! Processor time is the machine's, taken around the core's own calls. Bytes are those of the
//! codec that entry hosts use between each other, without the few bytes of framing.

pub mod idle;

use crate::fleet::{self, EngineAt, MODEL};
use alderglade_core::Name;
use alderglade_core::cell::{Digest, Key};
use alderglade_core::inflight::{Submission, Work};
use alderglade_core::lane::Lane;
use alderglade_core::ledger::{Action as LedgerAction, Claim, Segment, Shard, Written};
use alderglade_core::limit::Rate;
use alderglade_core::membership::Card;
use alderglade_core::message::{Heartbeat, Message};
use alderglade_core::node::{Action, Config, Ended, Event, Node};
use alderglade_core::placement;
use alderglade_core::request::{Id, Ticket};
use alderglade_core::settings::Tree;
use alderglade_core::settings::patch::Patch;
use alderglade_core::slo::{Log, Sample};
use alderglade_core::time::Time;
use serde::Serialize;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// One measured number.
#[derive(Debug, Clone, Serialize)]
pub struct Figure {
    /// What was measured.
    pub what: &'static str,
    /// The size at which it was.
    pub size: String,
    /// The number.
    pub value: f64,
    /// Its unit.
    pub unit: &'static str,
}

fn figure(what: &'static str, size: impl ToString, value: f64, unit: &'static str) -> Figure {
    Figure {
        what,
        size: size.to_string(),
        value,
        unit,
    }
}

/// Measures all slopes that need no processes.
pub fn run() -> Vec<Figure> {
    let mut figures = Vec::new();
    heartbeats(&mut figures);
    ticks(&mut figures);
    requests(&mut figures);
    settings(&mut figures);
    ledger(&mut figures);
    counts(&mut figures);
    figures
}

fn bytes(message: &Message) -> u64 {
    bincode::serialized_size(message).unwrap_or(0)
}

fn card(name: &str) -> Card {
    Card {
        name: name.into(),
        domain: "domain-01".into(),
        address: format!("10.20.30.40:7000/{name}").into(),
        incarnation: 1,
        leaving: false,
        revision: 1_000,
    }
}

fn digest(index: u32) -> Digest {
    Digest {
        cell: Key {
            domain: "domain-01".into(),
            model: MODEL.into(),
            index,
        },
        open: 16,
        waits: [Duration::from_millis(5); 3],
        largest: 5_760_000,
    }
}

fn heartbeat(name: &str, cells: u32) -> Message {
    Message::Heartbeat(Heartbeat {
        card: card(name),
        cells: (0..cells).map(digest).collect(),
        leaving: Vec::new(),
    })
}

fn heartbeats(figures: &mut Vec<Figure>) {
    for cells in [0, 1, 4, 8] {
        let size = bytes(&heartbeat("domain-01-host-01", cells)) as f64;
        figures.push(figure("heartbeat", format!("{cells} cells"), size, "bytes"));
    }
    let load = Message::Load {
        cells: (0..8).map(digest).collect(),
    };
    figures.push(figure(
        "load of a domain, on asking",
        "8 cells",
        bytes(&load) as f64,
        "bytes",
    ));
}

fn tree(engines: usize, workspaces: usize) -> Tree {
    let engines: Vec<EngineAt> = (0..engines)
        .map(|number| EngineAt {
            name: format!("engine-{number:04}").into(),
            domain: "domain-01".into(),
            address: "127.0.0.1:1".into(),
            kv_tokens: 400_000,
        })
        .collect();
    let names: Vec<String> = (0..workspaces)
        .map(|n| format!("workspace-{n:05}"))
        .collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut tree = fleet::tree(&engines, &[], &names);
    tree.revision = 1;
    tree
}

fn node(name: &str, tree: &Tree, now: Time) -> Node {
    let config = Config {
        card: card(name),
        placement: placement::Config::default(),
    };
    let mut node = Node::new(config, now);
    node.handle(Event::Settings(Arc::new(tree.clone())), now, 0);
    node
}

/// A host of a domain of `hosts`, with the cells of 110 engines spread over them.
fn ticks(figures: &mut Vec<Figure>) {
    const SECONDS: u64 = 20;
    let tree = tree(110, 0);
    for hosts in [3, 12, 36] {
        let mut now = Time::from_millis(1_000);
        let mut node = node("host-00", &tree, now);
        let peers: Vec<Name> = (1..hosts).map(|n| format!("host-{n:02}").into()).collect();
        let (mut busy, mut sent, mut sent_bytes, mut steps) = (Duration::ZERO, 0, 0, 0_u64);
        let interval = Duration::from_millis(250).max(Duration::from_millis(28) * hosts);
        let mut next_beat = now;
        while steps < SECONDS * 50 {
            steps += 1;
            now = now + Duration::from_millis(20);
            let mut events = vec![Event::Tick];
            if now >= next_beat {
                next_beat = now + interval;
                events.extend(peers.iter().map(|peer| Event::Deliver {
                    from: peer.clone(),
                    message: heartbeat(peer, 1),
                }));
            }
            for event in events {
                let began = Instant::now();
                let actions = node.handle(event, now, 0);
                busy += began.elapsed();
                for action in actions {
                    if let Action::Send { message, .. } = action {
                        sent += 1;
                        sent_bytes += bytes(&message);
                    }
                }
            }
        }
        let second = SECONDS as f64;
        let size = format!("{hosts} hosts");
        figures.push(figure(
            "idle control, processor",
            &size,
            busy.as_secs_f64() / second * 100.0,
            "% of a core",
        ));
        figures.push(figure(
            "idle control, messages out",
            &size,
            f64::from(sent) / second,
            "a second",
        ));
        figures.push(figure(
            "idle control, bytes out",
            &size,
            sent_bytes as f64 / second,
            "bytes a second",
        ));
    }
}

/// Two hosts of a domain: one takes requests, one is home; each message is counted.
fn requests(figures: &mut Vec<Figure>) {
    const COUNT: u64 = 5_000;
    let tree = tree(16, 1);
    let mut now = Time::from_millis(1_000);
    let mut hosts = [node("host-00", &tree, now), node("host-01", &tree, now)];
    for step in 0..50 {
        now = now + Duration::from_millis(20);
        for (number, host) in hosts.iter_mut().enumerate() {
            let other: Name = format!("host-{:02}", 1 - number).into();
            let message = heartbeat(&other, 0);
            if step % 10 == 0 {
                host.handle(
                    Event::Deliver {
                        from: other,
                        message,
                    },
                    now,
                    0,
                );
            }
            host.handle(Event::Tick, now, 0);
        }
    }
    let home = usize::from(hosts[1].homes().next().is_some());
    let entry = 1 - home;
    let mut busy = [Duration::ZERO; 2];
    let (mut messages, mut message_bytes) = (0_u64, 0_u64);
    for serial in 0..COUNT {
        now = now + Duration::from_micros(300);
        let submission = Event::Submit(Box::new(submission(serial)));
        let mut events: VecDeque<(usize, Event)> = [(entry, submission)].into();
        while let Some((at, event)) = events.pop_front() {
            let began = Instant::now();
            let actions = hosts[at].handle(event, now, 0);
            busy[at] += began.elapsed();
            for action in actions {
                match action {
                    Action::Send { message, .. } => {
                        messages += 1;
                        message_bytes += bytes(&message);
                        let from = format!("host-{at:02}").into();
                        events.push_back((1 - at, Event::Deliver { from, message }));
                    }
                    Action::Start {
                        request, attempt, ..
                    } => {
                        let outcome = alderglade_core::ledger::Outcome::Unknown;
                        let ended = Ended::Finished {
                            tokens: 300,
                            outcome,
                        };
                        events.push_back((at, Event::FirstToken { request }));
                        events.push_back((
                            at,
                            Event::Ended {
                                request,
                                attempt,
                                ended,
                            },
                        ));
                    }
                    _ => {}
                }
            }
        }
    }
    let each = |time: Duration| time.as_secs_f64() * 1e6 / COUNT as f64;
    figures.push(figure(
        "a request, control at its entry host",
        "1 request",
        each(busy[entry]),
        "us",
    ));
    figures.push(figure(
        "a request, control at its cell's home",
        "1 request",
        each(busy[home]),
        "us",
    ));
    let per = |sum: u64| sum as f64 / COUNT as f64;
    figures.push(figure(
        "a request, messages between hosts",
        "1 request",
        per(messages),
        "messages",
    ));
    figures.push(figure(
        "a request, bytes between hosts",
        "1 request",
        per(message_bytes),
        "bytes",
    ));
}

fn submission(serial: u64) -> Submission {
    Submission {
        ticket: Ticket {
            id: Id {
                incarnation: 7,
                serial,
            },
            workspace: "workspace-00000".into(),
            model: MODEL.into(),
            lane: Lane::Urgent,
            weight: 1,
            prompt: 1_000,
            output_cap: 512,
            output_expected: 300,
            prefix: None,
            time_left: Duration::from_secs(60),
            attempt: 1,
            avoid: None,
        },
        work: Work::Generate,
        class: "desk".into(),
        rate: Rate::new(None, None),
        first_token: Duration::from_millis(350),
        objective_per_mille: 950,
        repeatable: true,
        claim: None,
    }
}

fn settings(figures: &mut Vec<Figure>) {
    for workspaces in [10, 370, 3_700] {
        let size = format!("{workspaces} workspaces");
        let before = resident_kilobytes();
        let made = tree(1_200, workspaces);
        let held: Vec<Tree> = (0..4).map(|_| made.clone()).collect();
        let memory = resident_kilobytes().saturating_sub(before) as f64 / 1_024.0 / 5.0;
        let text = serde_json::to_string(&made).unwrap_or_default();
        let branch: usize = made
            .workspaces
            .values()
            .map(|workspace| serde_json::to_string(workspace).unwrap_or_default().len() + 24)
            .sum();
        let fleet = text.len() - branch.min(text.len());
        let mut changed = made.clone();
        changed.revision = 2;
        if let Some(workspace) = changed.workspaces.values_mut().next() {
            workspace.policy.weight = Some(2);
        }
        let began = Instant::now();
        let patch = Patch::between(&made, &changed);
        let patched = patch.apply(&made).map_or(0, |tree| tree.revision);
        let patching = began.elapsed();
        let patch = bytes(&Message::Patches(vec![Arc::new(patch)]));
        figures.push(figure(
            "settings, patch of one workspace",
            &size,
            patch as f64,
            "bytes",
        ));
        figures.push(figure(
            "settings, finding and applying it",
            &size,
            patching.as_secs_f64() * 1e3,
            "ms",
        ));
        debug_assert_eq!(patched, changed.revision);
        let mut node = node("host-00", &tree(1, 0), Time(1));
        let mut newer = made;
        newer.revision = 2;
        let newer = Arc::new(newer);
        let began = Instant::now();
        node.handle(Event::Settings(newer), Time(2), 0);
        let took = began.elapsed();
        figures.push(figure(
            "settings, whole tree as JSON",
            &size,
            text.len() as f64,
            "bytes",
        ));
        figures.push(figure(
            "settings, one part of 64",
            &size,
            branch as f64 / 64.0,
            "bytes",
        ));
        figures.push(figure(
            "settings, the fleet's part",
            &size,
            fleet as f64,
            "bytes",
        ));
        figures.push(figure("settings, memory of a tree", &size, memory, "MB"));
        figures.push(figure(
            "settings, taking a new revision",
            &size,
            took.as_secs_f64() * 1e3,
            "ms",
        ));
        drop(held);
    }
}

/// Gives the resident memory of this process.
fn resident_kilobytes() -> u64 {
    idle::resident_kilobytes(std::process::id()).unwrap_or(0)
}

/// One shard under claims at a steady rate, each settled half a second later.
fn ledger(figures: &mut Vec<Figure>) {
    const SECONDS: u64 = 30;
    for rate in [1, 10, 100, 400] {
        let mut shard = Shard::new(0);
        let mut now = Time::from_millis(1_000);
        let from: Name = "host-00".into();
        let (mut version, mut written, mut sizes) = (0, 0_u64, 0_usize);
        let wall = 1_800_000_000_000;
        for serial in 0..rate * SECONDS {
            now = now + Duration::from_micros(1_000_000 / rate);
            let claim = Claim {
                key: format!("workspace-00001/booking-{serial:08}").into(),
                body: 1,
                issued_ms: wall,
                claimant: Id {
                    incarnation: 1,
                    serial,
                },
                host: from.clone(),
            };
            shard.claim(&from, claim, now, wall);
            shard.tick(now, wall);
            work_off(
                &mut shard,
                now,
                wall,
                &mut version,
                &mut written,
                &mut sizes,
            );
        }
        let seconds = SECONDS as f64;
        let size = format!("{rate} claims a second to a shard");
        figures.push(figure(
            "ledger, writes of a shard",
            &size,
            written as f64 / seconds,
            "a second",
        ));
        figures.push(figure(
            "ledger, bytes of a write",
            &size,
            sizes as f64 / written.max(1) as f64,
            "bytes",
        ));
    }
}

fn work_off(
    shard: &mut Shard,
    now: Time,
    wall: u64,
    version: &mut u64,
    written: &mut u64,
    sizes: &mut usize,
) {
    loop {
        let actions = shard.take_actions();
        if actions.is_empty() {
            return;
        }
        for action in actions {
            match action {
                LedgerAction::Read { .. } => shard.read(Some(Vec::new()), now, wall),
                LedgerAction::Write { segment, .. } => {
                    *version += 1;
                    *written += 1;
                    *sizes += json_size(&segment);
                    shard.wrote(Written::Done(*version), now, wall);
                }
                _ => {}
            }
        }
    }
}

fn json_size(segment: &Segment) -> usize {
    serde_json::to_string(segment).unwrap_or_default().len()
}

/// The counts against objectives that a host publishes.
fn counts(figures: &mut Vec<Figure>) {
    for series in [10, 100, 1_000, 4_000] {
        let mut log = Log::default();
        let sample = Sample {
            first_token: Some(Duration::from_millis(80)),
            objective: Duration::from_millis(350),
            finished: true,
            refused: false,
        };
        for number in 0..series {
            for minute in 0..60 {
                let name: Name = format!("workspace-{number:05}").into();
                log.add(&name, &"desk".into(), 950, sample, minute * 60_000);
            }
        }
        log.tidy(60 * 60_000);
        let published = serde_json::to_string(&log.published()).unwrap_or_default();
        let size = published.len();
        figures.push(figure(
            "published counts",
            format!("{series} series, a full hour"),
            size as f64,
            "bytes",
        ));
    }
}
