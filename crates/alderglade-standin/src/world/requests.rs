//! Callers and the threads that serve them.

use super::{Back, Guard, Happening, Scheduler, World};
use alderglade_backend::wire::Reason;
use alderglade_core::Name;
use alderglade_core::error::Kind;
use alderglade_core::fleet::fingerprint::Content;
use alderglade_core::fleet::part::Part;
use alderglade_core::fleet::quarantine::Identity;
use alderglade_core::inflight::{Submission, Work};
use alderglade_core::lane::{Lane, Priority};
use alderglade_core::ledger::{Claim, Outcome};
use alderglade_core::limit::Rate;
use alderglade_core::node::{AttemptResult, Event};
use alderglade_core::request::{Id, Prefix, Refusal, Ticket};
use alderglade_core::stream::{Assembler, Frame};
use alderglade_core::time::Time;
use std::time::Duration;

/// The request's own thread answers this long after the deadline.
const GRACE: Duration = Duration::from_millis(250);

/// A caller's request.
#[derive(Debug, Clone)]
pub struct Caller {
    /// The group that it is counted in.
    pub group: Name,
    /// The entry host that it comes to.
    pub host: Name,
    /// The workspace.
    pub workspace: Name,
    /// The workspace's weight.
    pub weight: u32,
    /// How urgent it is.
    pub priority: Priority,
    /// Prompt tokens.
    pub tokens: u64,
    /// Tokens of the answer.
    pub output: u64,
    /// The most tokens of the answer, as far as alderglade knows.
    pub output_cap: u64,
    /// The time allowed.
    pub time_allowed: Duration,
    /// A beginning that other prompts share.
    pub prefix: Option<Prefix>,
    /// The workspace's rate.
    pub rate: Rate,
    /// The key of a booking; nothing for a prompt.
    pub booking: Option<Name>,
}

/// A stream that is being read.
#[derive(Debug, Clone)]
pub(crate) struct Stream {
    /// The engines.
    pub engines: Vec<Name>,
    /// Which of them is at work.
    pub member: usize,
}

impl Stream {
    pub(crate) fn is_last(&self) -> bool {
        self.member + 1 >= self.engines.len()
    }
}

/// A request in hand, as its thread has it.
#[derive(Debug)]
pub(crate) struct Running {
    pub(crate) host: Name,
    pub(crate) incarnation: u64,
    pub(crate) group: Name,
    pub(crate) since: Time,
    pub(crate) deadline: Time,
    pub(crate) tokens: u64,
    pub(crate) output: u64,
    pub(crate) priority: u8,
    pub(crate) prefix: Option<Prefix>,
    pub(crate) attempt: u32,
    pub(crate) assembler: Assembler,
    pub(crate) stream: Option<Stream>,
    pub(crate) first_token: Option<Time>,
    pub(crate) last_token: Option<Time>,
    pub(crate) booking: Option<Name>,
    pub(crate) sent: bool,
}

impl World {
    pub(crate) fn take_ask(&mut self, caller: Caller) {
        let serial = self.ledger.next_serial();
        let Some(host) = self.hosts.get(&caller.host) else {
            return;
        };
        let dead = host.node.is_none();
        let id = Id {
            incarnation: host.incarnation * 1_000 + self.host_number(&caller.host),
            serial,
        };
        let incarnation = host.incarnation;
        let ready = host.node.as_ref().is_some_and(|node| node.is_ready());
        self.ledger.note_asked(id, &caller, self.now);
        if dead || !ready {
            // The balancer sends nothing to a host that isn't ready.
            self.ledger.note_unserved(id);
            return;
        }
        let deadline = self.now + caller.time_allowed;
        let running = Running {
            host: caller.host.clone(),
            incarnation,
            group: caller.group.clone(),
            since: self.now,
            deadline,
            tokens: caller.tokens,
            output: caller.output,
            priority: Lane::of(caller.priority, caller.tokens).engine_priority(),
            prefix: caller.prefix,
            attempt: 1,
            assembler: Assembler::new(id, 1),
            stream: None,
            first_token: None,
            last_token: None,
            booking: caller.booking.clone(),
            sent: false,
        };
        self.running.insert(id, running);
        if self.plan.scheduler == Scheduler::Naive {
            self.naive_arrive(id);
            return;
        }
        if !self.is_off(Guard::OwnDeadline) {
            self.at(deadline + GRACE, Happening::Deadline { request: id });
        }
        let submission = self.submission(id, &caller);
        let event = Event::Submit(Box::new(submission));
        self.host_event(&caller.host, incarnation, event);
    }

    fn host_number(&self, host: &Name) -> u64 {
        self.hosts.keys().position(|name| name == host).unwrap_or(0) as u64
    }

