//! Storage of the counts against the service-level objectives, one object for each entry host.

use crate::client::{Client, Error};
use crate::object::{LOG, Object};
use alderglade_core::slo::Log;

/// Publishes a host's counts in place of `version`, which the last publication returned (empty if
/// there was none), and returns the new version.
///
/// The host is the only writer of its object. After a restart or a lost response `version` may be
/// outdated; the current one is then read once, and the write is retried.
///
/// # Errors
///
/// Returns an error if the call to the platform fails; the next publication contains the counts again.
pub fn publish(client: &Client, host: &str, log: Log, version: &str) -> Result<String, Error> {
    let mut object = Object::new(LOG, host, log);
    object.metadata.resource_version = version.into();
    let written = match client.write(LOG, &object) {
        Err(Error::Conflict { .. } | Error::NotFound { .. }) => {
            object.metadata.resource_version = match client.get::<Log>(LOG, host) {
                Ok(old) => old.metadata.resource_version,
                Err(Error::NotFound { .. }) => String::new(),
                Err(error) => return Err(error),
            };
            client.write(LOG, &object)
        }
        written => written,
    };
    written.map(|object| object.metadata.resource_version)
}

/// Reads the published counts of all hosts.
///
/// # Errors
///
/// Returns an error if the call to the platform fails.
pub fn read_all(client: &Client) -> Result<Vec<Log>, Error> {
    let objects = client.list::<Log>(LOG, None)?;
    Ok(objects.into_iter().map(|object| object.spec).collect())
}

/// Reads the counts that one host published earlier, so that a new process continues from them.
///
/// Returns `None` if there are none or the call to the platform fails.
pub fn read_own(client: &Client, host: &str) -> Option<Log> {
    client.get::<Log>(LOG, host).ok().map(|object| object.spec)
}
