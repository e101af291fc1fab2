//! Granting: the request that goes next meets an engine with room.

use super::{Action, Cell, End, Granted, HEADS};
use crate::Name;
use crate::admission;
use crate::book::Running;
use crate::lane::Lane;
use crate::placement;
use crate::queue::Entry;
use crate::request::{Id, Ticket};
use crate::time::Time;

impl Cell {
    /// Grants whatever fits, most urgent lane first.
    ///
    /// A lane whose next request fits nowhere doesn't hold up the lanes behind it: they need
    /// other room (long work has engines of its own), and the guard on short work beside a long
    /// prefill keeps the lanes apart.
    pub(super) fn pump(&mut self, now: Time) {
        while self.grant_short(Lane::Urgent, now) {}
        if self.queue.count(Lane::Urgent) == 0 {
            while self.grant_short(Lane::Standard, now) {}
        }
        while self.grant_long(now) {}
    }

    fn grant_short(&mut self, lane: Lane, now: Time) -> bool {
        self.refuse_hopeless(lane, now);
        let Some(entry) = self.queue.peek(lane) else {
            return false;
        };
        let picked = self.engines.pick_short(&entry.ticket, now);
        let Some(engine) = picked.map(|engine| engine.name.clone()) else {
            return false;
        };
        let id = entry.ticket.id;
        self.grant(id, engine, now);
        true
    }

    /// Answers requests that could not finish in time even if an engine began on them now: to
    /// start them would only take the time of those that can.
    fn refuse_hopeless(&mut self, lane: Lane, now: Time) {
        let capacity = self.summary(now).capacity;
        if capacity.engines == 0 {
            return;
        }
        while let Some(entry) = self.queue.peek(lane) {
            let needed = admission::service(&capacity, &entry.ticket, true);
            if entry.ticket.attempt > 1 || now + needed <= entry.deadline {
                return;
            }
            let id = entry.ticket.id;
            if let Some(entry) = self.queue.remove(id) {
                self.refuse_expired(&entry);
            }
        }
    }

    fn grant_long(&mut self, now: Time) -> bool {
        if self.queue.count(Lane::Long) == 0 {
            return false;
        }
        if let Some(entry) = self.next_gang(now) {
            return self.start_forming(&entry, now);
        }
        if self.engines.long_engines() >= self.long_bound(now) {
            return false;
        }
        let Some((id, engine)) = self.pick_long(now) else {
            return false;
        };
        self.grant(id, engine, now);
        true
    }

    /// Gives the next request that needs a gang, if one may be formed now.
    fn next_gang(&mut self, now: Time) -> Option<Entry> {
        if self.forming.is_some() {
            return None;
        }
        let single = self.summary(now).single;
        let mut heads = self.queue.heads(Lane::Long, HEADS);
        heads.find(|entry| entry.ticket.need() > single).cloned()
    }

    /// Finds the next long request that fits an engine.
    fn pick_long(&mut self, now: Time) -> Option<(Id, Name)> {
        let summary = self.summary(now);
        let heads = self.queue.heads(Lane::Long, HEADS);
        let mut fitting = heads.filter(|entry| entry.ticket.need() <= summary.roomiest);
        fitting.find_map(|entry| {
            let ends = now + admission::service(&summary.capacity, &entry.ticket, true);
            let free = self
                .engines
                .iter()
                .filter(|engine| self.may_backfill(&engine.name, ends));
            let engine = placement::pick_long(&self.config, free, &entry.ticket, now)?;
            Some((entry.ticket.id, engine.name.clone()))
        })
    }

    fn grant(&mut self, id: Id, engine: Name, now: Time) {
        let Some(entry) = self.queue.serve(id) else {
            return;
        };
        let need = entry.ticket.need();
        self.book(&entry, &engine, need, now);
        self.announce(&entry, vec![engine]);
    }

    /// Notes a granted request on one engine's page.
    pub(super) fn book(&mut self, entry: &Entry, name: &Name, need: u64, now: Time) {
        let ends = self.expected_end(&entry.ticket, now);
        let Some(engine) = self.engines.get(name) else {
            return;
        };
        let prefill = engine.prefill_of(&entry.ticket);
        if entry.ticket.lane != Lane::Long {
            let micros = prefill * 1_000_000 / engine.rate;
            self.busy.add(micros, now);
        }
        self.engines.note_prefix(&entry.ticket, name);
        let running = Running {
            from: entry.from.clone(),
            lane: entry.ticket.lane,
            prefill,
            need,
            since: now,
            deadline: entry.deadline,
            ends,
            decoding: false,
            seen: now,
        };
        self.engines.change(name, |engine| {
            engine.expect_prefix(&entry.ticket);
            engine.grant(entry.ticket.id, running, now);
        });
    }

    /// Tells the entry host to send its request.
    pub(super) fn announce(&mut self, entry: &Entry, engines: Vec<Name>) {
        let granted = Granted {
            attempt: entry.ticket.attempt,
            engines: engines.clone(),
        };
        self.granted.insert(entry.ticket.id, granted);
        self.actions.push(Action::Grant {
            to: entry.from.clone(),
            request: entry.ticket.id,
            attempt: entry.ticket.attempt,
            engines,
        });
    }

    fn expected_end(&mut self, ticket: &Ticket, now: Time) -> Time {
        let capacity = self.summary(now).capacity;
        now + admission::service(&capacity, ticket, true)
    }

    /// Notes that a request's first token has come.
    pub fn first_token(&mut self, request: Id, now: Time) {
        let Some(granted) = self.granted.get(&request) else {
            return;
        };
        for name in &granted.engines {
            self.engines
                .change(name, |engine| engine.first_token(request));
        }
        self.pump(now);
    }

    /// Notes that a granted request has left its engines.
    pub fn done(&mut self, request: Id, end: End, now: Time) {
        let Some(Granted { engines, .. }) = self.granted.remove(&request) else {
            return;
        };
        self.departed.insert(request, now);
        for name in &engines {
            self.leave(name, request, end, engines.len() == 1, now);
        }
        self.pump(now);
    }

    fn leave(&mut self, name: &Name, request: Id, end: End, alone: bool, now: Time) {
        let running = self.engines.change(name, |engine| {
            match end {
                End::Leaving => engine.leaving = true,
                // Which member of a gang has failed is not known; the reports will tell.
                End::Failed => engine.suspect |= alone,
                End::Left | End::Declined | End::NoRoom => {}
            }
            engine.release(request)
        });
        if let (End::Left, Some(Some(running))) = (end, running) {
            self.hold.add(now.since(running.since));
        }
    }
}
