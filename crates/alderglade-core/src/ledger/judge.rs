//! Deciding one wish by the record of its key, and how old keys and segments are.

use super::shard::Wish;
use super::{Claim, KEY_LIFE, Outcome, Record, SKEW, Segment, Settled, Verdict};
use crate::Name;
use crate::error::Kind;
use std::collections::HashMap;

/// Bytes of a record beside its texts, about.
const RECORD_BYTES: usize = 160;

/// What a wish comes to.
pub(super) enum Step {
    Write(Record),
    Answer(Verdict),
    InFlight(Claim),
    Confirm,
}

/// Decides one wish by the record of its key, if there is one.
pub(super) fn judge(wish: &Wish, known: impl Fn(&Name) -> Option<Record>) -> Step {
    match wish {
        Wish::Claim(claim) => judge_claim(claim, known(&claim.key)),
        Wish::Settle(settled) => judge_settled(settled, known(&settled.claim.key)),
    }
}

fn judge_claim(claim: &Claim, known: Option<Record>) -> Step {
    let fresh = Record {
        claim: claim.clone(),
        outcome: None,
    };
    let Some(record) = known else {
        return Step::Write(fresh);
    };
    if record.claim.claimant == claim.claimant && record.outcome.is_none() {
        return Step::Answer(Verdict::Granted);
    }
    if record.claim.body != claim.body {
        return Step::Answer(Verdict::Refused(Kind::KeyReused));
    }
    match record.outcome {
        None => Step::InFlight(record.claim),
        Some(Outcome::NotSent) if record.claim.claimant == claim.claimant => {
            Step::Answer(Verdict::Refused(Kind::ExpiredWaiting))
        }
        Some(Outcome::NotSent) => Step::Write(fresh),
        Some(outcome) => Step::Answer(Verdict::Replay(outcome)),
    }
}

fn judge_settled(settled: &Settled, known: Option<Record>) -> Step {
    let ended = Record {
        claim: settled.claim.clone(),
        outcome: Some(settled.outcome.clone()),
    };
    match known {
        // The claim may yet arrive at another home of the shard: what is recorded now refuses it.
        None => Step::Write(ended),
        Some(record) if record.claim.claimant == settled.claim.claimant => match record.outcome {
            None => Step::Write(ended),
            Some(_) => Step::Confirm,
        },
        // Another request holds the key: this one's claim never took effect, nor will it.
        Some(_) => Step::Confirm,
    }
}

pub(super) fn check_age(claim: &Claim, wall_ms: u64) -> Option<Kind> {
    let life = KEY_LIFE.as_millis() as u64;
    let skew = SKEW.as_millis() as u64;
    if claim.issued_ms > wall_ms + skew {
        return Some(Kind::BadRequest);
    }
    let old = claim.issued_ms + life < wall_ms;
    old.then_some(Kind::KeyExpired)
}

/// Past its life for every host, even one whose clock is behind.
pub(super) fn is_past(issued_ms: u64, wall_ms: u64) -> bool {
    let kept = (KEY_LIFE + 2 * SKEW).as_millis() as u64;
    issued_ms + kept < wall_ms
}

/// Drops records that a later one of the same key replaces, and keys past their life.
pub(super) fn drop_superseded(segment: &mut Segment, wall_ms: u64) {
    let mut last = HashMap::new();
    for (position, record) in segment.records.iter().enumerate() {
        last.insert(record.claim.key.clone(), position);
    }
    let mut position = 0;
    segment.records.retain(|record| {
        let newest = last.get(&record.claim.key) == Some(&position);
        position += 1;
        newest && !is_past(record.claim.issued_ms, wall_ms)
    });
}

pub(super) fn size(segment: &Segment) -> usize {
    segment.records.iter().map(record_size).sum()
}

pub(super) fn record_size(record: &Record) -> usize {
    let body = match &record.outcome {
        Some(Outcome::Answered {
            body: Some(body), ..
        }) => body.len(),
        _ => 0,
    };
    RECORD_BYTES + record.claim.key.len() + body
}
