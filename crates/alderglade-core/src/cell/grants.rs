//! Granting: assigns the next request of each lane to an engine with room for it.

use super::{Action, Cell, End, Granted, MAX_HEADS};
use crate::Name;
use crate::admission;
use crate::engine_state::Running;
use crate::lane::Lane;
use crate::placement;
use crate::queue::Entry;
use crate::request::{Id, Ticket};
use crate::time::Time;

impl Cell {
    /// Grants all requests that fit, most urgent lane first.
    ///
    /// The standard lane is served only while the urgent lane is empty. Long requests are granted even
    /// while the next short request fits nowhere: the engines for long prefills are limited separately,
    /// and the share of short requests during a long prefill keeps the two apart.
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

    /// Refuses requests that couldn't finish in time even if an engine started them now. Running them
    /// would only take time from requests that can finish.
    fn refuse_hopeless(&mut self, lane: Lane, now: Time) {
        let capacity = self.summary(now).capacity;
        if capacity.engines == 0 {
            return;
        }
        while let Some(entry) = self.queue.peek(lane) {
            let needed = admission::service_time(&capacity, &entry.ticket, true);
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
        if self.engines.long_engines() >= self.max_long_engines(now) {
            return false;
        }
        let Some((id, engine)) = self.pick_long(now) else {
            return false;
        };
        self.grant(id, engine, now);
        true
    }

    /// Returns the next request that needs a gang, if a gang may be formed now.
    fn next_gang(&mut self, now: Time) -> Option<Entry> {
        if self.forming.is_some() {
            return None;
        }
        let max_single = self.summary(now).max_single;
        let mut heads = self.queue.heads(Lane::Long, MAX_HEADS);
        heads
            .find(|entry| entry.ticket.kv_tokens_needed() > max_single)
            .cloned()
    }

    /// Returns the next long request that fits into an engine, and that engine.
    fn pick_long(&mut self, now: Time) -> Option<(Id, Name)> {
        let summary = self.summary(now);
        let heads = self.queue.heads(Lane::Long, MAX_HEADS);
        let mut fitting =
            heads.filter(|entry| entry.ticket.kv_tokens_needed() <= summary.max_long_room);
        fitting.find_map(|entry| {
            let ends = now + admission::service_time(&summary.capacity, &entry.ticket, true);
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
        let need = entry.ticket.kv_tokens_needed();
        self.record_grant(&entry, &engine, need, now);
        self.send_grant(&entry, vec![engine]);
    }

    /// Records a granted request in the state of one engine.
    pub(super) fn record_grant(&mut self, entry: &Entry, name: &Name, need: u64, now: Time) {
        let expected_end = self.expected_end(&entry.ticket, now);
        let Some(engine) = self.engines.get(name) else {
            return;
        };
        let prefill = engine.prefill_tokens(&entry.ticket);
        if entry.ticket.lane != Lane::Long {
            let micros = prefill * 1_000_000 / engine.rate;
            self.short_load.add(micros, now);
        }
        self.engines.record_prefix(&entry.ticket, name);
        let running = Running {
            from: entry.from.clone(),
            lane: entry.ticket.lane,
            prefill,
            need,
            since: now,
            deadline: entry.deadline,
            expected_end,
            decoding: false,
            last_seen: now,
        };
        self.engines.change(name, |engine| {
            engine.record_prefix(&entry.ticket);
            engine.grant(entry.ticket.id, running, now);
        });
    }

    /// Grants engines to the entry host, which then sends its request.
    pub(super) fn send_grant(&mut self, entry: &Entry, engines: Vec<Name>) {
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
        now + admission::service_time(&capacity, ticket, true)
    }

    /// Records the first token of a request.
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

    /// Records the end of a granted request and frees its engines.
    pub fn finish(&mut self, request: Id, end: End, now: Time) {
        let Some(Granted { engines, .. }) = self.granted.remove(&request) else {
            return;
        };
        self.departed.insert(request, now);
        for name in &engines {
            self.release_engine(name, request, end, engines.len() == 1, now);
        }
        self.pump(now);
    }

    fn release_engine(&mut self, name: &Name, request: Id, end: End, alone: bool, now: Time) {
        let running = self.engines.change(name, |engine| {
            match end {
                End::Leaving => engine.leaving = true,
                // It is unknown which member of a gang has failed; the engine reports will show it.
                End::Failed => engine.suspect |= alone,
                End::Left | End::Declined | End::NoRoom => {}
            }
            engine.release(request)
        });
        if let (End::Left, Some(Some(running))) = (end, running) {
            self.slot_time.add(now.since(running.since));
        }
    }
}
