//! Waits until a prompt should be sent, and says to which engines.

use super::{COME_BACK, Tries};
use crate::clock;
use crate::event::{self, Record};
use crate::job::Job;
use crate::node::{Node, QueueGuard, Unavailability};
use alderglade_core::error::Kind as ErrorKind;
use alderglade_core::fleet::life::{Life, Waiting};
use alderglade_core::fleet::pass::EngineProfile;
use alderglade_core::fleet::placement::{self, Decision, Plan, Reason, ServiceState, Work};
use alderglade_core::request::Refusal;
use rand::RngExt;
use std::rc::Rc;
use std::time::Duration;

/// What a stride of an answer's tokens takes, at most, where engines are busy.
const STRIDE: Duration = Duration::from_millis(75);
/// A host that stops hands prompts that still wait back to their callers when it has less time left
/// than this, which is about what reading and answering a long prompt takes.
const STOP_PATIENCE: Duration = Duration::from_millis(5_000);

/// Waits until the prompt should be sent, and gives the plan.
///
/// # Errors
///
/// Gives the refusal where the prompt can't be answered in its time, or not before the host ends.
pub(super) async fn place(
    node: &Rc<Node>,
    job: &Job,
    tries: &mut Tries,
    life: &Life<Waiting>,
) -> Result<Plan, Refusal> {
    let mut queue = None;
    loop {
        if job.left().is_zero() {
            return Err(life.refuse(ErrorKind::ExpiredWaiting, COME_BACK));
        }
        job.cleared(node, life).await?;
        if tries.sends == 0 && !node.accepts_requests() {
            return Err(life.refuse(ErrorKind::Draining, COME_BACK));
        }
        if let Some(Unavailability { kind, after }) = node.unavailability(&job.service, &job.homes)
        {
            return Err(life.refuse(kind, after));
        }
        let ends_in = node.ends_in();
        match decide(node, job, tries, &mut queue) {
            Decision::Send(plan)
                if ends_in.is_some_and(|left| answer_time(node, job, &plan) > left) =>
            {
                return Err(life.refuse(ErrorKind::Draining, COME_BACK));
            }
            Decision::Send(plan) => return Ok(plan),
            Decision::Wait(_) if ends_in.is_some_and(|left| left < STOP_PATIENCE) => {
                return Err(life.refuse(ErrorKind::Draining, COME_BACK));
            }
            Decision::Refuse(after) => return Err(life.refuse(ErrorKind::Overloaded, after)),
            Decision::Wait(wait) => {
                tell_held(node, job, tries, wait.reason);
                if let Some(queue) = &mut queue {
                    queue.announce();
                }
                clock::sleep(wait.recheck_after).await;
            }
        }
    }
}

/// Writes why a prompt is held, once for each reason.
fn tell_held(node: &Node, job: &Job, tries: &mut Tries, reason: Reason) {
    if tries.held_for.contains(&reason) {
        return;
    }
    tries.held_for.push(reason);
    let multi_engine_prompts = node.state.borrow().loads.multi_engine_prompts();
    event::write(&Record::Held {
        id: &job.info.id,
        reason: reason.label(),
        prompt: job.prompt().tokens,
        waited_ms: job.waited().as_millis() as u64,
        giants: multi_engine_prompts,
        pressure: node.recent_pressure(),
    });
}

/// Gives the time that an answer may well take from now to its end.
fn answer_time(node: &Node, job: &Job, plan: &Plan) -> Duration {
    /// Callers' estimates are right in the median; half as much again covers most answers. One that takes longer is
    /// broken off at the end of the host's time, and its caller goes on elsewhere behind the last event; therefore this
    /// estimate decides only on prompts that came while the host still took requests.
    const LONGER: f64 = 1.5;
    let prompt = job.prompt();
    let max_output = match prompt.output_estimate {
        Some(expected) if job.route.kind.is_repeatable() => {
            prompt.max_output.min((expected as f64 * LONGER) as u64)
        }
        _ => prompt.max_output,
    };
    let stride = profile(node, job).map_or(1, |profile| u64::from(profile.stride.max(1)));
    let strides = max_output / stride + 1;
    plan.first_event + STRIDE * u32::try_from(strides).unwrap_or(u32::MAX)
}

/// Gives the timing of the engines that serve a job, if its service states it.
fn profile(node: &Node, job: &Job) -> Option<EngineProfile> {
    let config = node.state.borrow().config.clone()?;
    config.service(&job.service)?.engine
}

/// Gives the decision on a prompt as things stand now. A long one takes its place in `queue`.
fn decide(node: &Rc<Node>, job: &Job, tries: &Tries, queue: &mut Option<QueueGuard>) -> Decision {
    let Some(profile) = profile(node, job) else {
        return without_figures(node, job, tries);
    };
    let work = work(job, tries, profile.stride);
    let engines = node.engines(&job.service, profile, &job.homes);
    let demand = placement::demand(&work, &profile, engines.len());
    let before = demand.map_or(0, |demand| {
        let place = queue.get_or_insert_with(|| node.enqueue(demand));
        place.update(demand)
    });
    let shared = ServiceState {
        queued_before: before,
        multi_engine_prompts: node.state.borrow().loads.multi_engine_prompts(),
        pressure: node.pressure(placement::pressure(&engines)),
        engines: engines.len(),
    };
    placement::choose(&work, &engines, &shared)
}

/// Places a stream of a service that states no figures for its engines: least own calls first.
fn without_figures(node: &Node, job: &Job, tries: &Tries) -> Decision {
    match node.pick_server(&job.service, &job.homes, &tries.avoid) {
        None => Decision::Refuse(COME_BACK),
        Some(server) => Decision::Send(Plan {
            primary: server.key(),
            helpers: Vec::new(),
            shares: Vec::new(),
            part: 0.0,
            first_event: job.route.objective,
            multi_engine: false,
        }),
    }
}

/// Gives what placement must know of a prompt.
fn work(job: &Job, tries: &Tries, stride: u32) -> Work {
    let prompt = job.prompt();
    let likely = prompt.expected_output_tokens();
    let out = likely.max(u64::from(stride)).min(prompt.max_output.max(1));
    Work {
        prompt: prompt.tokens,
        memory: prompt.tokens + out,
        objective: job.route.objective,
        caller_timeout: job.caller_timeout(),
        waited: job.waited(),
        time_left: job.left(),
        is_retry: job.is_retry(),
        worth: placement::worth(prompt.tokens),
        avoid: tries.avoid.clone(),
        stalled: tries.stalled.clone(),
        random: Some(rand::rng().random()),
    }
}
