//! The naive version that every figure is shown against: arrival order, engines in turn, no
//! admission, no priorities. It stays in the repository as the baseline.

use super::World;
use super::requests::Stream;
use crate::batch::Job;
use alderglade_core::Name;
use alderglade_core::request::Id;
use std::collections::{BTreeMap, VecDeque};

/// The baseline's queues: one for each engine, in arrival order.
#[derive(Debug, Default)]
pub(crate) struct Naive {
    pub(crate) engines: Vec<Name>,
    next: usize,
    waiting: BTreeMap<Name, VecDeque<Id>>,
}

impl World {
    /// Puts a request at the end of the next engine's queue; one that is too big for an engine
    /// takes the next engines as well.
    pub(crate) fn naive_arrive(&mut self, request: Id) {
        let need = self.naive_need(request);
        let count = need.div_ceil(self.plan.batch.kv_tokens).max(1) as usize;
        let count = count.min(self.naive.engines.len());
        let mut engines = Vec::new();
        for _ in 0..count {
            let at = self.naive.next % self.naive.engines.len();
            engines.push(self.naive.engines[at].clone());
            self.naive.next += 1;
        }
        for engine in &engines {
            let queue = self.naive.waiting.entry(engine.clone()).or_default();
            queue.push_back(request);
        }
        if let Some(running) = self.running.get_mut(&request) {
            running.stream = Some(Stream {
                engines: engines.clone(),
                member: count - 1,
            });
        }
        for engine in engines {
            self.naive_pump(&engine);
        }
    }

    fn naive_need(&self, request: Id) -> u64 {
        self.running
            .get(&request)
            .map_or(0, |running| running.tokens + running.output)
    }

    /// Starts whatever has come to the head of all its queues and fits.
    pub(crate) fn naive_pump(&mut self, engine: &Name) {
        while let Some(request) = self.naive_head(engine) {
            if !self.naive_start(request) {
                return;
            }
        }
    }

    fn naive_head(&self, engine: &Name) -> Option<Id> {
        self.naive.waiting.get(engine)?.front().copied()
    }

    fn naive_start(&mut self, request: Id) -> bool {
        let need = self.naive_need(request);
        let Some(running) = self.running.get(&request) else {
            return false;
        };
        let Some(stream) = running.stream.clone() else {
            return false;
        };
        let share = need.div_ceil(stream.engines.len() as u64);
        let ready = stream.engines.iter().all(|engine| {
            let room = self
                .engines
                .get(engine)
                .is_some_and(|e| e.model.free_tokens() >= share && e.alive);
            room && self.naive_head(engine) == Some(request)
        });
        if !ready {
            return false;
        }
        let job = Job {
            id: request,
            prompt: running.tokens,
            output: running.output,
            first: 0,
            need: 0,
            priority: 0,
            prefix: running.prefix,
        };
        for engine in &stream.engines {
            if let Some(queue) = self.naive.waiting.get_mut(engine) {
                queue.pop_front();
            }
        }
        self.naive_submit(request, &stream, job, share)
    }

    /// The last engine of a gang does the work; the others only lend their memory.
    fn naive_submit(&mut self, request: Id, stream: &Stream, job: Job, share: u64) -> bool {
        let now = self.now;
        let deadline = self
            .running
            .get(&request)
            .map_or(now, |running| running.deadline);
        for (position, engine) in stream.engines.iter().enumerate() {
            let wish = crate::engine::model::Wish {
                id: request,
                holder: engine.clone(),
                tokens: share,
                lease: deadline.left(now) + std::time::Duration::from_secs(3_600),
            };
            let last = position + 1 == stream.engines.len();
            let Some(at) = self.engines.get_mut(engine) else {
                return false;
            };
            let taken = if last {
                at.model.start(job.clone(), wish, now).is_ok()
            } else {
                at.model.reserve(wish, now).is_ok()
            };
            if !taken {
                return false;
            }
        }
        let last = stream.engines[stream.engines.len() - 1].clone();
        self.wake(&last);
        true
    }
}
