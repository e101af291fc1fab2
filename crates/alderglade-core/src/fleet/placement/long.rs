//! Chooses the engines of a long prompt: tries several numbers of parts and takes the cheapest plan, or
//! lets the prompt wait.

use super::parts::{self, CostedPlan};
use super::{
    Decision, Engine, MAX_PARTS, Reason, ServiceState, Wait, Work, due, hold_policy, slots, timing,
};
use std::time::Duration;

/// The target reading time of one part of a long prompt, in milliseconds: a pause that most answers tolerate.
const TARGET_PART_MS: f64 = 50.0;
/// The time after which a held prompt is checked again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(15);
/// The numbers of parts that are tried for a prompt.
const PART_COUNTS: [usize; 9] = [1, 2, 3, 4, 6, 8, 11, 14, MAX_PARTS];
/// The retry delay for callers whose prompt is given up after it was held. Callers retry after a third of their time at
/// most, and the longer they wait, the more the load has changed.
const GIVE_UP_RETRY_DELAY: Duration = Duration::from_millis(4_000);
/// The retry delay for callers whose prompt can't be read in its time.
const TOO_LATE_RETRY_DELAY: Duration = Duration::from_millis(2_000);

/// Chooses the engines of a long prompt, holds it, or refuses it if its time is too short.
pub(super) fn choose(work: &Work, usable: &[&Engine], state: &ServiceState) -> Decision {
    let pool = slots::trusted(usable);
    let full_read = pool[0].profile.read_ms(work.prompt);
    let max_parts =
        ((full_read / TARGET_PART_MS).ceil() as usize).clamp(1, pool.len().min(MAX_PARTS));
    let pool = without_stalled(work, pool, max_parts);
    let fastest = full_read / max_parts as f64 + timing::idle_pass(pool[0]);
    if !work.resumed && work.queues_for_slots && state.due_before > 0 {
        return wait_or_refuse(work, fastest, Reason::Order);
    }
    let Some(costed) = cheapest(work, &pool, full_read, max_parts, state.pressure) else {
        return wait_or_refuse(work, fastest, Reason::Memory);
    };
    // The caller already waits for the next event, and a hold would only lengthen the pause.
    if work.resumed {
        return Decision::Send(costed.plan);
    }
    if due::time_left(work) <= 0.0 {
        return match due::plan(work, costed) {
            Some(plan) => Decision::Send(plan),
            None => wait_or_refuse(work, fastest, Reason::Harm),
        };
    }
    match hold_policy::reason_to_wait(work, &costed, fastest, full_read, state) {
        Some(reason) => wait_or_refuse(work, fastest, reason),
        None => Decision::Send(costed.plan),
    }
}

/// Removes the engines at which the prompt has stalled before, unless fewer than `enough` others remain.
fn without_stalled<'a>(work: &Work, pool: Vec<&'a Engine>, enough: usize) -> Vec<&'a Engine> {
    let others = pool.iter().copied();
    let others = others.filter(|engine| !work.stalled.contains(&engine.id));
    let others: Vec<&Engine> = others.collect();
    if others.len() >= enough { others } else { pool }
}

/// Returns the cheapest plan with up to `max_parts` parts; among equally cheap ones the one with fewer parts.
fn cheapest(
    work: &Work,
    pool: &[&Engine],
    full_read: f64,
    max_parts: usize,
    pressure: f64,
) -> Option<CostedPlan> {
    let mut best: Option<CostedPlan> = None;
    let counts = PART_COUNTS.into_iter().filter(|count| *count < max_parts);
    for count in counts.chain([max_parts]) {
        let part = full_read / count as f64;
        let Some(costed) = parts::plan(work, pool, count, part, pressure) else {
            continue;
        };
        let previous = best.as_ref();
        if previous.is_none_or(|previous| costed.cost() < previous.cost()) {
            best = Some(costed);
        }
    }
    best
}

/// Holds a prompt, or refuses it if no time for reading would remain or it has been held for long enough. A resumed stream
/// is not given up while its caller stays, because that caller would lose what it has.
fn wait_or_refuse(work: &Work, reading: f64, reason: Reason) -> Decision {
    if hold_policy::first_event_time_left(work) < reading {
        return Decision::Refuse(TOO_LATE_RETRY_DELAY);
    }
    if !work.resumed && hold_policy::should_give_up(work) {
        return Decision::Refuse(GIVE_UP_RETRY_DELAY);
    }
    Decision::Wait(Wait {
        recheck_after: RECHECK_INTERVAL,
        reason,
    })
}
