//! The ledger makes non-repeatable requests run at most once: a claim is recorded in the platform
//! before the request is sent.
//!
//! Keys are distributed over shards. A shard is a sequence of segments in the platform's object API.
//! Only the last segment is open, and every write to it is conditional on its version. Claims that
//! arrive together are written together, so the number of writes per second is bounded whatever the
//! request rate.
//!
//! Segments are stored in a ring of objects that are emptied and reused, never deleted. A host that
//! was suspended for long and still considers an old segment open then writes with an outdated
//! version, and the write fails.
//!
//! Safety depends only on the conditional write. A shard may have two homes at the same time: one
//! write wins, the other home reads the segments again and finds the key. A writer that did not
//! receive the result of its write also reads again. Each record names its claimant, so the writer
//! sees whether its own write took effect.

mod decide;
mod shard;

pub use shard::Shard;

use crate::Name;
use crate::error::Kind;
use crate::request::Id;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Number of shards of the ledger.
pub const SHARD_COUNT: u32 = 16;
/// Minimum interval between two writes of a shard.
pub const COMMIT_INTERVAL: Duration = Duration::from_millis(50);
/// A segment is sealed by the write that makes it larger than this many bytes.
pub const SEAL_THRESHOLD_BYTES: usize = 64 * 1_024;
/// Number of objects of a shard; segment `n` is stored in object `n % RING_SLOTS`.
pub const RING_SLOTS: u64 = 256;
/// A key is valid for this long after its issue time.
pub const KEY_LIFETIME: Duration = Duration::from_secs(600);
/// Maximum difference between the clocks of callers and hosts.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(60);
/// Maximum size in bytes of an answer that is kept for replays.
pub const MAX_KEPT_BODY_BYTES: usize = 2_048;

/// A request to record that a non-repeatable request is about to run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// The idempotency key, including the workspace.
    pub key: Name,
    /// A fingerprint of the request, to detect a key that is used for two different requests.
    pub body: u64,
    /// When the caller issued the key, in milliseconds since the Unix epoch.
    pub issued_ms: u64,
    /// The request that claims the key.
    pub claimant: Id,
    /// The entry host that handles the request.
    pub host: Name,
}

/// How a claimed request ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The request was not sent; another request may claim the key.
    NotSent,
    /// The request was answered.
    Answered {
        /// The HTTP status of the answer.
        status: u16,
        /// The body of the answer, if it has at most [`MAX_KEPT_BODY_BYTES`] bytes.
        body: Option<String>,
    },
    /// It is unknown whether the request ran: the connection to the backend was lost, the time ran
    /// out, or the caller left.
    Unknown,
}

/// A request to record the outcome of a claimed request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Settled {
    /// The claim.
    pub claim: Claim,
    /// The outcome of its request.
    pub outcome: Outcome,
}

/// The answer to a claim.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    /// The claim is recorded: the request may be sent once.
    Granted,
    /// An earlier request with this key had this outcome.
    Replay(Outcome),
    /// The claim is refused: the request must not be sent.
    Refused(Kind),
}

/// One entry of a segment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The claim.
    pub claim: Claim,
    /// The outcome of its request; `None` while the request is in flight.
    pub outcome: Option<Outcome>,
}

/// The content of one object of a shard.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Segment {
    /// The number of the segment, counted from 0 within the shard.
    pub number: u64,
    /// Whether the segment is closed to further records.
    pub sealed: bool,
    /// The records. A later record of a key replaces an earlier one.
    pub records: Vec<Record>,
}

/// A segment with the version of its object in the platform.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct VersionedSegment {
    /// The content.
    pub segment: Segment,
    /// The version, which a conditional write has to give.
    pub version: u64,
}

/// An output of a [`Shard`], to be carried out by its host.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read the shard's segments.
    Read {
        /// The shard.
        shard: u32,
    },
    /// Write a segment if its object still has the given version.
    Write {
        /// The shard.
        shard: u32,
        /// The required version; `0` means that the object must not exist yet.
        version: u64,
        /// The new content.
        segment: Segment,
    },
    /// Empty a sealed segment whose keys have all expired.
    Clear {
        /// The shard.
        shard: u32,
        /// The required version.
        version: u64,
        /// The emptied content.
        segment: Segment,
    },
    /// Answer a claim.
    Answer {
        /// The entry host that sent the claim.
        to: Name,
        /// The request.
        request: Id,
        /// The answer.
        verdict: Verdict,
    },
    /// Ask the host whose claim holds a key whether its request was ever sent.
    Inquire {
        /// The claim that holds the key.
        claim: Claim,
    },
    /// Confirm that an outcome is recorded.
    Confirm {
        /// The entry host that sent the outcome.
        to: Name,
        /// The request.
        request: Id,
    },
}

/// The result of a write.
#[derive(Debug, Clone, PartialEq)]
pub enum Written {
    /// The write took effect; contains the new version.
    Done(u64),
    /// The object had another version: another write came first.
    Conflict,
    /// No answer was received; the write may have taken effect.
    Unknown,
}

/// Returns the number of the object in the ring that stores a segment.
pub fn ring_slot(number: u64) -> u64 {
    number % RING_SLOTS
}

/// Returns the shard that a key belongs to.
pub fn shard_of(key: &str) -> u32 {
    (xxh3_64(key.as_bytes()) % u64::from(SHARD_COUNT)) as u32
}
