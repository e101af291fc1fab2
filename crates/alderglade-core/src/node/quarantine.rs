//! Requests and prefixes of prompts under which backend servers end: what this host observes, and how it keeps them from
//! servers.
//!
//! The decision is that of [`crate::fleet::quarantine`], with the prefix as the only shared part of a prompt. Bars are not
//! stored: hosts that start learn them from the others.

use super::Node;
use crate::Name;
use crate::error::Kind;
use crate::fleet::incarnation::Incarnation;
use crate::fleet::quarantine::Finding;
use crate::inflight::Place;
use crate::message::Message;
use crate::request::{Id, Refusal};
use crate::time::Time;
use std::time::Duration;

/// How often recent findings and bars are repeated to the other hosts.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Ends of one server within this time are the same end, as different hosts report it. A server takes longer to start.
const END_PERIOD_MS: u64 = 1_000;

impl Node {
    /// Refuses a request if it or the prefix of its prompt is barred. Returns whether it did.
    pub(super) fn refuse_barred(&mut self, request: Id) -> bool {
        let Some(entry) = self.inflight.get(request) else {
            return false;
        };
        let identity = &entry.submission.identity;
        let left = self.quarantine.barred_for(identity.fingerprint, self.now);
        let part = || self.quarantine.barred_part(&identity.parts, self.now);
        let Some(left) = left.or_else(|| part().map(|(_, left)| left)) else {
            return false;
        };
        self.finish(request, Some(Refusal::new(Kind::Quarantined, left)));
        true
    }

    /// Records that a server has ended while it had a request.
    pub(super) fn record_server_end(&mut self, request: Id, place: &Place) {
        let Some(entry) = self.inflight.get(request) else {
            return;
        };
        let server = match place {
            Place::Engines { engines, .. } => engines.last(),
            Place::Server { server } => Some(server),
        };
        let Some(server) = server else {
            return;
        };
        let period = self.wall_ms / END_PERIOD_MS;
        let key = Incarnation::new(server.clone(), Some(period)).key();
        let ran = entry.first_token.map(|at| self.now.since(at));
        let identity = entry.submission.identity.clone();
        self.quarantine
            .record_interruption(identity, key, ran, self.now);
        self.quarantine.record_server_end(key, self.now);
        self.report_findings(false);
    }

    /// Records that a request was answered completely.
    pub(super) fn record_sound(&mut self, request: Id) {
        let Some(entry) = self.inflight.get(request) else {
            return;
        };
        let identity = &entry.submission.identity;
        let began = entry.first_token.unwrap_or(entry.since);
        self.quarantine
            .record_success(identity.fingerprint, self.now);
        self.quarantine
            .record_sound(&identity.parts, began, self.now);
    }

    /// Applies another host's findings.
    pub(super) fn apply_findings(&mut self, findings: &[Finding]) {
        for finding in findings {
            self.quarantine.apply_finding(finding, self.now);
        }
    }

    /// Evaluates what is decidable by now and reports findings to the other hosts.
    pub(super) fn tick_quarantine(&mut self) {
        let hosts = self.view.fleet_count();
        let own = self.own_name();
        self.quarantine.set_hosts(&own, hosts);
        self.quarantine.evaluate(self.now);
        self.quarantine.expire(self.now);
        self.quarantine.take_verdicts();
        let due = |at: Time| self.now.since(at) >= REPEAT_INTERVAL;
        let full = self.findings_repeated_at.is_none_or(due);
        if full {
            self.findings_repeated_at = Some(self.now);
        }
        self.report_findings(full);
    }

    /// Sends findings to all other hosts, if there are any to report.
    fn report_findings(&mut self, full: bool) {
        let mut findings = self.quarantine.findings_to_report(full, self.now);
        if full {
            findings.extend(self.quarantine.bars_to_repeat(self.now));
        }
        if findings.is_empty() {
            return;
        }
        let peers: Vec<Name> = self
            .view
            .all_peers()
            .map(|card| card.name.clone())
            .collect();
        for peer in peers {
            self.send(&peer, Message::Findings(findings.clone()));
        }
    }
}
