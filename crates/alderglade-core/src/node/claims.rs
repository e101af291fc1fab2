//! At most once: claims before sending, outcomes after, and the shards whose home this host is.

use super::submit::COME_BACK;
use super::{Action, Node};
use crate::Name;
use crate::error::Kind;
use crate::inflight::{Entry, Place, Stage};
use crate::ledger::{self, Claim, Outcome, Settled, Shard, Verdict, Written, shard_of};
use crate::message::Message;
use crate::request::{Id, Refusal};
use crate::time::Time;
use std::time::Duration;

/// A home that doesn't answer a claim within this time is asked again, or another one.
const CLAIM_AGAIN: Duration = Duration::from_millis(400);
/// A claim without an answer for this long is given up.
const CLAIM_LIMIT: Duration = Duration::from_secs(3);
/// An outcome is sent again after this long without confirmation.
const SETTLE_AGAIN: Duration = Duration::from_secs(1);
/// A stopping host gives up on confirmations after this long.
const SETTLE_LIMIT: Duration = Duration::from_secs(20);

/// Claims remembered that were given up before sending.
const MOST_DROPPED: usize = 20_000;

/// An outcome that is not confirmed yet.
#[derive(Debug)]
pub(super) struct Settling {
    settled: Settled,
    since: Time,
    sent: Time,
}

impl Node {
    fn ledger_home(&self, key: &str) -> Name {
        let shard = shard_of(key);
        self.view.fleet_home(&format!("ledger/{shard}"), self.now)
    }

