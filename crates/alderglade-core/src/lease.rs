//! The lease under which one host of a failure domain gives orders to engines, and its fence.
//!
//! The lease is an object in the platform that is changed only by conditional update. Its epoch
//! grows with each new holder; engines that check orders refuse an older epoch. Time is measured
//! by each host's own clock, from the moment at which it saw the lease change; no two clocks are
//! compared. A holder counts its time from *before* it sent the renewal.

use crate::Name;
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A lease is good for this long after its last renewal.
pub const LIFE: Duration = Duration::from_secs(10);
/// A holder renews this often.
pub const RENEW_EVERY: Duration = Duration::from_secs(3);
/// An order takes effect within this time of being sent, or never: the engine drops it later.
pub const ORDER_LIFE: Duration = Duration::from_secs(2);

/// The content of the lease object.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The holder, empty for none.
    pub holder: Name,
    /// The holder's incarnation.
    pub incarnation: u64,
    /// Grows with each new holder.
    pub epoch: u64,
    /// Grows with each renewal.
    pub renewals: u64,
}

/// The lease as last seen.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Versioned {
    /// The content.
    pub record: Record,
    /// The version in the platform, `0` if the object isn't there yet.
    pub version: u64,
}

/// What a candidate wants from the platform.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read the lease.
    Read,
    /// Write the lease, if its version is still this.
    Write(Versioned),
}

/// A host's side of the lease.
#[derive(Debug)]
pub struct Candidate {
    own: Name,
    incarnation: u64,
    seen: Versioned,
    changed: Option<Time>,
    asked: Option<Time>,
    held: Option<Held>,
}

/// A lease that this host holds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Held {
    /// The fencing epoch.
    pub epoch: u64,
    /// When the epoch began, by this host's clock.
    pub since: Time,
    /// Until when the lease is good.
    pub until: Time,
}

impl Candidate {
    /// Starts without having seen the lease.
    pub fn new(own: Name, incarnation: u64) -> Candidate {
        Candidate {
            own,
            incarnation,
            seen: Versioned::default(),
            changed: None,
            asked: None,
            held: None,
        }
    }

    /// Gives the lease if it is held now.
    pub fn held(&self, now: Time) -> Option<Held> {
        self.held.filter(|held| now < held.until)
    }

    /// Says whether an order to an engine may be sent now.
    ///
    /// An engine that doesn't check epochs gets one only if the order is over before the lease
    /// can be, and only after an earlier holder's last order is over.
    pub fn may_order(&self, checks_orders: bool, now: Time) -> Option<u64> {
        let held = self.held(now)?;
        if checks_orders {
            return Some(held.epoch);
        }
        let settled = now.since(held.since) >= ORDER_LIFE;
        let lasting = held.until.left(now) > ORDER_LIFE;
        (settled && lasting).then_some(held.epoch)
    }

    /// Lets time pass; `wanted` says whether this host should hold the lease.
    pub fn tick(&mut self, wanted: bool, now: Time) -> Option<Action> {
        let pace = if self.held.is_some() {
            RENEW_EVERY
        } else {
            LIFE / 2
        };
        let due = self.asked.is_none_or(|asked| now.since(asked) >= pace);
        if !wanted || !due {
            return None;
        }
        self.asked = Some(now);
        let ours = self.held(now).is_some();
        let Some(changed) = self.changed else {
            return Some(Action::Read);
        };
        if ours {
            return Some(self.renewal());
        }
        let lapsed = now.since(changed) > LIFE || self.seen.record.holder.is_empty();
        Some(if lapsed {
            self.takeover()
        } else {
            Action::Read
        })
    }

    fn renewal(&self) -> Action {
        let mut next = self.seen.clone();
        next.record.renewals += 1;
        Action::Write(next)
    }

    fn takeover(&self) -> Action {
        let mut next = self.seen.clone();
        next.record.holder = self.own.clone();
        next.record.incarnation = self.incarnation;
        next.record.epoch += 1;
        next.record.renewals = 0;
        Action::Write(next)
    }

    /// Takes the lease as the platform has it.
    pub fn read(&mut self, lease: Versioned, now: Time) {
        if self.changed.is_none() || lease.version != self.seen.version {
            self.changed = Some(now);
        }
        let ours = lease.record.holder == self.own && lease.record.incarnation == self.incarnation;
        if !ours
            || self
                .held
                .is_some_and(|held| held.epoch != lease.record.epoch)
        {
            self.held = None;
        }
        self.seen = lease;
    }

    /// Takes the end of a write that was asked for at `asked`; `None` where it lost or is unknown.
    pub fn wrote(&mut self, written: Option<Versioned>, asked: Time, now: Time) {
        let Some(lease) = written else {
            self.changed = None;
            self.asked = None;
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
            until: asked + LIFE,
        });
        self.seen = lease;
        self.changed = Some(now);
    }
}
