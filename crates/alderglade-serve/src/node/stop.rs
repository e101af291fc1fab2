//! How a host stops: from the request to stop until the process ends.

use super::Node;
use crate::clock;
use crate::event::{self, Record};
use std::time::Duration;

/// How long after the request to stop requests are still taken: until the balancer, which asks each second and wants two
/// refusals, has noticed. Three tenths of a second below the three seconds after which a request that was sent may no
/// longer be broken off at the host's end, because the host may notice late that it was asked to stop.
const STILL_TAKEN: Duration = Duration::from_millis(2_700);
/// What is kept of the time allowed for stopping, so that the process ends by itself before it is killed, also on an
/// eighth of a core and with its last log lines written.
const END_MARGIN: Duration = Duration::from_millis(900);
/// The part of the time allowed for stopping that the margin takes up at most: less than the last sixth, which requests
/// need not live through.
const END_PART: u32 = 9;
/// How long before its end a host ends what isn't answered yet, so that callers are told before the process is gone.
const LAST_WORDS: Duration = Duration::from_millis(200);
/// The part of the time allowed for stopping that this takes up at most; with the margin less than a sixth.
const LAST_WORDS_PART: u32 = 40;

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
        Some(self.time_to_stop().saturating_sub(passed))
    }

    /// Says whether a request may be sent to its first backend server. What is refused from now on can't be cut off at
    /// the host's end, however long its answer would have taken.
    pub fn takes_requests(&self) -> bool {
        self.stopping_for()
            .is_none_or(|passed| passed < STILL_TAKEN)
    }

    /// Waits until the host, which is stopping, takes no more requests.
    pub async fn takes_no_more(&self) {
        self.stopped_for(STILL_TAKEN).await;
    }

    /// Waits until the host, which is stopping, is about to end.
    pub async fn near_its_end(&self) {
        let last_words = LAST_WORDS.min(self.settings.grace / LAST_WORDS_PART);
        let span = self.time_to_stop().saturating_sub(last_words);
        self.stopped_for(span).await;
    }

    /// Gives the time from the request to stop to the end of the process, at most.
    fn time_to_stop(&self) -> Duration {
        let grace = self.settings.grace;
        grace.saturating_sub(END_MARGIN.min(grace / END_PART))
    }

    /// Waits until the host has been stopping for `span`.
    async fn stopped_for(&self, span: Duration) {
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
