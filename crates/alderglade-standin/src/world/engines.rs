//! Engines: steps, streams, reservations and reports.

use super::requests::Stream;
use super::{Back, EngineAt, Guard, Happening, Scheduler, World};
use crate::batch::{Emitted, Job};
use crate::engine::model::{Model, Wish};
use alderglade_backend::gang;
use alderglade_core::Name;
use alderglade_core::gang::RESERVATION_TIMEOUT;
use alderglade_core::request::Id;
use alderglade_core::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// A call that gets no answer is given up after this long.
pub(super) const CALL_LIMIT: Duration = Duration::from_secs(2);
/// A stream without a token for this long is lost, beside its prefill.
const PAUSE_LIMIT: Duration = Duration::from_secs(5);
/// Memory is held this long beyond the request's time.
const OVERTIME: Duration = Duration::from_secs(2);
/// With the leases off, things are held for ever.
pub(super) const FOR_EVER: Duration = Duration::from_secs(1_000_000);

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

    pub(super) fn answers(&self, engine: &EngineAt) -> bool {
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
                self.back_after(self.plan.near, request, attempt, back);
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
            self.back_after(way, request, attempt, wrong);
            let late = way + Duration::from_millis(5 * (token.sequence % 3));
            for _ in 0..2 {
                let back = back(attempt);
                self.back_after(late, request, attempt, back);
            }
            return;
        }
        let back = back(attempt);
        self.back_after(way, request, attempt, back);
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
            self.back_after(CALL_LIMIT / 4, request, attempt, Back::Unreached);
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
        RESERVATION_TIMEOUT
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
            self.back_after(limit, request, attempt, Back::Broke);
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
                self.back_after(self.plan.near, request, attempt, back);
            }
        }
    }
}
