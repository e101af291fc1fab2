//! Serves generations: places a prompt, sends it to a backend server and starts to relay the stream.

mod place;
mod reservation;
mod state;

pub use state::SendState;

use crate::answer::Content;
use crate::attempt::{self, Addition, SendFailure};
use crate::client::Exchange;
use crate::clock;
use crate::event::{self, Record};
use crate::forward;
use crate::job::Job;
use crate::node::{Node, Permit, RequestGuard, ReservationGuard, Stage};
use crate::relay;
use crate::slowdown::Reading;
use crate::ticket::Tickets;
use crate::translate::{Helper, Reply};
use alderglade_core::error::Kind as ErrorKind;
use alderglade_core::fleet::caller;
use alderglade_core::fleet::directory::Server;
use alderglade_core::fleet::health::Outcome;
use alderglade_core::fleet::placement::Plan;
use alderglade_core::fleet::request_state::{RequestState, Sent, Waiting};
use alderglade_core::fleet::share;
use alderglade_core::request::Refusal;
use alderglade_core::time::Time;
use http::Response;
use std::rc::Rc;
use std::time::Duration;

/// Retry delay that a caller is given if its stream could not be started.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// How late a first event may be, in addition to a multiple of the expected time, before a resumable stream moves to
/// another server. Longer than the time for which work on a dead server stalls.
const FIRST_EVENT_SLACK: Duration = Duration::from_millis(2_000);
/// Multiple of the expected time to the first event that is allowed before that.
const FIRST_EVENT_FACTOR: u32 = 3;
/// Delay before a prompt is placed again after memory could not be reserved for it: the time of a few events.
const MEMORY_RETRY_DELAY: Duration = Duration::from_millis(120);

/// A stream that a server has begun to send.
pub struct OpenStream {
    /// The response, whose body is still to come.
    pub exchange: Exchange,
    /// The server that sends the stream.
    pub server: Server,
    /// The placement in the load table.
    pub reservation: ReservationGuard,
    /// Memory reserved at several engines, if the prompt needs it.
    pub tickets: Option<Tickets>,
    /// The engines that read the prompt.
    pub reading: Reading,
    /// Longest silence before the stream moves to another server.
    pub silence: Duration,
}

/// A plan and the permit to send the prompt according to it.
struct PermittedPlan {
    plan: Plan,
    permit: Permit,
}

/// A generation with all resources that its plan needs.
struct Placement {
    /// The server that answers.
    server: Server,
    /// The servers that read parts of the prompt or hold memory for it.
    helpers: Vec<Helper>,
    /// The placement in the load table.
    reservation: ReservationGuard,
    /// Memory reserved at several engines, if the prompt needs it.
    tickets: Option<Tickets>,
    /// The engines that read the prompt.
    reading: Reading,
}

impl Placement {
    /// Returns the open stream; `silence` is the longest silence that it is allowed.
    fn open(self, exchange: Exchange, silence: Duration) -> OpenStream {
        OpenStream {
            exchange,
            server: self.server,
            reservation: self.reservation,
            tickets: self.tickets,
            reading: self.reading,
            silence,
        }
    }
}

/// Serves a generation. `in_flight` counts the request until the stream has ended.
pub async fn serve(node: &Rc<Node>, job: Box<Job>, in_flight: RequestGuard) -> Response<Content> {
    node.record_first_send(&job.service);
    let mut state = SendState::default();
    let last_event = job.info.last_event.clone();
    match open(node, &job, &mut state, last_event).await {
        Err(refusal) => forward::refuse_job(node, &job, &refusal),
        Ok(opened) => relay::start(node, job, state, opened, in_flight),
    }
}

