//! Following a request from its cell's queue to its answer.

use super::submit::{COME_BACK, LOAD_ANSWER};
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

/// A home that doesn't confirm a queued request within this time is asked again.
const QUEUED_ANSWER: Duration = Duration::from_millis(300);
/// A queued request is sent again this often: the home repeats a grant whose news was lost.
const QUEUED_AGAIN: Duration = Duration::from_secs(2);

impl Node {
    /// Notes that a home has the request in its queue.
    pub(super) fn note_queued(&mut self, from: &Name, request: Id, attempt: u32) {
        let Some(entry) = self.inflight.get_mut(request) else {
            return;
        };
        let same = entry.submission.ticket.attempt == attempt;
        if let Stage::Waiting { home, queued, .. } = &mut entry.stage {
            *queued |= same && home == from;
        }
    }

    /// Takes a grant; one that is not waited for is declined, so that its engines go to others.
    pub(super) fn granted(
        &mut self,
        from: &Name,
        cell: Key,
        request: Id,
        attempt: u32,
        engines: Vec<Name>,
    ) {
        if !self.waits_for(request, attempt, &cell) {
            let running = self.engines_of(request) == engines;
            if !running {
                let end = End::Declined;
                self.send(from, Message::Done { cell, request, end });
            }
            return;
        }
        let place = Place::Engines {
            cell,
            home: from.clone(),
            engines,
        };
        self.placed(request, place);
    }

    fn waits_for(&self, request: Id, attempt: u32, cell: &Key) -> bool {
        let Some(entry) = self.inflight.get(request) else {
            return false;
        };
        let here = matches!(&entry.stage, Stage::Waiting { cell: own, .. } if own == cell);
        here && entry.submission.ticket.attempt == attempt && self.now < entry.deadline
    }

    /// Gives the engines that a request in hand holds.
    fn engines_of(&self, request: Id) -> &[Name] {
        self.inflight.get(request).map_or(&[], Entry::engines)
    }

    /// Goes on with a request that has its engines or its server.
    pub(super) fn placed(&mut self, request: Id, place: Place) {
        let claims = self
            .inflight
            .get(request)
            .is_some_and(|entry| entry.submission.claim.is_some());
        if claims {
            self.start_claim(request, place);
        } else {
            self.start(request, place);
        }
    }

    /// Has the request sent to where it is placed.
    pub(super) fn start(&mut self, request: Id, place: Place) {
        let stage = Stage::Running {
            place: place.clone(),
        };
        self.stage(request, stage);
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

    /// Takes a home's refusal: other cells and domains are asked before the caller hears of it.
    pub(super) fn refused(&mut self, cell: Key, request: Id, attempt: u32, refusal: Refusal) {
        if !self.waits_for(request, attempt, &cell) {
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
        if self.has_other_place(request) {
            self.place(request);
        } else {
            self.finish(request, Some(refusal));
        }
    }

    /// Says whether asking on can help: another cell of the model exists somewhere.
    fn has_other_place(&self, request: Id) -> bool {
        let Some(entry) = self.inflight.get(request) else {
            return false;
        };
        let model = &entry.submission.ticket.model;
        let mut cells = self.cells.keys().filter(|key| key.model == *model);
        cells.any(|key| !entry.refused_by.contains(key))
    }

    /// Notes the first token.
    pub(super) fn first_token(&mut self, request: Id) {
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

    /// Ends a request whose caller went away or whose thread gave up.
    pub(super) fn gone(&mut self, request: Id) {
        let Some(entry) = self.inflight.get(request).cloned() else {
            return;
        };
        self.give_back(request, &entry);
        self.sample(&entry, None);
        self.inflight.remove(request);
    }

    /// Tells whoever has the request in a queue or at work that it is no longer wanted.
    fn give_back(&mut self, request: Id, entry: &Entry) {
        match entry.stage.clone() {
            Stage::Limited | Stage::Asking => {}
            Stage::Waiting { cell, home, .. } => {
                self.send(&home, Message::Withdraw { cell, request });
            }
            Stage::Claiming { place, .. } => {
                self.release_place(request, place);
                self.settle(request, Outcome::NotSent);
            }
            Stage::Running { place } => {
                if let Place::Engines { engines, .. } = &place {
                    let engines = engines.clone();
                    self.actions.push(Action::Cancel { request, engines });
                }
                self.release_place(request, place);
                self.settle(request, Outcome::Unknown);
            }
        }
    }

    /// Gives a place back that was not used, or is not used any more.
    pub(super) fn release_place(&mut self, request: Id, place: Place) {
        match place {
            Place::Engines { cell, home, .. } => {
                let end = End::Left;
                self.send(&home, Message::Done { cell, request, end });
            }
            Place::Server { server } => self.servers.leave(&server, false, self.now),
        }
    }

    /// Answers a request and lets it go.
    pub(super) fn finish(&mut self, request: Id, refusal: Option<Refusal>) {
        let Some(entry) = self.inflight.remove(request) else {
            return;
        };
        self.sample(&entry, refusal);
        if let Some(mut refusal) = refusal {
            refusal = stop::as_draining(refusal, &entry);
            if entry.may_have_run && refusal.ran == Ran::No {
                refusal.ran = Ran::Unknown;
            }
            self.refuse(request, refusal);
        }
    }

    fn sample(&mut self, entry: &Entry, refusal: Option<Refusal>) {
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
        self.give_back(request, &entry);
        self.finish(request, Some(Refusal::new(kind, COME_BACK)));
    }

    fn tick_unsent(&mut self, request: Id) {
        let Some(entry) = self.inflight.get(request) else {
            return;
        };
        match entry.stage.clone() {
            Stage::Limited => self.tick_limited(request),
            Stage::Asking if self.now.since(entry.staged) >= LOAD_ANSWER => {
                self.place_far(request);
            }
            Stage::Waiting {
                cell,
                home,
                sent,
                queued,
            } => {
                let pause = if queued { QUEUED_AGAIN } else { QUEUED_ANSWER };
                let due = self.now.since(sent) >= pause;
                self.follow_home(request, cell, home, queued, due);
            }
            Stage::Claiming { home, sent, .. } => self.tick_claiming(request, &home, sent),
            Stage::Asking | Stage::Running { .. } => {}
        }
    }

    /// Moves a waiting request to the cell's new home, or asks the silent home again.
    fn follow_home(&mut self, request: Id, cell: Key, home: Name, queued: bool, due: bool) {
        if due && !queued && cell.domain != self.view.own().domain {
            self.view.note_silent(&home, self.now);
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

    /// Asks a home again that has started anew and so has forgotten its queue.
    pub(super) fn resend_to(&mut self, host: &Name) {
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

    /// Goes on with requests that waited for other domains' load.
    pub(super) fn place_asking(&mut self) {
        for request in self.inflight.unsent() {
            let asking = self
                .inflight
                .get(request)
                .is_some_and(|entry| entry.stage == Stage::Asking);
            if asking && self.has_fresh_far_load(request) {
                self.place_far(request);
            }
        }
    }

    /// Says whether a holding at an engine is wanted by a request in hand here.
    pub(super) fn wants(&self, request: Id, engine: &Name) -> bool {
        self.engines_of(request).contains(engine)
    }
}
