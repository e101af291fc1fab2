//! One send of a request to a backend server, and the handling of its failure.

use crate::client::{Error, Exchange, ResponseBody};
use crate::clock;
use crate::event::{self, Record, ResponseEnd, ServerBreak};
use crate::job::Job;
use crate::node::{Node, Permit};
use crate::proxy::Purpose;
use crate::translate::{Dispatch, Helper, Reply};
use crate::transport::{self, Outgoing};
use alderglade_core::Name;
use alderglade_core::fleet::directory::Server;
use alderglade_core::fleet::ending::{Ending, Framing, Place, ServerState};
use alderglade_core::fleet::health::Outcome;
use alderglade_core::fleet::quarantine::Identity;
use alderglade_core::time::Time;
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Why a send has no valid response.
#[derive(Debug)]
pub enum SendFailure {
    /// Nothing was sent.
    NotSent,
    /// Nothing was sent: the server's machine refused the connection.
    Closed,
    /// The server reports that it did not run the request, and possibly the address of the server at fault.
    Disclaimed(Option<SocketAddr>),
    /// The request may have run.
    Lost,
}

/// What a server receives with a request in addition to what its caller sent.
#[derive(Debug, Clone, Default)]
pub struct Addition {
    /// The servers that read parts of the prompt or hold memory for it.
    pub helpers: Vec<Helper>,
    /// The id of the last event that the caller already has.
    pub last_event: Option<String>,
    /// How early an engine admits the request; see [`Dispatch::urgency`].
    pub urgency: Option<u8>,
}

/// Sends a job to a server and waits for the head of the response. Sends nothing if the permit is no longer valid.
///
/// # Errors
///
/// Returns an error if there is no response, or if it belongs to another request.
pub async fn send(
    node: &Rc<Node>,
    job: &Job,
    server: &Server,
    permit: Permit,
    addition: Addition,
    attempt: u32,
) -> Result<(Exchange, Reply), SendFailure> {
    if !node.may_run_at(&job.homes, server) {
        log_failure(
            job,
            server,
            attempt,
            "the server is in no home of the request",
        );
        return Err(SendFailure::NotSent);
    }
    if !node.is_valid(&permit) {
        log_failure(job, server, attempt, "the server takes nothing now");
        return Err(SendFailure::NotSent);
    }
    let outgoing = Outgoing {
        id: &job.info.id,
        server,
        homes: &job.homes,
        purpose: Purpose::Request,
        fresh: !job.route.kind.is_repeatable(),
    };
    // The time left is that of each way that is tried, as those before take time.
    let request = || {
        let dispatch = Dispatch {
            server: server.id().clone(),
            time_left: job.time_left(),
            workspace: job.workspace.clone(),
            helpers: addition.helpers.clone(),
            last_event: addition.last_event.clone(),
            urgency: addition.urgency,
        };
        build_request(node, job, &dispatch)
    };
    let sent_at = clock::now();
    let exchange = match transport::send(node, &outgoing, request).await {
        Ok(exchange) => exchange,
        Err(error) => return Err(handle_error(node, job, server, attempt, &error).await),
    };
    let head = &exchange.head;
    let statement = node.translator.statement(head.status, &head.headers);
    node.apply_statement(server, &statement, sent_at);
    let reply = node.translator.reply(&head.headers);
    let is_own = reply.id.as_ref().is_none_or(|id| *id == job.info.id);
    if !is_own {
        log_failure(
            job,
            server,
            attempt,
            "the answer belongs to another request",
        );
        node.record_outcome(server.key(), Outcome::Failed);
        return Err(SendFailure::Lost);
    }
    let is_misdirected = exchange.head.status == StatusCode::MISDIRECTED_REQUEST;
    if is_misdirected && reply.at_fault.is_none_or(|fault| fault == server.address) {
        // Another process has taken over the address.
        node.record_server_end(server.key());
    }
    if reply.not_run || is_misdirected {
        log_failure(job, server, attempt, "the server did not run it");
        return Err(SendFailure::Disclaimed(reply.at_fault));
    }
    Ok((exchange, reply))
}

async fn handle_error(
    node: &Rc<Node>,
    job: &Job,
    server: &Server,
    attempt: u32,
    error: &Error,
) -> SendFailure {
    log_failure(job, server, attempt, &error.to_string());
    match error {
        Error::Unreachable { .. } => {
            node.record_outcome(server.key(), Outcome::Unreachable);
            SendFailure::NotSent
        }
        Error::Closed { .. } => {
            node.record_outcome(server.key(), Outcome::Closed);
            SendFailure::Closed
        }
        Error::NotSent | Error::Withheld => SendFailure::NotSent,
        Error::ProxyLost { .. } => SendFailure::Lost,
        Error::Lost { .. } => {
            node.record_outcome(server.key(), Outcome::Broken);
            // Peers are notified immediately: they may be about to send to that server, too.
            node.notice_due.notify_one();
            handle_broken_off(node, job, server, None).await;
            SendFailure::Lost
        }
    }
}

/// Delay before a replacement for a silent server is looked for again, after no server could take the request.
pub const REPLACEMENT_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Problem logged for a server that used all of a request's time.
pub const NO_ANSWER_IN_TIME: &str = "no answer in the time allowed";

/// Problem logged for a server to which this host's path is cut.
pub const PATH_LOST: &str = "the path to the server is cut";

/// Problem logged for a server that has ended, and whose response has neither a length nor chunks that mark its end.
pub const ENDED: &str = "the server has ended";