/// Places and sends a generation until a server begins to answer it.
///
/// If the future is dropped before that, `state` counts a send that may have reached a server.
///
/// # Errors
///
/// Returns the refusal to answer with if no server begins.
pub async fn open(
    node: &Rc<Node>,
    job: &Job,
    state: &mut SendState,
    last_event: Option<String>,
) -> Result<OpenStream, Refusal> {
    let mut request_state: RequestState<Waiting> = RequestState::new();
    let mut next = None;
    loop {
        job.progress.set_stage(Stage::Waiting);
        let PermittedPlan { plan, permit } = match next.take() {
            Some(permitted) => permitted,
            None => next_plan(node, job, state, &request_state).await?,
        };
        let Some(mut placed) = acquire_resources(node, job, &plan, state).await else {
            continue;
        };
        // Reserving memory and borrowing budget may have taken a while.
        job.check_quarantine(node, &request_state).await?;
        state.total += 1;
        state.readers.clone_from(&plan.helpers);
        state.placed_at = Some(clock::now());
        let resumed = last_event.is_some() || state.waits_since.is_some();
        log_placed(node, job, &placed.server, &plan, state, resumed);
        job.progress
            .set_stage(Stage::Sent(placed.server.id().clone()));
        state.sends += 1;
        state.arrivals += 1;
        let sent = request_state.send();
        let silence = silence(job, &plan, state.waits_since);
        let options = SendOptions {
            permit,
            last_event: last_event.clone(),
            silence,
        };
        request_state = match send(node, job, state, &mut placed, options).await {
            SendResult::Answered(exchange) => {
                placed.reservation.resume();
                return Ok(placed.open(exchange, silence));
            }
            SendResult::Failed(failure) => {
                record_failure(node, job, state, &placed.server, sent, failure)
            }
            SendResult::Replaced(permitted) => {
                next = Some(permitted);
                sent.lost()
            }
        };
        if next.is_none() {
            state.avoid.push(placed.server.key());
            check_retry(job, state, &request_state)?;
        }
    }
}

/// Returns the plan of the next send, if the budget allows one more.
async fn next_plan(
    node: &Rc<Node>,
    job: &Job,
    state: &mut SendState,
    request_state: &RequestState<Waiting>,
) -> Result<PermittedPlan, Refusal> {
    let permitted = permitted_plan(node, job, state, request_state).await?;
    if state.arrivals > 0 && !node.spend_retry(&job.info.id, &job.service).await {
        return Err(request_state.refuse(ErrorKind::Overloaded, RETRY_DELAY));
    }
    Ok(permitted)
}

/// Returns a plan whose engines all permit the send.
async fn permitted_plan(
    node: &Rc<Node>,
    job: &Job,
    state: &mut SendState,
    request_state: &RequestState<Waiting>,
) -> Result<PermittedPlan, Refusal> {
    loop {
        let plan = place::place(node, job, state, request_state).await?;
        // The next plan leaves out an engine that accepts nothing now.
        if let Ok(permit) = node.permit_plan(&plan).await {
            return Ok(PermittedPlan { plan, permit });
        }
    }
}

/// Acquires the resources that a plan needs. Returns `None` if its server is gone or the memory cannot be reserved;
/// another plan must then be made.
async fn acquire_resources(
    node: &Rc<Node>,
    job: &Job,
    plan: &Plan,
    state: &mut SendState,
) -> Option<Placement> {
    let Some(server) = node.server(plan.primary) else {
        state.avoid.push(plan.primary);
        return None;
    };
    let reservation = node.reserve(job, reservation::of_plan(job, plan));
    let Ok(tickets) = reserve_memory(node, job, plan, state).await else {
        drop(reservation);
        tokio::time::sleep(MEMORY_RETRY_DELAY).await;
        return None;
    };
    Some(Placement {
        helpers: reservation::helpers(node, plan, tickets.as_ref()),
        server,
        reservation,
        tickets,
        reading: Reading::begin(plan),
    })
}

/// Returns how long a server may stay silent before its first event: until the event is too late, or until its caller
/// might leave before another server begins. `waits_since` is that of [`SendState`].
fn silence(job: &Job, plan: &Plan, waits_since: Option<Time>) -> Duration {
    let late = plan.time_to_first_event * FIRST_EVENT_FACTOR + FIRST_EVENT_SLACK;
    let waited = job.expectation(waits_since).waited(clock::now());
    let caller_timeout = job.caller_timeout().saturating_sub(waited);
    caller::silence_timeout(caller_timeout).min(late)
}

/// Parameters of one send of a generation.
struct SendOptions {
    /// The permit to send it.
    permit: Permit,
    /// The id of the last event that the caller already has.
    last_event: Option<String>,
    /// Silence after which another server is looked for.
    silence: Duration,
}

