//! Waits until a prompt should be sent and decides to which engines.

use super::{RETRY_DELAY, SendState};
use crate::clock;
use crate::event::{self, Record};
use crate::job::Job;
use crate::node::{Node, QueueGuard, Unavailability};
use alderglade_core::error::Kind as ErrorKind;
use alderglade_core::fleet::pass::EngineProfile;
use alderglade_core::fleet::placement::{
    self, Decision, Plan, Reason, SHORT_PROMPT_TOKENS, ServiceState, Wait, Work,
};
use alderglade_core::fleet::request_state::{RequestState, Waiting};
use alderglade_core::fleet::share;
use alderglade_core::request::Refusal;
use rand::RngExt;
use std::rc::Rc;
use std::time::Duration;

/// Time that an engine takes for one stride of output tokens, at most, when engines are busy.
const MAX_STRIDE_TIME: Duration = Duration::from_millis(75);
/// A stopping host returns prompts that still wait to their callers when it has less time left than this: about the
/// time to read and answer a long prompt. Short prompts that wait for a slot do so for less than their objective.
const MIN_TIME_BEFORE_STOP: Duration = Duration::from_millis(5_000);

/// Waits until the prompt should be sent and returns the plan.
///
/// # Errors
///
/// Returns a refusal if the prompt cannot be answered in its time, or not before the host stops.
pub(super) async fn place(
    node: &Rc<Node>,
    job: &Job,
    state: &mut SendState,
    request_state: &RequestState<Waiting>,
) -> Result<Plan, Refusal> {
    let mut queue = None;
    loop {
        if job.time_left().is_zero() {
            return Err(request_state.refuse(ErrorKind::ExpiredWaiting, RETRY_DELAY));
        }
        job.check_quarantine(node, request_state).await?;
        if state.sends == 0 && !node.accepts_requests() {
            return Err(request_state.refuse(ErrorKind::Draining, RETRY_DELAY));
        }
        if let Some(Unavailability { kind, retry_after }) =
            node.unavailability(&job.service, &job.homes)
        {
            return Err(request_state.refuse(kind, retry_after));
        }
        let ends_in = node.ends_in();
        match decide(node, job, state, &mut queue) {
            Decision::Send(plan)
                if ends_in.is_some_and(|left| answer_time(node, job, &plan) > left) =>
            {
                return Err(request_state.refuse(ErrorKind::Draining, RETRY_DELAY));
            }
            Decision::Send(plan) => return Ok(plan),
            Decision::Wait(wait)
                if wait.reason != Reason::Slots
                    && ends_in.is_some_and(|left| left < MIN_TIME_BEFORE_STOP) =>
            {
                return Err(request_state.refuse(ErrorKind::Draining, RETRY_DELAY));
            }
            // Callers of a stopping host retry elsewhere, whatever the reason.
            Decision::Refuse(after) if ends_in.is_some() => {
                return Err(request_state.refuse(ErrorKind::Draining, after));
            }
            Decision::Refuse(after) => {
                node.record_shortage();
                let refusal = request_state.refuse(ErrorKind::Overloaded, after);
                return Err(refusal.with_reason(shortage(node, job, state)));
            }
            Decision::Wait(wait) => {
                log_held(node, job, state, wait.reason);
                if wait.reason == Reason::Slots {
                    node.record_shortage();
                }
                if let Some(queue) = &mut queue {
                    queue.announce();
                }
                clock::sleep(wait.recheck_after).await;
            }
        }
    }
}

/// Returns the reason that is logged for the refusal of a prompt for lack of capacity.
fn shortage(node: &Node, job: &Job, state: &SendState) -> &'static str {
    if job.prompt().tokens >= SHORT_PROMPT_TOKENS {
        return state.held_for.last().unwrap_or(&Reason::Busy).label();
    }
    if node.share_delay(job).is_zero() {
        Reason::Slots.label()
    } else {
        "share"
    }
}

/// Logs why a prompt is held back, once for each reason.
fn log_held(node: &Node, job: &Job, state: &mut SendState, reason: Reason) {
    if state.held_for.contains(&reason) {
        return;
    }
    let requester = &job.into();
    if state.held_for.is_empty() {
        node.metrics.by_requester.count_held(requester);
    }
    state.held_for.push(reason);
    let multi_engine_prompts = node.state.borrow().loads.multi_engine_prompts();
    event::write(&Record::Held {
        id: &job.info.id,
        reason: reason.label(),
        prompt: job.prompt().tokens,
        waited_ms: job.waited().as_millis() as u64,
        giants: multi_engine_prompts,
        pressure: node.recent_pressure(),
        requester,
    });
}