/// Problem logged for a server that restarted.
pub const RESTARTED: &str = "the server has started again";

/// Records and logs that a server was silent for longer than allowed.
pub fn record_silence(node: &Rc<Node>, job: &Job, server: &Server, attempt: u32, problem: &str) {
    log_failure(job, server, attempt, problem);
    node.record_outcome(server.key(), Outcome::Unreachable);
    if node.record_direct_silence(server.key()) {
        tokio::task::spawn_local(transport::test_path(node.clone(), server.clone()));
    }
}

/// Waits until a server has restarted and logs it: a request that was sent to it ended with the former incarnation.
pub async fn wait_until_restarted(node: &Node, job: &Job, server: &Server, attempt: u32) {
    node.wait_until_superseded(server).await;
    log_failure(job, server, attempt, RESTARTED);
}

/// Records that a server broke a request off and starts a check whether the server has ended. `first_event_at` is
/// when the request's first event arrived, if one did.
///
/// Returns immediately, unless the request is already suspected of ending servers. Such a request must not be sent
/// again before it is known whether this server ended under it, too.
pub async fn handle_broken_off(
    node: &Rc<Node>,
    job: &Job,
    server: &Server,
    first_event_at: Option<Time>,
) {
    /// Several round trips between failure domains. A server that cannot be reached takes longer, and has not ended.
    const CHECK_TIMEOUT: Duration = Duration::from_millis(50);
    let ran = first_event_at.map(|at| clock::now().since(at));
    // A server that was leaving ended as planned, whatever work it still had.
    if node.is_active(server.key()) {
        node.record_interruption(job.identity.clone(), server.key(), ran);
    }
    let check = ServerCheck {
        node: node.clone(),
        id: job.info.id.clone(),
        request: job.identity.clone(),
        server: server.clone(),
        ran,
    };
    let check_task = tokio::task::spawn_local(check.run());
    if node.is_suspect(&job.identity) {
        // Whether the check finished or timed out, what is known by then counts.
        let _ = tokio::time::timeout(CHECK_TIMEOUT, check_task).await;
    }
}

/// A check of a server that broke a request off.
struct ServerCheck {
    node: Rc<Node>,
    id: Name,
    request: Identity,
    server: Server,
    /// How long the request had run there since its first event, if one arrived.
    ran: Option<Duration>,
}

impl ServerCheck {
    /// Checks whether the server has ended. The connection shows only that it broke; a network fault looks the same.
    async fn run(self) {
        let ended = transport::has_ended(&self.node, &self.server).await;
        event::write(&Record::ServerBrokeOff(ServerBreak {
            id: &self.id,
            asked: self.request.fingerprint,
            server: self.server.id(),
            ran_ms: self.ran.map(|ran| ran.as_millis() as u64),
            ended,
            parts: &self.request.parts,
        }));
        if ended {
            self.node.record_server_end(self.server.key());
        }
    }
}

/// Returns whether a server has broken off a response that ended after a complete event, or that has no events. `body` is
/// that of the response, at its end.
pub async fn has_broken_off(node: &Rc<Node>, server: &Server, body: &mut ResponseBody) -> bool {
    match Ending::judge(body.framing, Place::Boundary) {
        Ending::Complete => false,
        Ending::BrokenOff => true,
        // Boxed: few responses need this future, and each relay would reserve room for it otherwise.
        Ending::Unconfirmed => {
            Ending::is_broken_off_by(Box::pin(server_state(node, server, body)).await)
        }
    }
}

/// Returns the state of a server whose response has ended with its connection.
async fn server_state(node: &Rc<Node>, server: &Server, body: &mut ResponseBody) -> ServerState {
    if node.is_superseded(server) {
        return ServerState::Restarted;
    }
    let Some((state, evidence)) = body.server_state().await else {
        return proxied_server_state(node, server).await;
    };
    let checks = &node.metrics.unframed_checks;
    checks.with_label_values(&[evidence.label()]).inc();
    if node.is_superseded(server) {
        return ServerState::Restarted;
    }
    state
}

/// Returns the state of a server whose response another host has carried, and confirmed if it can.
async fn proxied_server_state(node: &Rc<Node>, server: &Server) -> ServerState {
    /// Several round trips between failure domains.
    const CHECK_TIMEOUT: Duration = Duration::from_millis(100);
    match clock::timeout(CHECK_TIMEOUT, transport::has_ended(node, server)).await {
        Ok(true) => ServerState::Gone,
        _ => ServerState::Unknown,
    }
}

/// Counts and logs the end of a server's response, unless the server marked it and it lies between two events.
pub fn record_end(node: &Node, end: &ResponseEnd<'_>) {
    if end.framing == Framing::Close {
        let unframed = &node.metrics.unframed;
        unframed.with_label_values(&[end.outcome]).inc();
    } else if end.partial_bytes == 0 {
        return;
    }
    event::write(&Record::ResponseEnded(*end));
}

/// Logs that an attempt failed.
pub fn log_failure(job: &Job, server: &Server, attempt: u32, problem: &str) {
    event::write(&Record::AttemptFailed {
        id: &job.info.id,
        server: server.id(),
        attempt,
        problem,
    });
}

fn build_request(node: &Rc<Node>, job: &Job, dispatch: &Dispatch) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.target.clone();
    *request.headers_mut() = node.translator.forward(&job.headers, dispatch);
    request
}
