//! Whether a long prompt is held back for better conditions, and for how long.
//!
//! A prompt bears little harm to others while it has time, and more and more as it runs out. One that is still held
//! after a part of its time is given up, so that its caller learns of it while it can still come back.

use super::cost::{LATE_WORTH, lateness};
use super::parts::Costed;
use super::timing::millis;
use super::{Plan, Reason, ServiceState, Work};

/// The part of the aim at which first events are planned; the rest is for estimates that are too low.
pub(super) const PLANNED: f64 = 0.9;
/// Prompts that take up many engines are read one for each so many engines at a time, over all hosts.
const ENGINES_PER_MULTI_ENGINE_PROMPT: usize = 9;
/// What a second of reading on one engine is worth to others when the engines read all the time; an
/// ordinary long prompt is worth about eight for each second that reading it takes.
const ENGINE_SECOND: f64 = 2.0;

/// Says why a prompt should wait for better conditions than those of its best plan, if it should.
///
/// `whole` is the time that reading all of it takes on one engine, `quickest` the time to its first event where
/// the engines have nothing else to read; both are in milliseconds.
pub(super) fn reason_to_wait(
    work: &Work,
    costed: &Costed,
    quickest: f64,
    whole: f64,
    state: &ServiceState,
) -> Option<Reason> {
    let borne = borne(work, &costed.plan);
    if costed.plan.multi_engine && multi_engine_prompts_are_full(state) && borne < 1.0 {
        return Some(Reason::MultiEngine);
    }
    if may_be_in_time_later(work, &costed.plan, quickest) {
        return Some(Reason::Busy);
    }
    let price = ENGINE_SECOND * state.pressure * whole / 1_000.0;
    let too_dear = costed.harm + price > borne * work.worth;
    too_dear.then_some(Reason::Harm)
}

/// Says whether as many prompts as may take up many engines at once are being read, or go before this one.
fn multi_engine_prompts_are_full(state: &ServiceState) -> bool {
    let most = (state.engines / ENGINES_PER_MULTI_ENGINE_PROMPT).max(1);
    (state.multi_engine_prompts + state.queued_before) as usize >= most
}

/// Says whether a prompt would be late by its best plan, and in time where the engines had nothing else to read.
fn may_be_in_time_later(work: &Work, plan: &Plan, quickest: f64) -> bool {
    /// A chance of being late above which a plan counts as late.
    const LATE: f64 = 0.5;
    let late = lateness(work, millis(plan.first_event)) > LATE;
    late && lateness(work, quickest) < LATE
}

/// Says whether a prompt that is still held should be given up: its caller is told to come back, at once
/// where it has not been told so before.
pub(super) fn is_spent(work: &Work) -> bool {
    /// The part of its aim for which a prompt is held at first. What is held in vain costs its caller more the longer it
    /// lasts, and what is given up is late even if it is served after its return.
    const FIRST: f64 = 0.5;
    /// The part of its time for which one is held whose caller has come back; by the users' pages one must
    /// not be held in vain for half of it.
    const SECOND: f64 = 0.45;
    let waited = millis(work.waited);
    if work.is_retry {
        return waited > SECOND * (waited + millis(work.time_left));
    }
    waited > FIRST * millis(work.objective)
}

/// Gives the cost that is borne for a prompt, as a part of its own worth: little while it can wait, much when
/// its time runs out.
fn borne(work: &Work, plan: &Plan) -> f64 {
    /// The cost that is always borne.
    const AT_FIRST: f64 = 0.3;
    /// The cost that is borne at the end.
    const AT_LAST: f64 = 1.2;
    let first_event = millis(plan.first_event);
    let waited = millis(work.waited);
    let in_time = millis(work.objective) * PLANNED - first_event;
    let last_start = waited + first_event_left(work) - first_event;
    let spent = if waited < in_time {
        waited / in_time.max(1.0)
    } else {
        let from = in_time.max(0.0);
        ((waited - from) / (last_start - from).max(1.0)).clamp(0.0, 1.0)
    };
    let worth = if waited < in_time { 1.0 } else { LATE_WORTH };
    worth * (AT_FIRST + (AT_LAST - AT_FIRST) * spent)
}

/// Gives the time within which the first event must come, in milliseconds: before the answer has no
/// time left to be written, and before the caller gives up.
pub(super) fn first_event_left(work: &Work) -> f64 {
    /// What an answer takes after its first event, at most, in milliseconds.
    const WRITING: f64 = 2_000.0;
    /// What is kept for estimates that are too low, in milliseconds.
    const MARGIN: f64 = 300.0;
    let caller = millis(work.caller_timeout) - millis(work.waited);
    caller.min(millis(work.time_left) - WRITING) - MARGIN
}
