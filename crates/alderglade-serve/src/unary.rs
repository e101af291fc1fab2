//! Serves requests whose response is not a stream, by plain backend servers.

mod body_relay;

use crate::answer::{Chunk, Content};
use crate::attempt::{self, Addition, SendFailure};
use crate::client::{Collected, Exchange};
use crate::clock;
use crate::event::{self, Record, ResponseEnd};
use crate::forward;
use crate::job::Job;
use crate::memory::Portion;
use crate::node::{Node, Permit, Stage, Unavailability};
use crate::translate::Reply;
use alderglade_core::error::Kind as ErrorKind;
use alderglade_core::fleet::directory::Server;
use alderglade_core::fleet::ending::Framing;
use alderglade_core::fleet::health::Outcome;
use alderglade_core::fleet::incarnation::Key;
use alderglade_core::fleet::request_state::{RequestState, Waiting};
use alderglade_core::request::Refusal;
use body_relay::Rest;
use http::{Response, StatusCode};
use std::rc::Rc;
use std::time::Duration;

/// Retry delay that a caller is given if no server took its request.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Maximum number of servers tried for one request, including those to which nothing could be sent.
const MAX_SERVERS: usize = 4;
/// Share of its time that a repeatable request gives one server while others remain.
const FIRST_TRY_SHARE: f64 = 0.4;

/// A server and the permit to send it the request.
struct PermittedServer {
    server: Server,
    permit: Permit,
}

/// A server's response: all of it, or as much as the host has memory for.
struct ServerAnswer {
    first_chunk: Chunk,
    /// The remaining body, if any.
    rest: Option<Rest>,
}

/// The result of one attempt.
enum Try {
    /// The server responded, and the response can be relayed.
    Whole(Box<Response<ServerAnswer>>),
    /// Nothing was sent; this is not counted as an attempt.
    NotSent(RequestState<Waiting>),
    /// The request was sent, and there is no valid response.
    Failed(RequestState<Waiting>),
    /// The server is silent, and this other server can take the request.
    Replaced(RequestState<Waiting>, PermittedServer),
    /// The request's deadline has passed.
    Expired(RequestState<Waiting>),
}

/// Serves a request that is not a stream.
pub async fn serve(node: &Rc<Node>, job: Box<Job>) -> Response<Content> {
    let result = run(node, &job).await;
    match result {
        Ok(response) => finish(node, job, response),
        Err(refusal) => forward::refuse_job(node, &job, &refusal),
    }
}

/// Returns a server's response. If a response was a failure that justified a retry and no retry succeeded, the caller
/// receives that failure.
async fn run(node: &Rc<Node>, job: &Job) -> Result<Response<ServerAnswer>, Refusal> {
    let mut failed = None;
    node.record_first_send(&job.service);
    let result = try_servers(node, job, &mut failed).await;
    result.or_else(|refusal| failed.ok_or(refusal))
}

/// Tries one server after the other. Stores the last failure that justified a retry in `failed`.
async fn try_servers(
    node: &Rc<Node>,
    job: &Job,
    failed: &mut Option<Response<ServerAnswer>>,
) -> Result<Response<ServerAnswer>, Refusal> {
    let mut request_state = RequestState::new();
    let mut tried_servers: Vec<Key> = Vec::new();
    let mut sends = 0;
    let mut replacement = None;
    loop {
        let permitted = match replacement.take() {
            Some(permitted) => permitted,
            None => next_server(node, job, &request_state, &tried_servers, sends).await?,
        };
        job.check_quarantine(node, &request_state).await?;
        tried_servers.push(permitted.server.key());
        sends += 1;
        let attempts_left = sends < job.route.max_attempts;
        match try_server(node, job, permitted, request_state, &tried_servers, sends).await {
            Try::Whole(response) if attempts_left && may_retry(job, &response) => {
                request_state = RequestState::new().send().lost();
                *failed = Some(*response);
            }
            Try::Whole(response) => return Ok(*response),
            Try::NotSent(waiting) => {
                request_state = waiting;
                sends -= 1;
                if sends > 0 {
                    node.refund_retry(&job.service);
                }
            }
            Try::Failed(waiting) if waiting.may_have_run() && !job.route.kind.is_repeatable() => {
                return Err(waiting.refuse(ErrorKind::ContactLost, RETRY_DELAY));
            }
            Try::Failed(waiting) => request_state = waiting,
            Try::Replaced(waiting, other) => {
                request_state = waiting;
                replacement = Some(other);
            }
            Try::Expired(waiting) => {
                return Err(waiting.refuse(ErrorKind::ExpiredWaiting, RETRY_DELAY));
            }
        }
    }
}

