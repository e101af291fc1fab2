//! Backend servers that are cold: slow for a while after their start, and lost under more requests than they bear.

use super::TOLD_SECONDS;
use crate::fleet::incarnation::Key;
use crate::fleet::statement::Rate;
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The most requests that may reach a cold server in any second, from all hosts together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// The multiple of the requests a second that it bears.
    pub factor: f64,
    /// Requests beside these.
    pub slack: f64,
}

impl Bound {
    /// Gives the rate at which one owner grants requests to a server that bears `per_second` while it is cold; `None` where
    /// the server bears any number.
    ///
    /// In any second an owner gives out no more than half of the bound, with what it has saved up: a quarter of a second's
    /// grants, or one.
    pub fn rate(&self, per_second: f64) -> Option<Rate> {
        const WITH_SAVED: f64 = 1.25;
        if per_second <= 0.0 {
            return None;
        }
        let half = (per_second * self.factor + self.slack) / 2.0;
        Rate::per_second((half / WITH_SAVED).min(half - 1.0).max(0.0))
    }
}

/// A cold server, as hosts tell each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdReport {
    /// The server.
    pub server: Key,
    /// The requests that one owner grants in a thousand seconds.
    pub per_thousand_s: u32,
    /// How much longer it is cold, in milliseconds.
    pub left_ms: u32,
}

impl ColdReport {
    pub(super) fn rate(&self) -> Option<Rate> {
        Rate::per_second(f64::from(self.per_thousand_s) / TOLD_SECONDS)
    }

    /// Gives how much longer the server is cold: no longer than a minute, whatever was told.
    pub fn left(&self) -> Duration {
        const LONGEST: Duration = Duration::from_secs(60);
        Duration::from_millis(u64::from(self.left_ms)).min(LONGEST)
    }
}

/// What is known of a server's cold spell.
#[derive(Debug, Default)]
pub(super) struct Cold {
    /// At what rate it is granted.
    rate: Option<Rate>,
    /// Until when it is cold.
    until: Time,
    /// Until when the server or the store has said that it is.
    said_until: Time,
}

impl Cold {
    /// Has the spell last until a time at least.
    pub(super) fn extend(&mut self, rate: Rate, until: Time, first_hand: bool) {
        self.rate = Some(rate);
        self.until = self.until.max(until);
        if first_hand {
            self.said_until = self.said_until.max(until);
        }
    }

    /// Gives the rate at which the server is granted; `None` where it isn't cold any more.
    pub(super) fn rate_at(&self, now: Time) -> Option<Rate> {
        self.rate.filter(|_| self.until > now)
    }

    /// Says whether this host tells the others.
    pub(super) fn is_told(&self, now: Time) -> bool {
        self.said_until > now
    }

    /// Gives what the limit's owner is told when it is asked for a grant.
    pub(super) fn claim(&self, server: Key, now: Time) -> ColdReport {
        self.lasting(server, self.until, now)
    }

    /// Gives what all others are told: what was said, and not what others have told of it.
    pub(super) fn tell(&self, server: Key, now: Time) -> ColdReport {
        self.lasting(server, self.said_until, now)
    }

    fn lasting(&self, server: Key, until: Time, now: Time) -> ColdReport {
        let rate = self.rate.map_or(0.0, Rate::get) * TOLD_SECONDS;
        let left = until.left(now).as_millis();
        ColdReport {
            server,
            per_thousand_s: rate as u32,
            left_ms: u32::try_from(left).unwrap_or(u32::MAX),
        }
    }
}
