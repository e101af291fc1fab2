//! Fingerprints that identify a request across retries: equal for the same path, caller and body.
//!
//! A caller retries under another request id, possibly at another host. Facts about the request itself, as opposed to
//! one attempt, are stored by its fingerprint. Facts about a part of prompts, which different requests share, have a
//! fingerprint as well, so that they are stored and sent in the same way.

use super::part::Part;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// A digest of a request: twelve bytes instead of a path and a body of thousands of bytes.
///
/// The first four bytes are derived from the caller's workspace, which the caller can't choose. No caller can craft a
/// body whose fingerprint equals that of another caller's request.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Fingerprint([u8; 12]);

/// The first four bytes of the fingerprint of a part. Those of a request are a digest, which equals them for one workspace in
/// four billion.
const PART_PREFIX: [u8; 4] = *b"part";

impl From<Part> for Fingerprint {
    fn from(part: Part) -> Fingerprint {
        let mut bytes = [0; 12];
        bytes[..4].copy_from_slice(&PART_PREFIX);
        bytes[4..].copy_from_slice(&part.number().to_be_bytes());
        Fingerprint(bytes)
    }
}

impl Fingerprint {
    /// Returns the part of prompts that this is the fingerprint of; `None` for a request.
    pub fn part(self) -> Option<Part> {
        let (prefix, number) = self.0.split_first_chunk::<4>()?;
        let number: [u8; 8] = number.try_into().ok()?;
        (*prefix == PART_PREFIX).then(|| Part::from_number(u64::from_be_bytes(number)))
    }
}

/// The parts of a request that distinguish it from others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Content<'a> {
    /// Workspace of the caller; `None` on a public route.
    pub workspace: Option<&'a str>,
    /// HTTP method.
    pub method: &'a str,
    /// Host name in the request.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Request body.
    pub body: &'a [u8],
}

impl Content<'_> {
    /// Returns the fingerprint.
    pub fn fingerprint(&self) -> Fingerprint {
        let workspace = self.workspace.unwrap_or_default();
        let caller = xxh3_64(workspace.as_bytes()).to_be_bytes();
        let mut content = Xxh3::new();
        for part in [self.method, self.host, self.target].map(str::as_bytes) {
            // The length prefix separates adjacent parts.
            content.update(&part.len().to_be_bytes());
            content.update(part);
        }
        content.update(self.body);
        let mut bytes = [0; 12];
        bytes[..4].copy_from_slice(&caller[..4]);
        bytes[4..].copy_from_slice(&content.digest().to_be_bytes());
        Fingerprint(bytes)
    }
}

/// Error for a text that is not a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unreadable;

impl FromStr for Fingerprint {
    type Err = Unreadable;

    fn from_str(text: &str) -> Result<Fingerprint, Unreadable> {
        let mut bytes = [0; 12];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| Unreadable)?;
        Ok(Fingerprint(bytes))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&hex::encode(self.0))
    }
}
