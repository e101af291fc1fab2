//! Engines: steps, streams, reservations and reports.

use super::requests::Stream;
use super::{Back, Call, EngineAt, Guard, Happening, Scheduler, World};
use crate::batch::{Emitted, Job};
use crate::engine::model::{Model, Wish};
use alderglade_backend::gang;
use alderglade_core::Name;
use alderglade_core::gang::{RENEW_EVERY, RESERVATION_LIFE};
use alderglade_core::node::Event;
use alderglade_core::request::Id;
use alderglade_core::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// A call that gets no answer is given up after this long.
const CALL_LIMIT: Duration = Duration::from_secs(2);
/// A cancel is tried this often.
const CANCEL_TRIES: u32 = 4;
/// A stream without a token for this long is lost, beside its prefill.
const PAUSE_LIMIT: Duration = Duration::from_secs(5);
/// Memory is held this long beyond the request's time.
const OVERTIME: Duration = Duration::from_secs(2);
/// With the leases off, things are held for ever.
const FOR_EVER: Duration = Duration::from_secs(1_000_000);

impl World {
    pub(crate) fn add_engine(&mut self, name: &Name, domain: &Name) {
        let engine = EngineAt {
            model: Model::new(name, self.plan.batch, true),
            domain: domain.clone(),
            alive: true,
            stepping: false,
            generation: 0,
            reports: VecDeque::new(),
            leaving_since: None,
            listed_from: None,
        };
        self.engines.insert(name.clone(), engine);
    }

    /// Gives free memory of an engine in tokens.
    pub fn free_tokens(&self, engine: &Name) -> u64 {
        self.engines
            .get(engine)
            .map_or(0, |engine| engine.model.free_tokens())
    }

    /// Gives all engines that are alive with their free memory.
    pub fn free_memory(&self) -> Vec<(Name, u64)> {
        let live = self.engines.iter().filter(|(_, engine)| engine.alive);
        live.map(|(name, engine)| (name.clone(), engine.model.free_tokens()))
            .collect()
    }

    /// Gives the tokens that all engines have prefilled.
    pub fn prefilled(&self) -> u64 {
        self.engines
            .values()
            .map(|engine| engine.model.prefilled())
            .sum()
    }

    fn answers(&self, engine: &EngineAt) -> bool {
        engine.alive && !engine.model.faults.frozen
    }

    /// Has an idle engine begin its next step.
    pub(crate) fn wake(&mut self, name: &Name) {
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        if !engine.stepping {
            engine.stepping = true;
            let engine = name.clone();
            self.after(Duration::ZERO, Happening::Step { engine });
        }
    }

    pub(crate) fn step(&mut self, name: &Name) {
        let now = self.now;
        let sweeps = !self.is_off(Guard::Sweep);
        let parts = self.gang_parts(name);
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        let lapsed = if sweeps {
            engine.model.lapse(now)
        } else {
            Vec::new()
        };
        if !engine.alive || engine.model.faults.frozen || engine.model.is_idle() {
            engine.stepping = false;
            return;
        }
        let (time, emitted) = engine.model.step(|id| parts.contains(&id));
        let generation = engine.generation;
        self.break_lapsed(name, &lapsed);
        let engine = name.clone();
        self.after(
            time,
            Happening::StepEnd {
                engine,
                generation,
                emitted,
            },
        );
    }

    /// Readers of streams whose lease lapsed lose them.
    fn break_lapsed(&mut self, name: &Name, lapsed: &[Id]) {
        for request in lapsed {
            let Some(running) = self.running.get(request) else {
                continue;
            };
            let here = |stream: &Stream| stream.engines.get(stream.member) == Some(name);
            if running.stream.as_ref().is_some_and(here) {
                let (request, attempt) = (*request, running.attempt);
                let back = Back::Broke;
                self.after(
                    self.plan.near,
                    Happening::Back {
                        request,
                        attempt,
                        back,
                    },
                );
            }
        }
    }

    /// Requests that only prefill one part of a gang's prompt at this engine.
    fn gang_parts(&self, name: &Name) -> Vec<Id> {
        let part =
            |stream: &Stream| stream.engines.get(stream.member) == Some(name) && !stream.is_last();
        let running = self.running.iter();
        running
            .filter(|(_, running)| running.stream.as_ref().is_some_and(part))
            .map(|(id, _)| *id)
            .collect()
    }

    pub(crate) fn step_end(&mut self, name: &Name, generation: u64, emitted: Vec<Emitted>) {
        let current = self
            .engines
            .get(name)
            .is_some_and(|engine| engine.generation == generation && self.answers(engine));
        if !current {
            if let Some(engine) = self.engines.get_mut(name) {
                engine.stepping = false;
            }
            return;
        }
        for token in emitted {
            self.emit(name, token);
        }
        self.note_report(name);
        if self.plan.scheduler == Scheduler::Naive {
            self.naive_pump(name);
        }
        self.step(name);
    }

