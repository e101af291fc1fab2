//! The shares of engine time that workspaces get while there is too little for all of them.
//!
//! The load that this addresses: one workspace asks for several times its share while all slots are in use, and its
//! prompts take the place of the others'. Each host sums the engine time of each workspace over some seconds, and hosts
//! exchange the sums while capacity is short. The prompts of a workspace that is over the fair level then rank later in
//! the wait queue. Nothing but the order depends on it, so no capacity is left unused.

mod claims;
mod report;
mod usage;

pub use report::{MAX_NAMED, Named, Report};

use crate::Name;
use crate::fleet::heartbeat;
use crate::fleet::position::Position;
use crate::time::{Time, to_millis};
use claims::Claims;
use report::Received;
use std::collections::HashMap;
use std::time::Duration;
use usage::Usage;

/// How long a host takes part in the exchange of reports after a shortage. Longer than the interval of reports, so that
/// a host that sees a shortage in each of its reports isn't left out in between.
const SHORTAGE_TIME: Duration = Duration::from_millis(5_000);
/// How long the computed totals are used. A waiting prompt asks for its delay every 10 ms or so, and reports arrive four
/// times a second at most from each host.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// Multiple of the fair level from which a workspace is over its share. With a few dozen requests in the time constant,
/// workspaces that ask for the same differ by a fifth at random.
const FREE_RATIO: f64 = 1.25;
/// Multiple of the fair level from which the delay no longer grows.
const FULL_RATIO: f64 = 4.0;
/// The longest delay. It is several times the objective of a short prompt, so that a workspace at four times its share
/// waits behind all prompts that arrive in time; and it is a fifth of a short prompt's time limit, so that none starves.
const MAX_DELAY: Duration = Duration::from_millis(2_000);
/// The weight of one answer in the moving average of the time for which answers hold their slots. A host ends several
/// answers a second under load, so the average follows within some seconds.
const ANSWER_WEIGHT: f64 = 1.0 / 16.0;
/// Reported sums below this are dropped, in milliseconds of engine time; less than any request uses.
const NEGLIGIBLE_MS: f64 = 1.0;

/// Returns whether a workspace with this delay is so far over its share that its prompts are refused rather than sent late,
/// and its retries like first attempts.
///
/// It takes 2.6 times the fair level. Workspaces that are merely larger than others exceed the level by up to that much; if
/// their retries were refused too, their callers would lose answers for which others' callers only wait.
pub fn is_far_over(delay: Duration) -> bool {
    delay >= MAX_DELAY / 2
}

/// What was recorded in advance for one answer's slot.
#[derive(Debug, Clone, Copy)]
pub struct Charge {
    /// The slots of the engine.
    slots: u32,
    /// How long the answer was expected to hold its slot.
    expected: Duration,
}

/// The engine time that workspaces have used lately, at this host and at others.
#[derive(Debug, Default)]
pub struct Shares {
    /// This host's own use, by workspace.
    own: HashMap<Name, Usage>,
    /// The moving average of the time for which an answer holds its slot, over the answers of this host.
    answer_time: Option<Duration>,
    /// The last report of each other host.
    reports: HashMap<Name, Received>,
    /// When a prompt of this host last waited or was refused for lack of capacity.
    own_shortage: Option<Time>,
    /// When another host last reported that this happened there.
    reported_shortage: Option<Time>,
    /// The sequence number of this host's last report.
    sequence: u64,
    /// When this host last reported.
    last_report: Option<Time>,
    /// When `delays` was last computed.
    refreshed: Option<Time>,
    /// The delay of each workspace over its share.
    delays: HashMap<Name, Duration>,
}

impl Shares {
    /// Records that a prompt of a workspace was placed: its reading at all engines together, and one of `slots` slots of
    /// an engine for as long as recent answers have held theirs. Returns the part to settle when the answer ends.
    ///
    /// An answer holds its slot for some 2 s. If that counted only at the end, a workspace that begins to send several
    /// times its share would exceed it for 2 s unnoticed.
    pub fn record_placed(
        &mut self,
        workspace: &Name,
        slots: u32,
        reading: Duration,
        now: Time,
    ) -> Charge {
        let slots = slots.max(1);
        let expected = self.answer_time.unwrap_or_default();
        let charge = Charge { slots, expected };
        let added = to_millis(reading) + to_millis(expected) / f64::from(slots);
        self.own
            .entry(workspace.clone())
            .or_default()
            .add(added, now);
        charge
    }

    /// Records that an answer ended which held its slot for a time; zero if it never began.
    pub fn settle(&mut self, workspace: &Name, charge: Charge, held: Duration, now: Time) {
        let correction = (to_millis(held) - to_millis(charge.expected)) / f64::from(charge.slots);
        self.own
            .entry(workspace.clone())
            .or_default()
            .add(correction, now);
        if !held.is_zero() {
            let mean = self.answer_time.unwrap_or(held);
            let mean = mean.mul_f64(1.0 - ANSWER_WEIGHT) + held.mul_f64(ANSWER_WEIGHT);
            self.answer_time = Some(mean);
        }
    }

