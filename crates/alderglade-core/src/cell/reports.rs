//! Learning from engines' reports, and sweeping what nobody wants any more.
//!
//! A new home knows nothing of what runs. It adopts each holding that an engine reports, counts
//! its memory, and asks the entry host that holds it. If that host says no, or is gone for good,
//! the holding is freed. In the other direction, what the book has and reports no longer show is
//! dropped from the book after a grace time.

use super::{Action, Cell};
use crate::Name;
use crate::book::{Engine, Holding, Report, Running};
use crate::lane::{LONG_TOKENS, Lane};
use crate::request::Id;
use crate::time::Time;
use std::time::Duration;

/// A holding younger than this may belong to a grant whose news is still on its way.
const GRACE: Duration = Duration::from_secs(2);
/// A granted request that no report shows for this long has left.
const UNSEEN: Duration = Duration::from_secs(5);
/// What outlives its deadline by this much is freed.
const OVERDUE: Duration = Duration::from_secs(3);
/// An adopted holding is given this long before it counts as overdue.
const ADOPTED_LIFE: Duration = Duration::from_secs(600);

impl Cell {
    /// Takes in an engine's report.
    pub fn report(&mut self, report: &Report, now: Time) {
        let lost = self
            .engines
            .change(&report.engine, |engine| engine.report(report, now));
        for id in lost.unwrap_or_default() {
            self.granted.remove(&id);
        }
        for holding in &report.holdings {
            self.see(&report.engine, holding, now);
        }
        self.pump(now);
    }

    fn see(&mut self, name: &Name, holding: &Holding, now: Time) {
        let id = holding.request;
        let known = self.engines.change(name, |engine| {
            let running = engine.running.get_mut(&id);
            running.map(|running| running.seen = now).is_some()
        });
        let fresh = holding.age < GRACE || self.departed.contains_key(&id);
        if known != Some(false) || fresh || self.is_forming(id) {
            return;
        }
        self.engines
            .change(name, |engine| adopt(engine, holding, now));
        self.granted
            .entry(id)
            .or_default()
            .engines
            .push(name.clone());
        self.actions.push(Action::Verify {
            to: holding.holder.clone(),
            engine: name.clone(),
            request: id,
        });
    }

    /// Blames no engine for the silence of a time in which this process itself was stopped.
    pub fn forgive(&mut self, stopped: Duration) {
        self.engines.change_all(|engine| {
            engine.reported = engine.reported + stopped;
            for running in engine.running.values_mut() {
                running.seen = running.seen + stopped;
            }
        });
    }

    /// Takes an entry host's word that a holding isn't its own.
    pub fn disown(&mut self, engine: &Name, request: Id, now: Time) {
        self.free(engine.clone(), request);
        self.pump(now);
    }

    /// Frees all that a dead entry host holds.
    pub fn host_died(&mut self, host: &Name, now: Time) {
        let orphans = self.find(|running| running.from == *host);
        for (engine, request) in orphans {
            self.free(engine, request);
        }
        self.pump(now);
    }

    /// Marks an engine as leaving, on somebody's word.
    pub fn set_leaving(&mut self, name: &Name) {
        self.engines.change(name, |engine| engine.leaving = true);
    }

    pub(super) fn sweep(&mut self, now: Time) {
        for (_, request) in self.find(|running| now.since(running.seen) > UNSEEN) {
            self.forget(request);
        }
        let overdue = self.find(|running| running.deadline + OVERDUE < now);
        for (engine, request) in overdue {
            self.free(engine, request);
        }
    }

    fn find(&self, wanted: impl Fn(&Running) -> bool) -> Vec<(Name, Id)> {
        let mut found = Vec::new();
        for engine in self.engines.iter() {
            for (id, running) in &engine.running {
                if wanted(running) {
                    found.push((engine.name.clone(), *id));
                }
            }
        }
        found.sort();
        found
    }

    fn free(&mut self, engine: Name, request: Id) {
        self.forget(request);
        self.actions.push(Action::Free { engine, request });
    }

    fn forget(&mut self, request: Id) {
        for name in self.granted.remove(&request).unwrap_or_default().engines {
            self.engines.change(&name, |engine| engine.release(request));
        }
    }
}

fn adopt(engine: &mut Engine, holding: &Holding, now: Time) {
    let lane = if holding.tokens > LONG_TOKENS {
        Lane::Long
    } else {
        Lane::Standard
    };
    let running = Running {
        from: holding.holder.clone(),
        lane,
        prefill: 0,
        need: holding.tokens,
        since: now,
        deadline: now + ADOPTED_LIFE,
        ends: now + ADOPTED_LIFE,
        decoding: true,
        seen: now,
    };
    engine.grant(holding.request, running, now);
}
