//! Taking a request: rate, failure domain, cell.

use super::Node;
use crate::Name;
use crate::admission;
use crate::cell::{Digest, Key};
use crate::error::Kind;
use crate::inflight::{Entry, Stage, Submission, Work};
use crate::limit::{Cost, Loan, Rate, Share};
use crate::message::Message;
use crate::request::{Id, Refusal, Ticket};
use crate::time::Time;
use std::time::Duration;

/// The home of a workspace's rate has this long to answer.
const LIMIT_ANSWER: Duration = Duration::from_millis(60);
/// Other domains have this long to tell their load.
pub(super) const LOAD_ANSWER: Duration = Duration::from_millis(150);
/// A digest of another domain's load is good for this long.
pub(super) const LOAD_LIFE: Duration = Duration::from_millis(1_500);
/// Cells that one request is offered to at most.
const MOST_CELLS: usize = 3;
/// The time to come back after where nothing better is known.
pub(super) const COME_BACK: Duration = Duration::from_secs(1);

impl Node {
    pub(super) fn submit(&mut self, submission: Submission) {
        let id = submission.ticket.id;
        if self.is_draining() {
            self.refuse(id, Refusal::new(Kind::Draining, COME_BACK));
            return;
        }
        let deadline = self.now + submission.ticket.time_left;
        let mut entry = Entry {
            submission,
            since: self.now,
            deadline,
            stage: Stage::Limited,
            staged: self.now,
            refused_by: Vec::new(),
            failed_by: Vec::new(),
            first_token: None,
            sent: false,
            may_have_run: false,
        };
        self.estimate_output(&mut entry);
        let free = entry.submission.rate.is_free();
        self.inflight.insert(id, entry);
        if free || self.take_share(id) {
            self.place(id);
        } else {
            self.ask_slice(id);
        }
    }

    fn estimate_output(&self, entry: &mut Entry) {
        let class = &entry.submission.class;
        let ticket = &mut entry.submission.ticket;
        ticket.output_expected = self
            .output
            .expect(&ticket.workspace, class, ticket.output_cap);
    }

    fn take_share(&mut self, id: Id) -> bool {
        let Some(entry) = self.inflight.get(id) else {
            return false;
        };
        let ticket = &entry.submission.ticket;
        let (rate, cost) = (entry.submission.rate, Cost::of(ticket.prompt));
        let workspace = ticket.workspace.clone();
        let now = self.now;
        self.share(workspace, rate).take(cost, now)
    }

    fn share(&mut self, workspace: Name, rate: Rate) -> &mut Share {
        let (hosts, now) = (self.view.fleet_count(), self.now);
        self.shares
            .entry(workspace)
            .or_insert_with(|| Share::new(rate, hosts, now))
    }

    fn ask_slice(&mut self, id: Id) {
        let Some(entry) = self.inflight.get(id) else {
            return;
        };
        let ticket = &entry.submission.ticket;
        let workspace = ticket.workspace.clone();
        let cost = Cost::of(ticket.prompt);
        let home = self.limit_home(&workspace);
        self.send(&home, Message::Lend { workspace, cost });
    }

    fn limit_home(&self, workspace: &str) -> Name {
        self.view.fleet_home(&limit_key(workspace), self.now)
    }

    /// Lends a slice, as the home of the workspace's rate.
    ///
    /// A substitute for a home that can't be reached lends the own domain's part of the rate only:
    /// the other domains, cut off from this one, have substitutes of their own.
    pub(super) fn lend(&mut self, from: &Name, workspace: Name, cost: Cost) {
        let whole = self.workspace_rate(&workspace);
        let first = self.view.is_first_home(&limit_key(&workspace), self.now);
        let share = if first {
            1_000
        } else {
            self.view.domain_per_mille()
        };
        let rate = whole.per_mille(share);
        let now = self.now;
        let loan = self
            .loans
            .entry(workspace.clone())
            .or_insert_with(|| Loan::new(rate, now));
        let message = match loan.lend(rate, cost, now) {
            Ok(slice) => Message::Lent { workspace, slice },
            Err(retry_after) => Message::Unlent {
                workspace,
                retry_after,
            },
        };
        self.send(from, message);
    }

    fn workspace_rate(&self, workspace: &str) -> Rate {
        let resolved = self.tree.resolve(workspace, "", "");
        Rate::new(resolved.requests_per_second, resolved.tokens_per_second)
    }

