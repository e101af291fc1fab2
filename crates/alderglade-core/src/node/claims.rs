//! At-most-once execution of non-repeatable requests.
//!
//! A request's claim is recorded in the ledger before the request is sent, and its outcome is recorded
//! afterwards. This module is the client of the ledger, and it also runs the shards whose home this
//! host is.

use super::submit::DEFAULT_RETRY_AFTER;
use super::{Action, Node};
use crate::Name;
use crate::error::Kind;
use crate::inflight::{Entry, Place, Stage};
use crate::ledger::{self, Claim, Outcome, Settled, Shard, Verdict, Written, shard_of};
use crate::message::Message;
use crate::request::{Id, Refusal};
use crate::time::Time;
use std::time::Duration;

/// A claim without an answer is sent again after this time, to the current home of the shard.
const CLAIM_RESEND_INTERVAL: Duration = Duration::from_millis(400);
/// A request whose claim is not answered within this time is refused.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
/// An outcome that is not confirmed within this time is sent again.
const OUTCOME_RESEND_INTERVAL: Duration = Duration::from_secs(1);
/// A draining host waits at most this long for the confirmation of an outcome.
const DRAIN_CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum number of claims that are remembered as dropped before their request was sent.
const MAX_DROPPED_CLAIMS: usize = 20_000;

/// An outcome whose record the home of the shard has not confirmed yet.
#[derive(Debug)]
pub(super) struct PendingOutcome {
    settled: Settled,
    created_at: Time,
    sent_at: Time,
}

impl Node {
    fn ledger_home(&self, key: &str) -> Name {
        let shard = shard_of(key);
        self.view.fleet_home(&format!("ledger/{shard}"), self.now)
    }

    /// Sends the claim of a placed request to the ledger. The request is sent once the claim is granted.
    pub(super) fn start_claim(&mut self, id: Id, place: Place) {
        let Some(claim) = self.claim_of(id) else {
            return;
        };
        let home = self.ledger_home(&claim.key);
        let stage = Stage::Claiming {
            home: home.clone(),
            sent: self.now,
            place,
        };
        self.set_stage(id, stage);
        self.send(&home, Message::Claim(claim));
    }

    fn claim_of(&self, id: Id) -> Option<Claim> {
        self.inflight.get(id)?.submission.claim.clone()
    }

    /// Sends an unanswered claim again, or refuses the request after [`CLAIM_TIMEOUT`].
    ///
    /// A home in another domain is first marked as silent, so that the claim goes to another host.
    pub(super) fn tick_claiming(&mut self, id: Id, home: &Name, sent: Time) {
        let Some(entry) = self.inflight.get(id) else {
            return;
        };
        if self.now.since(entry.stage_since) >= CLAIM_TIMEOUT {
            self.drop_claim(id, Kind::PlatformUnavailable);
            return;
        }
        if self.now.since(sent) < CLAIM_RESEND_INTERVAL {
            return;
        }
        let other_domain = self
            .view
            .card(home)
            .is_some_and(|card| card.domain != self.view.own().domain);
        if other_domain {
            self.view.mark_silent(home, self.now);
        }
        self.resend_claim(id);
    }

    fn resend_claim(&mut self, id: Id) {
        let Some(claim) = self.claim_of(id) else {
            return;
        };
        let home = self.ledger_home(&claim.key);
        let now = self.now;
        let Some(entry) = self.inflight.get_mut(id) else {
            return;
        };
        if let Stage::Claiming {
            home: current,
            sent,
            ..
        } = &mut entry.stage
        {
            *current = home.clone();
            *sent = now;
        }
        self.send(&home, Message::Claim(claim));
    }

