//! Servers that have recently gone. A copy of the store may still list them.

use crate::Name;
use crate::fleet::incarnation::Incarnation;
use crate::time::Time;
use std::collections::HashMap;
use std::time::Duration;

/// How long a departed server is remembered. Copies are some seconds old, and the store may be unavailable for some
/// more seconds before it is restored from one.
const RETENTION: Duration = Duration::from_secs(60);

/// The end of an incarnation.
#[derive(Debug)]
struct End {
    incarnation: Incarnation,
    at: Time,
}

/// Departed servers by id.
#[derive(Debug, Default)]
pub(super) struct Departed {
    ends: HashMap<Name, End>,
}

impl Departed {
    /// Records that a server has gone.
    pub(super) fn record(&mut self, incarnation: Incarnation, at: Time) {
        self.ends
            .insert(incarnation.id.clone(), End { incarnation, at });
    }

    /// Returns whether an incarnation has gone, or is older than one that has.
    pub(super) fn contains(&self, incarnation: &Incarnation) -> bool {
        let end = self.ends.get(&incarnation.id);
        end.is_some_and(|end| !incarnation.supersedes(&end.incarnation))
    }

    /// Forgets a departure because the server is alive.
    pub(super) fn clear(&mut self, id: &str) {
        self.ends.remove(id);
    }

    /// Forgets departures older than [`RETENTION`].
    pub(super) fn expire(&mut self, now: Time) {
        self.ends.retain(|_, end| now.since(end.at) < RETENTION);
    }
}
