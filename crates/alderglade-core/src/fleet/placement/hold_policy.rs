//! Decides whether a long prompt is held until conditions improve, and for how long.
//!
//! A prompt with plenty of time may cause only little harm to others; the limit rises as its time runs out. A prompt
//! that is still held after a certain share of its time is given up, so that its caller still has time to retry.

use super::cost::{LATE_VALUE, late_probability};
use super::parts::CostedPlan;
use super::timing::to_millis;
use super::{Plan, Reason, ServiceState, Work};

/// The share of the latency objective within which first events are planned. The rest allows for estimates that are too
/// low.
pub(super) const PLANNED_SHARE: f64 = 0.9;
/// The number of engines in a service for each prompt that may occupy many engines at once, over all hosts.
const ENGINES_PER_MULTI_ENGINE_PROMPT: usize = 9;
/// The share of its own value that a prompt may cost others when its time has run out.
const FINAL_SHARE: f64 = 1.2;
/// The value of a second of one engine's reading time to other prompts while engines read all the time. For comparison,
/// an ordinary long prompt has a value of about eight for each second of its reading.
const ENGINE_SECOND_VALUE: f64 = 2.0;

/// Returns why a prompt should wait for better conditions than those of its best plan, or `None` if it should not wait.
///
/// `full_read` is the time that one engine takes to read the full prompt, `fastest` the time to its first event if the
/// engines have nothing else to read; both are in milliseconds.
pub(super) fn reason_to_wait(
    work: &Work,
    costed: &CostedPlan,
    fastest: f64,
    full_read: f64,
    state: &ServiceState,
) -> Option<Reason> {
    let cost_share = acceptable_cost_share(work, &costed.plan);
    if costed.plan.multi_engine && is_multi_engine_limit_reached(state) && cost_share < 1.0 {
        return Some(Reason::MultiEngine);
    }
    if can_be_in_time_later(work, &costed.plan, fastest) {
        return Some(Reason::Busy);
    }
    let reading_cost = ENGINE_SECOND_VALUE * state.pressure * full_read / 1_000.0;
    let is_too_costly = costed.harm + reading_cost > cost_share * work.value;
    is_too_costly.then_some(Reason::Harm)
}

/// Returns whether the prompts that are being read or precede this one fill the limit of prompts that occupy many
/// engines.
fn is_multi_engine_limit_reached(state: &ServiceState) -> bool {
    let limit = (state.engines / ENGINES_PER_MULTI_ENGINE_PROMPT).max(1);
    (state.multi_engine_prompts + state.queued_before) as usize >= limit
}

/// Returns whether a prompt is probably late by its best plan, but in time if the engines had nothing else to read.
fn can_be_in_time_later(work: &Work, plan: &Plan, fastest: f64) -> bool {
    /// The probability of being late above which a plan counts as late.
    const LATE_THRESHOLD: f64 = 0.5;
    let is_late = late_probability(work, to_millis(plan.time_to_first_event)) > LATE_THRESHOLD;
    is_late && late_probability(work, fastest) < LATE_THRESHOLD
}

/// Returns whether to give up a prompt that is still held, so that its caller retries or learns that it can't be served.
pub(super) fn should_give_up(work: &Work) -> bool {
    to_millis(work.waited) > max_hold(work)
}

/// Returns the maximum hold time of a prompt, in milliseconds.
///
/// A hold in vain costs the caller more the longer it lasts, but a prompt that is given up for lack of a moment in which it
/// is cheap loses all such moments until its caller is back.
pub(super) fn max_hold(work: &Work) -> f64 {
    /// The share of its time for a first attempt, which leaves the caller enough time to retry.
    const FIRST_ATTEMPT_SHARE: f64 = 0.3;
    /// The share of its time for a retry. The users' pages don't allow a hold in vain for half of that time.
    const RETRY_SHARE: f64 = 0.45;
    let share = if work.is_retry {
        RETRY_SHARE
    } else {
        FIRST_ATTEMPT_SHARE
    };
    share * to_millis(work.waited + work.time_left)
}

/// Returns the harm to other answers that is acceptable for a prompt that may no longer be deferred, of whose remaining hold
/// time this share has passed.
pub(super) fn acceptable_harm(work: &Work, passed: f64) -> f64 {
    FINAL_SHARE * (1.0 + passed) * work.value
}

/// Returns the acceptable cost of a prompt as a share of its own value: low while it can wait, high when its time runs
/// out.
fn acceptable_cost_share(work: &Work, plan: &Plan) -> f64 {
    /// The share that is always acceptable.
    const INITIAL_SHARE: f64 = 0.3;
    let first_event = to_millis(plan.time_to_first_event);
    let waited = to_millis(work.waited);
    let last_timely_start = to_millis(work.objective) * PLANNED_SHARE - first_event;
    let last_start = waited + first_event_time_left(work) - first_event;
    let spent = if waited < last_timely_start {
        waited / last_timely_start.max(1.0)
    } else {
        let from = last_timely_start.max(0.0);
        ((waited - from) / (last_start - from).max(1.0)).clamp(0.0, 1.0)
    };
    let value_share = if waited < last_timely_start {
        1.0
    } else {
        LATE_VALUE
    };
    value_share * (INITIAL_SHARE + (FINAL_SHARE - INITIAL_SHARE) * spent)
}

/// Returns the time within which the first event must come, in milliseconds, so that the answer can be written in time
/// and the caller doesn't give up.
pub(super) fn first_event_time_left(work: &Work) -> f64 {
    /// The maximum time from the first event of an answer to its end, in milliseconds.
    const ANSWER_TIME_MS: f64 = 2_000.0;
    /// The reserve for estimates that are too low, in milliseconds.
    const MARGIN_MS: f64 = 300.0;
    let until_caller_leaves = to_millis(work.caller_timeout) - to_millis(work.waited);
    until_caller_leaves.min(to_millis(work.time_left) - ANSWER_TIME_MS) - MARGIN_MS
}
