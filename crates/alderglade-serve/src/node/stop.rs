//! The shutdown of a host, from the stop request until the process ends.

use super::{Node, Progress};
use crate::clock;
use crate::event::{self, Record};
use alderglade_core::time::Time;
use std::time::Duration;

/// How long after the stop request the host still accepts requests: until the load balancer, which probes every
/// second and needs two failures, has noticed. This is 300 ms less than the three seconds after which a request that
/// was sent may no longer be cut off by the host's end, because the host may notice the stop request late.
const ACCEPT_TIME: Duration = Duration::from_millis(2_700);
/// The host accepts requests for at most one half of the grace period; answers need the other half.
const ACCEPT_TIME_DIVISOR: u32 = 2;
/// The process ends this long before the end of the grace period, so that it is not killed. This is enough even on an
/// eighth of a core and with the last log lines written.
const END_MARGIN: Duration = Duration::from_millis(900);
/// The margin is at most one ninth of the grace period. That is less than the last sixth, which requests need not
/// survive.
const END_MARGIN_DIVISOR: u32 = 9;
/// How long before its end the host ends all unanswered requests, so that callers are informed before the process is
/// gone.
const FLUSH_TIME: Duration = Duration::from_millis(200);
/// The flush time is at most 1/40 of the grace period; together with the margin less than a sixth.
const FLUSH_TIME_DIVISOR: u32 = 40;
/// Minimum time between the stop request and the end, so that the load balancer sends no more connections to this
/// host.
const MIN_STOP_TIME: Duration = Duration::from_millis(3_300);
/// Maximum number of log lines for requests that the end cuts off; a fifth of what the log can take in a second.
const MAX_CUT_OFF_LINES: usize = 60;

impl Node {
    /// Returns whether the host was asked to stop.
    pub(super) fn is_stopping(&self) -> bool {
        self.stopping_since.borrow().is_some()
    }

    /// Asks the host to stop accepting work.
    pub fn stop(&self) {
        if !self.is_stopping() {
            self.stopping_since.send_replace(Some(clock::now()));
            self.metrics.stopping.set(1);
            let in_flight = self.in_flight();
            event::write(&Record::Stopping { in_flight });
        }
    }

    /// Returns the time since the stop request.
    pub fn stopping_for(&self) -> Option<Duration> {
        let since = (*self.stopping_since.borrow())?;
        Some(clock::now().since(since))
    }

    /// Returns the milliseconds since the stop request, for the log.
    pub fn stopping_ms(&self) -> Option<u64> {
        Some(self.stopping_for()?.as_millis() as u64)
    }

    /// Returns whether a stopping host has nothing more to do: all answers were sent, and the load balancer sends no
    /// more connections.
    pub fn has_finished(&self) -> bool {
        let elapsed = self.stopping_for();
        let balancer_done = elapsed.is_some_and(|elapsed| elapsed >= MIN_STOP_TIME);
        balancer_done && self.in_flight() == 0 && self.connections() == 0
    }

    /// Ends all requests that are not answered yet and logs them.
    pub fn end_requests(&self) {
        let cut_off = self.requests_in_flight.list();
        for progress in &cut_off {
            progress.mark_cut_off();
        }
        self.metrics.cut_off.inc_by(cut_off.len() as u64);
        let since = *self.stopping_since.borrow();
        for progress in cut_off.iter().take(MAX_CUT_OFF_LINES) {
            log_cut_off(progress, since);
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

    /// Logs that the host ends now.
    pub fn log_stopped(&self) {
        let cut_off = usize::try_from(self.metrics.cut_off.get()).unwrap_or(usize::MAX);
        event::write(&Record::Stopped {
            cut_off,
            untold: cut_off.saturating_sub(MAX_CUT_OFF_LINES),
            taken_stopping: self.metrics.taken_stopping.get(),
            connections: self.connections(),
            stopping_ms: self.stopping_ms(),
        });
    }

    /// Returns the time until the process ends, after a stop request.
    pub fn ends_in(&self) -> Option<Duration> {
        let elapsed = self.stopping_for()?;
        Some(self.max_stop_time().saturating_sub(elapsed))
    }

    /// Returns whether a request may be sent to its first backend server. A request that is refused from now on can't
    /// be cut off by the host's end, however long its answer would have taken.
    pub fn accepts_requests(&self) -> bool {
        let accept_time = self.accept_time();
        self.stopping_for()
            .is_none_or(|elapsed| elapsed < accept_time)
    }

    /// Returns how long after the stop request the host accepts requests.
    fn accept_time(&self) -> Duration {
        ACCEPT_TIME.min(self.settings.grace / ACCEPT_TIME_DIVISOR)
    }

    /// Waits until the stopping host accepts no more requests.
    pub async fn wait_until_closed(&self) {
        self.wait_until_stopping_for(self.accept_time()).await;
    }

    /// Returns whether a stopping host should end the unanswered requests because its own end is near.
    pub fn is_near_end(&self) -> bool {
        self.ends_in().is_some_and(|left| left <= self.flush_time())
    }

    /// Returns how long before its end the host ends the unanswered requests.
    pub fn flush_time(&self) -> Duration {
        FLUSH_TIME.min(self.settings.grace / FLUSH_TIME_DIVISOR)
    }

    /// Returns the maximum time from the stop request to the end of the process.
    fn max_stop_time(&self) -> Duration {
        let grace = self.settings.grace;
        grace.saturating_sub(END_MARGIN.min(grace / END_MARGIN_DIVISOR))
    }

    /// Waits until the host has been stopping for `span`.
    async fn wait_until_stopping_for(&self, span: Duration) {
        let mut receiver = self.stopping_since.subscribe();
        let stopping_since = match receiver.wait_for(Option::is_some).await {
            Ok(stopping_since) => *stopping_since,
            // The sender lives as long as the host itself.
            Err(_) => None,
        };
        if let Some(stopping_since) = stopping_since {
            clock::sleep_until(stopping_since + span).await;
        }
    }
}

/// Logs that the end of the host cuts a request off. `since` is the time of the stop request.
fn log_cut_off(progress: &Progress, since: Option<Time>) {
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
