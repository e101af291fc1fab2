//! How a host stops: from the request to stop until the process ends.

use super::{Node, Progress};
use crate::clock;
use crate::event::{self, Record};
use alderglade_core::time::Time;
use std::time::Duration;

/// How long after the request to stop requests are still taken: until the balancer, which asks each second and wants two
/// refusals, has noticed. Three tenths of a second below the three seconds after which a request that was sent may no
/// longer be broken off at the host's end, because the host may notice late that it was asked to stop.
const STILL_TAKEN: Duration = Duration::from_millis(2_700);
/// The part of the time allowed for stopping that this takes up at most: answers need the other half.
const STILL_TAKEN_PART: u32 = 2;
/// What is kept of the time allowed for stopping, so that the process ends by itself before it is killed, also on an
/// eighth of a core and with its last log lines written.
const END_MARGIN: Duration = Duration::from_millis(900);
/// The part of the time allowed for stopping that the margin takes up at most: less than the last sixth, which requests
/// need not live through.
const END_PART: u32 = 9;
/// How long before its end a host ends what isn't answered yet, so that callers are told before the process is gone.
const FLUSH_TIME: Duration = Duration::from_millis(200);
/// The part of the time allowed for stopping that this takes up at most; with the margin less than a sixth.
const FLUSH_PART: u32 = 40;
/// The least time between the request to stop and the end, so that the balancer sends nobody here.
const LEAST: Duration = Duration::from_millis(3_300);
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

    /// Says whether a stopping host has nothing more to do: all answers have left, and the balancer sends nobody here.
    pub fn has_finished(&self) -> bool {
        let passed = self.stopping_for();
        let unwatched = passed.is_some_and(|passed| passed >= LEAST);
        unwatched && self.in_flight() == 0 && self.connections() == 0
    }

    /// Ends all requests that are not answered yet, and writes which these are.
    pub fn end_requests(&self) {
        let cut_off = self.in_hand.list();
        for progress in &cut_off {
            progress.cut_off();
        }
        self.metrics.cut_off.inc_by(cut_off.len() as u64);
        let since = *self.stopping_since.borrow();
        for progress in cut_off.iter().take(MOST_TOLD) {
            tell_cut_off(progress, since);
        }
        self.ending.send_replace(true);
    }

    /// Waits until the host ends all requests that are not answered yet.
    pub async fn wait_for_request_end(&self) {
        let mut ending = self.ending.subscribe();
        if ending.wait_for(|ending| *ending).await.is_err() {
            // The sender lives as long as the host itself.
            std::future::pending::<()>().await;
        }
    }

    /// Writes that the host ends now.
    pub fn log_stopped(&self) {
        let cut_off = usize::try_from(self.metrics.cut_off.get()).unwrap_or(usize::MAX);
        event::write(&Record::Stopped {
            cut_off,
            untold: cut_off.saturating_sub(MOST_TOLD),
            taken_stopping: self.metrics.taken_stopping.get(),
            connections: self.connections(),
            stopping_ms: self.stopping_ms(),
        });
    }

    /// Gives the time until the process ends, once it was asked to stop.
    pub fn ends_in(&self) -> Option<Duration> {
        let passed = self.stopping_for()?;
        Some(self.time_to_stop().saturating_sub(passed))
    }

    /// Says whether a request may be sent to its first backend server. What is refused from now on can't be cut off at
    /// the host's end, however long its answer would have taken.
    pub fn accepts_requests(&self) -> bool {
        let most = self.still_taken();
        self.stopping_for().is_none_or(|passed| passed < most)
    }

    /// Gives how long after the request to stop requests are still taken.
    fn still_taken(&self) -> Duration {
        STILL_TAKEN.min(self.settings.grace / STILL_TAKEN_PART)
    }

    /// Waits until the host, which is stopping, takes no more requests.
    pub async fn wait_until_closed(&self) {
        self.stopped_for(self.still_taken()).await;
    }

    /// Says whether a stopping host should end what is not answered yet: it ends soon.
    pub fn is_near_end(&self) -> bool {
        self.ends_in().is_some_and(|left| left <= self.flush_time())
    }

    /// Gives how long before its end a host ends what is not answered yet.
    pub fn flush_time(&self) -> Duration {
        FLUSH_TIME.min(self.settings.grace / FLUSH_PART)
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
            clock::sleep_until(began + span).await;
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
