//! The shape of objects in the platform.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The API group and version of alderglade's own kinds.
pub const API_VERSION: &str = "alderglade.io/v1";

/// What the platform keeps beside an object's content.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Metadata {
    /// The object's name within its kind.
    pub name: String,
    /// The version that the platform gave the last write; empty before the first.
    pub resource_version: String,
    /// Labels that a list can select by.
    pub labels: BTreeMap<String, String>,
    /// Further notes.
    pub annotations: BTreeMap<String, String>,
}

/// An object of the platform.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Object<T> {
    /// The API group and version.
    #[serde(default)]
    pub api_version: String,
    /// The kind.
    #[serde(default)]
    pub kind: String,
    /// What the platform keeps beside the content.
    pub metadata: Metadata,
    /// The content.
    pub spec: T,
}

/// A list of objects.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct List<T> {
    /// The objects.
    pub items: Vec<Object<T>>,
}

/// One line of a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change<T> {
    /// `ADDED`, `MODIFIED` or `DELETED`.
    #[serde(rename = "type")]
    pub kind: String,
    /// The object after the change.
    pub object: Object<T>,
}

/// A kind of object: its name in paths and in objects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Kind {
    /// The plural in paths.
    pub plural: &'static str,
    /// The name in objects.
    pub name: &'static str,
}

/// The one object that says which settings are in force.
pub const ROOT: Kind = Kind {
    plural: "settingsroots",
    name: "SettingsRoot",
};
/// Immutable parts of settings, named by their digest.
pub const PART: Kind = Kind {
    plural: "settingsparts",
    name: "SettingsPart",
};
/// Segments of the ledger.
pub const SEGMENT: Kind = Kind {
    plural: "ledgersegments",
    name: "LedgerSegment",
};
/// Leases for giving orders.
pub const LEASE: Kind = Kind {
    plural: "orderleases",
    name: "OrderLease",
};
/// Counts against the service-level objectives.
pub const LOG: Kind = Kind {
    plural: "slologs",
    name: "SloLog",
};

impl<T> Object<T> {
    /// Makes an object that the platform doesn't know yet.
    pub fn new(kind: Kind, name: &str, spec: T) -> Object<T> {
        Object {
            api_version: API_VERSION.into(),
            kind: kind.name.into(),
            metadata: Metadata {
                name: name.into(),
                ..Metadata::default()
            },
            spec,
        }
    }

    /// Gives the version as a number, `0` where there is none.
    ///
    /// The platform's contract makes versions opaque; alderglade only compares them for equality
    /// and sends them back.
    pub fn version(&self) -> u64 {
        self.metadata.resource_version.parse().unwrap_or(0)
    }
}
