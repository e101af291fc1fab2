//! Forms a gang step by step, and releases everything if that fails.

use super::{Action, Cell};
use crate::Name;
use crate::gang::{self, Gang, REPLAN_DELAY, RESERVE_TIMEOUT, Stage};
use crate::queue::Entry;
use crate::request::Id;
use crate::time::Time;

impl Cell {
    /// Returns whether a gang is being formed for this request.
    pub(super) fn is_forming(&self, request: Id) -> bool {
        let forming = self.forming.as_ref();
        forming.is_some_and(|gang| gang.entry.ticket.id == request)
    }

    /// Returns whether a request that ends at `ends` may run on `engine`. An engine that a gang waits
    /// for accepts only requests that end before the planned start of the gang.
    pub(super) fn may_backfill(&self, engine: &Name, ends: Time) -> bool {
        match &self.forming {
            Some(gang) if gang.members.contains(engine) => ends <= gang.start,
            _ => true,
        }
    }

    /// Starts to form a gang. Returns whether the request was removed from the queue.
    pub(super) fn start_forming(&mut self, entry: &Entry, now: Time) -> bool {
        if self.forming.is_some() {
            return false;
        }
        let Some(gang) = gang::plan(self.engines.iter(), entry, now) else {
            return false;
        };
        self.queue.serve(entry.ticket.id);
        self.forming = Some(gang);
        self.tick_forming(now);
        true
    }

    /// Advances the gang that is being formed as far as possible.
    pub(super) fn tick_forming(&mut self, now: Time) {
        let Some(gang) = &self.forming else {
            return;
        };
        if gang.entry.deadline <= now {
            self.expire_forming();
            return;
        }
        match gang.stage {
            Stage::Draining => self.drain_members(now),
            Stage::Reserving { since, .. } if now.since(since) > RESERVE_TIMEOUT => {
                self.back_off(now);
            }
            Stage::BackingOff { until } if now >= until => self.replan(now),
            Stage::Reserving { .. } | Stage::BackingOff { .. } => {}
        }
    }

    /// Sets memory aside at each member that has enough. Starts to reserve once all members have it.
    fn drain_members(&mut self, now: Time) {
        let Some(gang) = &mut self.forming else {
            return;
        };
        let is_open = |name: &Name| self.engines.get(name).is_some_and(|e| e.is_open(now));
        if !gang.members.iter().all(is_open) {
            self.replan(now);
            return;
        }
        let member_tokens = gang.member_tokens;
        let mut ready = true;
        for name in &gang.members {
            let set_aside = self.engines.change(name, |engine| {
                if engine.reserved == 0 && engine.free() >= member_tokens {
                    engine.reserved = member_tokens;
                }
                engine.reserved > 0
            });
            ready &= set_aside.unwrap_or(false);
        }
        if ready {
            gang.stage = Stage::Reserving {
                agreed: 0,
                since: now,
            };
            self.reserve_next();
        }
    }

    fn reserve_next(&mut self) {
        let Some(gang) = &self.forming else {
            return;
        };
        let Stage::Reserving { agreed, .. } = gang.stage else {
            return;
        };
        self.actions.push(Action::Reserve {
            engine: gang.members[agreed].clone(),
            holder: gang.entry.from.clone(),
            request: gang.entry.ticket.id,
            tokens: gang.member_tokens,
        });
    }

    /// Handles an engine's answer to a reservation.
    pub fn reserved(&mut self, engine: &Name, request: Id, agreed: bool, now: Time) {
        let is_expected = self.awaits_answer(engine, request);
        if !is_expected {
            if agreed && !self.granted.contains_key(&request) {
                let engine = engine.clone();
                self.actions.push(Action::Free { engine, request });
            }
            return;
        }
        if !agreed {
            self.back_off(now);
            return;
        }
        let Some(gang) = &mut self.forming else {
            return;
        };
        let Stage::Reserving { agreed, .. } = &mut gang.stage else {
            return;
        };
        *agreed += 1;
        if *agreed == gang.members.len() {
            self.grant_gang(now);
        } else {
            self.reserve_next();
        }
    }

    fn awaits_answer(&self, engine: &Name, request: Id) -> bool {
        let Some(gang) = &self.forming else {
            return false;
        };
        let Stage::Reserving { agreed, .. } = gang.stage else {
            return false;
        };
        gang.entry.ticket.id == request && gang.members.get(agreed) == Some(engine)
    }

    fn grant_gang(&mut self, now: Time) {
        let Some(gang) = self.forming.take() else {
            return;
        };
        self.clear_reserved(&gang);
        for name in &gang.members {
            self.record_grant(&gang.entry, name, gang.member_tokens, now);
        }
        self.send_grant(&gang.entry, gang.members);
    }

    fn clear_reserved(&mut self, gang: &Gang) {
        for name in &gang.members {
            self.engines.change(name, |engine| engine.reserved = 0);
        }
    }

    /// Releases all memory of the gang, in the home's state and at the engines.
    ///
    /// The last member may have agreed although its answer hasn't arrived, so it is freed too.
    pub(super) fn release_members(&mut self) {
        let Some(gang) = self.forming.clone() else {
            return;
        };
        self.clear_reserved(&gang);
        let Stage::Reserving { agreed, .. } = gang.stage else {
            return;
        };
        for engine in gang.members.iter().take(agreed + 1) {
            self.actions.push(Action::Free {
                engine: engine.clone(),
                request: gang.entry.ticket.id,
            });
        }
    }

    fn back_off(&mut self, now: Time) {
        self.release_members();
        if let Some(gang) = &mut self.forming {
            gang.stage = Stage::BackingOff {
                until: now + REPLAN_DELAY,
            };
        }
    }

    fn replan(&mut self, now: Time) {
        self.release_members();
        let Some(old) = self.forming.take() else {
            return;
        };
        match gang::plan(self.engines.iter(), &old.entry, now) {
            Some(gang) => self.forming = Some(gang),
            None => self.queue.push(old.entry),
        }
    }

    fn expire_forming(&mut self) {
        self.release_members();
        if let Some(gang) = self.forming.take() {
            self.refuse_expired(&gang.entry);
        }
    }
}
