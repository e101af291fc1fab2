//! The end of a server's response, where it is worth a log line.

use alderglade_core::fleet::ending::Framing;
use serde::{Serialize, Serializer};

/// The end of a response that has neither a length nor chunks, or that ended inside an event.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct ResponseEnd<'a> {
    /// The id of the request.
    pub id: &'a str,
    /// The server.
    pub server: &'a str,
    /// How the server marks the end of its response: `length`, `chunked` or `close`.
    #[serde(serialize_with = "label")]
    pub framing: Framing,
    /// The bytes after the last complete event.
    pub partial_bytes: usize,
    /// `closed`, `in_event` or `failed`.
    pub outcome: &'static str,
}

fn label<S: Serializer>(framing: &Framing, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(framing.label())
}
