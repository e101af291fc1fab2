//! Ends of streams: what callers receive and what is logged.

use super::Relay;
use crate::clock;
use crate::event::{self, Record, Requester};

/// How a stream ended.
pub(super) enum End {
    /// The whole stream was relayed.
    Complete,
    /// Its server failed, and no other one could continue.
    Failed(String),
    /// The request's deadline has passed.
    Expired,
    /// The host is about to end.
    HostStopping,
    /// The caller disconnected.
    CallerLeft,
}

impl Relay {
    /// Logs that the caller disconnected.
    pub(super) fn log_caller_left(&self) {
        let id = &self.job.info.id;
        event::write(&Record::CallerLeft { id });
    }

    /// Logs that the response is broken off: it is dropped without its end, so that the caller notices.
    pub(super) fn log_broken_off(&self, problem: &str) {
        self.job.log_broken_off(&self.node, problem);
        if !self.body_sender.is_connected() {
            log::debug!(
                "the caller of {} disconnected before its response was broken off",
                self.job.info.id
            );
        }
    }

    /// Logs that the whole stream was relayed, and whether it met its latency objective.
    pub(super) fn log_answered(&self) {
        let first = self.first_event_at.unwrap_or_else(clock::now);
        let first = first.since(self.job.arrived());
        let max_pause = self.job.route.kind.longest_pause();
        let pauses_in_time = max_pause.is_none_or(|max_pause| self.longest_pause <= max_pause);
        let in_time = first <= self.job.route.objective && pauses_in_time;
        let met = if in_time { "yes" } else { "no" };
        let metrics = &self.node.metrics;
        metrics.objectives.with_label_values(&[met]).inc();
        metrics.first_event.observe(first.as_secs_f64());
        metrics.answers.with_label_values(&["served"]).inc();
        let requester = &Requester::from(&*self.job);
        if !in_time {
            metrics.by_requester.count_late(requester);
        }
        event::write(&Record::Answered {
            id: &self.job.info.id,
            status: 200,
            took_ms: self.job.waited().as_millis() as u64,
            first_ms: first.as_millis() as u64,
            longest_pause_ms: self.longest_pause.as_millis() as u64,
            aim_ms: self.job.route.objective.as_millis() as u64,
            pause_aim_ms: max_pause.map(|max_pause| max_pause.as_millis() as u64),
            requester,
        });
    }
}
