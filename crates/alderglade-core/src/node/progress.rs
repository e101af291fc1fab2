//! Follows a request from the queue of its cell to its answer.

use super::submit::{DEFAULT_RETRY_AFTER, LOAD_TIMEOUT};
use super::{Action, Node, stop};
use crate::Name;
use crate::cell::{End, Key};
use crate::error::{Kind, Ran};
use crate::inflight::{Entry, Place, Stage};
use crate::ledger::Outcome;
use crate::message::Message;
use crate::request::{Id, Refusal};
use crate::slo::Sample;
use std::time::Duration;

/// A request that a home has not confirmed as queued is sent again after this time.
const QUEUED_CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(300);
/// A queued request is sent again at this interval, because the message that granted it may have been
/// lost: the home then repeats the grant.
const QUEUED_RESEND_INTERVAL: Duration = Duration::from_secs(2);

impl Node {
    /// Records that a home has the request in its queue.
    pub(super) fn mark_queued(&mut self, from: &Name, request: Id, attempt: u32) {
        let Some(entry) = self.inflight.get_mut(request) else {
            return;
        };
        let current = entry.submission.ticket.attempt == attempt;
        if let Stage::Waiting { home, queued, .. } = &mut entry.stage {
            *queued |= current && home == from;
        }
    }

    /// Handles a grant.
    ///
    /// Declines it if the request doesn't wait for it, so that the home can give the engines to other
    /// requests. A repeated grant of engines that the request already holds is ignored.
    pub(super) fn handle_grant(
        &mut self,
        from: &Name,
        cell: Key,
        request: Id,
        attempt: u32,
        engines: Vec<Name>,
    ) {
        if !self.is_waiting_for(request, attempt, &cell) {
            let running = self.engines_of(request) == engines;
            if !running {
                let end = End::Declined;
                self.send(from, Message::Done { cell, request, end });
            }
            return;
        }
        if self.refuse_barred(request) {
            let end = End::Declined;
            self.send(from, Message::Done { cell, request, end });
            return;
        }
        let place = Place::Engines {
            cell,
            home: from.clone(),
            engines,
        };
        self.start_placed(request, place);
    }

    /// Returns whether this attempt of a request waits in the queue of `cell` and has time left.
    fn is_waiting_for(&self, request: Id, attempt: u32, cell: &Key) -> bool {
        let Some(entry) = self.inflight.get(request) else {
            return false;
        };
        let here = matches!(&entry.stage, Stage::Waiting { cell: own, .. } if own == cell);
        here && entry.submission.ticket.attempt == attempt && self.now < entry.deadline
    }

    /// Returns the engines that a request holds; none if it is not in flight here.
    fn engines_of(&self, request: Id) -> &[Name] {
        self.inflight.get(request).map_or(&[], Entry::engines)
    }

    /// Continues a request that has been given its engines or its server.
    ///
    /// A request with a claim has to be recorded in the ledger before it is sent.
    pub(super) fn start_placed(&mut self, request: Id, place: Place) {
        let has_claim = self
            .inflight
            .get(request)
            .is_some_and(|entry| entry.submission.claim.is_some());
        if has_claim {
            self.start_claim(request, place);
        } else {
            self.start(request, place);
        }
    }

    /// Sends the request to its engines or its server.
    pub(super) fn start(&mut self, request: Id, place: Place) {
        let stage = Stage::Running {
            place: place.clone(),
        };
        self.set_stage(request, stage);
        self.inflight.set_sent(request, true);
        let Some(entry) = self.inflight.get_mut(request) else {
            return;
        };
        entry.sent = true;
        let attempt = entry.submission.ticket.attempt;
        self.actions.push(match place {
            Place::Engines { engines, .. } => Action::Start {
                request,
                attempt,
                engines,
            },
            Place::Server { server } => Action::Call {
                request,
                attempt,
                server,
            },
        });
    }

