//! Counts against the objectives as objects, one for each entry host.

use crate::client::{Client, Error};
use crate::object::{LOG, Object};
use alderglade_core::slo::Log;

/// Publishes a host's counts; the host is the only writer of its object.
///
/// # Errors
///
/// Where the platform gives no answer; the next publication carries the counts again.
pub fn publish(client: &Client, host: &str, log: Log) -> Result<(), Error> {
    let mut object = Object::new(LOG, host, log);
    match client.get::<Log>(LOG, host) {
        Ok(old) => object.metadata.resource_version = old.metadata.resource_version,
        Err(Error::NotFound { .. }) => {}
        Err(error) => return Err(error),
    }
    client.write(LOG, &object).map(drop)
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