/// Picks the server of the next attempt. Returns a refusal if there is none or no attempt remains.
async fn next_server(
    node: &Node,
    job: &Job,
    request_state: &RequestState<Waiting>,
    tried_servers: &[Key],
    sends: u32,
) -> Result<PermittedServer, Refusal> {
    if !request_state.may_have_run() && !node.accepts_requests() {
        return Err(request_state.refuse(ErrorKind::Draining, RETRY_DELAY));
    }
    let Some(permitted) = pick_permitted(node, job, tried_servers).await else {
        return Err(no_server(node, job, request_state));
    };
    let exhausted = sends >= job.route.max_attempts.max(1) || tried_servers.len() >= MAX_SERVERS;
    if exhausted || (sends > 0 && !node.spend_retry(&job.info.id, &job.service).await) {
        return Err(request_state.refuse(ErrorKind::Overloaded, RETRY_DELAY));
    }
    Ok(permitted)
}

/// Picks a server that accepts the request now, if there is one.
async fn pick_permitted(node: &Node, job: &Job, tried_servers: &[Key]) -> Option<PermittedServer> {
    while !job.time_left().is_zero() {
        let server = node.pick_server(&job.service, &job.homes, tried_servers)?;
        // The next pick leaves out a server that accepts nothing now.
        if let Ok(permit) = node.permit(server.key()).await {
            return Some(PermittedServer { server, permit });
        }
    }
    None
}

/// Refuses a request that no server accepts now. If the cause is known to be temporary, the caller receives its
/// duration.
fn no_server(node: &Node, job: &Job, request_state: &RequestState<Waiting>) -> Refusal {
    match node.unavailability(&job.service, &job.homes) {
        Some(Unavailability { kind, retry_after }) => request_state.refuse(kind, retry_after),
        None => request_state.refuse(ErrorKind::NoCapacity, RETRY_DELAY),
    }
}

/// Sends a request to one server and waits for its response. A server that exceeds its share of the time is abandoned
/// if another one can take the request. Otherwise it has all of the remaining time. `sends` includes this send.
async fn try_server(
    node: &Rc<Node>,
    job: &Job,
    permitted: PermittedServer,
    request_state: RequestState<Waiting>,
    tried_servers: &[Key],
    sends: u32,
) -> Try {
    let PermittedServer { server, permit } = permitted;
    let server = &server;
    let _call = node.track_call(server.key());
    log_placed(node, job, server, sends);
    job.progress.set_stage(Stage::Sent(server.id().clone()));
    let may_replace = sends < job.route.max_attempts && job.route.kind.is_repeatable();
    let sent = request_state.send();
    let whole = async move {
        let exchange = attempt::send(node, job, server, permit, Addition::default(), sends);
        let (exchange, reply) = exchange.await?;
        collect(node, job, server, sends, exchange, &reply).await
    };
    tokio::select! {
        // A response that has arrived takes precedence over any sign of its absence.
        biased;
        answer = whole => match answer {
            Ok(response) => Try::Whole(Box::new(response)),
            Err(SendFailure::NotSent | SendFailure::Closed) => Try::NotSent(sent.never_sent()),
            Err(SendFailure::Disclaimed(_)) => Try::Failed(sent.disclaimed()),
            Err(SendFailure::Lost) => Try::Failed(sent.lost()),
        },
        other = find_replacement(node, job, server, tried_servers, sends), if may_replace => {
            Try::Replaced(sent.lost(), other)
        }
        () = attempt::wait_until_restarted(node, job, server, sends) => Try::Failed(sent.lost()),
        () = clock::sleep_and_yield(job.time_left()) => {
            attempt::record_silence(node, job, server, sends, attempt::NO_ANSWER_IN_TIME);
            Try::Expired(sent.lost())
        }
    }
}