    /// Handles the refusal of a home. Other cells and domains are tried before the caller is refused.
    pub(super) fn handle_cell_refusal(
        &mut self,
        cell: Key,
        request: Id,
        attempt: u32,
        refusal: Refusal,
    ) {
        if !self.is_waiting_for(request, attempt, &cell) {
            return;
        }
        let expired = refusal.kind == Kind::ExpiredWaiting;
        if expired {
            self.finish(request, Some(refusal));
            return;
        }
        let Some(entry) = self.inflight.get_mut(request) else {
            return;
        };
        entry.refused_by.push(cell);
        if self.has_untried_cell(request) {
            self.place(request);
        } else {
            self.finish(request, Some(refusal));
        }
    }

    /// Returns whether the settings have another cell of the model that has not refused the request.
    fn has_untried_cell(&self, request: Id) -> bool {
        let Some(entry) = self.inflight.get(request) else {
            return false;
        };
        let model = &entry.submission.ticket.model;
        let mut cells = self.cells.keys().filter(|key| key.model == *model);
        cells.any(|key| !entry.refused_by.contains(key))
    }

    /// Records the time of the first token and reports it to the home of the cell.
    pub(super) fn handle_first_token(&mut self, request: Id) {
        let now = self.now;
        let Some(entry) = self.inflight.get_mut(request) else {
            return;
        };
        entry.first_token.get_or_insert(now);
        if let Stage::Running {
            place: Place::Engines { cell, home, .. },
        } = &entry.stage
        {
            let (cell, home) = (cell.clone(), home.clone());
            self.send(&home, Message::FirstToken { cell, request });
        }
    }

    /// Ends a request whose caller disconnected or whose thread gave up.
    pub(super) fn handle_caller_gone(&mut self, request: Id) {
        let Some(entry) = self.inflight.get(request).cloned() else {
            return;
        };
        self.abandon(request, &entry);
        self.record_sample(&entry, None);
        self.inflight.remove(request);
    }

    /// Withdraws a request from the queue, engines or server that has it, and records the outcome of
    /// its claim.
    fn abandon(&mut self, request: Id, entry: &Entry) {
        match entry.stage.clone() {
            Stage::Limited | Stage::AwaitingLoad => {}
            Stage::Waiting { cell, home, .. } => {
                self.send(&home, Message::Withdraw { cell, request });
            }
            Stage::Claiming { place, .. } => {
                self.release_place(request, place);
                self.record_outcome(request, Outcome::NotSent);
            }
            Stage::Running { place } => {
                if let Place::Engines { engines, .. } = &place {
                    let engines = engines.clone();
                    self.actions.push(Action::Cancel { request, engines });
                }
                self.release_place(request, place);
                self.record_outcome(request, Outcome::Unknown);
            }
        }
    }

    /// Releases the engines or the server of a request that was not sent or no longer runs.
    pub(super) fn release_place(&mut self, request: Id, place: Place) {
        match place {
            Place::Engines { cell, home, .. } => {
                let end = End::Left;
                self.send(&home, Message::Done { cell, request, end });
            }
            Place::Server { server } => self.servers.end_call(&server, false, self.now),
        }
    }

    /// Removes a request and answers it with `refusal`, if there is one.
    ///
    /// A request that may have run is never reported as not run.
    pub(super) fn finish(&mut self, request: Id, refusal: Option<Refusal>) {
        let Some(entry) = self.inflight.remove(request) else {
            return;
        };
        self.record_sample(&entry, refusal);
        if let Some(mut refusal) = refusal {
            refusal = stop::as_draining(refusal, &entry);
            if entry.may_have_run && refusal.ran == Ran::No {
                refusal.ran = Ran::Unknown;
            }
            self.refuse(request, refusal);
        }
    }

