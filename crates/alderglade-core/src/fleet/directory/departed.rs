//! The servers that have gone lately: a copy of the store may hold them still.

use crate::Name;
use crate::fleet::incarnation::Incarnation;
use crate::time::Time;
use std::collections::HashMap;
use std::time::Duration;

/// How long a server that has gone is remembered. Copies are some seconds old, and the store may be away for some more
/// before it comes back from one.
const REMEMBERED: Duration = Duration::from_secs(60);

/// A lifetime that is over.
#[derive(Debug)]
struct End {
    incarnation: Incarnation,
    at: Time,
}

/// The servers that have gone, by their ids.
#[derive(Debug, Default)]
pub(super) struct Departed {
    ends: HashMap<Name, End>,
}

impl Departed {
    /// Notes that a server has gone.
    pub(super) fn note(&mut self, incarnation: Incarnation, at: Time) {
        self.ends
            .insert(incarnation.id.clone(), End { incarnation, at });
    }

    /// Says whether an incarnation of a server is one that has gone, or an earlier one.
    pub(super) fn has(&self, incarnation: &Incarnation) -> bool {
        let end = self.ends.get(&incarnation.id);
        end.is_some_and(|end| !incarnation.supersedes(&end.incarnation))
    }

    /// Takes that a server lives.
    pub(super) fn clear(&mut self, id: &str) {
        self.ends.remove(id);
    }

    /// Forgets what lies long back.
    pub(super) fn expire(&mut self, now: Time) {
        self.ends.retain(|_, end| now.since(end.at) < REMEMBERED);
    }
}
