//! Handles the end of an attempt at a backend server: the answer, or another attempt.

use super::submit::DEFAULT_RETRY_AFTER;
use super::{Action, Node};
use crate::Name;
use crate::cell::End;
use crate::error::Kind;
use crate::inflight::{Place, Stage};
use crate::ledger::Outcome;
use crate::message::Message;
use crate::request::{Id, Refusal};

/// A request that a backend did not start is retried until it has had this many attempts.
///
/// A backend without room or about to leave doesn't count against the retry budget, which is for failures.
const MAX_UNSTARTED_ATTEMPTS: u32 = 12;

/// The result of an attempt at a backend server.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptResult {
    /// The whole answer was delivered.
    Finished {
        /// Number of tokens in the answer.
        tokens: u64,
        /// The outcome to replay to later requests with the same idempotency key.
        outcome: Outcome,
    },
    /// The backend reported that it has no room; it did not start the request.
    NoRoom,
    /// The backend reported that it is leaving; it did not start the request.
    Leaving,
    /// The connection to the backend failed before anything was sent.
    ConnectFailed,
    /// The connection was lost after the request was sent.
    ConnectionLost,
    /// The same, and the backend has ended: nothing listens at its address.
    ServerEnded,
    /// The backend reported that the request failed.
    Failed,
    /// The caller's timeout expired.
    Expired,
}

impl Node {
    /// Handles the result of an attempt. The result of an older attempt is ignored.
    pub(super) fn handle_attempt_end(&mut self, request: Id, attempt: u32, ended: AttemptResult) {
        let Some(entry) = self.inflight.get(request) else {
            return;
        };
        let running = matches!(entry.stage, Stage::Running { .. });
        if !running || entry.submission.ticket.attempt != attempt {
            return;
        }
        self.record_possible_run(request, &ended);
        self.leave_backend(request, &ended);
        match ended {
            AttemptResult::Finished { tokens, outcome } => {
                self.record_success(request, tokens);
                self.record_sound(request);
                self.record_outcome(request, outcome);
                self.finish(request, None);
            }
            AttemptResult::Expired => {
                self.record_outcome(request, Outcome::Unknown);
                self.finish(
                    request,
                    Some(Refusal::new(Kind::ExpiredRunning, DEFAULT_RETRY_AFTER)),
                );
            }
            AttemptResult::NoRoom | AttemptResult::Leaving | AttemptResult::ConnectFailed => {
                self.retry_unsent(request, &ended)
            }
            AttemptResult::ConnectionLost | AttemptResult::ServerEnded | AttemptResult::Failed => {
                self.retry_failed(request, &ended)
            }
        }
    }

    /// Records that a backend may have started the request, unless the result rules that out.
    fn record_possible_run(&mut self, request: Id, ended: &AttemptResult) {
        let unsent = matches!(
            ended,
            AttemptResult::NoRoom | AttemptResult::Leaving | AttemptResult::ConnectFailed
        );
        if let Some(entry) = self.inflight.get_mut(request) {
            entry.may_have_run |= !unsent;
        }
    }

    /// Releases the engines or the server of an attempt that has ended.
    fn leave_backend(&mut self, request: Id, ended: &AttemptResult) {
        let Some(entry) = self.inflight.get_mut(request) else {
            return;
        };
        let Stage::Running { place } = entry.stage.clone() else {
            return;
        };
        if matches!(ended, AttemptResult::ServerEnded) {
            self.record_server_end(request, &place);
        }
        let Some(entry) = self.inflight.get_mut(request) else {
            return;
        };
        match place {
            Place::Engines {
                cell,
                home,
                engines,
            } => {
                entry.submission.ticket.avoid = avoid(ended, &engines);
                if matches!(ended, AttemptResult::Leaving) {
                    self.leaving.record_report(&engines, self.now);
                }
                let end = end_of(ended);
                self.send(&home, Message::Done { cell, request, end });
                if may_still_run(ended) {
                    self.actions.push(Action::Cancel { request, engines });
                }
            }
            Place::Server { server } => {
                let failed = !matches!(
                    ended,
                    AttemptResult::Finished { .. } | AttemptResult::NoRoom | AttemptResult::Expired
                );
                if failed {
                    entry.failed_by.push(server.clone());
                }
                if matches!(ended, AttemptResult::Leaving) {
                    self.leaving
                        .record_report(std::slice::from_ref(&server), self.now);
                }
                self.servers.end_call(&server, failed, self.now);
            }
        }
    }

