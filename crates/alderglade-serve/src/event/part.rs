//! Parts of prompts in log lines.

use alderglade_core::fleet::part::Part;
use serde::{Serialize, Serializer};

/// The bar of a part of prompts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct PartBar {
    /// The id of the part.
    #[serde(serialize_with = "as_id")]
    pub part: Part,
    /// The parts without which it is not barred.
    #[serde(skip_serializing_if = "Vec::is_empty", serialize_with = "as_ids")]
    pub with: Vec<Part>,
    /// How much longer it is barred, in seconds.
    pub left_s: u64,
}

/// Serializes a part as the id that callers state.
fn as_id<S: Serializer>(part: &Part, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(part)
}

/// Serializes a part, if there is one, as the id that callers state.
pub fn as_optional_id<S: Serializer>(
    part: &Option<Part>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_str(&part.map(|part| part.to_string()).unwrap_or_default())
}

/// Serializes parts as the ids that callers state.
fn as_ids<S: Serializer>(parts: &[Part], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_seq(parts.iter().map(Part::to_string))
}

/// Serializes the first parts of a prompt as the ids that their callers state.
pub fn as_logged_ids<S: Serializer>(parts: &[Part], serializer: S) -> Result<S::Ok, S::Error> {
    /// Maximum number of parts in a line.
    const MAX_LOGGED_PARTS: usize = 32;
    let logged = parts.iter().take(MAX_LOGGED_PARTS);
    serializer.collect_seq(logged.map(Part::to_string))
}
