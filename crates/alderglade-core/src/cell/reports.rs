//! Reconciles the home's state with engine reports, and frees holdings that are no longer needed.
//!
//! A new home doesn't know which requests are running. It adopts each holding that an engine reports,
//! counts its memory, and asks the holder, an entry host, whether it is still needed. If that host
//! says no or has died, the holding is freed. Conversely, a grant that engine reports no longer show
//! is dropped after a timeout.

use super::{Action, Cell};
use crate::Name;
use crate::engine_state::{Engine, Holding, Report, Running};
use crate::lane::{LONG_TOKENS, Lane};
use crate::request::Id;
use crate::time::Time;
use std::time::Duration;

/// A holding younger than this isn't adopted: the message about its grant may still be in flight.
const MIN_ADOPTION_AGE: Duration = Duration::from_secs(2);
/// A granted request that no report has shown for this long counts as ended.
const UNREPORTED_TIMEOUT: Duration = Duration::from_secs(5);
/// A request that is still running this long after its deadline is freed.
const OVERDUE_GRACE: Duration = Duration::from_secs(3);
/// Assumed time to the deadline of an adopted holding, whose real deadline is unknown.
const ADOPTED_LIFETIME: Duration = Duration::from_secs(600);

impl Cell {
    /// Applies an engine's report.
    pub fn report(&mut self, report: &Report, now: Time) {
        let lost = self
            .engines
            .change(&report.engine, |engine| engine.report(report, now));
        for id in lost.unwrap_or_default() {
            self.granted.remove(&id);
        }
        for holding in &report.holdings {
            self.reconcile(&report.engine, holding, now);
        }
        self.pump(now);
    }

    fn reconcile(&mut self, name: &Name, holding: &Holding, now: Time) {
        let id = holding.request;
        let known = self.engines.change(name, |engine| {
            let running = engine.running.get_mut(&id);
            running.map(|running| running.last_seen = now).is_some()
        });
        let is_recent = holding.age < MIN_ADOPTION_AGE || self.departed.contains_key(&id);
        if known != Some(false) || is_recent || self.is_forming(id) {
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

    /// Extends all report timeouts by the time for which this process was stopped, so that no engine
    /// is considered silent because of it.
    pub fn extend_timeouts(&mut self, stopped: Duration) {
        self.engines.change_all(|engine| {
            engine.reported = engine.reported + stopped;
            for running in engine.running.values_mut() {
                running.last_seen = running.last_seen + stopped;
            }
        });
    }

    /// Frees a holding that its entry host doesn't need.
    pub fn free_unneeded(&mut self, engine: &Name, request: Id, now: Time) {
        self.free(engine.clone(), request);
        self.pump(now);
    }

    /// Frees all holdings of an entry host that has died.
    pub fn host_died(&mut self, host: &Name, now: Time) {
        let orphans = self.find_running(|running| running.from == *host);
        for (engine, request) in orphans {
            self.free(engine, request);
        }
        self.pump(now);
    }

    /// Marks an engine as leaving, as reported by a host or the platform.
    pub fn set_leaving(&mut self, name: &Name) {
        self.engines.change(name, |engine| engine.leaving = true);
    }

    pub(super) fn sweep(&mut self, now: Time) {
        for (_, request) in
            self.find_running(|running| now.since(running.last_seen) > UNREPORTED_TIMEOUT)
        {
            self.drop_grant(request);
        }
        let overdue = self.find_running(|running| running.deadline + OVERDUE_GRACE < now);
        for (engine, request) in overdue {
            self.free(engine, request);
        }
    }

    /// Returns the running requests that match, with their engines, in a stable order.
    fn find_running(&self, matches: impl Fn(&Running) -> bool) -> Vec<(Name, Id)> {
        let mut found = Vec::new();
        for engine in self.engines.iter() {
            for (id, running) in &engine.running {
                if matches(running) {
                    found.push((engine.name.clone(), *id));
                }
            }
        }
        found.sort();
        found
    }

    fn free(&mut self, engine: Name, request: Id) {
        self.drop_grant(request);
        self.actions.push(Action::Free { engine, request });
    }

    fn drop_grant(&mut self, request: Id) {
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
        deadline: now + ADOPTED_LIFETIME,
        expected_end: now + ADOPTED_LIFETIME,
        decoding: true,
        last_seen: now,
    };
    engine.grant(holding.request, running, now);
}
