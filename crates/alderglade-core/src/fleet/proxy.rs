//! Chooses the host through which a request reaches a server that this host can't connect to.
//!
//! Any live host may be asked; one that can't help says so, and is left out for a while. Hosts that have helped lately
//! are preferred, then those in the failure domain of the server or of this host, so that the bytes cross between
//! domains only once. The requests that are open at each host spread the load.

use crate::Name;
use crate::time::Time;
use std::collections::HashMap;
use std::time::Duration;

/// How long a host is left out after it could not help for the first time; doubled with each time in a row.
const MIN_BACKOFF: Duration = Duration::from_millis(250);
/// The longest time for which a host is left out.
const MAX_BACKOFF: Duration = Duration::from_millis(4_000);
/// How long a host counts as one that has helped.
const HELPED_LIFETIME: Duration = Duration::from_secs(5);
/// Cost of a host that has not helped lately, in open requests.
const UNPROVEN_COST: f64 = 3.0;
/// Cost of a host in a third failure domain, in open requests.
const DETOUR_COST: f64 = 1.0;

/// A host that may be asked.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Its name.
    pub host: &'a Name,
    /// Its failure domain.
    pub domain: &'a Name,
}

/// What is known of one host.
#[derive(Debug, Default)]
struct Record {
    /// Requests that are open through it.
    open: u32,
    /// Times in a row that it could not help.
    failures: u32,
    backoff_end: Time,
    /// When it last helped.
    helped_at: Option<Time>,
}

/// The hosts through which requests were sent.
#[derive(Debug, Default)]
pub struct Proxies {
    hosts: HashMap<Name, Record>,
}

impl Proxies {
    /// Chooses the host for a request. `near` are the failure domains of the server and of this host. `random` is
    /// called for each candidate and returns a number from `0.0` to `1.0`.
    pub fn choose<'a>(
        &self,
        candidates: impl Iterator<Item = Candidate<'a>>,
        near: [&Name; 2],
        now: Time,
        mut random: impl FnMut() -> f64,
    ) -> Option<Candidate<'a>> {
        let candidates = candidates.filter_map(|candidate| {
            let record = self.hosts.get(candidate.host);
            if record.is_some_and(|record| record.backoff_end > now) {
                return None;
            }
            let open = record.map_or(0, |record| record.open);
            let helped = record.is_some_and(|record| record.has_helped(now));
            let unproven = if helped { 0.0 } else { UNPROVEN_COST };
            let is_near = near.contains(&candidate.domain);
            let detour = if is_near { 0.0 } else { DETOUR_COST };
            Some((f64::from(open) + unproven + detour + random(), candidate))
        });
        let least = candidates.min_by(|a, b| a.0.total_cmp(&b.0));
        least.map(|(_, candidate)| candidate)
    }

    /// Returns whether a host has helped lately.
    pub fn has_helped(&self, host: &Name, now: Time) -> bool {
        self.hosts
            .get(host)
            .is_some_and(|record| record.has_helped(now))
    }

    /// Counts an open request through a host.
    pub fn begin(&mut self, host: &Name) {
        self.hosts.entry(host.clone()).or_default().open += 1;
    }

    /// Ends an open request through a host.
    pub fn end(&mut self, host: &Name) {
        if let Some(record) = self.hosts.get_mut(host) {
            record.open = record.open.saturating_sub(1);
        }
    }

    /// Records that a host has helped: it has reached the server.
    pub fn record_success(&mut self, host: &Name, now: Time) {
        let record = self.hosts.entry(host.clone()).or_default();
        record.failures = 0;
        record.helped_at = Some(now);
    }

    /// Records that a host could not help.
    pub fn record_failure(&mut self, host: &Name, now: Time) {
        /// More than enough to reach the longest backoff, and few enough not to overflow the shift.
        const MAX_DOUBLINGS: u32 = 8;
        let record = self.hosts.entry(host.clone()).or_default();
        let doublings = record.failures.min(MAX_DOUBLINGS);
        record.failures += 1;
        record.helped_at = None;
        record.backoff_end = now + (MIN_BACKOFF * (1 << doublings)).min(MAX_BACKOFF);
    }

    /// Drops hosts without open requests that are no longer live.
    pub fn retain(&mut self, is_live: impl Fn(&Name) -> bool) {
        self.hosts
            .retain(|host, record| record.open > 0 || is_live(host));
    }
}

impl Record {
    fn has_helped(&self, now: Time) -> bool {
        self.helped_at
            .is_some_and(|at| now.since(at) <= HELPED_LIFETIME)
    }
}
