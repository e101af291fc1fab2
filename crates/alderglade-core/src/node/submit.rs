//! Accepts requests: applies the rate of the workspace, then picks a cell.

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

/// Time for the home of a workspace's rate to answer. After it, the request uses this host's fallback part
/// of the rate.
const LIMIT_HOME_TIMEOUT: Duration = Duration::from_millis(60);
/// Time for other domains to report their load. After it, the request is placed by the loads known so far.
pub(super) const LOAD_TIMEOUT: Duration = Duration::from_millis(150);
/// A load digest of a cell is used for this long.
pub(super) const LOAD_LIFETIME: Duration = Duration::from_millis(1_500);
/// A request that this many cells have refused is not offered to cells of other domains.
const MAX_REFUSING_CELLS: usize = 3;
/// Callers are asked to retry after this time if nothing better is known.
pub(super) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Node {
    /// Accepts a request, or refuses it if the host is draining.
    pub(super) fn submit(&mut self, submission: Submission) {
        let id = submission.ticket.id;
        if self.is_draining() {
            self.refuse(id, Refusal::new(Kind::Draining, DEFAULT_RETRY_AFTER));
            return;
        }
        let deadline = self.now + submission.ticket.time_left;
        let mut entry = Entry {
            submission,
            since: self.now,
            deadline,
            stage: Stage::Limited,
            stage_since: self.now,
            refused_by: Vec::new(),
            failed_by: Vec::new(),
            first_token: None,
            sent: false,
            may_have_run: false,
        };
        self.estimate_output(&mut entry);
        let unlimited = entry.submission.rate.is_unlimited();
        self.inflight.insert(id, entry);
        if unlimited || self.take_from_share(id) {
            self.place(id);
        } else {
            self.request_slice(id);
        }
    }

    fn estimate_output(&self, entry: &mut Entry) {
        let class = &entry.submission.class;
        let ticket = &mut entry.submission.ticket;
        ticket.output_expected =
            self.output_estimate
                .estimate(&ticket.workspace, class, ticket.output_cap);
    }

    /// Takes the cost of a request from the slice that this host holds. Returns whether that covers it.
    fn take_from_share(&mut self, id: Id) -> bool {
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
        self.rate_shares
            .entry(workspace)
            .or_insert_with(|| Share::new(rate, hosts, now))
    }

    /// Requests a slice that covers the request from the home of its workspace's rate.
    fn request_slice(&mut self, id: Id) {
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

    /// Lends a slice of a workspace's rate, as its home.
    ///
    /// If this host only replaces a home that can't be reached, it lends only its domain's part of
    /// the rate: the other domains may be disconnected from this one and have replacements too.
    pub(super) fn handle_lend(&mut self, from: &Name, workspace: Name, cost: Cost) {
        let full_rate = self.workspace_rate(&workspace);
        let first = self.view.is_first_home(&limit_key(&workspace), self.now);
        let share = if first {
            1_000
        } else {
            self.view.domain_per_mille()
        };
        let rate = full_rate.per_mille(share);
        let now = self.now;
        let loan = self
            .rate_loans
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

    /// Handles a lent slice: continues the waiting requests that it covers.
    pub(super) fn handle_lent(&mut self, workspace: &Name, slice: Cost) {
        let now = self.now;
        if let Some(share) = self.rate_shares.get_mut(workspace) {
            share.add_slice(slice, now);
        }
        for id in self.limited_requests(workspace) {
            if self.take_from_share(id) {
                self.place(id);
            }
        }
    }

    /// Handles the home's refusal to lend: refuses the first waiting request of the workspace.
    pub(super) fn handle_unlent(&mut self, workspace: &Name, retry_after: Duration) {
        let Some(id) = self.limited_requests(workspace).first().copied() else {
            return;
        };
        self.refuse_limited(id, retry_after);
    }

    /// Returns the requests of a workspace that wait for a slice of its rate.
    fn limited_requests(&self, workspace: &Name) -> Vec<Id> {
        let is_limited = |id: &Id| {
            self.inflight.get(*id).is_some_and(|entry| {
                entry.stage == Stage::Limited && entry.submission.ticket.workspace == *workspace
            })
        };
        self.inflight
            .unsent()
            .into_iter()
            .filter(is_limited)
            .collect()
    }

    /// Refuses a request that exceeds its workspace's rate.
    ///
    /// Adds a delay per request to `retry_after`, so that the callers don't all retry at once.
    fn refuse_limited(&mut self, id: Id, retry_after: Duration) {
        let spread = retry_after + admission::jittered_retry_after(retry_after, id) / 2;
        self.finish(id, Some(Refusal::new(Kind::LimitExceeded, spread)));
    }

    /// Uses this host's fallback part of the rate if the home has not answered in time.
    pub(super) fn tick_limited(&mut self, id: Id) {
        let Some(entry) = self.inflight.get(id) else {
            return;
        };
        if self.now.since(entry.stage_since) < LIMIT_HOME_TIMEOUT {
            return;
        }
        let ticket = &entry.submission.ticket;
        let (rate, cost) = (entry.submission.rate, Cost::of(ticket.prompt));
        let workspace = ticket.workspace.clone();
        let home = self.limit_home(&workspace);
        self.view.mark_silent(&home, self.now);
        let (hosts, now) = (self.view.fleet_count(), self.now);
        let taken = self
            .share(workspace, rate)
            .take_fallback(rate, hosts, cost, now);
        match taken {
            Ok(()) => self.place(id),
            Err(retry_after) => self.refuse_limited(id, retry_after),
        }
    }

    /// Picks a server or a cell for a request that its rate allows.
    pub(super) fn place(&mut self, id: Id) {
        if self.refuse_barred(id) {
            return;
        }
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
        if let Some(cell) = self.pick_local_cell(entry) {
            self.enqueue(id, cell);
            return;
        }
        let may_ask = entry.refused_by.is_empty() || entry.stage != Stage::AwaitingLoad;
        if may_ask && self.request_remote_loads() {
            self.set_stage(id, Stage::AwaitingLoad);
            return;
        }
        self.place_remote(id);
    }

    /// Queues the request in a cell of another domain, or refuses it if none is suitable.
    pub(super) fn place_remote(&mut self, id: Id) {
        let Some(entry) = self.inflight.get(id) else {
            return;
        };
        match self.pick_remote_cell(entry) {
            Some(cell) => self.enqueue(id, cell),
            None => {
                let refusal = self.no_capacity(id);
                self.finish(id, Some(refusal));
            }
        }
    }

    /// Returns the refusal of a request that no cell can take.
    fn no_capacity(&self, id: Id) -> Refusal {
        let overloaded = self
            .inflight
            .get(id)
            .is_some_and(|entry| !entry.refused_by.is_empty());
        let kind = if overloaded {
            Kind::Overloaded
        } else {
            Kind::NoCapacity
        };
        let retry_after = self.retry_after(id);
        Refusal::new(kind, retry_after)
    }

    /// Returns the time after which to retry: the shortest wait of any known cell of the model, spread
    /// by request.
    fn retry_after(&self, id: Id) -> Duration {
        let Some(entry) = self.inflight.get(id) else {
            return DEFAULT_RETRY_AFTER;
        };
        let ticket = &entry.submission.ticket;
        let lane = ticket.lane.index();
        let waits = self
            .loads
            .values()
            .filter(|load| load.digest.cell.model == ticket.model && load.digest.open > 0)
            .map(|load| load.digest.waits[lane]);
        admission::jittered_retry_after(waits.min().unwrap_or(DEFAULT_RETRY_AFTER), id)
    }

    /// Picks a cell of the own domain that has room and has not refused the request.
    fn pick_local_cell(&self, entry: &Entry) -> Option<Key> {
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

    /// Returns whether a cell can hold the request, as far as is known.
    ///
    /// A cell without a fresh digest counts as having room: its home decides.
    fn has_room(&self, key: &Key, ticket: &Ticket) -> bool {
        let load = self.loads.get(key);
        let fresh = load.filter(|load| self.now.since(load.at) < LOAD_LIFETIME);
        fresh.is_none_or(|load| {
            load.digest.open > 0 && load.digest.largest >= ticket.kv_tokens_needed()
        })
    }

    /// Picks a cell of another domain whose last digest shows room and a wait that leaves enough time.
    fn pick_remote_cell(&self, entry: &Entry) -> Option<Key> {
        if entry.refused_by.len() >= MAX_REFUSING_CELLS {
            return None;
        }
        let ticket = entry.ticket(self.now);
        let cells = self.loads.iter().filter(|(key, load)| {
            key.domain != self.view.own().domain
                && key.model == ticket.model
                && !entry.refused_by.contains(key)
                && self.now.since(load.at) < LOAD_LIFETIME
                && would_serve(&load.digest, &ticket)
                && self.cell_home(key).is_some()
        });
        let mut cells: Vec<Key> = cells.map(|(key, _)| key.clone()).collect();
        cells.sort();
        self.shorter_of_two(cells, &ticket)
    }

    /// Picks two of the cells by the serial number of the request, and returns the one with the shorter wait.
    ///
    /// Always taking the shortest wait would send all requests to the same cell until its next digest.
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

    /// Returns the home of a cell, or `None` if no host of its domain can be reached.
    pub(super) fn cell_home(&self, cell: &Key) -> Option<Name> {
        let key = cell.to_string();
        if cell.domain == self.view.own().domain {
            return Some(self.view.home(&key, self.now));
        }
        self.view.remote_home(&cell.domain, &key, self.now)
    }

    /// Sends the request to the home of a cell, to wait in its queue.
    pub(super) fn enqueue(&mut self, id: Id, cell: Key) {
        let Some(home) = self.cell_home(&cell) else {
            let refusal = self.no_capacity(id);
            self.finish(id, Some(refusal));
            return;
        };
        self.set_stage(
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

    /// Moves a request to another stage.
    pub(super) fn set_stage(&mut self, id: Id, stage: Stage) {
        let now = self.now;
        if let Some(entry) = self.inflight.get_mut(id) {
            entry.enter(stage, now);
        }
    }

    /// Requests the load of the other domains, unless that was done within twice [`LOAD_TIMEOUT`].
    ///
    /// Returns whether an answer can still be expected.
    fn request_remote_loads(&mut self) -> bool {
        let domains = self.view.other_domains();
        if domains.is_empty() {
            return false;
        }
        let due = |asked: Time| self.now.since(asked) > LOAD_TIMEOUT * 2;
        if !self.load_asked_at.is_none_or(due) {
            return self
                .load_asked_at
                .is_some_and(|asked| self.now.since(asked) < LOAD_TIMEOUT);
        }
        self.load_asked_at = Some(self.now);
        for domain in domains {
            if let Some(host) = self.view.remote_home(&domain, "load", self.now) {
                self.send(&host, Message::AskLoad);
            }
        }
        true
    }
}

/// Returns the key that selects the home of a workspace's rate.
fn limit_key(workspace: &str) -> String {
    format!("limit/{workspace}")
}

/// Returns whether a cell has room for the request and its wait is below half of the remaining time.
fn would_serve(digest: &Digest, ticket: &Ticket) -> bool {
    let wait = digest.waits[ticket.lane.index()];
    let room = digest.open > 0 && digest.largest >= ticket.kv_tokens_needed();
    room && wait < ticket.time_left / 2
}