/// Returns an upper estimate of the time from now to the end of the answer.
fn answer_time(node: &Node, job: &Job, plan: &Plan) -> Duration {
    /// Factor on the output estimate. Callers' estimates are correct at the median; half as much again covers most
    /// answers. A longer answer is broken off when the host stops, and its caller resumes elsewhere after the last
    /// event. Therefore this estimate affects only prompts that arrived while the host still accepted requests.
    const ESTIMATE_MARGIN: f64 = 1.5;
    let prompt = job.prompt();
    let max_output = match prompt.output_estimate {
        Some(expected) if job.route.kind.is_repeatable() => prompt
            .max_output
            .min((expected as f64 * ESTIMATE_MARGIN) as u64),
        _ => prompt.max_output,
    };
    let stride = profile(node, job).map_or(1, |profile| u64::from(profile.stride.max(1)));
    let strides = max_output / stride + 1;
    plan.time_to_first_event + MAX_STRIDE_TIME * u32::try_from(strides).unwrap_or(u32::MAX)
}

/// Returns the timing profile of the engines that serve a job, if its service states one.
pub(super) fn profile(node: &Node, job: &Job) -> Option<EngineProfile> {
    let config = node.state.borrow().config.clone()?;
    config.service(&job.service)?.engine
}

/// Decides on a prompt from the current state. The prompt is added to the wait queue through `queue`.
fn decide(
    node: &Rc<Node>,
    job: &Job,
    state: &SendState,
    queue: &mut Option<QueueGuard>,
) -> Decision {
    let Some(profile) = profile(node, job) else {
        return decide_without_profile(node, job, state);
    };
    let work = work(node, job, state, profile.stride);
    if let Some(wait) = wait_from_outlook(node, job, &work, &profile, queue.as_ref()) {
        return Decision::Wait(wait);
    }
    let engines = node.engines(&job.service, profile, &job.homes, work.memory - work.prompt);
    let demand = placement::demand(&work, &profile, engines.len());
    let queued = queue.get_or_insert_with(|| node.enqueue(demand));
    let before = queued.update(demand);
    let service = ServiceState {
        queued_before: before.all,
        due_before: before.due,
        multi_engine_prompts: node.state.borrow().loads.multi_engine_prompts(),
        pressure: node.update_pressure(placement::pressure(&engines)),
        engines: engines.len(),
        placements_per_second: node
            .state
            .borrow()
            .loads
            .placements_per_second(clock::now()),
    };
    let decision = placement::choose(&work, &engines, &service);
    let waits_for_slots = |wait: &Wait| wait.reason == Reason::Slots;
    if may_use_all(job, &work) && matches!(&decision, Decision::Wait(wait) if waits_for_slots(wait))
    {
        node.keep_outlook(&job.service, &engines);
    }
    decision
}

/// Returns how long to hold on to a short prompt that is in the wait queue, if the recent outlook on the engines suffices
/// to decide that.
fn wait_from_outlook(
    node: &Node,
    job: &Job,
    work: &Work,
    profile: &EngineProfile,
    queue: Option<&QueueGuard>,
) -> Option<Wait> {
    if work.prompt >= SHORT_PROMPT_TOKENS || !may_use_all(job, work) {
        return None;
    }
    let queued = queue?;
    let outlook = node.recent_outlook(&job.service)?;
    let before = queued.update(placement::demand(work, profile, 1));
    placement::still_held(work, &outlook, before.all)
}

/// Returns whether a prompt may use all engines of its service.
fn may_use_all(job: &Job, work: &Work) -> bool {
    job.homes.is_unrestricted() && work.avoid.is_empty()
}

/// Places a stream of a service that states no engine profile: on the server with the fewest calls of this host.
fn decide_without_profile(node: &Node, job: &Job, state: &SendState) -> Decision {
    match node.pick_server(&job.service, &job.homes, &state.avoid) {
        None => Decision::Refuse(RETRY_DELAY),
        Some(server) => Decision::Send(Plan {
            primary: server.key(),
            helpers: Vec::new(),
            shares: Vec::new(),
            part_ms: 0.0,
            time_to_first_event: job.route.objective,
            slot_wait: Duration::ZERO,
            multi_engine: false,
        }),
    }
}

/// Returns the properties of a prompt that placement needs.
fn work(node: &Node, job: &Job, state: &SendState, stride: u32) -> Work {
    let prompt = job.prompt();
    let expectation = job.expectation(state.waits_since);
    let share_delay = node.share_delay(job);
    let expected_output = prompt.expected_output_tokens();
    let output = expected_output
        .max(u64::from(stride))
        .min(prompt.max_output.max(1));
    Work {
        prompt: prompt.tokens,
        memory: prompt.tokens + output,
        objective: expectation.objective,
        caller_timeout: job.caller_timeout(),
        waited: expectation.waited(clock::now()),
        time_left: job.time_left(),
        is_retry: job.is_retry(),
        earlier: job.time_since_first_attempt(),
        resumed: expectation.resumed,
        order_delay: share_delay + job.rank.order_delay(),
        queues_for_slots: job.homes.is_unrestricted() && node.has_single_engine_service(),
        over_share: share::is_far_over(share_delay),
        value: placement::value(prompt.tokens),
        avoid: state.avoid.clone(),
        stalled: state.stalled.clone(),
        random: Some(rand::rng().random()),
    }
}
