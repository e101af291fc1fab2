//! Requests under which servers end: what this host observes, and how it keeps such requests from servers.

use super::Node;
use crate::clock;
use crate::event::{self, Record};
use alderglade_core::fleet::fingerprint::Fingerprint;
use alderglade_core::fleet::incarnation::Key;
use alderglade_core::fleet::quarantine::{Decision, Finding, Quarantine, Verdict};
use alderglade_core::time::Time;
use std::time::Duration;

/// How often a pending request checks for a verdict; several messages between hosts.
const VERDICT_POLL_INTERVAL: Duration = Duration::from_millis(20);

impl Node {
    /// Returns the remaining time for which a request is sent to no server, if it is barred.
    pub fn barred_for(&self, fingerprint: Fingerprint) -> Option<Duration> {
        self.state
            .borrow()
            .quarantine
            .barred_for(fingerprint, clock::now())
    }

    /// Returns whether a request is suspect: after one more server end under it, it is evaluated.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.state.borrow().quarantine.is_suspect(fingerprint)
    }

    /// Records that a server interrupted a request, which had run there for `ran` if it had begun.
    pub fn record_interruption(
        &self,
        fingerprint: Fingerprint,
        server: Key,
        ran: Option<Duration>,
    ) {
        self.with_quarantine(|quarantine, now| {
            quarantine.record_interruption(fingerprint, server, ran, now)
        });
    }

    /// Records that a server has ended.
    pub fn record_server_end(&self, server: Key) {
        self.with_quarantine(|quarantine, now| quarantine.record_server_end(server, now));
        self.notice_due.notify_one();
    }

    /// Records that a request was answered completely.
    pub fn record_success(&self, fingerprint: Fingerprint) {
        self.with_quarantine(|quarantine, now| quarantine.record_success(fingerprint, now));
    }

    /// Applies another host's findings about such requests.
    pub fn apply_findings(&self, findings: &[Finding]) {
        if findings.is_empty() {
            return;
        }
        self.with_quarantine(|quarantine, now| {
            findings
                .iter()
                .for_each(|finding| quarantine.apply_finding(finding, now));
        });
    }

    /// Waits while the verdict on a request is pending.
    pub async fn wait_for_verdict(&self, fingerprint: Fingerprint) {
        while self
            .state
            .borrow()
            .quarantine
            .is_pending(fingerprint, clock::now())
        {
            tokio::time::sleep(VERDICT_POLL_INTERVAL).await;
            self.with_quarantine(Quarantine::evaluate);
        }
    }

    /// Evaluates requests that are decidable by now and removes expired state.
    pub(super) fn tick_quarantine(&self) {
        for server in self.unconfirmed_departures() {
            self.record_server_end(server);
        }
        self.with_quarantine(|quarantine, now| {
            quarantine.evaluate(now);
            quarantine.expire(now);
        });
    }

    /// Returns the servers that interrupted a request and have since been removed or restarted. Another process may
    /// listen at their address, so this is the only sign of their end.
    fn unconfirmed_departures(&self) -> Vec<Key> {
        let state = &mut *self.state.borrow_mut();
        let unconfirmed = state.quarantine.unconfirmed_servers(clock::now());
        let directory = &state.directory;
        unconfirmed
            .into_iter()
            .filter(|server| !directory.knows(*server))
            .collect()
    }

    /// Waits for verdicts that the store should receive and returns them.
    pub async fn next_verdicts(&self) -> Vec<Verdict> {
        loop {
            let verdicts = std::mem::take(&mut *self.verdicts.borrow_mut());
            if !verdicts.is_empty() {
                return verdicts;
            }
            self.verdicts_ready.notified().await;
        }
    }

    /// Applies a change to the quarantine state, and logs and publishes the verdicts that result.
    pub(super) fn with_quarantine(&self, apply: impl FnOnce(&mut Quarantine, Time)) {
        let mut state = self.state.borrow_mut();
        apply(&mut state.quarantine, clock::now());
        let verdicts = state.quarantine.take_verdicts();
        if verdicts.is_empty() {
            return;
        }
        self.metrics.quarantined.set(state.quarantine.len() as i64);
        let watches_store = state.watches_store();
        drop(state);
        verdicts.iter().for_each(log_verdict);
        let should_store = |verdict: &Verdict| {
            // The hosts that watch the store remove expired entries from it.
            verdict.first_hand || (watches_store && verdict.decision == Decision::Released)
        };
        self.verdicts
            .borrow_mut()
            .extend(verdicts.into_iter().filter(should_store));
        self.verdicts_ready.notify_one();
        self.notice_due.notify_one();
    }
}

/// Logs the verdict on a request.
fn log_verdict(verdict: &Verdict) {
    let fingerprint = verdict.fingerprint;
    event::write(&match verdict.decision {
        Decision::Barred(servers) => Record::Quarantined {
            asked: fingerprint,
            servers,
            first_hand: verdict.first_hand,
        },
        Decision::Released => Record::QuarantineReleased { asked: fingerprint },
    });
}