    fn submission(&self, id: Id, caller: &Caller) -> Submission {
        let booking = caller.booking.clone();
        let claim = booking.as_ref().map(|key| Claim {
            key: key.clone(),
            body: 1,
            issued_ms: self.wall_ms(),
            claimant: id,
            host: caller.host.clone(),
        });
        let work = match booking {
            Some(_) => Work::Call {
                service: crate::fleet::SERVICE.into(),
            },
            None => Work::Generate,
        };
        let body = id.to_string();
        let content = Content {
            workspace: Some(&caller.workspace),
            method: "POST",
            host: "",
            target: "",
            body: body.as_bytes(),
        };
        Submission {
            ticket: Ticket {
                id,
                workspace: caller.workspace.clone(),
                model: crate::fleet::MODEL.into(),
                lane: Lane::of(caller.priority, caller.tokens),
                weight: caller.weight,
                prompt: caller.tokens,
                output_cap: caller.output_cap,
                output_expected: caller.output_cap,
                prefix: caller.prefix,
                time_left: caller.time_allowed,
                attempt: 1,
                avoid: None,
            },
            identity: Identity {
                fingerprint: content.fingerprint(),
                parts: caller
                    .prefix
                    .iter()
                    .map(|prefix| Part::from_id(&prefix.id()))
                    .collect(),
            },
            work,
            class: caller.group.clone(),
            rate: caller.rate,
            first_token: Duration::from_millis(350),
            objective_per_mille: 950,
            repeatable: claim.is_none(),
            claim,
        }
    }

    /// Sends a try to its engines.
    pub(crate) fn start(&mut self, request: Id, attempt: u32, engines: Vec<Name>) {
        let gang = engines.len() > 1;
        let host = {
            let Some(running) = self.running.get_mut(&request) else {
                return;
            };
            running.attempt = attempt;
            running.sent = true;
            running.assembler.resume(attempt);
            running.stream = Some(Stream {
                engines: engines.clone(),
                member: 0,
            });
            running.host.clone()
        };
        let way = engines.first().and_then(|engine| self.way(&host, engine));
        let way = way.unwrap_or(self.plan.near);
        self.after(way, Happening::Start { request, attempt });
        if gang {
            self.renew_gang(request);
            self.schedule_renewal(request, attempt);
        }
    }

    /// Renews a gang's reservations now and again until its try is over.
    fn schedule_renewal(&mut self, request: Id, attempt: u32) {
        let until = self
            .running
            .get(&request)
            .map_or(self.now, |running| running.deadline);
        let mut at = self.now + World::renewal_pause();
        while at < until {
            let renewal = super::fault::Fault::Renew { request, attempt };
            self.at(at, Happening::Fault(renewal));
            at = at + World::renewal_pause();
        }
    }

    /// Something comes back from an engine or a server.
    pub(crate) fn back(&mut self, request: Id, attempt: u32, back: Back) {
        let frozen = self.frozen_until(request);
        if frozen > self.now {
            self.back_at(frozen, request, attempt, back);
            return;
        }
        let Some(running) = self.running.get(&request) else {
            return;
        };
        if running.stream.is_none() && running.booking.is_none() || running.attempt != attempt {
            return;
        }
        let begun = running
            .stream
            .as_ref()
            .is_some_and(|stream| stream.member > 0);
        match back {
            Back::Refused(_) | Back::Unreached if begun => {
                self.end_try(request, AttemptResult::ConnectionLost)
            }
            Back::Token {
                sequence,
                attempt,
                of,
                last,
            } => self.token(request, of, attempt, sequence, last),
            Back::Refused(Reason::NoRoom) => self.end_try(request, AttemptResult::NoRoom),
            Back::Refused(Reason::Leaving) | Back::ServerLeaving => {
                self.end_try(request, AttemptResult::Leaving);
            }
            Back::Refused(Reason::Fenced | Reason::Failed) => {
                self.end_try(request, AttemptResult::Failed)
            }
            Back::Broke => self.end_try(request, AttemptResult::ConnectionLost),
            Back::Unreached => self.end_try(request, AttemptResult::ConnectFailed),
            Back::Answered => self.finish_booking(request),
        }
    }

    fn frozen_until(&self, request: Id) -> Time {
        let host = self
            .running
            .get(&request)
            .and_then(|running| self.hosts.get(&running.host));
        host.map_or(Time(0), |host| host.frozen_until)
    }

