//! Decides whether a short prompt is sent, held at its host or refused while engines have no free slots for it.
//!
//! In the worst seconds of a burst all slots are in use and prompts arrive faster than answers end. If all of them are
//! sent, they wait in the engines: at 1.15 times the capacity half of the first events were late instead of only the
//! seventh for which there is no capacity. Here a prompt that can be in time waits at its host until slots become free
//! for it and for the prompts that precede it, and a prompt that can't is refused as soon as it arrives.
//!
//! The table may show slots as taken that are free, as those of a killed host until its holdings expire. Therefore no
//! prompt is held beyond the last moment at which it would be in time if it had a slot.

use super::hold_policy::{self, PLANNED_SHARE};
use super::slots::{self, Slots};
use super::timing::{self, to_millis};
use super::{Engine, Reason, Wait, Work, jitter};
use crate::fleet::pass::EngineProfile;
use std::time::Duration;

/// The shortest retry delay. Within a second half of the running answers end.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(1_000);
/// The maximum random addition to the retry delay. It spreads the callers that are refused in one second over more than
/// another second.
const MAX_RETRY_JITTER: Duration = Duration::from_millis(1_500);
/// The longest retry delay, as a share of the caller's remaining time: it allows for two more attempts.
const MAX_RETRY_SHARE: f64 = 0.3;
/// The share of its objective within which a first attempt counts as having just arrived. A refusal is most useful if it
/// comes at once.
const ARRIVAL_SHARE: f64 = 0.1;
/// The time between two checks of a held prompt whose slot is expected soon, in milliseconds: the delay of notices, as
/// the table shows little new before.
const MIN_RECHECK_MS: f64 = 10.0;
/// The longest time between two checks, in milliseconds: half a pass, since slots become free at the end of passes.
const MAX_RECHECK_MS: f64 = 30.0;
/// The share of the expected slot wait after which a held prompt is checked again. The wait can turn out shorter; at a
/// quarter of it four fifths of the checks of a long wait are saved.
const RECHECK_SHARE: f64 = 0.25;

/// What to do with a short prompt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Verdict {
    /// A slot is free for it: place it.
    Place,
    /// Place it on the engine where it begins first, whether or not it has a free slot.
    PlaceSoonest,
    /// Hold it and check again.
    Hold(Wait),
    /// Refuse it; the caller should retry after this delay.
    Refuse(Duration),
}

/// What the engines of a service offer to short prompts that wait for a slot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Outlook {
    slots: Slots,
    /// The median time from a slot's becoming free to the start of reading, in milliseconds.
    ///
    /// Slots become free at the end of a pass and the next pass begins before any host knows of it, so a held prompt
    /// waits for that pass and is read in the following one.
    until_reading: f64,
    profile: EngineProfile,
}

impl Outlook {
    /// Summarizes engines; `None` if there are none. Suspect ones don't count unless all of them are.
    pub fn of(engines: &[&Engine]) -> Option<Outlook> {
        let engines = slots::trusted(engines);
        let times = engines
            .iter()
            .map(|engine| 2.0 * timing::idle_pass(engine) + engine.backlog.queued);
        let mut times: Vec<f64> = times.collect();
        let profile = engines.first()?.profile;
        let middle = times.len() / 2;
        Some(Outlook {
            slots: Slots::of(engines.iter().copied()),
            until_reading: *times.select_nth_unstable_by(middle, f64::total_cmp).1,
            profile,
        })
    }
}

/// Returns how long to hold a short prompt that was held before, or `None` if the engines must be looked at again because
/// a slot may be free or the time is over.
///
/// An outlook that is as old as the delay of notices saves nearly all work for the prompts that are held at one host.
pub fn still_held(work: &Work, outlook: &Outlook, before: u32) -> Option<Wait> {
    match decide(work, outlook, before) {
        Verdict::Hold(wait) => Some(wait),
        _ => None,
    }
}

