//! What was asked, whoever sends it on and however often: the same path, caller and body.
//!
//! A caller that comes back does so under another id, at any host. What was learnt of the request itself, and not of one
//! attempt, is kept by this.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// The digest of what was asked: twelve bytes in place of a path and a body of thousands.
///
/// The first four bytes are the caller's, which it can't choose: no caller can make up a body by which another one's
/// request is taken for its own.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Fingerprint([u8; 12]);

/// What a request is told from others by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Content<'a> {
    /// The workspace that it is served for; none on a public route.
    pub workspace: Option<&'a str>,
    /// Its method.
    pub method: &'a str,
    /// The name of the host that it is sent to.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Its body.
    pub body: &'a [u8],
}

impl Content<'_> {
    /// Gives the digest.
    pub fn fingerprint(&self) -> Fingerprint {
        let workspace = self.workspace.unwrap_or_default();
        let caller = xxh3_64(workspace.as_bytes()).to_be_bytes();
        let mut content = Xxh3::new();
        for part in [self.method, self.host, self.target].map(str::as_bytes) {
            // Lengths keep the end of one part from being taken for the beginning of the next.
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

/// A text that is no digest.
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