    /// Sends a token back to the host that reads the stream.
    fn emit(&mut self, name: &Name, token: Emitted) {
        let Some(running) = self.running.get(&token.id) else {
            return;
        };
        let Some(stream) = &running.stream else {
            return;
        };
        if stream.engines.get(stream.member) != Some(name) {
            return;
        }
        if !stream.is_last() {
            self.next_member(token.id);
            return;
        }
        let (attempt, host) = (running.attempt, running.host.clone());
        let Some(way) = self.way(name, &host) else {
            return;
        };
        let shuffled = self
            .engines
            .get(name)
            .is_some_and(|engine| engine.model.faults.shuffled);
        let back = |attempt_of: u32| Back::Token {
            sequence: token.sequence,
            attempt: attempt_of,
            of: token.id,
            last: token.last,
        };
        let request = token.id;
        if shuffled {
            // A token of an earlier try first, then the right one late, and twice.
            let wrong = back(attempt.wrapping_sub(1));
            self.after(
                way,
                Happening::Back {
                    request,
                    attempt,
                    back: wrong,
                },
            );
            let late = way + Duration::from_millis(5 * (token.sequence % 3));
            for _ in 0..2 {
                let back = back(attempt);
                self.after(
                    late,
                    Happening::Back {
                        request,
                        attempt,
                        back,
                    },
                );
            }
            return;
        }
        let back = back(attempt);
        self.after(
            way,
            Happening::Back {
                request,
                attempt,
                back,
            },
        );
    }

    /// Goes on with the next engine of a gang.
    fn next_member(&mut self, request: Id) {
        let Some(running) = self.running.get_mut(&request) else {
            return;
        };
        let attempt = running.attempt;
        if let Some(stream) = &mut running.stream {
            stream.member += 1;
        }
        self.after(self.plan.near, Happening::Start { request, attempt });
    }

    /// A try reaches its engine.
    pub(crate) fn start_at_engine(&mut self, request: Id, attempt: u32) {
        let Some(running) = self.running.get(&request).filter(|r| r.attempt == attempt) else {
            return;
        };
        let Some(stream) = running.stream.clone() else {
            return;
        };
        let (host, tokens) = (running.host.clone(), running.tokens);
        let Some(name) = stream.engines.get(stream.member).cloned() else {
            return;
        };
        let way = self.way(&host, &name);
        let reached = self.engines.get(&name).is_some_and(|engine| engine.alive) && way.is_some();
        if !reached {
            self.after(
                CALL_LIMIT / 4,
                Happening::Back {
                    request,
                    attempt,
                    back: Back::Unreached,
                },
            );
            return;
        }
        let members = stream.engines.len();
        let prompt = if stream.is_last() {
            gang::last_part(tokens, members)
        } else {
            gang::part_of(tokens, members)
        };
        let job = Job {
            id: request,
            prompt,
            output: if stream.is_last() { running.output } else { 1 },
            first: if stream.is_last() {
                running.assembler.next()
            } else {
                0
            },
            need: 0,
            priority: running.priority,
            prefix: running.prefix.filter(|_| members == 1),
        };
        let wish = Wish {
            id: request,
            holder: host,
            tokens: tokens + running.output,
            lease: self.lease_of(running.deadline, stream.is_last()),
        };
        self.start_job(&name, job, wish, request, attempt);
    }

    fn lease_of(&self, deadline: Time, last: bool) -> Duration {
        if self.is_off(Guard::Sweep) {
            return FOR_EVER;
        }
        if last {
            return deadline.left(self.now) + OVERTIME;
        }
        RESERVATION_LIFE
    }

    fn start_job(&mut self, name: &Name, job: Job, wish: Wish, request: Id, attempt: u32) {
        let now = self.now;
        let prefill = Duration::from_micros(job.prompt * 1_000_000 / self.plan.batch.rate);
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        if engine.model.faults.frozen {
            // The call is accepted by the machine and answered by nobody.
            let limit = PAUSE_LIMIT + prefill * 4;
            self.after(
                limit,
                Happening::Back {
                    request,
                    attempt,
                    back: Back::Broke,
                },
            );
            return;
        }
        match engine.model.start(job, wish, now) {
            Ok(()) => {
                let leaving = engine.leaving_since;
                self.ledger.note_started(request, name, now);
                self.ledger.check_leaving(name, leaving, now);
                self.wake(name);
            }
            Err(reason) => {
                let back = Back::Refused(reason);
                self.after(
                    self.plan.near,
                    Happening::Back {
                        request,
                        attempt,
                        back,
                    },
                );
            }
        }
    }

    /// Sends a call to an engine on its way.
    pub(crate) fn call_engine(&mut self, host: &Name, engine: Name, call: Call, tries: u32) {
        let way = self.way(host, &engine);
        let pause = way.unwrap_or(CALL_LIMIT);
        let host = host.clone();
        self.after(
            pause,
            Happening::Call {
                host,
                engine,
                call,
                tries,
            },
        );
    }

