//! How a host stops: from the request to stop until the process ends.

use super::Node;
use crate::clock;
use crate::event::{self, Record};
use std::time::Duration;

/// What is kept of the time allowed for stopping, so that the process ends by itself before it is killed,
/// also on an eighth of a core and with its last log lines written. Within the last sixth of the time,
/// which requests need not live through.
const END_MARGIN: Duration = Duration::from_millis(900);

impl Node {
    /// Says whether the host was asked to stop.
    pub(super) fn is_stopping(&self) -> bool {
        self.stopping_since.borrow().is_some()
    }

    /// Asks the host to stop taking work.
    pub fn stop(&self) {
        if !self.is_stopping() {
            self.stopping_since.send_replace(Some(clock::now()));
            let in_flight = self.in_flight.get();
            event::write(&Record::Stopping { in_flight });
        }
    }

    /// Gives the time since the host was asked to stop.
    pub fn stopping_for(&self) -> Option<Duration> {
        let since = (*self.stopping_since.borrow())?;
        Some(clock::now().since(since))
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