/// Decides on a short prompt that `before` other short prompts precede.
pub(super) fn decide(work: &Work, outlook: &Outlook, before: u32) -> Verdict {
    let Outlook { slots, .. } = outlook;
    if work.resumed {
        return Verdict::PlaceSoonest;
    }
    let before = if work.queues_for_slots { before } else { 0 };
    if before < slots.free {
        return Verdict::Place;
    }
    if !work.queues_for_slots {
        return Verdict::PlaceSoonest;
    }
    let slot_wait = slots.wait_ms(before);
    let first_event = outlook.until_reading + outlook.profile.read_ms(work.prompt);
    let latest_start = PLANNED_SHARE * to_millis(work.objective) - first_event;
    let time_left = latest_start - to_millis(work.waited);
    // A caller with little time left would lose the answer.
    let time_left = time_left.min(hold_policy::first_event_time_left(work) - first_event);
    if slot_wait <= time_left {
        return hold((RECHECK_SHARE * slot_wait).min(time_left));
    }
    if has_just_arrived(work) || (time_left <= 0.0 && may_be_refused_late(work)) {
        return Verdict::Refuse(retry_delay(work, slot_wait));
    }
    if time_left > 0.0 {
        return hold(time_left);
    }
    Verdict::PlaceSoonest
}

/// Holds a prompt for about `millis`.
fn hold(millis: f64) -> Verdict {
    Verdict::Hold(Wait {
        recheck_after: timing::from_millis(millis.clamp(MIN_RECHECK_MS, MAX_RECHECK_MS)),
        reason: Reason::Slots,
    })
}

/// Returns whether a prompt may be refused: it is a first attempt, or a retry that came earlier than it was asked to, and
/// it has just arrived and was not sent to any server.
fn has_just_arrived(work: &Work) -> bool {
    let is_fresh = to_millis(work.waited) < ARRIVAL_SHARE * to_millis(work.objective);
    is_fresh && work.avoid.is_empty() && age_at_arrival(work).is_zero()
}

/// Returns whether a prompt is refused although it has been held: a first attempt with a delay in the order, or one whose
/// workspace is far over its share. The delay puts it behind prompts that arrive later; sent late without a free slot, it
/// would take the next slot from those before it.
fn may_be_refused_late(work: &Work) -> bool {
    let is_delayed = !work.order_delay.is_zero() && age_at_arrival(work).is_zero();
    (work.over_share || is_delayed) && work.avoid.is_empty()
}

/// Returns the age of a caller's first attempt when this attempt arrived; zero if it is too young to have been a reason
/// for a retry, so that retrying earlier than asked gains nothing. Zero also if its workspace is far over its share, which
/// would otherwise keep by retries what the share takes from it.
pub(super) fn age_at_arrival(work: &Work) -> Duration {
    /// The share of the shortest retry delay that counts as having waited, since callers' clocks differ.
    const MIN_AGE_SHARE: f64 = 0.9;
    let time_limit = work.earlier + work.waited + work.time_left;
    let min_delay = MIN_RETRY_DELAY.min(time_limit.mul_f64(MAX_RETRY_SHARE));
    if work.over_share || work.earlier < min_delay.mul_f64(MIN_AGE_SHARE) {
        return Duration::ZERO;
    }
    work.earlier
}

/// Returns the delay after which a refused caller should retry: when capacity is expected, with jitter.
fn retry_delay(work: &Work, slot_wait: f64) -> Duration {
    let limit = work.time_left.mul_f64(MAX_RETRY_SHARE);
    let expected = MIN_RETRY_DELAY.max(timing::from_millis(slot_wait));
    let random = work.random;
    let random = random.map_or(0.0, |random| jitter::fraction(b"retry", random));
    let jitter = MAX_RETRY_JITTER.min(limit.saturating_sub(expected));
    (expected + jitter.mul_f64(random)).min(limit)
}