    /// Credits the retry budget and updates the estimate of answer lengths.
    fn record_success(&mut self, request: Id, tokens: u64) {
        self.budget.record_success();
        let Some(entry) = self.inflight.get(request) else {
            return;
        };
        let workspace = &entry.submission.ticket.workspace;
        self.output_estimate
            .record(workspace, &entry.submission.class, tokens);
    }

    /// Retries a request that the backend did not start.
    ///
    /// This is safe for non-repeatable requests too: the claim stays recorded for this request. Only a
    /// failed connection counts against the retry budget.
    fn retry_unsent(&mut self, request: Id, ended: &AttemptResult) {
        let Some(entry) = self.inflight.get(request) else {
            return;
        };
        let attempt = entry.submission.ticket.attempt;
        let is_free = !matches!(ended, AttemptResult::ConnectFailed);
        let may_retry =
            attempt < MAX_UNSTARTED_ATTEMPTS && (is_free || self.budget.try_spend(attempt));
        if may_retry {
            self.retry(request);
            return;
        }
        self.record_outcome(request, Outcome::NotSent);
        self.finish_unsent(request, Kind::NoCapacity);
    }

    /// Refuses a request that the last backend did not start.
    fn finish_unsent(&mut self, request: Id, kind: Kind) {
        self.finish(request, Some(Refusal::new(kind, DEFAULT_RETRY_AFTER)));
    }

    /// Retries a request that may have run, if it is repeatable and the retry budget allows it.
    fn retry_failed(&mut self, request: Id, ended: &AttemptResult) {
        let Some(entry) = self.inflight.get(request) else {
            return;
        };
        let attempt = entry.submission.ticket.attempt;
        let repeatable = entry.submission.repeatable;
        if repeatable && self.budget.try_spend(attempt) {
            self.retry(request);
            return;
        }
        self.record_outcome(request, Outcome::Unknown);
        let kind = match ended {
            AttemptResult::Failed => Kind::BackendFailed,
            _ if repeatable => Kind::BackendFailed,
            _ => Kind::ContactLost,
        };
        self.finish(request, Some(Refusal::new(kind, DEFAULT_RETRY_AFTER)));
    }

    /// Starts the next attempt of a request.
    fn retry(&mut self, request: Id) {
        let Some(entry) = self.inflight.get_mut(request) else {
            return;
        };
        entry.submission.ticket.attempt += 1;
        entry.refused_by.clear();
        self.inflight.set_sent(request, false);
        self.place(request);
    }
}

/// Returns whether an engine may still work on an attempt with this result.
fn may_still_run(ended: &AttemptResult) -> bool {
    matches!(
        ended,
        AttemptResult::ConnectionLost
            | AttemptResult::ServerEnded
            | AttemptResult::Failed
            | AttemptResult::Expired
    )
}

/// Returns the result of an attempt as it is reported to the home of the cell.
fn end_of(ended: &AttemptResult) -> End {
    match ended {
        AttemptResult::NoRoom => End::NoRoom,
        AttemptResult::Leaving => End::Leaving,
        AttemptResult::ConnectFailed
        | AttemptResult::ConnectionLost
        | AttemptResult::ServerEnded => End::Failed,
        AttemptResult::Finished { .. } | AttemptResult::Failed | AttemptResult::Expired => {
            End::Left
        }
    }
}

/// Returns the engine that the next attempt has to avoid: a single engine that failed or rejected this one.
///
/// No engine is avoided after an attempt at a gang.
fn avoid(ended: &AttemptResult, engines: &[Name]) -> Option<Name> {
    let failed = !matches!(
        ended,
        AttemptResult::Finished { .. } | AttemptResult::Expired
    );
    match engines {
        [single] if failed => Some(single.clone()),
        _ => None,
    }
}