    /// Handles the answer to a claim. Only the first answer counts.
    pub(super) fn handle_verdict(&mut self, id: Id, verdict: Verdict) {
        let Some(entry) = self.inflight.get(id) else {
            return;
        };
        let Stage::Claiming { place, .. } = entry.stage.clone() else {
            return;
        };
        match verdict {
            Verdict::Granted if self.now < entry.deadline => self.start(id, place),
            Verdict::Granted => self.drop_claim(id, Kind::ExpiredWaiting),
            Verdict::Replay(outcome) => self.replay(id, place, outcome),
            // Another home may also hold a copy of the claim and record it later.
            Verdict::Refused(Kind::PlatformUnavailable) => {
                self.drop_claim(id, Kind::PlatformUnavailable);
            }
            Verdict::Refused(kind) => {
                self.record_dropped_claim(id);
                self.release_place(id, place);
                self.finish(id, Some(Refusal::new(kind, DEFAULT_RETRY_AFTER)));
            }
        }
    }

    fn replay(&mut self, id: Id, place: Place, outcome: Outcome) {
        self.release_place(id, place);
        if self.inflight.remove(id).is_some() {
            self.actions.push(Action::Replay {
                request: id,
                outcome,
            });
        }
    }

    /// Drops a claim and refuses its request with `kind`.
    ///
    /// The ledger may still record the claim, so the outcome [`Outcome::NotSent`] is sent to release
    /// its key.
    fn drop_claim(&mut self, id: Id, kind: Kind) {
        let Some(entry) = self.inflight.get(id) else {
            return;
        };
        if let Stage::Claiming { place, .. } = entry.stage.clone() {
            self.release_place(id, place);
        }
        self.record_outcome(id, Outcome::NotSent);
        self.finish(id, Some(Refusal::new(kind, DEFAULT_RETRY_AFTER)));
    }

    /// Sends the outcome of a claimed request to the ledger, repeatedly until it is confirmed.
    ///
    /// Does nothing for a request without a claim, or whose claim was never sent.
    pub(super) fn record_outcome(&mut self, id: Id, outcome: Outcome) {
        let Some(claim) = self.inflight.get(id).and_then(possibly_recorded_claim) else {
            return;
        };
        if outcome == Outcome::NotSent {
            self.record_dropped_claim(id);
        }
        let settled = Settled { claim, outcome };
        self.send_outcome(settled);
    }

    fn send_outcome(&mut self, settled: Settled) {
        let pending = PendingOutcome {
            settled: settled.clone(),
            created_at: self.now,
            sent_at: self.now,
        };
        self.pending_outcomes
            .insert(settled.claim.claimant, pending);
        let home = self.ledger_home(&settled.claim.key);
        self.send(&home, Message::Settle(settled));
    }

    /// Remembers that a claim was dropped before its request was sent.
    ///
    /// A copy of the claim may still be in transit to some home and be recorded later. That home then
    /// inquires whether the request was sent.
    fn record_dropped_claim(&mut self, id: Id) {
        let Some(claim) = self.claim_of(id) else {
            return;
        };
        let lifetime = ledger::KEY_LIFETIME;
        if self.dropped.len() >= MAX_DROPPED_CLAIMS {
            self.dropped.retain(|_, at| self.now.since(*at) < lifetime);
        }
        if self.dropped.len() < MAX_DROPPED_CLAIMS {
            self.dropped.insert(claim.claimant, self.now);
        }
    }

    /// Answers the inquiry of a home whether the request of a claim that holds a key was sent.
    ///
    /// Replies only if it is certain that the request was never sent.
    pub(super) fn handle_inquiry(&mut self, claim: &Claim) {
        if self.dropped.contains_key(&claim.claimant) {
            let settled = Settled {
                claim: claim.clone(),
                outcome: Outcome::NotSent,
            };
            self.send_outcome(settled);
        }
    }

    /// Handles the confirmation that an outcome is recorded.
    pub(super) fn handle_confirmation(&mut self, id: Id) {
        self.pending_outcomes.remove(&id);
    }