    /// Records that a prompt of this host waits or is refused for lack of capacity.
    pub fn record_shortage(&mut self, now: Time) {
        self.own_shortage = Some(now);
    }

    /// Returns whether capacity was short lately, here or at a host that reported it.
    pub fn is_short(&self, now: Time) -> bool {
        is_recent(self.own_shortage, now) || is_recent(self.reported_shortage, now)
    }

    /// Returns this host's report if one is due: capacity is short, and the last one was sent at least `interval` ago.
    pub fn take_report(
        &mut self,
        host: &Name,
        incarnation: Position,
        interval: Duration,
        now: Time,
    ) -> Option<Report> {
        // This is checked every 250 ms. Rounded to the nearest check, so that 320 ms don't become 500 ms: how much a
        // heavy workspace costs the others depends on how old the reports are.
        let interval = interval.saturating_sub(heartbeat::MIN_INTERVAL / 2);
        let is_early = self
            .last_report
            .is_some_and(|last| now.since(last) < interval);
        if is_early || !self.is_short(now) {
            return None;
        }
        self.last_report = Some(now);
        self.sequence += 1;
        let used = self.own.iter();
        let used = used.map(|(name, usage)| (name.clone(), usage.at(now)));
        Some(Report::new(
            report::Header {
                host: host.clone(),
                incarnation,
                sequence: self.sequence,
                short: is_recent(self.own_shortage, now),
            },
            used.collect(),
        ))
    }

    /// Applies another host's report. Drops one that is no newer than the last one applied, or of a previous
    /// incarnation.
    pub fn apply(&mut self, report: Report, now: Time) {
        let known = self.reports.get(&report.host);
        if known.is_some_and(|known| !known.is_before(&report)) {
            return;
        }
        if report.short {
            self.reported_shortage = Some(now);
        }
        self.reports
            .insert(report.host.clone(), Received::new(report, now));
    }

    /// Drops the report of a host that is silent.
    pub fn forget(&mut self, host: &str) {
        self.reports.remove(host);
    }

    /// Drops the report of a host's incarnation before `incarnation`.
    pub fn forget_before(&mut self, host: &str, incarnation: Position) {
        let known = self.reports.get(host);
        if known.is_some_and(|known| known.incarnation() < incarnation) {
            self.forget(host);
        }
    }

    /// Drops what has decayed; called several times a second.
    pub fn expire(&mut self, now: Time) {
        self.own.retain(|_, usage| usage.at(now) >= NEGLIGIBLE_MS);
        self.reports
            .retain(|_, report| report.total_ms(now) >= NEGLIGIBLE_MS);
    }

    /// Computes the delays again if they are out of date. Must be called before [`Shares::order_delay`].
    pub fn refresh(&mut self, now: Time) {
        let is_fresh = |at| now.since(at) < REFRESH_INTERVAL;
        if self.refreshed.is_some_and(is_fresh) {
            return;
        }
        self.refreshed = Some(now);
        self.delays.clear();
        if !self.is_short(now) {
            return;
        }
        let claims = self.claims(now);
        let level = claims.fair_level();
        let delays = claims.named();
        let delays = delays.map(|(name, used)| (name.clone(), delay(used, level)));
        self.delays = delays.filter(|(_, delay)| !delay.is_zero()).collect();
    }

    /// Returns how much later than its due time a prompt of a workspace ranks in the wait queue.
    pub fn order_delay(&self, workspace: Option<&str>, now: Time) -> Duration {
        if !self.is_short(now) {
            return Duration::ZERO;
        }
        let delay = workspace.and_then(|name| self.delays.get(name));
        delay.copied().unwrap_or_default()
    }

    /// Returns the sums of this host and of all others.
    fn claims(&self, now: Time) -> Claims<'_> {
        let mut claims = Claims::default();
        for (name, usage) in &self.own {
            claims.add(name, usage.at(now));
        }
        for report in self.reports.values() {
            report.add_to(&mut claims, now);
        }
        claims.distribute_rest();
        claims
    }
}

/// Returns whether a shortage is recent.
fn is_recent(shortage: Option<Time>, now: Time) -> bool {
    shortage.is_some_and(|at| now.since(at) < SHORTAGE_TIME)
}

/// Returns the delay of a workspace that has used `used` of the fair `level`. It grows linearly: at 1.6 times the level
/// it exceeds the time that a short prompt waits. A steeper start would cost workspaces that are above the level by
/// chance their place; with the root of the excess, the others lost 2.8% instead of 1.7% in the model of half a fleet.
fn delay(used: f64, level: Option<f64>) -> Duration {
    let ratio = level.map_or(0.0, |level| used / level);
    let part = (ratio - FREE_RATIO) / (FULL_RATIO - FREE_RATIO);
    MAX_DELAY.mul_f64(part.clamp(0.0, 1.0))
}
