//! What identifies a request to the quarantine.

use crate::fleet::fingerprint::Fingerprint;
use crate::fleet::part::Part;
use std::sync::Arc;

/// A request and the parts of its prompt that other requests may share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The shared parts of its prompt.
    pub parts: Arc<[Part]>,
}

impl From<Fingerprint> for Identity {
    /// Returns the identity of a request without a prompt.
    fn from(fingerprint: Fingerprint) -> Identity {
        Identity {
            fingerprint,
            parts: Arc::default(),
        }
    }
}
