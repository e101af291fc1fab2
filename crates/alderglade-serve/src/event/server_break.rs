//! The log line of a request that a server broke off.

use super::part;
use alderglade_core::fleet::fingerprint::Fingerprint;
use alderglade_core::fleet::part::Part;
use serde::{Serialize, Serializer};

/// A request that a server broke off, and what a check of the server showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct ServerBreak<'a> {
    /// The id of the request.
    pub id: &'a str,
    /// The fingerprint of the request.
    #[serde(serialize_with = "as_text")]
    pub asked: Fingerprint,
    /// The server.
    pub server: &'a str,
    /// How long the request had run there since its first event, in milliseconds, if one had arrived.
    pub ran_ms: Option<u64>,
    /// Whether the server has ended: its address refuses connections.
    pub ended: bool,
    /// The parts of the request's prompt that other requests may share.
    #[serde(
        skip_serializing_if = "<[Part]>::is_empty",
        serialize_with = "part::as_logged_ids"
    )]
    pub parts: &'a [Part],
}

/// Serializes a fingerprint in the text form that operators search for.
pub(super) fn as_text<S: Serializer>(
    fingerprint: &Fingerprint,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_str(fingerprint)
}