    /// Counts a request that has ended against its objectives.
    fn record_sample(&mut self, entry: &Entry, refusal: Option<Refusal>) {
        let ticket = &entry.submission.ticket;
        let sample = Sample {
            first_token: entry.first_token.map(|at| at.since(entry.since)),
            objective: entry.submission.first_token,
            finished: refusal.is_none() && self.now <= entry.deadline,
            refused: refusal.is_some() && !entry.sent,
        };
        let per_mille = entry.submission.objective_per_mille;
        let class = &entry.submission.class;
        self.slo
            .add(&ticket.workspace, class, per_mille, sample, self.wall_ms);
    }

    pub(super) fn tick_inflight(&mut self) {
        while let Some(request) = self.inflight.expired(self.now) {
            self.expire(request);
        }
        for request in self.inflight.unsent() {
            self.tick_unsent(request);
        }
    }

    fn expire(&mut self, request: Id) {
        let Some(entry) = self.inflight.get(request).cloned() else {
            return;
        };
        let running = matches!(entry.stage, Stage::Running { .. });
        let kind = if running || entry.may_have_run {
            Kind::ExpiredRunning
        } else {
            Kind::ExpiredWaiting
        };
        self.count_cut_off(&entry);
        self.abandon(request, &entry);
        self.finish(request, Some(Refusal::new(kind, DEFAULT_RETRY_AFTER)));
    }

    fn tick_unsent(&mut self, request: Id) {
        let Some(entry) = self.inflight.get(request) else {
            return;
        };
        match entry.stage.clone() {
            Stage::Limited => self.tick_limited(request),
            Stage::AwaitingLoad if self.now.since(entry.stage_since) >= LOAD_TIMEOUT => {
                self.place_remote(request);
            }
            Stage::Waiting {
                cell,
                home,
                sent,
                queued,
            } => {
                let interval = if queued {
                    QUEUED_RESEND_INTERVAL
                } else {
                    QUEUED_CONFIRMATION_TIMEOUT
                };
                let due = self.now.since(sent) >= interval;
                self.follow_home(request, cell, home, queued, due);
            }
            Stage::Claiming { home, sent, .. } => self.tick_claiming(request, &home, sent),
            Stage::AwaitingLoad | Stage::Running { .. } => {}
        }
    }

    /// Sends a waiting request to the new home of its cell, or to the same home again if `due`.
    ///
    /// A home in another domain that has not confirmed the request by then is marked as silent.
    fn follow_home(&mut self, request: Id, cell: Key, home: Name, queued: bool, due: bool) {
        if due && !queued && cell.domain != self.view.own().domain {
            self.view.mark_silent(&home, self.now);
        }
        let moved = self.cell_home(&cell).is_none_or(|new| new != home);
        if moved {
            let message = Message::Withdraw {
                cell: cell.clone(),
                request,
            };
            self.send(&home, message);
        }
        if moved || due {
            self.enqueue(request, cell);
        }
    }

    /// Sends the waiting requests of a home again.
    ///
    /// Called when a host has joined or restarted: a new incarnation of a home starts with an empty queue.
    pub(super) fn resend_waiting(&mut self, host: &Name) {
        for request in self.inflight.unsent() {
            let Some(entry) = self.inflight.get(request) else {
                continue;
            };
            let Stage::Waiting { cell, home, .. } = &entry.stage else {
                continue;
            };
            if home == host {
                let cell = cell.clone();
                self.enqueue(request, cell);
            }
        }
    }

    /// Continues the requests that wait for the load of other domains and now have it.
    pub(super) fn place_load_waiters(&mut self) {
        for request in self.inflight.unsent() {
            let asking = self
                .inflight
                .get(request)
                .is_some_and(|entry| entry.stage == Stage::AwaitingLoad);
            if asking && self.has_load_of_all_remote_domains(request) {
                self.place_remote(request);
            }
        }
    }

    /// Returns whether a request in flight here runs on an engine, or is about to.
    pub(super) fn uses_engine(&self, request: Id, engine: &Name) -> bool {
        self.engines_of(request).contains(engine)
    }
}
