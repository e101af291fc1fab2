//! The time for which an answer holds its slot, observed per service.
//!
//! Each host averages over its own answers, from the first event to the end. An engine without a free slot admits
//! another prompt when an answer ends, so this time determines how long a prompt waits there.

use super::ReservationId;
use crate::Name;
use crate::fleet::incarnation::Key;
use crate::time::Time;
use std::collections::HashMap;
use std::time::Duration;

/// The weight of an answer in the average, once enough have been observed. A host of a busy installation ends some five
/// answers a second, so the average covers some six seconds: long enough to smooth answers between 0.2 and 5 s, short
/// enough to follow a change of the mix within a burst.
const WEIGHT: f64 = 1.0 / 32.0;

/// The average of a service.
#[derive(Debug, Clone, Copy, Default)]
struct Mean {
    /// The number of observed answers, up to the point where it no longer matters.
    answers: u32,
    seconds: f64,
}

/// The observed answer times of all services, and the answers that are being written.
#[derive(Debug, Default)]
pub(super) struct AnswerTimes {
    /// The service of each engine.
    services: HashMap<Key, Name>,
    means: HashMap<Name, Mean>,
    /// When the first event of each running answer came.
    begun: HashMap<ReservationId, Time>,
}

impl AnswerTimes {
    /// Replaces the services of the engines. Averages of services without engines are dropped.
    pub(super) fn set_services(&mut self, services: HashMap<Key, Name>) {
        self.services = services;
        let services = &self.services;
        self.means
            .retain(|name, _| services.values().any(|service| service == name));
    }

    /// Records the first event of an answer; later ones are ignored.
    pub(super) fn begin(&mut self, id: ReservationId, now: Time) {
        self.begun.entry(id).or_insert(now);
    }

    /// Records the end of an answer at a server.
    pub(super) fn end(&mut self, id: ReservationId, server: Key, now: Time) {
        let Some(begun) = self.begun.remove(&id) else {
            return;
        };
        let Some(service) = self.services.get(&server) else {
            return;
        };
        let mean = self.means.entry(service.clone()).or_default();
        mean.answers = mean.answers.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(mean.answers));
        mean.seconds += weight * (now.since(begun).as_secs_f64() - mean.seconds);
    }

    /// Returns the average of the service that a server belongs to; `None` until an answer was observed.
    pub(super) fn of(&self, server: Key) -> Option<Duration> {
        let mean = self.means.get(self.services.get(&server)?)?;
        Some(Duration::from_secs_f64(mean.seconds.max(0.0)))
    }
}