    /// Takes a slice and lets go on whoever it covers.
    pub(super) fn lent(&mut self, workspace: &Name, slice: Cost) {
        let now = self.now;
        if let Some(share) = self.shares.get_mut(workspace) {
            share.lent(slice, now);
        }
        for id in self.limited(workspace) {
            if self.take_share(id) {
                self.place(id);
            }
        }
    }

    /// Refuses one request that the home lends nothing for.
    pub(super) fn unlent(&mut self, workspace: &Name, retry_after: Duration) {
        let Some(id) = self.limited(workspace).first().copied() else {
            return;
        };
        self.refuse_limited(id, retry_after);
    }

    fn limited(&self, workspace: &Name) -> Vec<Id> {
        let waits = |id: &Id| {
            self.inflight.get(*id).is_some_and(|entry| {
                entry.stage == Stage::Limited && entry.submission.ticket.workspace == *workspace
            })
        };
        self.inflight.unsent().into_iter().filter(waits).collect()
    }

    fn refuse_limited(&mut self, id: Id, retry_after: Duration) {
        let spread = retry_after + admission::come_back(retry_after, id) / 2;
        self.finish(id, Some(Refusal::new(Kind::LimitExceeded, spread)));
    }

    /// Falls back to the host's own part of the rate where the home doesn't answer.
    pub(super) fn tick_limited(&mut self, id: Id) {
        let Some(entry) = self.inflight.get(id) else {
            return;
        };
        if self.now.since(entry.staged) < LIMIT_ANSWER {
            return;
        }
        let ticket = &entry.submission.ticket;
        let (rate, cost) = (entry.submission.rate, Cost::of(ticket.prompt));
        let workspace = ticket.workspace.clone();
        let home = self.limit_home(&workspace);
        self.view.note_silent(&home, self.now);
        let (hosts, now) = (self.view.fleet_count(), self.now);
        let taken = self
            .share(workspace, rate)
            .take_fallback(rate, hosts, cost, now);
        match taken {
            Ok(()) => self.place(id),
            Err(retry_after) => self.refuse_limited(id, retry_after),
        }
    }

    /// Finds the request a cell or a server, once its rate allows it.
    pub(super) fn place(&mut self, id: Id) {
        let Some(entry) = self.inflight.get(id) else {
            return;
        };
        match entry.submission.work.clone() {
            Work::Call { service } => self.place_call(id, &service),
            Work::Generate => self.place_generate(id),
        }
    }

    fn place_generate(&mut self, id: Id) {
        let Some(entry) = self.inflight.get(id) else {
            return;
        };
        if let Some(cell) = self.near_cell(entry) {
            self.enqueue(id, cell);
            return;
        }
        let first = entry.refused_by.is_empty() || entry.stage != Stage::Asking;
        if first && self.ask_load() {
            self.stage(id, Stage::Asking);
            return;
        }
        self.place_far(id);
    }

    /// Offers the request to another domain, or refuses it for good.
    pub(super) fn place_far(&mut self, id: Id) {
        let Some(entry) = self.inflight.get(id) else {
            return;
        };
        match self.far_cell(entry) {
            Some(cell) => self.enqueue(id, cell),
            None => {
                let refusal = self.no_place(id);
                self.finish(id, Some(refusal));
            }
        }
    }

    fn no_place(&self, id: Id) -> Refusal {
        let overloaded = self
            .inflight
            .get(id)
            .is_some_and(|entry| !entry.refused_by.is_empty());
        let kind = if overloaded {
            Kind::Overloaded
        } else {
            Kind::NoCapacity
        };
        let later = self.come_back(id);
        Refusal::new(kind, later)
    }

    /// Spreads the time to come back over the least wait that any known cell has.
    fn come_back(&self, id: Id) -> Duration {
        let Some(entry) = self.inflight.get(id) else {
            return COME_BACK;
        };
        let ticket = &entry.submission.ticket;
        let lane = ticket.lane.index();
        let waits = self
            .loads
            .values()
            .filter(|load| load.digest.cell.model == ticket.model && load.digest.open > 0)
            .map(|load| load.digest.waits[lane]);
        admission::come_back(waits.min().unwrap_or(COME_BACK), id)
    }