/// Finds another server for a request whose server exceeded its share of the time. Keeps waiting while there is none,
/// or if the host will stop before the other server would have had its time.
async fn find_replacement(
    node: &Rc<Node>,
    job: &Job,
    silent: &Server,
    tried_servers: &[Key],
    sends: u32,
) -> PermittedServer {
    let sent = clock::now();
    tokio::select! {
        () = clock::sleep_and_yield(job.time_left().mul_f64(FIRST_TRY_SHARE)) => {
            attempt::record_silence(node, job, silent, sends, attempt::NO_ANSWER_IN_TIME);
        }
        // The server is not at fault.
        () = node.wait_until_path_lost(silent.key(), sent) => {
            attempt::log_failure(job, silent, sends, attempt::PATH_LOST);
        }
    }
    loop {
        let other = node.pick_server(&job.service, &job.homes, tried_servers);
        let other = other.filter(|server| !tried_servers.contains(&server.key()));
        let stops_before_deadline = node.ends_in().is_some_and(|left| left < job.time_left());
        let room = tried_servers.len() < MAX_SERVERS && !stops_before_deadline;
        if let Some(server) = other.filter(|_| room)
            && let Ok(permit) = node.permit(server.key()).await
            && node.spend_retry(&job.info.id, &job.service).await
        {
            return PermittedServer { server, permit };
        }
        clock::sleep(attempt::REPLACEMENT_RETRY_DELAY).await;
    }
}

fn log_placed(node: &Node, job: &Job, server: &Server, attempt: u32) {
    event::write(&Record::Placed {
        id: &job.info.id,
        asked: job.identity.fingerprint,
        server: server.id(),
        attempt,
        prompt: 0,
        helpers: 0,
        shares: 0,
        waited_ms: job.waited().as_millis() as u64,
        expected_ms: job.route.objective.as_millis() as u64,
        config: job.config,
        stopping_ms: node.stopping_ms(),
        requester: &job.into(),
        slot_wait_ms: 0,
        resumed: false,
        since_event_ms: None,
    });
}

/// Reads the response and checks whether it can be relayed.
async fn collect(
    node: &Rc<Node>,
    job: &Job,
    server: &Server,
    attempt: u32,
    exchange: Exchange,
    reply: &Reply,
) -> Result<Response<ServerAnswer>, SendFailure> {
    let genuine = reply.genuine;
    let framing = exchange.body.framing;
    let mut memory = Portion::new(&node.memory);
    let collected = exchange.collect_while(|bytes| memory.grow(bytes)).await;
    let (response, rest) = match collected {
        Ok(Collected::Whole(response, mut body)) => {
            if attempt::has_broken_off(node, server, &mut body).await {
                record_broken_off(node, job, server, attempt, framing, attempt::ENDED).await;
                return Err(SendFailure::Lost);
            }
            record_end(node, job, server, framing, "closed");
            (response, None)
        }
        Ok(Collected::Partial(response, body)) => {
            let rest = Rest {
                body,
                server: server.clone(),
                attempt,
            };
            (response, Some(rest))
        }
        Err(error) => {
            record_broken_off(node, job, server, attempt, framing, &error.to_string()).await;
            return Err(SendFailure::Lost);
        }
    };
    let status = response.status();
    // These statuses without the header that the request did not run guarantee nothing.
    let is_ambiguous = matches!(status.as_u16(), 408 | 421 | 429 | 503);
    if is_ambiguous || (status.is_success() && !genuine) {
        attempt::log_failure(job, server, attempt, "the answer can't be trusted");
        node.record_outcome(server.key(), Outcome::Failed);
        return Err(SendFailure::Lost);
    }
    let outcome = outcome(status);
    // The outcome of a success that is still arriving is not known yet.
    if outcome == Outcome::Failed || rest.is_none() {
        record_outcome(node, job, server, outcome);
    }
    Ok(response.map(|body| ServerAnswer {
        first_chunk: Chunk::new(body, memory),
        rest,
    }))
}

