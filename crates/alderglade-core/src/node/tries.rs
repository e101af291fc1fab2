//! The end of a try at a backend server: the answer, or another try.

use super::submit::COME_BACK;
use super::{Action, Ended, Node};
use crate::Name;
use crate::cell::End;
use crate::error::Kind;
use crate::inflight::{Place, Stage};
use crate::ledger::Outcome;
use crate::message::Message;
use crate::request::{Id, Refusal};

/// Tries after "no room" that one request gets, beside the budget for real failures.
const MOST_TRIES: u32 = 12;

impl Node {
    /// Takes the end of a try at a backend server.
    pub(super) fn ended(&mut self, request: Id, attempt: u32, ended: Ended) {
        let Some(entry) = self.inflight.get(request) else {
            return;
        };
        let running = matches!(entry.stage, Stage::Running { .. });
        if !running || entry.submission.ticket.attempt != attempt {
            return;
        }
        self.note_run(request, &ended);
        self.leave_place(request, &ended);
        match ended {
            Ended::Finished { tokens, outcome } => {
                self.learn(request, tokens);
                self.settle(request, outcome);
                self.finish(request, None);
            }
            Ended::Expired => {
                self.settle(request, Outcome::Unknown);
                self.finish(request, Some(Refusal::new(Kind::ExpiredRunning, COME_BACK)));
            }
            Ended::NoRoom | Ended::Leaving | Ended::Unreached => self.try_unsent(request, &ended),
            Ended::Broke | Ended::Failed => self.try_again(request, &ended),
        }
    }

    /// Remembers that a backend may have started the request, unless it said that it didn't.
    fn note_run(&mut self, request: Id, ended: &Ended) {
        let unsent = matches!(ended, Ended::NoRoom | Ended::Leaving | Ended::Unreached);
        if let Some(entry) = self.inflight.get_mut(request) {
            entry.may_have_run |= !unsent;
        }
    }

    /// Tells the home, or the servers' book, that a request has left.
    fn leave_place(&mut self, request: Id, ended: &Ended) {
        let Some(entry) = self.inflight.get_mut(request) else {
            return;
        };
        let Stage::Running { place } = entry.stage.clone() else {
            return;
        };
        match place {
            Place::Engines {
                cell,
                home,
                engines,
            } => {
                entry.submission.ticket.avoid = avoid(ended, &engines);
                if matches!(ended, Ended::Leaving) {
                    self.leaving.note(&engines, self.now);
                }
                let end = end_of(ended);
                self.send(&home, Message::Done { cell, request, end });
                if may_still_run(ended) {
                    self.actions.push(Action::Cancel { request, engines });
                }
            }
            Place::Server { server } => {
                let fault = !matches!(
                    ended,
                    Ended::Finished { .. } | Ended::NoRoom | Ended::Expired
                );
                if fault {
                    entry.failed_by.push(server.clone());
                }
                if matches!(ended, Ended::Leaving) {
                    self.leaving.note(std::slice::from_ref(&server), self.now);
                }
                self.servers.leave(&server, fault, self.now);
            }
        }
    }

    fn learn(&mut self, request: Id, tokens: u64) {
        self.budget.earn();
        let Some(entry) = self.inflight.get(request) else {
            return;
        };
        let workspace = &entry.submission.ticket.workspace;
        self.output
            .learn(workspace, &entry.submission.class, tokens);
    }

    /// Tries again what the backend says it didn't start.
    ///
    /// The claim of a non-repeatable request stays recorded for this very request.
    fn try_unsent(&mut self, request: Id, ended: &Ended) {
        let Some(entry) = self.inflight.get(request) else {
            return;
        };
        let attempt = entry.submission.ticket.attempt;
        let free = !matches!(ended, Ended::Unreached);
        let may = attempt < MOST_TRIES && (free || self.budget.spend(attempt));
        if may {
            self.retry(request);
            return;
        }
        self.settle(request, Outcome::NotSent);
        self.finish_unsent(request, Kind::NoCapacity);
    }

    /// Answers a request that no backend has started.
    fn finish_unsent(&mut self, request: Id, kind: Kind) {
        self.finish(request, Some(Refusal::new(kind, COME_BACK)));
    }

    /// Tries again what broke off, if it may be repeated and the budget allows it.
    fn try_again(&mut self, request: Id, ended: &Ended) {
        let Some(entry) = self.inflight.get(request) else {
            return;
        };
        let attempt = entry.submission.ticket.attempt;
        let repeatable = entry.submission.repeatable;
        if repeatable && self.budget.spend(attempt) {
            self.retry(request);
            return;
        }
        self.settle(request, Outcome::Unknown);
        let kind = match ended {
            Ended::Failed => Kind::BackendFailed,
            _ if repeatable => Kind::BackendFailed,
            _ => Kind::ContactLost,
        };
        self.finish(request, Some(Refusal::new(kind, COME_BACK)));
    }

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

/// Says whether an engine may still work on a try that ended so.
fn may_still_run(ended: &Ended) -> bool {
    matches!(ended, Ended::Broke | Ended::Failed | Ended::Expired)
}

fn end_of(ended: &Ended) -> End {
    match ended {
        Ended::NoRoom => End::NoRoom,
        Ended::Leaving => End::Leaving,
        Ended::Unreached | Ended::Broke => End::Failed,
        Ended::Finished { .. } | Ended::Failed | Ended::Expired => End::Left,
    }
}

/// A gang is tried again as it comes; a single engine that failed is avoided next time.
fn avoid(ended: &Ended, engines: &[Name]) -> Option<Name> {
    let fault = !matches!(ended, Ended::Finished { .. } | Ended::Expired);
    match engines {
        [single] if fault => Some(single.clone()),
        _ => None,
    }
}