/// The result of a send.
enum SendResult {
    /// The head of a valid response arrived.
    Answered(Exchange),
    /// There is no valid response.
    Failed(SendFailure),
    /// The server is silent, and another one can take the request with this plan.
    Replaced(PermittedPlan),
}

/// Sends a generation to one server and waits for the head of a valid response. A server that exceeds its silence
/// limit is abandoned if another one is found. Otherwise it has as long as the caller waits.
async fn send(
    node: &Rc<Node>,
    job: &Job,
    state: &mut SendState,
    placed: &mut Placement,
    options: SendOptions,
) -> SendResult {
    let SendOptions {
        permit,
        last_event,
        silence,
    } = options;
    let server = &placed.server;
    let sends_left = state.may_send(job.route.max_attempts);
    let may_replace = sends_left && job.route.kind.is_repeatable();
    let attempt = state.total;
    let addition = Addition {
        helpers: placed.helpers.clone(),
        last_event,
        urgency: urgency(node, job, state),
    };
    let answer = async move {
        let answer = attempt::send(node, job, server, permit, addition, attempt).await;
        check_response(node, job, server, attempt, answer)
    };
    tokio::select! {
        // A response that has arrived takes precedence over any sign of its absence.
        biased;
        result = answer => result,
        permitted = find_replacement(
            node, job, state, server, &mut placed.reservation, silence,
        ), if may_replace => {
            SendResult::Replaced(permitted)
        }
        () = attempt::wait_until_restarted(node, job, server, attempt) => {
            SendResult::Failed(SendFailure::Lost)
        }
        () = clock::sleep_and_yield(job.time_left()) => {
            attempt::record_silence(node, job, server, attempt, attempt::NO_ANSWER_IN_TIME);
            SendResult::Failed(SendFailure::Lost)
        }
    }
}

/// Returns how early an engine should admit a generation; `None` if its server is no engine.
fn urgency(node: &Node, job: &Job, state: &SendState) -> Option<u8> {
    place::profile(node, job)?;
    let resumed = job.expectation(state.waits_since).resumed;
    // A workspace far over its share has no privilege as a retry, neither in the wait queue nor at an engine.
    let is_retry = job.has_waited_to_retry() && !share::is_far_over(node.share_delay(job));
    job.rank.urgency(is_retry, resumed)
}

/// Finds another server for a generation whose server has sent nothing for `silence`. Keeps waiting while no server
/// can take it, as on a host that is about to stop.
async fn find_replacement(
    node: &Rc<Node>,
    job: &Job,
    state: &mut SendState,
    silent_server: &Server,
    reservation: &mut ReservationGuard,
    silence: Duration,
) -> PermittedPlan {
    let sent = clock::now();
    tokio::select! {
        () = clock::sleep_and_yield(silence) => record_stall(node, job, state, silent_server),
        // The server is not at fault.
        () = node.wait_until_path_lost(silent_server.key(), sent) => {
            attempt::log_failure(job, silent_server, state.total, attempt::PATH_LOST);
            state.avoid.push(silent_server.key());
        }
    }
    reservation.suspend();
    let request_state = RequestState::new().send().lost();
    loop {
        let plan = place::place(node, job, state, &request_state).await;
        let other = plan.ok().filter(|plan| plan.primary != silent_server.key());
        if let Some(plan) = other
            && let Ok(permit) = node.permit_plan(&plan).await
            && node.spend_retry(&job.info.id, &job.service).await
        {
            return PermittedPlan { plan, permit };
        }
        clock::sleep(attempt::REPLACEMENT_RETRY_DELAY).await;
    }
}

/// Records that a server sent nothing. If others read parts of the prompt, any of them may be at fault. In that case
/// the server is not reported as silent, and the next plan uses different engines, so that the same one does not
/// stall the prompt again.
fn record_stall(node: &Rc<Node>, job: &Job, state: &mut SendState, silent_server: &Server) {
    if state.readers.is_empty() {
        attempt::record_silence(node, job, silent_server, state.total, "silence");
    } else {
        attempt::log_failure(job, silent_server, state.total, "silence");
        state.stalled.push(silent_server.key());
        state.stalled.append(&mut state.readers);
    }
    state.avoid.push(silent_server.key());
}

