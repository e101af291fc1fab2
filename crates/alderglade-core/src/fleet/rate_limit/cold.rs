//! Cold backend servers: slow for a while after their start, and at risk of failing if they get more requests than
//! they can take.

use super::REPORT_SECONDS;
use crate::fleet::incarnation::Key;
use crate::fleet::statement::Rate;
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The limit on the requests that reach a cold server in any second, from all hosts together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// The multiple of the requests per second that the server accepts while cold.
    pub factor: f64,
    /// Requests allowed in addition.
    pub slack: f64,
}

impl Bound {
    /// Returns the rate at which one owner grants requests to a server that accepts `per_second` requests while it is
    /// cold, or `None` if the server accepts any number.
    ///
    /// In any second an owner grants no more than half of the limit. That includes the grants it has accumulated:
    /// those of a quarter of a second, or one.
    pub fn rate(&self, per_second: f64) -> Option<Rate> {
        const ACCUMULATION_FACTOR: f64 = 1.25;
        if per_second <= 0.0 {
            return None;
        }
        let half = (per_second * self.factor + self.slack) / 2.0;
        Rate::per_second((half / ACCUMULATION_FACTOR).min(half - 1.0).max(0.0))
    }
}

/// A cold server, as hosts report it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdReport {
    /// The server.
    pub server: Key,
    /// The requests that one owner grants in a thousand seconds.
    pub per_thousand_s: u32,
    /// How much longer the server is cold, in milliseconds.
    pub left_ms: u32,
}

impl ColdReport {
    pub(super) fn rate(&self) -> Option<Rate> {
        Rate::per_second(f64::from(self.per_thousand_s) / REPORT_SECONDS)
    }

    /// Returns how much longer the server is cold: at most a minute, whatever was reported.
    pub fn remaining(&self) -> Duration {
        const MAX_COLD_TIME: Duration = Duration::from_secs(60);
        Duration::from_millis(u64::from(self.left_ms)).min(MAX_COLD_TIME)
    }
}

/// The known cold period of a server.
#[derive(Debug, Default)]
pub(super) struct Cold {
    /// The rate at which requests are granted.
    rate: Option<Rate>,
    /// When the server ceases to be cold.
    until: Time,
    /// The same, counting only statements of the server or the store.
    stated_until: Time,
}

impl Cold {
    /// Extends the cold period to `until`, unless it lasts longer already.
    pub(super) fn extend(&mut self, rate: Rate, until: Time, first_hand: bool) {
        self.rate = Some(rate);
        self.until = self.until.max(until);
        if first_hand {
            self.stated_until = self.stated_until.max(until);
        }
    }

    /// Returns the rate at which requests are granted, or `None` if the server is no longer cold.
    pub(super) fn rate_at(&self, now: Time) -> Option<Rate> {
        self.rate.filter(|_| self.until > now)
    }

    /// Returns whether this host reports the cold period to the others.
    pub(super) fn is_reported(&self, now: Time) -> bool {
        self.stated_until > now
    }

    /// Creates the report for the limit's owner that goes with a request for a grant.
    pub(super) fn report_to_owner(&self, server: Key, now: Time) -> ColdReport {
        self.report_until(server, self.until, now)
    }

    /// Creates the report for all other hosts. It covers only what was stated first-hand, not what other hosts
    /// reported.
    pub(super) fn report(&self, server: Key, now: Time) -> ColdReport {
        self.report_until(server, self.stated_until, now)
    }

    fn report_until(&self, server: Key, until: Time, now: Time) -> ColdReport {
        let rate = self.rate.map_or(0.0, Rate::get) * REPORT_SECONDS;
        let remaining = until.left(now).as_millis();
        ColdReport {
            server,
            per_thousand_s: rate as u32,
            left_ms: u32::try_from(remaining).unwrap_or(u32::MAX),
        }
    }
}
