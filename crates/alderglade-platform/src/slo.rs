//! Counts against the objectives as objects, one for each entry host.

use crate::client::{Client, Error};
use crate::object::{LOG, Object};
use alderglade_core::slo::Log;

/// Publishes a host's counts over the version that the last publication gave, empty for none.
///
/// The host is the only writer of its object; a version that doesn't fit, after a restart or a lost
/// answer, is read once. Gives the new version.
///
/// # Errors
///
/// Where the platform gives no answer; the next publication carries the counts again.
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

/// Reads what all hosts published.
///
/// # Errors
///
/// Where the platform gives no answer.
pub fn read_all(client: &Client) -> Result<Vec<Log>, Error> {
    let objects = client.list::<Log>(LOG, None)?;
    Ok(objects.into_iter().map(|object| object.spec).collect())
}

/// Reads what one host published earlier, so that a new process goes on counting.
pub fn read_own(client: &Client, host: &str) -> Option<Log> {
    client.get::<Log>(LOG, host).ok().map(|object| object.spec)
}
