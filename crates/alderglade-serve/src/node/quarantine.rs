//! Requests under which servers end, as this host sees them and keeps them from servers.

use super::Node;
use crate::clock;
use crate::event::{self, Record};
use alderglade_core::fleet::fingerprint::Fingerprint;
use alderglade_core::fleet::incarnation::Key;
use alderglade_core::fleet::quarantine::{Decision, Finding, Quarantine, Verdict};
use alderglade_core::time::Time;
use std::time::Duration;

/// How often a request that waits to be judged looks whether it is; some messages between hosts.
const LOOK_AGAIN: Duration = Duration::from_millis(20);

impl Node {
    /// Gives how much longer a request is sent to no server, if it is barred.
    pub fn barred_for(&self, fingerprint: Fingerprint) -> Option<Duration> {
        self.state
            .borrow()
            .quarantine
            .barred_for(fingerprint, clock::now())
    }

    /// Says whether a request is suspected: one more end under it, and it is judged.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.state.borrow().quarantine.is_suspect(fingerprint)
    }

    /// Notes that a server broke a request off, which had run there for `ran` if it had begun.
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

    /// Notes that a server has ended.
    pub fn record_server_end(&self, server: Key) {
        self.with_quarantine(|quarantine, now| quarantine.record_server_end(server, now));
        self.loads_changed.notify_one();
    }

    /// Notes that a request was answered to its end.
    pub fn record_success(&self, fingerprint: Fingerprint) {
        self.with_quarantine(|quarantine, now| quarantine.record_success(fingerprint, now));
    }

    /// Takes what another host tells of such requests.
    pub fn apply_findings(&self, finding: &[Finding]) {
        if finding.is_empty() {
            return;
        }
        self.with_quarantine(|quarantine, now| {
            finding
                .iter()
                .for_each(|finding| quarantine.apply_finding(finding, now));
        });
    }

    /// Waits while a request is about to be judged.
    pub async fn wait_for_verdict(&self, fingerprint: Fingerprint) {
        while self
            .state
            .borrow()
            .quarantine
            .is_pending(fingerprint, clock::now())
        {
            tokio::time::sleep(LOOK_AGAIN).await;
            self.with_quarantine(Quarantine::evaluate);
        }
    }

    /// Judges what is settled by now, and lets lapse what is over its time.
    pub(super) fn tick_quarantine(&self) {
        for server in self.gone_in_doubt() {
            self.record_server_end(server);
        }
        self.with_quarantine(|quarantine, now| {
            quarantine.evaluate(now);
            quarantine.expire(now);
        });
    }

    /// Lists the servers that broke something off and have gone since, or started again: who listens at their address may be
    /// another process, so that this is the only sign of their end.
    fn gone_in_doubt(&self) -> Vec<Key> {
        let state = &mut *self.state.borrow_mut();
        let in_doubt = state.quarantine.unconfirmed_servers(clock::now());
        let directory = &state.directory;
        in_doubt
            .into_iter()
            .filter(|server| !directory.knows(*server))
            .collect()
    }

    /// Waits until the store should be told what was decided on requests, and gives it.
    pub async fn next_verdicts(&self) -> Vec<Verdict> {
        loop {
            let decided = std::mem::take(&mut *self.verdicts.borrow_mut());
            if !decided.is_empty() {
                return decided;
            }
            self.verdicts_made.notified().await;
        }
    }

    /// Has something noted, and tells what was decided by it.
    pub(super) fn with_quarantine(&self, act: impl FnOnce(&mut Quarantine, Time)) {
        let mut state = self.state.borrow_mut();
        act(&mut state.quarantine, clock::now());
        let verdicts = state.quarantine.take_verdicts();
        if verdicts.is_empty() {
            return;
        }
        self.metrics.quarantined.set(state.quarantine.len() as i64);
        let watches = state.watches_store();
        drop(state);
        verdicts.iter().for_each(tell);
        let kept = |verdict: &Verdict| {
            // What is over its time is taken out of the store by those that watch it.
            verdict.first_hand || (watches && verdict.decision == Decision::Released)
        };
        self.verdicts
            .borrow_mut()
            .extend(verdicts.into_iter().filter(kept));
        self.verdicts_made.notify_one();
        self.loads_changed.notify_one();
    }
}

/// Writes what was decided on a request.
fn tell(verdict: &Verdict) {
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
