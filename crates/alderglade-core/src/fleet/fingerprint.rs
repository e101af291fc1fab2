//! Fingerprints that identify a request across retries: equal for the same path, caller and body.
//!
//! A caller retries under another request id, possibly at another host. Facts about the request itself, as opposed to
//! one attempt, are stored by its fingerprint.

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