    /// Asks for the request's claim to be recorded before it is sent.
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
        self.stage(id, stage);
        self.send(&home, Message::Claim(claim));
    }

    fn claim_of(&self, id: Id) -> Option<Claim> {
        self.inflight.get(id)?.submission.claim.clone()
    }

    /// Asks again while there is no answer; another host if this one is silent.
    pub(super) fn tick_claiming(&mut self, id: Id, home: &Name, sent: Time) {
        let Some(entry) = self.inflight.get(id) else {
            return;
        };
        if self.now.since(entry.staged) >= CLAIM_LIMIT {
            self.drop_claim(id, Kind::PlatformUnavailable);
            return;
        }
        if self.now.since(sent) < CLAIM_AGAIN {
            return;
        }
        let far = self
            .view
            .card(home)
            .is_some_and(|card| card.domain != self.view.own().domain);
        if far {
            self.view.note_silent(home, self.now);
        }
        self.claim_again(id);
    }

    fn claim_again(&mut self, id: Id) {
        let Some(claim) = self.claim_of(id) else {
            return;
        };
        let home = self.ledger_home(&claim.key);
        let now = self.now;
        let Some(entry) = self.inflight.get_mut(id) else {
            return;
        };
        if let Stage::Claiming {
            home: asked, sent, ..
        } = &mut entry.stage
        {
            *asked = home.clone();
            *sent = now;
        }
        self.send(&home, Message::Claim(claim));
    }

    /// Takes the answer to a claim. Only the first answer counts.
    pub(super) fn claimed(&mut self, id: Id, verdict: Verdict) {
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
            // The claim may wait at another home as well, and be recorded there later.
            Verdict::Refused(Kind::PlatformUnavailable) => {
                self.drop_claim(id, Kind::PlatformUnavailable);
            }
            Verdict::Refused(kind) => {
                self.remember_dropped(id);
                self.release_place(id, place);
                self.finish(id, Some(Refusal::new(kind, COME_BACK)));
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

    /// Gives a claim up that may yet be recorded: it is marked as not sent.
    fn drop_claim(&mut self, id: Id, kind: Kind) {
        let Some(entry) = self.inflight.get(id) else {
            return;
        };
        if let Stage::Claiming { place, .. } = entry.stage.clone() {
            self.release_place(id, place);
        }
        self.settle(id, Outcome::NotSent);
        self.finish(id, Some(Refusal::new(kind, COME_BACK)));
    }

    /// Has the outcome of a claimed request recorded, and sends it until that is confirmed.
    pub(super) fn settle(&mut self, id: Id, outcome: Outcome) {
        let Some(claim) = self.inflight.get(id).and_then(claim_sent) else {
            return;
        };
        if outcome == Outcome::NotSent {
            self.remember_dropped(id);
        }
        let settled = Settled { claim, outcome };
        self.send_settled(settled);
    }

    fn send_settled(&mut self, settled: Settled) {
        let settling = Settling {
            settled: settled.clone(),
            since: self.now,
            sent: self.now,
        };
        self.settling.insert(settled.claim.claimant, settling);
        let home = self.ledger_home(&settled.claim.key);
        self.send(&home, Message::Settle(settled));
    }

    /// Remembers that a claim was given up before its request was sent: a copy of it may still be
    /// on its way to some home and be recorded later.
    fn remember_dropped(&mut self, id: Id) {
        let Some(claim) = self.claim_of(id) else {
            return;
        };
        let life = ledger::KEY_LIFETIME;
        if self.dropped.len() >= MOST_DROPPED {
            self.dropped.retain(|_, at| self.now.since(*at) < life);
        }
        if self.dropped.len() < MOST_DROPPED {
            self.dropped.insert(claim.claimant, self.now);
        }
    }

    /// Says of a claim that holds a key that its request was never sent, where that is certain.
    pub(super) fn inquired(&mut self, claim: &Claim) {
        if self.dropped.contains_key(&claim.claimant) {
            let settled = Settled {
                claim: claim.clone(),
                outcome: Outcome::NotSent,
            };
            self.send_settled(settled);
        }
    }

    /// Takes the confirmation of an outcome.
    pub(super) fn confirmed(&mut self, id: Id) {
        self.settling.remove(&id);
    }

    fn tick_settling(&mut self) {
        let limit = if self.is_draining() {
            SETTLE_LIMIT
        } else {
            ledger::KEY_LIFETIME
        };
        let now = self.now;
        self.settling
            .retain(|_, settling| now.since(settling.since) < limit);
        let mut due = Vec::new();
        for settling in self.settling.values_mut() {
            if now.since(settling.sent) >= SETTLE_AGAIN {
                settling.sent = now;
                due.push(settling.settled.clone());
            }
        }
        for settled in due {
            let home = self.ledger_home(&settled.claim.key);
            self.send(&home, Message::Settle(settled));
        }
    }

    /// Takes a claim, as the home of its shard.
    pub(super) fn take_claim(&mut self, from: &Name, claim: Claim) {
        let shard = shard_of(&claim.key);
        self.with_shard(shard, |shard, now, wall| {
            shard.claim(from, claim, now, wall)
        });
    }

    /// Takes an outcome, as the home of its shard.
    pub(super) fn take_settle(&mut self, from: &Name, settled: Settled) {
        let shard = shard_of(&settled.claim.key);
        self.with_shard(shard, |shard, now, wall| {
            shard.settle(from, settled, now, wall)
        });
    }

    pub(super) fn segments(&mut self, shard: u32, segments: Option<Vec<ledger::Versioned>>) {
        self.with_shard(shard, |shard, now, wall| shard.read(segments, now, wall));
    }

    pub(super) fn segment_written(&mut self, shard: u32, written: Written) {
        self.with_shard(shard, |shard, now, wall| shard.wrote(written, now, wall));
    }

    pub(super) fn segment_cleared(&mut self, shard: u32, number: u64, version: u64) {
        self.with_shard(shard, |shard, _, _| shard.cleared(number, version));
    }

    pub(super) fn tick_claims(&mut self) {
        let numbers: Vec<u32> = self.shards.keys().copied().collect();
        for number in numbers {
            self.with_shard(number, |shard, now, wall| shard.tick(now, wall));
        }
        self.tick_settling();
        let (view, now) = (&self.view, self.now);
        self.shards.retain(|number, shard| {
            let home = view.fleet_home(&format!("ledger/{number}"), now);
            !shard.is_idle() || home == view.own().name
        });
    }

    fn with_shard(&mut self, number: u32, change: impl FnOnce(&mut Shard, Time, u64)) {
        let (now, wall_ms) = (self.now, self.wall_ms);
        let shard = self
            .shards
            .entry(number)
            .or_insert_with(|| Shard::new(number));
        change(shard, now, wall_ms);
        for action in shard.take_actions() {
            self.carry_out_ledger(action);
        }
    }

    fn carry_out_ledger(&mut self, action: ledger::Action) {
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

/// Gives the claim of a request that may have been recorded.
fn claim_sent(entry: &Entry) -> Option<Claim> {
    let asked = entry.sent || matches!(entry.stage, Stage::Claiming { .. });
    entry.submission.claim.clone().filter(|_| asked)
}