    fn tick_outcomes(&mut self) {
        let limit = if self.is_draining() {
            DRAIN_CONFIRMATION_TIMEOUT
        } else {
            ledger::KEY_LIFETIME
        };
        let now = self.now;
        self.pending_outcomes
            .retain(|_, pending| now.since(pending.created_at) < limit);
        let mut due = Vec::new();
        for pending in self.pending_outcomes.values_mut() {
            if now.since(pending.sent_at) >= OUTCOME_RESEND_INTERVAL {
                pending.sent_at = now;
                due.push(pending.settled.clone());
            }
        }
        for settled in due {
            let home = self.ledger_home(&settled.claim.key);
            self.send(&home, Message::Settle(settled));
        }
    }

    /// Handles a claim, as the home of its shard.
    pub(super) fn handle_claim(&mut self, from: &Name, claim: Claim) {
        let shard = shard_of(&claim.key);
        self.with_shard(shard, |shard, now, wall_ms| {
            shard.claim(from, claim, now, wall_ms)
        });
    }

    /// Handles an outcome, as the home of its shard.
    pub(super) fn handle_settle(&mut self, from: &Name, settled: Settled) {
        let shard = shard_of(&settled.claim.key);
        self.with_shard(shard, |shard, now, wall_ms| {
            shard.settle(from, settled, now, wall_ms)
        });
    }

    pub(super) fn handle_segments(
        &mut self,
        shard: u32,
        segments: Option<Vec<ledger::VersionedSegment>>,
    ) {
        self.with_shard(shard, |shard, now, wall_ms| {
            shard.handle_read(segments, now, wall_ms)
        });
    }

    pub(super) fn handle_segment_written(&mut self, shard: u32, written: Written) {
        self.with_shard(shard, |shard, now, wall_ms| {
            shard.handle_write_result(written, now, wall_ms)
        });
    }

    pub(super) fn handle_segment_cleared(&mut self, shard: u32, number: u64, version: u64) {
        self.with_shard(shard, |shard, _, _| shard.handle_cleared(number, version));
    }

    pub(super) fn tick_claims(&mut self) {
        let numbers: Vec<u32> = self.shards.keys().copied().collect();
        for number in numbers {
            self.with_shard(number, |shard, now, wall_ms| shard.tick(now, wall_ms));
        }
        self.tick_outcomes();
        // A shard that has moved to another home is dropped once no operation waits in it.
        let (view, now) = (&self.view, self.now);
        self.shards.retain(|number, shard| {
            let home = view.fleet_home(&format!("ledger/{number}"), now);
            !shard.is_idle() || home == view.own().name
        });
    }

    /// Applies a change to a shard, which is created if needed, and performs the actions that result.
    fn with_shard(&mut self, number: u32, change: impl FnOnce(&mut Shard, Time, u64)) {
        let (now, wall_ms) = (self.now, self.wall_ms);
        let shard = self
            .shards
            .entry(number)
            .or_insert_with(|| Shard::new(number));
        change(shard, now, wall_ms);
        for action in shard.take_actions() {
            self.perform_ledger_action(action);
        }
    }

    fn perform_ledger_action(&mut self, action: ledger::Action) {
        match action {
            ledger::Action::Answer {
                to,
                request,
                verdict,
            } => self.send(&to, Message::Claimed { request, verdict }),
            ledger::Action::Inquire { claim } => {
                let host = claim.host.clone();
                self.send(&host, Message::Inquire(claim));
            }
            ledger::Action::Confirm { to, request } => {
                self.send(&to, Message::Settled { request });
            }
            action => self.actions.push(Action::Ledger(action)),
        }
    }
}

/// Returns the claim of a request if it was sent to the ledger and so may have been recorded.
fn possibly_recorded_claim(entry: &Entry) -> Option<Claim> {
    let claim_sent = entry.sent || matches!(entry.stage, Stage::Claiming { .. });
    entry.submission.claim.clone().filter(|_| claim_sent)
}
