//! Storage of the order lease as an object of the platform.

use crate::client::{Client, Error};
use crate::object::{LEASE, Object};
use alderglade_core::lease::{Record, Versioned};

/// Reads the lease of a failure domain; a lease that doesn't exist yet has version `0`.
///
/// # Errors
///
/// Returns an error if the call to the platform fails.
pub fn read(client: &Client, domain: &str) -> Result<Versioned, Error> {
    match client.get::<Record>(LEASE, domain) {
        Ok(object) => Ok(versioned(object)),
        Err(Error::NotFound { .. }) => Ok(Versioned::default()),
        Err(error) => Err(error),
    }
}

/// Writes the lease if the stored one still has `lease.version`; returns it with its new version.
///
/// # Errors
///
/// Returns [`Error::Conflict`] if another host was first, or another error if the outcome is unknown.
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
