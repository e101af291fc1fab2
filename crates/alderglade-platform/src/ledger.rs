//! Storage of ledger segments as objects, written conditionally.

use crate::client::{Client, Error};
use crate::object::{Object, SEGMENT};
use alderglade_core::ledger::{Segment, VersionedSegment, Written, ring_slot};

/// Label with a segment's shard, by which segments are listed.
const SHARD_LABEL: &str = "alderglade.io/shard";

/// Reads all segments of a shard; `None` if the call to the platform fails.
pub fn read(client: &Client, shard: u32) -> Option<Vec<VersionedSegment>> {
    let objects = client
        .list::<Segment>(SEGMENT, Some((SHARD_LABEL, &shard.to_string())))
        .ok()?;
    let versioned = |object: Object<Segment>| VersionedSegment {
        version: object.version(),
        segment: object.spec,
    };
    Some(objects.into_iter().map(versioned).collect())
}

/// Writes a segment if its object still has `version`; `0` means that it must not exist yet.
pub fn write(client: &Client, shard: u32, version: u64, segment: Segment) -> Written {
    let name = format!("s{shard}-{}", ring_slot(segment.number));
    let mut object = Object::new(SEGMENT, &name, segment);
    object
        .metadata
        .labels
        .insert(SHARD_LABEL.into(), shard.to_string());
    if version > 0 {
        object.metadata.resource_version = version.to_string();
    }
    match client.write(SEGMENT, &object) {
        Ok(object) => Written::Done(object.version()),
        Err(Error::Conflict { .. } | Error::NotFound { .. }) => Written::Conflict,
        Err(Error::Busy { .. } | Error::Lost { .. } | Error::Unreadable { .. }) => Written::Unknown,
    }
}