    /// Picks among the cells of the own domain: of two by chance, the one with the shorter wait.
    fn near_cell(&self, entry: &Entry) -> Option<Key> {
        let ticket = &entry.submission.ticket;
        let domain = &self.view.own().domain;
        let cells = self.cells.keys().filter(|key| {
            key.domain == *domain
                && key.model == ticket.model
                && !entry.refused_by.contains(key)
                && self.has_room(key, ticket)
        });
        self.shorter_of_two(cells.cloned().collect(), ticket)
    }

    /// A cell without news counts as having room; its home will say.
    fn has_room(&self, key: &Key, ticket: &Ticket) -> bool {
        let load = self.loads.get(key);
        let fresh = load.filter(|load| self.now.since(load.at) < LOAD_LIFE);
        fresh.is_none_or(|load| load.digest.open > 0 && load.digest.largest >= ticket.need())
    }

    /// Picks among the cells of other domains that would be in time.
    fn far_cell(&self, entry: &Entry) -> Option<Key> {
        if entry.refused_by.len() >= MOST_CELLS {
            return None;
        }
        let ticket = entry.ticket(self.now);
        let cells = self.loads.iter().filter(|(key, load)| {
            key.domain != self.view.own().domain
                && key.model == ticket.model
                && !entry.refused_by.contains(key)
                && self.now.since(load.at) < LOAD_LIFE
                && would_serve(&load.digest, &ticket)
                && self.cell_home(key).is_some()
        });
        let mut cells: Vec<Key> = cells.map(|(key, _)| key.clone()).collect();
        cells.sort();
        self.shorter_of_two(cells, &ticket)
    }

    fn shorter_of_two(&self, cells: Vec<Key>, ticket: &Ticket) -> Option<Key> {
        if cells.is_empty() {
            return None;
        }
        let count = cells.len() as u64;
        let first = (ticket.id.serial.wrapping_mul(7) % count) as usize;
        let step = 1 + (ticket.id.serial / count) % count.max(2).saturating_sub(1);
        let second = (first + step as usize) % cells.len();
        let wait = |at: usize| {
            let load = self.loads.get(&cells[at]);
            load.map_or(Duration::ZERO, |load| {
                load.digest.waits[ticket.lane.index()]
            })
        };
        let best = if wait(second) < wait(first) {
            second
        } else {
            first
        };
        cells.get(best).cloned()
    }

    /// Names the host to ask for a cell.
    pub(super) fn cell_home(&self, cell: &Key) -> Option<Name> {
        let key = cell.to_string();
        if cell.domain == self.view.own().domain {
            return Some(self.view.home(&key, self.now));
        }
        self.view.far_home(&cell.domain, &key, self.now)
    }

    /// Puts the request into a cell's queue, there to wait for its turn.
    pub(super) fn enqueue(&mut self, id: Id, cell: Key) {
        let Some(home) = self.cell_home(&cell) else {
            let refusal = self.no_place(id);
            self.finish(id, Some(refusal));
            return;
        };
        self.stage(
            id,
            Stage::Waiting {
                cell: cell.clone(),
                home: home.clone(),
                sent: self.now,
                queued: false,
            },
        );
        self.inflight.set_sent(id, false);
        let Some(entry) = self.inflight.get(id) else {
            return;
        };
        let ticket = entry.ticket(self.now);
        self.send(&home, Message::Enqueue { cell, ticket });
    }

    pub(super) fn stage(&mut self, id: Id, stage: Stage) {
        let now = self.now;
        if let Some(entry) = self.inflight.get_mut(id) {
            entry.enter(stage, now);
        }
    }

    /// Asks the other domains for their load, unless they were asked just now.
    ///
    /// Says whether waiting for the answer makes sense.
    fn ask_load(&mut self) -> bool {
        let domains = self.view.far_domains();
        if domains.is_empty() {
            return false;
        }
        let due = |asked: Time| self.now.since(asked) > LOAD_ANSWER * 2;
        if !self.asked_load.is_none_or(due) {
            return self
                .asked_load
                .is_some_and(|asked| self.now.since(asked) < LOAD_ANSWER);
        }
        self.asked_load = Some(self.now);
        for domain in domains {
            if let Some(host) = self.view.far_home(&domain, "load", self.now) {
                self.send(&host, Message::AskLoad);
            }
        }
        true
    }
}

fn limit_key(workspace: &str) -> String {
    format!("limit/{workspace}")
}

fn would_serve(digest: &Digest, ticket: &Ticket) -> bool {
    let wait = digest.waits[ticket.lane.index()];
    let room = digest.open > 0 && digest.largest >= ticket.need();
    room && wait < ticket.time_left / 2
}
