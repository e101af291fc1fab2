//! Decides operations on a shard from the records of their keys; expiry of keys and size of segments.

use super::shard::Operation;
use super::{Claim, KEY_LIFETIME, MAX_CLOCK_SKEW, Outcome, Record, Segment, Settled, Verdict};
use crate::Name;
use crate::error::Kind;
use std::collections::HashMap;

/// Approximate size in bytes of a record without its key and body.
const RECORD_BYTES: usize = 160;

/// The next step for an operation.
pub(super) enum Step {
    /// Write a record.
    Write(Record),
    /// Answer a claim.
    Answer(Verdict),
    /// The key is held by this claim, whose request has no outcome yet.
    InFlight(Claim),
    /// Confirm an outcome: nothing has to be written.
    Confirm,
}

/// Decides an operation. `known` returns the latest record of a key, if there is one.
pub(super) fn decide(operation: &Operation, known: impl Fn(&Name) -> Option<Record>) -> Step {
    match operation {
        Operation::Claim(claim) => decide_claim(claim, known(&claim.key)),
        Operation::Settle(settled) => decide_settle(settled, known(&settled.claim.key)),
    }
}

fn decide_claim(claim: &Claim, known: Option<Record>) -> Step {
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

fn decide_settle(settled: &Settled, known: Option<Record>) -> Step {
    let ended = Record {
        claim: settled.claim.clone(),
        outcome: Some(settled.outcome.clone()),
    };
    match known {
        // The claim may still arrive, also at another home of the shard. This record refuses it then.
        None => Step::Write(ended),
        Some(record) if record.claim.claimant == settled.claim.claimant => match record.outcome {
            None => Step::Write(ended),
            Some(_) => Step::Confirm,
        },
        // Another request holds the key: the claim of this one neither took effect nor will.
        Some(_) => Step::Confirm,
    }
}

/// Returns why a claim is refused for its issue time: too far in the future, or expired.
pub(super) fn check_age(claim: &Claim, wall_ms: u64) -> Option<Kind> {
    let lifetime = KEY_LIFETIME.as_millis() as u64;
    let skew = MAX_CLOCK_SKEW.as_millis() as u64;
    if claim.issued_ms > wall_ms + skew {
        return Some(Kind::BadRequest);
    }
    let expired = claim.issued_ms + lifetime < wall_ms;
    expired.then_some(Kind::KeyExpired)
}

/// Returns whether a key has expired for every host, even one whose clock is behind.
pub(super) fn is_expired(issued_ms: u64, wall_ms: u64) -> bool {
    let kept = (KEY_LIFETIME + 2 * MAX_CLOCK_SKEW).as_millis() as u64;
    issued_ms + kept < wall_ms
}

/// Removes records that a later record of the same key replaces, and records of expired keys.
pub(super) fn drop_superseded(segment: &mut Segment, wall_ms: u64) {
    let mut last = HashMap::new();
    for (position, record) in segment.records.iter().enumerate() {
        last.insert(record.claim.key.clone(), position);
    }
    let mut position = 0;
    segment.records.retain(|record| {
        let newest = last.get(&record.claim.key) == Some(&position);
        position += 1;
        newest && !is_expired(record.claim.issued_ms, wall_ms)
    });
}

/// Returns the approximate size of a segment in bytes.
pub(super) fn size(segment: &Segment) -> usize {
    segment.records.iter().map(record_size).sum()
}

/// Returns the approximate size of a record in bytes.
pub(super) fn record_size(record: &Record) -> usize {
    let body = match &record.outcome {
        Some(Outcome::Answered {
            body: Some(body), ..
        }) => body.len(),
        _ => 0,
    };
    RECORD_BYTES + record.claim.key.len() + body
}