    fn token(&mut self, request: Id, of: Id, attempt: u32, sequence: u64, last: bool) {
        let unguarded = self.is_off(Guard::Attempts);
        let now = self.now;
        let Some(running) = self.running.get_mut(&request) else {
            return;
        };
        let frame = Frame {
            request: of,
            attempt,
            sequence,
            text: String::new(),
        };
        let delivered: Vec<u64> = if unguarded {
            vec![sequence]
        } else {
            running
                .assembler
                .push(frame)
                .iter()
                .map(|frame| frame.sequence)
                .collect()
        };
        if delivered.is_empty() {
            return;
        }
        let group = running.group.clone();
        let fresh = running.first_token.is_none();
        let gap = running.last_token.map(|before| now.since(before));
        running.first_token.get_or_insert(now);
        running.last_token = Some(now);
        let (since, output) = (running.since, running.output);
        let (host, incarnation) = (running.host.clone(), running.incarnation);
        let whole = running.assembler.next() >= output || (unguarded && last);
        for sequence in delivered {
            self.ledger.note_token(request, sequence);
        }
        if let Some(gap) = gap {
            self.ledger.note_gap(&group, gap);
        }
        if fresh {
            self.ledger.note_first_token(request, now.since(since));
            self.host_event(&host, incarnation, Event::FirstToken { request });
        }
        if whole {
            self.finish_stream(request, output);
        }
    }

    fn finish_stream(&mut self, request: Id, tokens: u64) {
        let outcome = Outcome::Answered {
            status: 200,
            body: None,
        };
        let gang = self
            .running
            .get(&request)
            .and_then(|running| running.stream.clone())
            .filter(|stream| stream.engines.len() > 1);
        let host = self
            .running
            .get(&request)
            .map(|running| running.host.clone());
        self.end_try(request, AttemptResult::Finished { tokens, outcome });
        self.running.remove(&request);
        self.ledger.note_answer(request, None, self.now);
        if let (Some(gang), Some(host)) = (gang, host) {
            for engine in gang.engines {
                self.call_engine(&host, engine, super::Call::Free { request }, 0);
            }
        }
    }

    fn finish_booking(&mut self, request: Id) {
        let outcome = Outcome::Answered {
            status: 200,
            body: Some("confirmed".into()),
        };
        self.end_try(request, AttemptResult::Finished { tokens: 0, outcome });
        self.running.remove(&request);
        self.ledger.note_answer(request, None, self.now);
    }

    pub(crate) fn answer_refusal(&mut self, request: Id, refusal: Refusal) {
        if self.running.remove(&request).is_none() {
            return;
        }
        self.ledger.note_answer(request, Some(refusal), self.now);
    }

    pub(crate) fn answer_replay(&mut self, request: Id, outcome: Outcome) {
        if self.running.remove(&request).is_none() {
            return;
        }
        let refusal = match outcome {
            Outcome::Answered { .. } => None,
            Outcome::Unknown | Outcome::NotSent => {
                Some(Refusal::new(Kind::ContactLost, Duration::from_secs(1)))
            }
        };
        self.ledger.note_replay(request, refusal, self.now);
    }

    /// The request's own thread gives up: the control thread has said nothing in time.
    pub(crate) fn own_deadline(&mut self, request: Id) {
        let frozen = self.frozen_until(request);
        if frozen > self.now {
            self.at(frozen, Happening::Deadline { request });
            return;
        }
        let Some(running) = self.running.get(&request) else {
            return;
        };
        let kind = if running.sent {
            Kind::ExpiredRunning
        } else {
            Kind::ExpiredWaiting
        };
        let (host, incarnation) = (running.host.clone(), running.incarnation);
        self.answer_refusal(request, Refusal::new(kind, Duration::from_secs(1)));
        self.host_event(&host, incarnation, Event::CallerGone { request });
    }

    /// A host is gone: its callers lose their connections, engines notice at the next token.
    pub(crate) fn drop_streams_of(&mut self, host: &Name) {
        let lost: Vec<Id> = self
            .running
            .iter()
            .filter(|(_, running)| running.host == *host)
            .map(|(id, _)| *id)
            .collect();
        for request in lost {
            let Some(running) = self.running.remove(&request) else {
                continue;
            };
            self.ledger.note_lost(request, host);
            let single = running.stream.filter(|stream| stream.engines.len() == 1);
            if let Some(stream) = single.filter(|_| !self.is_off(Guard::Sweep))
                && let Some(engine) = self.engines.get_mut(&stream.engines[0])
            {
                engine.model.free(request);
            }
        }
    }

    /// An engine is gone: streams that it served break.
    pub(crate) fn break_streams_at(&mut self, engine: &Name) {
        let at = |running: &Running| {
            let stream = running.stream.as_ref();
            stream.is_some_and(|stream| stream.engines.get(stream.member) == Some(engine))
        };
        let broken: Vec<(Id, u32)> = self
            .running
            .iter()
            .filter(|(_, running)| at(running))
            .map(|(id, running)| (*id, running.attempt))
            .collect();
        for (request, attempt) in broken {
            let back = Back::Broke;
            self.back_after(self.plan.near, request, attempt, back);
        }
    }
}
