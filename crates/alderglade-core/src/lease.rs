//! The lease that allows one host of a failure domain to send orders to engines, and its fencing.
//!
//! The lease is an object in the platform that is changed only by conditional updates. Its epoch
//! grows with each new holder, and engines that check orders refuse an older epoch. Each host
//! measures time with its own clock, from the moment at which it saw the lease change; clocks of two
//! hosts are never compared. A holder measures its lease from *before* it sent the renewal.

use crate::Name;
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A lease is valid for this time after its last renewal.
pub const LEASE_DURATION: Duration = Duration::from_secs(10);
/// Interval at which the holder renews the lease.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);
/// An order takes effect within this time after it was sent. The engine drops it later.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// The content of the lease object.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Name of the holder; empty if there is none.
    pub holder: Name,
    /// The holder's incarnation.
    pub incarnation: u64,
    /// Fencing epoch; incremented for each new holder.
    pub epoch: u64,
    /// Number of renewals in this epoch.
    pub renewals: u64,
}

/// The lease object with its version in the platform.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Versioned {
    /// The content.
    pub record: Record,
    /// The version in the platform; `0` if the object doesn't exist yet.
    pub version: u64,
}

/// A platform operation that a candidate requests.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read the lease.
    Read,
    /// Write the lease if its version in the platform is unchanged.
    Write(Versioned),
}

/// A host that may hold the lease.
#[derive(Debug)]
pub struct Candidate {
    own: Name,
    incarnation: u64,
    last_seen: Versioned,
    changed_at: Option<Time>,
    last_attempt: Option<Time>,
    held: Option<Held>,
}

/// A lease that this host holds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Held {
    /// The fencing epoch.
    pub epoch: u64,
    /// When the epoch began, by this host's clock.
    pub since: Time,
    /// When the lease expires, by this host's clock.
    pub until: Time,
}

impl Candidate {
    /// Creates a candidate that hasn't read the lease yet.
    pub fn new(own: Name, incarnation: u64) -> Candidate {
        Candidate {
            own,
            incarnation,
            last_seen: Versioned::default(),
            changed_at: None,
            last_attempt: None,
            held: None,
        }
    }

    /// Returns the lease if this host holds it at `now`.
    pub fn held(&self, now: Time) -> Option<Held> {
        self.held.filter(|held| now < held.until)
    }

    /// Returns the epoch for an order to an engine, if an order may be sent now.
    ///
    /// An engine that doesn't check epochs gets an order only if the order ends before the lease can
    /// expire, and only after the last order of an earlier holder has ended.
    pub fn order_epoch(&self, checks_orders: bool, now: Time) -> Option<u64> {
        let held = self.held(now)?;
        if checks_orders {
            return Some(held.epoch);
        }
        let earlier_orders_ended = now.since(held.since) >= ORDER_TIMEOUT;
        let outlasts_order = held.until.left(now) > ORDER_TIMEOUT;
        (earlier_orders_ended && outlasts_order).then_some(held.epoch)
    }

    /// Returns the next platform operation, if one is due. `wanted` is whether this host should hold
    /// the lease.
    pub fn tick(&mut self, wanted: bool, now: Time) -> Option<Action> {
        let interval = if self.held.is_some() {
            RENEWAL_INTERVAL
        } else {
            LEASE_DURATION / 2
        };
        let due = self.last_attempt.is_none_or(|at| now.since(at) >= interval);
        if !wanted || !due {
            return None;
        }
        self.last_attempt = Some(now);
        let is_holder = self.held(now).is_some();
        let Some(changed_at) = self.changed_at else {
            return Some(Action::Read);
        };
        if is_holder {
            return Some(self.renewal());
        }
        let is_free =
            now.since(changed_at) > LEASE_DURATION || self.last_seen.record.holder.is_empty();
        Some(if is_free {
            self.takeover()
        } else {
            Action::Read
        })
    }

    fn renewal(&self) -> Action {
        let mut next = self.last_seen.clone();
        next.record.renewals += 1;
        Action::Write(next)
    }

    fn takeover(&self) -> Action {
        let mut next = self.last_seen.clone();
        next.record.holder = self.own.clone();
        next.record.incarnation = self.incarnation;
        next.record.epoch += 1;
        next.record.renewals = 0;
        Action::Write(next)
    }

    /// Applies the lease as read from the platform.
    pub fn apply_read(&mut self, lease: Versioned, now: Time) {
        if self.changed_at.is_none() || lease.version != self.last_seen.version {
            self.changed_at = Some(now);
        }
        let is_own =
            lease.record.holder == self.own && lease.record.incarnation == self.incarnation;
        if !is_own
            || self
                .held
                .is_some_and(|held| held.epoch != lease.record.epoch)
        {
            self.held = None;
        }
        self.last_seen = lease;
    }

    /// Applies the result of a write that was requested at `asked`. `written` is `None` if the write
    /// failed or its result is unknown.
    pub fn apply_write(&mut self, written: Option<Versioned>, asked: Time, now: Time) {
        let Some(lease) = written else {
            self.changed_at = None;
            self.last_attempt = None;
            return;
        };
        let epoch = lease.record.epoch;
        let since = match self.held {
            Some(held) if held.epoch == epoch => held.since,
            _ => now,
        };
        self.held = Some(Held {
            epoch,
            since,
            until: asked + LEASE_DURATION,
        });
        self.last_seen = lease;
        self.changed_at = Some(now);
    }
}