/// Returns whether a response is valid.
fn check_response(
    node: &Node,
    job: &Job,
    server: &Server,
    attempt: u32,
    answer: Result<(Exchange, Reply), SendFailure>,
) -> SendResult {
    let (exchange, reply) = match answer {
        Ok(answer) => answer,
        Err(failure) => return SendResult::Failed(failure),
    };
    let status = exchange.head.status;
    if status.is_success() && reply.genuine {
        return SendResult::Answered(exchange);
    }
    node.record_outcome(server.key(), Outcome::Failed);
    attempt::log_failure(job, server, attempt, status.as_str());
    SendResult::Failed(SendFailure::Lost)
}

/// Records a send without a valid response; the request waits again.
fn record_failure(
    node: &Node,
    job: &Job,
    state: &mut SendState,
    server: &Server,
    sent: RequestState<Sent>,
    failure: SendFailure,
) -> RequestState<Waiting> {
    match failure {
        SendFailure::NotSent | SendFailure::Closed => {
            state.refused_connections += u32::from(matches!(failure, SendFailure::Closed));
            state.sends -= 1;
            state.arrivals -= 1;
            if state.arrivals > 0 {
                node.refund_retry(&job.service);
            }
            sent.never_sent()
        }
        SendFailure::Disclaimed(at_fault) => {
            state.sends -= 1;
            let refusing =
                at_fault.and_then(|address| node.record_refusing_server(address, server));
            state.avoid.extend(refusing);
            sent.disclaimed()
        }
        SendFailure::Lost => sent.lost(),
    }
}

/// Memory could not be reserved.
struct NoMemory;

/// Reserves the memory that no single engine has, if the plan requires it.
async fn reserve_memory(
    node: &Rc<Node>,
    job: &Job,
    plan: &Plan,
    state: &mut SendState,
) -> Result<Option<Tickets>, NoMemory> {
    if plan.shares.is_empty() {
        return Ok(None);
    }
    // Each set has its own name: a late release of a refused set must not end the next one.
    state.memory_sets += 1;
    let name = format!("{}-{}", job.info.id, state.memory_sets);
    match Tickets::reserve(node, &name, &plan.shares).await {
        Some(tickets) => Ok(Some(tickets)),
        None => Err(NoMemory),
    }
}

/// Returns a refusal if the request may not be sent again.
fn check_retry(
    job: &Job,
    state: &SendState,
    request_state: &RequestState<Waiting>,
) -> Result<(), Refusal> {
    if job.time_left().is_zero() {
        return Err(request_state.refuse(ErrorKind::ExpiredWaiting, RETRY_DELAY));
    }
    let may_repeat = !request_state.may_have_run() || job.route.kind.is_repeatable();
    let sends_left = state.may_send(job.route.max_attempts);
    if may_repeat && sends_left {
        return Ok(());
    }
    let kind = if request_state.may_have_run() {
        ErrorKind::ContactLost
    } else {
        ErrorKind::Overloaded
    };
    Err(request_state.refuse(kind, RETRY_DELAY))
}

fn log_placed(
    node: &Node,
    job: &Job,
    server: &Server,
    plan: &Plan,
    state: &SendState,
    resumed: bool,
) {
    let waited = job.waited();
    let since_event = state.waits_since.map(|at| clock::now().since(at));
    node.metrics.wait_time.observe(waited.as_secs_f64());
    event::write(&Record::Placed {
        id: &job.info.id,
        asked: job.identity.fingerprint,
        server: server.id(),
        attempt: state.total,
        prompt: job.prompt().tokens,
        helpers: plan.helpers.len(),
        shares: plan.shares.len(),
        waited_ms: waited.as_millis() as u64,
        expected_ms: plan.time_to_first_event.as_millis() as u64,
        config: job.config,
        stopping_ms: node.stopping_ms(),
        requester: &job.into(),
        slot_wait_ms: plan.slot_wait.as_millis() as u64,
        resumed,
        since_event_ms: since_event.map(|time| time.as_millis() as u64),
    });
}
