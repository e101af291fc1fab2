//! At most once: a claim is recorded in the platform before a non-repeatable request is sent.
//!
//! Keys are spread over shards. A shard is a row of segments in the platform's object API; only
//! the last one is open, and every change of it is conditional on its version. Claims that come
//! together are written together, so writes a second are bounded whatever the request rate.
//!
//! Segments live in a ring of objects that are emptied and used again, never deleted: a host that
//! slept for long and still believes an old segment to be open states a version that is gone.
//!
//! Safety rests on the conditional write alone. Two homes of a shard may exist: one write wins,
//! the other home reads again and finds the key. A writer that lost the answer to its write also
//! reads again: the record names its claimant, so it sees whether its own write took effect.

mod judge;
mod shard;

pub use shard::Shard;

use crate::Name;
use crate::error::Kind;
use crate::request::Id;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Shards of the ledger.
pub const SHARDS: u32 = 16;
/// Writes of one shard come at least this far apart.
pub const COMMIT_EVERY: Duration = Duration::from_millis(50);
/// A segment with more bytes than this is sealed with its next write.
pub const SEGMENT_BYTES: usize = 64 * 1_024;
/// Objects of one shard; segment `n` lives in object `n % RING`.
pub const RING: u64 = 256;
/// A key is kept this long after its issue time.
pub const KEY_LIFE: Duration = Duration::from_secs(600);
/// Clocks of callers and hosts may differ by this much.
pub const SKEW: Duration = Duration::from_secs(60);
/// The most bytes of an answer that are kept for repeating it.
pub const KEPT_BODY: usize = 2_048;

/// A wish to run a non-repeatable request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// The key, workspace included.
    pub key: Name,
    /// A digest of what is asked, so that a key isn't used for two things.
    pub body: u64,
    /// When the caller issued the key, in milliseconds of the Unix epoch.
    pub issued_ms: u64,
    /// The request that wants to run.
    pub claimant: Id,
    /// The entry host that has the request in hand.
    pub host: Name,
}

/// How a claimed request ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// It was not sent after all: the key may be claimed again.
    NotSent,
    /// It was answered.
    Answered {
        /// The status of the answer.
        status: u16,
        /// The answer, if it was short enough to keep.
        body: Option<String>,
    },
    /// Contact was lost; nobody knows.
    Unknown,
}

/// Says how a claimed request ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Settled {
    /// The claim.
    pub claim: Claim,
    /// How it ended.
    pub outcome: Outcome,
}

/// The answer to a claim.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    /// It is recorded: send the request, once.
    Granted,
    /// The first request with this key ended so.
    Replay(Outcome),
    /// No; nothing is sent.
    Refused(Kind),
}

/// One line of a segment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The claim.
    pub claim: Claim,
    /// How it ended, if it has.
    pub outcome: Option<Outcome>,
}

/// The content of one object.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Segment {
    /// Counts the shard's segments.
    pub number: u64,
    /// Whether nothing may be added any more.
    pub sealed: bool,
    /// The records, a later one of a key replacing an earlier.
    pub records: Vec<Record>,
}

/// A segment as read, with its version in the platform.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Versioned {
    /// The content.
    pub segment: Segment,
    /// The version; a write states it.
    pub version: u64,
}

/// What a shard wants from the platform.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read the shard's segments.
    Read {
        /// The shard.
        shard: u32,
    },
    /// Write a segment, if its version is still this; `0` means it must not exist yet.
    Write {
        /// The shard.
        shard: u32,
        /// The version that it must have.
        version: u64,
        /// The new content.
        segment: Segment,
    },
    /// Empty a sealed segment whose keys are all past their life.
    Clear {
        /// The shard.
        shard: u32,
        /// The version that it must have.
        version: u64,
        /// The emptied content.
        segment: Segment,
    },
    /// Answer a claim.
    Answer {
        /// The entry host that claimed.
        to: Name,
        /// The request.
        request: Id,
        /// The answer.
        verdict: Verdict,
    },
    /// Ask the host that holds a key whether its request was ever sent.
    Inquire {
        /// The claim that holds the key.
        claim: Claim,
    },
    /// Confirm that an outcome is recorded.
    Confirm {
        /// The entry host that settled.
        to: Name,
        /// The request.
        request: Id,
    },
}

/// How a write ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Written {
    /// It took effect; the new version.
    Done(u64),
    /// Another write came first.
    Conflict,
    /// No answer: it may have taken effect.
    Unknown,
}

/// Gives the object of the ring that a segment lives in.
pub fn slot_of(number: u64) -> u64 {
    number % RING
}

/// Gives the shard that a key belongs to.
pub fn shard_of(key: &str) -> u32 {
    (xxh3_64(key.as_bytes()) % u64::from(SHARDS)) as u32
}
