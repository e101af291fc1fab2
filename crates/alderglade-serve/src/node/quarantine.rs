//! Requests and parts of prompts under which servers end: what this host observes, and how it keeps them from servers.

use super::Node;
use crate::clock;
use crate::event::{self, PartBar, Record};
use alderglade_core::fleet::fingerprint::Fingerprint;
use alderglade_core::fleet::incarnation::Key;
use alderglade_core::fleet::part::Part;
use alderglade_core::fleet::quarantine::{Decision, Finding, Identity, Quarantine, Verdict};
use alderglade_core::request::Refusal;
use alderglade_core::time::Time;
use std::time::Duration;

/// The reason that is logged for the refusal of a request because of a part of its prompt.
const PART_REASON: &str = "part";
/// How often a pending request checks for a verdict; several messages between hosts.
const VERDICT_POLL_INTERVAL: Duration = Duration::from_millis(20);

impl Node {
    /// Returns the remaining time for which a request or part is sent to no server, if it is barred.
    pub fn barred_for(&self, fingerprint: Fingerprint) -> Option<Duration> {
        self.state
            .borrow()
            .quarantine
            .barred_for(fingerprint, clock::now())
    }

    /// Returns the barred part of a prompt and how much longer it is barred, if there is one.
    pub fn barred_part(&self, parts: &[Part]) -> Option<(Part, Duration)> {
        self.state
            .borrow()
            .quarantine
            .barred_part(parts, clock::now())
    }

    /// Returns the parts without which a part is not barred.
    pub fn bar_companions(&self, fingerprint: Fingerprint) -> Vec<Part> {
        let state = self.state.borrow();
        let companions = state.quarantine.companions(fingerprint).iter();
        companions
            .filter_map(|companion| companion.part())
            .collect()
    }

    /// Checks that neither a request nor a part of its prompt is barred. `refuse` builds the refusal of a barred request, given
    /// how much longer it is barred.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the request is barred.
    pub fn check_bars(
        &self,
        request: &Identity,
        refuse: impl FnOnce(Duration) -> Refusal,
    ) -> Result<(), Refusal> {
        if let Some(left) = self.barred_for(request.fingerprint) {
            return Err(refuse(left));
        }
        match self.barred_part(&request.parts) {
            Some((_, left)) => Err(refuse(left).with_reason(PART_REASON)),
            None => Ok(()),
        }
    }

    /// Returns whether a request or a part of its prompt is suspect: after one more server end under it, it is evaluated.
    pub fn is_suspect(&self, request: &Identity) -> bool {
        self.state.borrow().quarantine.is_any_suspect(request)
    }

    /// Records that a server interrupted a request, which had run there for `ran` if it had begun.
    pub fn record_interruption(&self, request: Identity, server: Key, ran: Option<Duration>) {
        self.with_quarantine(|quarantine, now| {
            quarantine.record_interruption(request, server, ran, now)
        });
    }

    /// Records that an answer to a prompt with these parts began at a time and has not crashed its server.
    pub fn record_sound(&self, parts: &[Part], began: Time) {
        if !parts.is_empty() {
            self.with_quarantine(|quarantine, now| quarantine.record_sound(parts, began, now));
            self.schedule_report();
        }
    }

    /// Records that a server has ended.
    pub fn record_server_end(&self, server: Key) {
        self.with_quarantine(|quarantine, now| quarantine.record_server_end(server, now));
        self.notice_due.notify_one();
        self.schedule_report();
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
        self.schedule_report();
    }

    /// Returns how long it takes until a finding is to be reported for the first time, if there is one.
    pub fn next_report_in(&self) -> Option<Duration> {
        self.state.borrow().quarantine.next_report_in(clock::now())
    }

    /// Wakes the task that reports findings after a delay, if there are any.
    fn schedule_report(&self) {
        if self.next_report_in().is_some() {
            self.report_scheduled.notify_one();
        }
    }

    /// Waits while the verdict on a request is pending.
    pub async fn wait_for_verdict(&self, request: &Identity) {
        while self
            .state
            .borrow()
            .quarantine
            .is_any_pending(request, clock::now())
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
        let hosts = self.state.borrow().loads.host_count();
        self.with_quarantine(|quarantine, now| {
            quarantine.set_hosts(&self.settings.host, hosts);
            quarantine.evaluate(now);
            quarantine.expire(now);
        });
    }

    /// Returns the servers that interrupted a request and have since been removed or restarted, or whose address another server
    /// has taken over. Another process may listen at their address, so these are the only signs of their end.
    fn unconfirmed_departures(&self) -> Vec<Key> {
        let state = &mut *self.state.borrow_mut();
        let unconfirmed = state.quarantine.unconfirmed_servers(clock::now());
        let directory = &state.directory;
        unconfirmed
            .into_iter()
            .filter(|server| !directory.knows(*server) || directory.is_replaced(*server))
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
        verdicts
            .iter()
            .for_each(|verdict| self.log_verdict(verdict));
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

    /// Logs the verdict on a request or part.
    fn log_verdict(&self, verdict: &Verdict) {
        let asked = verdict.fingerprint;
        event::write(&match verdict.decision {
            Decision::Barred(servers) => Record::Quarantined {
                asked,
                servers,
                first_hand: verdict.first_hand,
                part: asked.part().map(|part| PartBar {
                    part,
                    with: self.bar_companions(asked),
                    left_s: self.barred_for(asked).unwrap_or_default().as_secs(),
                }),
            },
            Decision::Released => Record::QuarantineReleased {
                asked,
                part: asked.part(),
            },
        });
    }
}
