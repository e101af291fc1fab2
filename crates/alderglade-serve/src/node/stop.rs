//! How a host stops: from the request to stop until the process ends.

use super::{Node, Progress};
use crate::clock;
use crate::event::{self, Record};
use alderglade_core::time::Time;
use std::time::Duration;

/// What is kept of the time allowed for stopping, so that the process ends by itself before it is killed,
/// also on an eighth of a core and with its last log lines written. Within the last sixth of the time,
/// which requests need not live through.
const END_MARGIN: Duration = Duration::from_millis(900);

/// Requests for which the end of a stop writes a line each, at most; a fifth of what the log takes in a second.
const MOST_TOLD: usize = 60;

impl Node {
    /// Says whether the host was asked to stop.
    pub(super) fn is_stopping(&self) -> bool {
        self.stopping_since.borrow().is_some()
    }

    /// Asks the host to stop taking work.
    pub fn stop(&self) {
        if !self.is_stopping() {
            self.stopping_since.send_replace(Some(clock::now()));
            self.metrics.stopping.set(1);
            let in_flight = self.in_flight();
            event::write(&Record::Stopping { in_flight });
        }
    }

    /// Gives the time since the host was asked to stop.
    pub fn stopping_for(&self) -> Option<Duration> {
        let since = (*self.stopping_since.borrow())?;
        Some(clock::now().since(since))
    }

    /// Gives the milliseconds since the host was asked to stop, for the log.
    pub fn stopping_ms(&self) -> Option<u64> {
        Some(self.stopping_for()?.as_millis() as u64)
    }

    /// Notes that the host ends now, and writes which requests this cuts off.
    pub fn end(&self) {
        let cut_off = self.in_hand.list();
        for progress in &cut_off {
            progress.cut_off();
        }
        self.metrics.cut_off.inc_by(cut_off.len() as u64);
        let since = *self.stopping_since.borrow();
        for progress in cut_off.iter().take(MOST_TOLD) {
            tell_cut_off(progress, since);
        }
        event::write(&Record::Stopped {
            cut_off: cut_off.len(),
            untold: cut_off.len().saturating_sub(MOST_TOLD),
            taken_stopping: self.metrics.taken_stopping.get(),
            connections: self.connections(),
            owing: self.owing(),
            stopping_ms: self.stopping_ms(),
        });
    }

    /// Gives the time until the process ends, once it was asked to stop.
    pub fn ends_in(&self) -> Option<Duration> {
        let passed = self.stopping_for()?;
        let most = self.settings.grace.saturating_sub(END_MARGIN);
        Some(most.saturating_sub(passed))
    }

    /// Waits until the host has been stopping for `span`.
    pub async fn stopped_for(&self, span: Duration) {
        let mut since = self.stopping_since.subscribe();
        let began = match since.wait_for(Option::is_some).await {
            Ok(began) => *began,
            // The sender lives as long as the host itself.
            Err(_) => None,
        };
        if let Some(began) = began {
            tokio::time::sleep_until(clock::instant(began + span)).await;
        }
    }
}

/// Writes that the end of the host cuts a request off; `since` is when the host was asked to stop.
fn tell_cut_off(progress: &Progress, since: Option<Time>) {
    let now = clock::now();
    let arrived = progress.arrived;
    let stage = progress.stage();
    event::write(&Record::CutOff {
        id: &progress.id(),
        doing: stage.label(),
        server: stage.server(),
        took_ms: now.since(arrived).as_millis() as u64,
        came_stopping_ms: since
            .filter(|since| arrived >= *since)
            .map(|since| arrived.since(since).as_millis() as u64),
        stopping_ms: since.map(|since| now.since(since).as_millis() as u64),
    });
}
