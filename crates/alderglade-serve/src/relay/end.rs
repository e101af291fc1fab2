//! How streams end, and what callers and operators are told of it.

use super::Relay;
use crate::clock;
use crate::event::{self, Record};

/// How a stream ended.
pub(super) enum End {
    /// All of it was passed on.
    Whole,
    /// Its server failed, and no other one could go on.
    Failed(String),
    /// The request's time is over.
    Expired,
    /// The host's time to stop is over.
    HostStops,
    /// The caller has left.
    CallerLeft,
}

impl Relay {
    /// Writes that the caller has left.
    pub(super) fn tell_caller_left(&self) {
        let id = &self.job.info.id;
        event::write(&Record::CallerLeft { id });
    }

    /// Breaks the answer off, which shows the caller that it isn't whole.
    pub(super) fn break_off(&mut self, problem: &str) {
        event::write(&Record::BrokenOff {
            id: &self.job.info.id,
            problem,
            took_ms: self.job.waited().as_millis() as u64,
            stopping_ms: self.node.stopping_ms(),
        });
        let answers = &self.node.metrics.answers;
        answers.with_label_values(&["broken_off"]).inc();
        if !self.body_sender.break_off() {
            log::debug!("the caller of {} left as it was told", self.job.info.id);
        }
    }

    /// Writes that the stream was passed on as a whole, and whether it was in time.
    pub(super) fn tell_answered(&self) {
        let first = self.first_at.unwrap_or_else(clock::now);
        let first = first.since(self.job.arrived());
        let bears = self.job.route.kind.longest_pause();
        let steady = bears.is_none_or(|bears| self.longest_pause <= bears);
        let in_time = first <= self.job.route.objective && steady;
        let met = if in_time { "yes" } else { "no" };
        let metrics = &self.node.metrics;
        metrics.aims.with_label_values(&[met]).inc();
        metrics.first.observe(first.as_secs_f64());
        metrics.answers.with_label_values(&["served"]).inc();
        event::write(&Record::Answered {
            id: &self.job.info.id,
            status: 200,
            took_ms: self.job.waited().as_millis() as u64,
            first_ms: first.as_millis() as u64,
            longest_pause_ms: self.longest_pause.as_millis() as u64,
            aim_ms: self.job.route.objective.as_millis() as u64,
            pause_aim_ms: bears.map(|bears| bears.as_millis() as u64),
        });
    }
}
