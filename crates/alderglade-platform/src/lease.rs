//! The lease for giving orders as an object.

use crate::client::{Client, Error};
use crate::object::{LEASE, Object};
use alderglade_core::lease::{Record, Versioned};

/// Reads the lease of a failure domain; one that isn't there yet has version `0`.
///
/// # Errors
///
/// Where the platform gives no answer.
pub fn read(client: &Client, domain: &str) -> Result<Versioned, Error> {
    match client.get::<Record>(LEASE, domain) {
        Ok(object) => Ok(versioned(object)),
        Err(Error::NotFound { .. }) => Ok(Versioned::default()),
        Err(error) => Err(error),
    }
}

/// Writes the lease if it still has its version.
///
/// # Errors
///
/// [`Error::Conflict`] where another host was first; others where the outcome is unknown.
pub fn write(client: &Client, domain: &str, lease: Versioned) -> Result<Versioned, Error> {
    let mut object = Object::new(LEASE, domain, lease.record);
    if lease.version > 0 {
        object.metadata.resource_version = lease.version.to_string();
    }
    client.write(LEASE, &object).map(versioned)
}

fn versioned(object: Object<Record>) -> Versioned {
    Versioned {
        version: object.version(),
        record: object.spec,
    }
}
