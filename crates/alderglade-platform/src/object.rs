//! Data types of the platform's objects.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// API group and version of alderglade's own kinds.
pub const API_VERSION: &str = "alderglade.io/v1";

/// Metadata that the platform stores with an object's content.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Metadata {
    /// Name of the object, unique within its kind.
    pub name: String,
    /// Version that the platform assigned at the last write; empty before the first.
    pub resource_version: String,
    /// Labels that a list call can select by.
    pub labels: BTreeMap<String, String>,
    /// Values that a list call can't select by.
    pub annotations: BTreeMap<String, String>,
}

/// An object stored in the platform.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Object<T> {
    /// API group and version, normally [`API_VERSION`].
    #[serde(default)]
    pub api_version: String,
    /// Name of the object's kind: [`Kind::name`].
    #[serde(default)]
    pub kind: String,
    /// Metadata that the platform stores with the content.
    pub metadata: Metadata,
    /// Content of the object.
    pub spec: T,
}

/// Response of a list call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct List<T> {
    /// Objects of the requested kind.
    pub items: Vec<Object<T>>,
}

/// One line of a watch response.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change<T> {
    /// `ADDED`, `MODIFIED` or `DELETED`.
    #[serde(rename = "type")]
    pub kind: String,
    /// The object after the change.
    pub object: Object<T>,
}

/// A kind of object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Kind {
    /// Plural name, used in URL paths.
    pub plural: &'static str,
    /// Name, used in the objects themselves.
    pub name: &'static str,
}

/// Kind of the single object that names the settings in force.
pub const ROOT: Kind = Kind {
    plural: "settingsroots",
    name: "SettingsRoot",
};
/// Kind of immutable parts of settings, named by their digest.
pub const PART: Kind = Kind {
    plural: "settingsparts",
    name: "SettingsPart",
};
/// Kind of ledger segments.
pub const SEGMENT: Kind = Kind {
    plural: "ledgersegments",
    name: "LedgerSegment",
};
/// Kind of the leases for sending orders, one for each failure domain.
pub const LEASE: Kind = Kind {
    plural: "orderleases",
    name: "OrderLease",
};
/// Kind of the counts against the service-level objectives, one object for each entry host.
pub const LOG: Kind = Kind {
    plural: "slologs",
    name: "SloLog",
};

impl<T> Object<T> {
    /// Creates an object without a version, which isn't stored in the platform yet.
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

    /// Returns the version as a number, or `0` if there is none.
    ///
    /// Versions are opaque by the platform's contract: alderglade only compares them for equality
    /// and sends them back.
    pub fn version(&self) -> u64 {
        self.metadata.resource_version.parse().unwrap_or(0)
    }
}