/// Returns what a whole response with this status shows of its server.
fn outcome(status: StatusCode) -> Outcome {
    if status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT {
        Outcome::Failed
    } else {
        Outcome::Success
    }
}

/// Records what became of a request at its server.
fn record_outcome(node: &Node, job: &Job, server: &Server, outcome: Outcome) {
    node.record_outcome(server.key(), outcome);
    if outcome == Outcome::Success {
        node.record_success(job.identity.fingerprint);
        node.record_sound(&job.identity.parts, job.arrived());
    }
}

/// Records that a server broke off its response.
async fn record_broken_off(
    node: &Rc<Node>,
    job: &Job,
    server: &Server,
    attempt: u32,
    framing: Framing,
    problem: &str,
) {
    record_end(node, job, server, framing, "failed");
    attempt::log_failure(job, server, attempt, problem);
    node.record_outcome(server.key(), Outcome::Failed);
    attempt::handle_broken_off(node, job, server, None).await;
}

/// Records how a server's response ended.
fn record_end(node: &Node, job: &Job, server: &Server, framing: Framing, outcome: &'static str) {
    let end = ResponseEnd {
        id: &job.info.id,
        server: server.id(),
        framing,
        partial_bytes: 0,
        outcome,
    };
    attempt::record_end(node, &end);
}

/// Returns whether a server's failure may be retried elsewhere.
fn may_retry(job: &Job, response: &Response<ServerAnswer>) -> bool {
    job.route.kind.is_repeatable() && response.status().is_server_error()
}

/// Builds what the caller receives. The rest of a large response is relayed as the caller reads it.
fn finish(node: &Rc<Node>, job: Box<Job>, response: Response<ServerAnswer>) -> Response<Content> {
    let (head, ServerAnswer { first_chunk, rest }) = response.into_parts();
    let content = match rest {
        None => {
            log_answered(node, &job, head.status);
            Content::Whole(Some(first_chunk))
        }
        Some(rest) => body_relay::start(node, job, head.status, first_chunk, rest),
    };
    let mut answer = Response::new(content);
    *answer.status_mut() = head.status;
    *answer.headers_mut() = node.translator.give_back(&head.headers);
    answer
}

fn log_answered(node: &Node, job: &Job, status: StatusCode) {
    let took = clock::now().since(job.arrived());
    let in_time = took <= job.route.objective && status.is_success();
    let met = if in_time { "yes" } else { "no" };
    node.metrics.objectives.with_label_values(&[met]).inc();
    node.metrics.first_event.observe(took.as_secs_f64());
    let outcome = if status.is_success() {
        "served"
    } else {
        "server_failed"
    };
    node.metrics.answers.with_label_values(&[outcome]).inc();
    let requester = &job.into();
    if status.is_success() && !in_time {
        node.metrics.by_requester.count_late(requester);
    }
    event::write(&Record::Answered {
        id: &job.info.id,
        status: status.as_u16(),
        took_ms: took.as_millis() as u64,
        first_ms: took.as_millis() as u64,
        longest_pause_ms: 0,
        aim_ms: job.route.objective.as_millis() as u64,
        pause_aim_ms: None,
        requester,
    });
}
