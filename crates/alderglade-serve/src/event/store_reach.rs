//! The log line of a host that loses or regains its connectivity to the store.

use serde::Serialize;

/// Whether the host is considered disconnected from the store, and what it observed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct StoreReach {
    /// Whether it is considered disconnected, and therefore not ready for new connections.
    pub cut_off: bool,
    /// Whether its own latest call to the store failed.
    pub refused: bool,
    /// Whether it queries the store itself, or receives notices from a host that does so successfully.
    pub informed: bool,
    /// Whether it receives no notices from any other failure domain.
    pub isolated: bool,
    /// The age of the host's store data, in milliseconds.
    pub store_age_ms: Option<u64>,
}