    /// An engine carries a call out, if it is reached.
    pub(crate) fn call(&mut self, host: Name, name: Name, call: Call, tries: u32) {
        let cut = self.way(&host, &name).is_none();
        let answers = self
            .engines
            .get(&name)
            .is_some_and(|engine| self.answers(engine));
        if cut || !answers {
            self.call_failed(host, name, call, tries);
            return;
        }
        let now = self.now;
        let lease = if self.is_off(Guard::Sweep) {
            FOR_EVER
        } else {
            RESERVATION_LIFE
        };
        let Some(engine) = self.engines.get_mut(&name) else {
            return;
        };
        match call {
            Call::Free { request } => {
                engine.model.free(request);
            }
            Call::Renew { request } => {
                engine.model.renew(request, lease, now);
            }
            Call::Reserve {
                holder,
                request,
                tokens,
            } => {
                let wish = Wish {
                    id: request,
                    holder,
                    tokens,
                    lease,
                };
                let agreed = engine.model.reserve(wish, now).is_ok();
                self.tell_reserved(&host, name, request, agreed);
            }
        }
    }

    fn tell_reserved(&mut self, host: &Name, engine: Name, request: Id, agreed: bool) {
        let incarnation = self.hosts.get(host).map_or(0, |host| host.incarnation);
        let event = Box::new(Event::Reserved {
            engine,
            request,
            agreed,
        });
        let host = host.clone();
        self.after(
            self.plan.near,
            Happening::Event {
                host,
                incarnation,
                event,
            },
        );
    }

    fn call_failed(&mut self, host: Name, engine: Name, call: Call, tries: u32) {
        let alive = self.engines.get(&engine).is_some_and(|engine| engine.alive);
        match call {
            Call::Reserve { request, .. } => self.tell_reserved(&host, engine, request, false),
            Call::Free { .. } if alive && tries + 1 < CANCEL_TRIES => {
                self.after(
                    CALL_LIMIT,
                    Happening::Call {
                        host,
                        engine,
                        call,
                        tries: tries + 1,
                    },
                );
            }
            Call::Free { .. } | Call::Renew { .. } => {}
        }
    }

    /// Renews what a gang holds, as long as its host runs it.
    pub(crate) fn renew_gang(&mut self, request: Id) {
        let Some(running) = self.running.get(&request) else {
            return;
        };
        let Some(stream) = running
            .stream
            .as_ref()
            .filter(|stream| stream.engines.len() > 1)
        else {
            return;
        };
        let (host, engines) = (running.host.clone(), stream.engines.clone());
        let alive = self
            .hosts
            .get(&host)
            .is_some_and(|host| host.node.is_some() && host.frozen_until <= self.now);
        if alive {
            for engine in engines {
                self.call_engine(&host, engine, Call::Renew { request }, 0);
            }
        }
    }

    /// Gives how often gangs are renewed.
    pub(crate) fn renewal_pause() -> Duration {
        RENEW_EVERY
    }

    /// Notes an engine's load for later reports.
    fn note_report(&mut self, name: &Name) {
        let (now, lag) = (self.now, self.plan.report_lag);
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        let due = engine
            .reports
            .back()
            .is_none_or(|(at, _)| now.since(*at) >= lag / 3);
        if due {
            let report = engine.model.report(now);
            engine.reports.push_back((now, report));
        }
    }

    /// Sends a host the newest report that is as old as the lag.
    pub(crate) fn fetch_report(&mut self, host: &Name, incarnation: u64, name: &Name) {
        let Some(way) = self.way(host, name) else {
            return;
        };
        let (now, lag) = (self.now, self.plan.report_lag);
        let sweeps = !self.is_off(Guard::Sweep);
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        if !engine.alive || engine.model.faults.frozen {
            return;
        }
        if sweeps {
            engine.model.lapse(now);
        }
        let current = engine.model.report(now);
        engine.reports.push_back((now, current));
        while engine
            .reports
            .get(1)
            .is_some_and(|(at, _)| now.since(*at) >= lag)
        {
            engine.reports.pop_front();
        }
        let Some((_, report)) = engine.reports.front().cloned() else {
            return;
        };
        if !sweeps {
            return self.fetch_bare(host, incarnation, report);
        }
        let event = Box::new(Event::Report(report));
        let host = host.clone();
        self.after(
            way * 2,
            Happening::Event {
                host,
                incarnation,
                event,
            },
        );
    }

    /// With the sweep off, reports carry no holdings.
    fn fetch_bare(
        &mut self,
        host: &Name,
        incarnation: u64,
        mut report: alderglade_core::book::Report,
    ) {
        report.holdings.clear();
        self.host_event(host, incarnation, Event::Report(report));
    }
}
