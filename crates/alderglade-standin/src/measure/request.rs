//! What a request costs control: processor time at both hosts, messages and bytes between them.

use super::{Figure, bytes, figure, heartbeat, node, tree};
use crate::fleet::MODEL;
use alderglade_core::Name;
use alderglade_core::fleet::fingerprint::Fingerprint;
use alderglade_core::fleet::quarantine::Identity;
use alderglade_core::inflight::{Submission, Work};
use alderglade_core::lane::Lane;
use alderglade_core::ledger::Outcome;
use alderglade_core::limit::Rate;
use alderglade_core::node::{Action, AttemptResult, Event, Node};
use alderglade_core::request::{Id, Ticket};
use alderglade_core::time::Time;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Requests that are played.
const COUNT: u64 = 5_000;

/// Two hosts of a domain: one takes requests, one is home; each message is counted.
struct Pair {
    hosts: [Node; 2],
    now: Time,
    /// Processor time of each host.
    busy: [Duration; 2],
    /// Messages between them.
    messages: u64,
    bytes: u64,
}

impl Pair {
    /// Starts two hosts and lets them hear of each other.
    fn start() -> Pair {
        let tree = tree(16, 1);
        let mut now = Time::from_millis(1_000);
        let mut hosts = [node("host-00", &tree, now), node("host-01", &tree, now)];
        for step in 0..50 {
            now = now + Duration::from_millis(20);
            for (number, host) in hosts.iter_mut().enumerate() {
                if step % 10 == 0 {
                    let from: Name = format!("host-{:02}", 1 - number).into();
                    let message = heartbeat(&from, 0);
                    host.handle(Event::Deliver { from, message }, now, 0);
                }
                host.handle(Event::Tick, now, 0);
            }
        }
        Pair {
            hosts,
            now,
            busy: [Duration::ZERO; 2],
            messages: 0,
            bytes: 0,
        }
    }

    /// Plays one request that is submitted at a host, to its end.
    fn play(&mut self, entry: usize, serial: u64) {
        self.now = self.now + Duration::from_micros(300);
        let submission = Event::Submit(Box::new(submission(serial)));
        let mut events: VecDeque<(usize, Event)> = [(entry, submission)].into();
        while let Some((at, event)) = events.pop_front() {
            let began = Instant::now();
            let actions = self.hosts[at].handle(event, self.now, 0);
            self.busy[at] += began.elapsed();
            for action in actions {
                self.follow(at, action, &mut events);
            }
        }
    }

    /// Carries out what a host wants: delivers its messages, and answers at once where it starts a try.
    fn follow(&mut self, at: usize, action: Action, events: &mut VecDeque<(usize, Event)>) {
        match action {
            Action::Send { message, .. } => {
                self.messages += 1;
                self.bytes += bytes(&message);
                let from = format!("host-{at:02}").into();
                events.push_back((1 - at, Event::Deliver { from, message }));
            }
            Action::Start {
                request, attempt, ..
            } => {
                let ended = Event::AttemptEnded {
                    request,
                    attempt,
                    ended: AttemptResult::Finished {
                        tokens: 300,
                        outcome: Outcome::Unknown,
                    },
                };
                events.push_back((at, Event::FirstToken { request }));
                events.push_back((at, ended));
            }
            _ => {}
        }
    }
}

/// Measures what one request costs control.
pub(super) fn measure(figures: &mut Vec<Figure>) {
    const SIZE: &str = "1 request";
    let mut pair = Pair::start();
    let home = usize::from(pair.hosts[1].homes().next().is_some());
    let entry = 1 - home;
    for serial in 0..COUNT {
        pair.play(entry, serial);
    }
    let each = |time: Duration| time.as_secs_f64() * 1e6 / COUNT as f64;
    let per = |sum: u64| sum as f64 / COUNT as f64;
    figures.extend([
        figure(
            "a request, control at its entry host",
            SIZE,
            each(pair.busy[entry]),
            "us",
        ),
        figure(
            "a request, control at its cell's home",
            SIZE,
            each(pair.busy[home]),
            "us",
        ),
        figure(
            "a request, messages between hosts",
            SIZE,
            per(pair.messages),
            "messages",
        ),
        figure(
            "a request, bytes between hosts",
            SIZE,
            per(pair.bytes),
            "bytes",
        ),
    ]);
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
        identity: Identity::from(Fingerprint::default()),
        work: Work::Generate,
        class: "desk".into(),
        rate: Rate::new(None, None),
        first_token: Duration::from_millis(350),
        objective_per_mille: 950,
        repeatable: true,
        claim: None,
    }
}
