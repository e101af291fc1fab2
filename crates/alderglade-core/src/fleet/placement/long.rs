//! Chooses the engines of a long prompt: tries several numbers of parts and takes the cheapest, or
//! lets the prompt wait.

use super::parts::{self, Costed};
use super::{Decision, Engine, MAX_PARTS, Reason, ServiceState, Wait, Work, patience, timing};
use std::time::Duration;

/// The reading time of one part that a long prompt is cut to, in milliseconds: a pause that most answers bear.
const PART: f64 = 50.0;
/// How long a prompt is held before it is looked at again.
const LOOK_AGAIN: Duration = Duration::from_millis(15);
/// Engine counts that are tried for a prompt read in parts.
const PART_COUNTS: [usize; 9] = [1, 2, 3, 4, 6, 8, 11, 14, MAX_PARTS];
/// When a caller should come back whose prompt is given up after it was held; callers come back after a third of
/// their time at most, and the longer they stay away, the more has changed.
const GIVEN_UP: Duration = Duration::from_millis(4_000);
/// When a caller should come back whose prompt can't be read in its time.
const TOO_LATE: Duration = Duration::from_millis(2_000);

/// Chooses the engines of a long prompt, holds it back, or refuses it where its time is too short.
pub(super) fn choose(work: &Work, usable: &[&Engine], state: &ServiceState) -> Decision {
    let pool = sound(usable);
    let whole = pool[0].profile.read(work.prompt);
    let widest = ((whole / PART).ceil() as usize).clamp(1, pool.len().min(MAX_PARTS));
    let pool = others(work, pool, widest);
    let quickest = whole / widest as f64 + timing::idle_pass(pool[0]);
    let Some(costed) = cheapest(work, &pool, whole, widest, state.pressure) else {
        return wait_or_refuse(work, quickest);
    };
    match patience::reason_to_wait(work, &costed, quickest, whole, state) {
        Some(reason) => hold(work, reason),
        None => Decision::Send(costed.plan),
    }
}

/// Holds a prompt back, or gives it up where it has been held for long enough.
fn hold(work: &Work, reason: Reason) -> Decision {
    if patience::is_spent(work) {
        return Decision::Refuse(GIVEN_UP);
    }
    Decision::Wait(Wait {
        recheck_after: LOOK_AGAIN,
        reason,
    })
}

/// Leaves out the engines at which the prompt has stood still before, where there are enough others.
fn others<'a>(work: &Work, pool: Vec<&'a Engine>, enough: usize) -> Vec<&'a Engine> {
    let others = pool.iter().copied();
    let others = others.filter(|engine| !work.stalled.contains(&engine.id));
    let others: Vec<&Engine> = others.collect();
    if others.len() >= enough { others } else { pool }
}

/// Lists the engines that aren't doubted, or all where each of them is.
fn sound<'a>(usable: &[&'a Engine]) -> Vec<&'a Engine> {
    let sound: Vec<&Engine> = usable
        .iter()
        .copied()
        .filter(|engine| !engine.suspect)
        .collect();
    if sound.is_empty() {
        return usable.to_vec();
    }
    sound
}

/// Gives the plan that costs least among those of up to `widest` parts; the earlier one where two
/// cost the same.
fn cheapest(
    work: &Work,
    pool: &[&Engine],
    whole: f64,
    widest: usize,
    pressure: f64,
) -> Option<Costed> {
    let mut best: Option<Costed> = None;
    let counts = PART_COUNTS.into_iter().filter(|count| *count < widest);
    for count in counts.chain([widest]) {
        let part = whole / count as f64;
        let Some(costed) = parts::plan(work, pool, count, part, pressure) else {
            continue;
        };
        let least = best.as_ref();
        if least.is_none_or(|least| costed.cost() < least.cost()) {
            best = Some(costed);
        }
    }
    best
}

/// Decides on a prompt that no engines have the memory for.
fn wait_or_refuse(work: &Work, reading: f64) -> Decision {
    if patience::first_event_left(work) < reading {
        return Decision::Refuse(TOO_LATE);
    }
    hold(work, Reason::Memory)
}
