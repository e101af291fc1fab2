//! One send of a request to a backend server, and what became of it.

use crate::client::{Error, Exchange};
use crate::clock;
use crate::event::{self, Record};
use crate::job::Job;
use crate::node::{Node, Permit};
use crate::translate::{Dispatch, Helper, Reply};
use alderglade_core::Name;
use alderglade_core::fleet::directory::Server;
use alderglade_core::fleet::fingerprint::Fingerprint;
use alderglade_core::fleet::health::Outcome;
use alderglade_core::time::Time;
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// What became of a send whose answer doesn't count.
#[derive(Debug)]
pub enum Miss {
    /// Nothing was sent.
    NotSent,
    /// Nothing was sent, since nobody listens at the server's address.
    Closed,
    /// The server says that it did not run the request, and maybe where the server at fault is.
    Disclaimed(Option<SocketAddr>),
    /// The request may have run.
    Lost,
}

/// Sends a job to a server and waits for the head of the answer. Nothing is sent where the permit doesn't hold any more.
///
/// # Errors
///
/// Where there is no answer, or it isn't this request's.
pub async fn send(
    node: &Rc<Node>,
    job: &Job,
    server: &Server,
    permit: Permit,
    helpers: Vec<Helper>,
    last_event: Option<String>,
    number: u32,
) -> Result<(Exchange, Reply), Miss> {
    if !node.may_run_at(&job.homes, server) {
        tell(
            job,
            server,
            number,
            "the server is in no home of the request",
        );
        return Err(Miss::NotSent);
    }
    if !node.is_valid(&permit) {
        tell(job, server, number, "the server takes nothing now");
        return Err(Miss::NotSent);
    }
    let dispatch = Dispatch {
        server: server.id().clone(),
        time_left: job.left(),
        workspace: job.workspace.clone(),
        helpers,
        last_event,
    };
    let fresh = !job.route.kind.is_repeatable();
    let request = outgoing(node, job, &dispatch);
    let sent = clock::now();
    let exchange = match node.client.send(server.address, request, fresh).await {
        Ok(exchange) => exchange,
        Err(error) => return Err(unanswered(node, job, server, number, &error).await),
    };
    let head = &exchange.head;
    let statement = node.translator.statement(head.status, &head.headers);
    node.apply_statement(server, &statement, sent);
    let reply = node.translator.reply(&head.headers);
    let own = reply.id.as_ref().is_none_or(|id| *id == job.info.id);
    if !own {
        tell(job, server, number, "the answer belongs to another request");
        node.record_outcome(server.key(), Outcome::Failed);
        return Err(Miss::Lost);
    }
    if reply.not_run || exchange.head.status == StatusCode::MISDIRECTED_REQUEST {
        tell(job, server, number, "the server did not run it");
        return Err(Miss::Disclaimed(reply.at_fault));
    }
    Ok((exchange, reply))
}

async fn unanswered(
    node: &Rc<Node>,
    job: &Job,
    server: &Server,
    number: u32,
    error: &Error,
) -> Miss {
    tell(job, server, number, &error.to_string());
    match error {
        Error::Unreachable { .. } => {
            node.record_outcome(server.key(), Outcome::Silent);
            Miss::NotSent
        }
        Error::Closed { .. } => {
            node.record_outcome(server.key(), Outcome::Closed);
            Miss::Closed
        }
        Error::NotSent => Miss::NotSent,
        Error::Lost { .. } => {
            node.record_outcome(server.key(), Outcome::Broken);
            // Others are told at once: they may be about to send there too.
            node.loads_changed.notify_one();
            broken_off(node, job, server, None).await;
            Miss::Lost
        }
    }
}

/// How long a request whose server is silent waits until another one is looked for again, after none could take it.
pub const LOOK_AGAIN: Duration = Duration::from_millis(300);
/// What is told of a server that has used all of a request's time.
pub const NO_ANSWER: &str = "no answer in the time allowed";

/// What is told of a server that has started again.
pub const STARTED_AGAIN: &str = "the server has started again";

/// Notes that a server has said nothing for as long as it may, and writes so.
pub fn note_silent(node: &Node, job: &Job, server: &Server, attempt: u32, problem: &str) {
    tell(job, server, attempt, problem);
    node.record_outcome(server.key(), Outcome::Silent);
}

/// Waits until a server has started again, and writes so: what was sent to it ended with its former lifetime.
pub async fn over(node: &Node, job: &Job, server: &Server, attempt: u32) {
    node.wait_until_superseded(server).await;
    tell(job, server, attempt, STARTED_AGAIN);
}

/// Notes that a server broke a request off, and has it looked at whether the server has ended. `began` is when the
/// request's first event came, if one did.
///
/// Returns at once, but for a request that is suspected already: that one is not sent on before it is known whether this
/// end is another one under it.
pub async fn broken_off(node: &Rc<Node>, job: &Job, server: &Server, began: Option<Time>) {
    /// Some ways there and back between failure domains; who is dark takes longer, and has not ended.
    const PATIENCE: Duration = Duration::from_millis(50);
    let ran = began.map(|began| clock::now().since(began));
    // A server that was leaving has ended as it was asked to, whatever it still had.
    if node.is_active(server.key()) {
        node.record_interruption(job.fingerprint, server.key(), ran);
    }
    let inspection = Inspection {
        node: node.clone(),
        id: job.info.id.clone(),
        fingerprint: job.fingerprint,
        server: server.clone(),
        ran,
    };
    let look = tokio::task::spawn_local(inspection.run());
    if node.is_suspect(job.fingerprint) {
        // In vain or not, what is known then counts.
        let _ = tokio::time::timeout(PATIENCE, look).await;
    }
}

/// A look at a server that broke a request off.
struct Inspection {
    node: Rc<Node>,
    id: Name,
    fingerprint: Fingerprint,
    server: Server,
    /// How long the request had run there, if it had begun.
    ran: Option<Duration>,
}

impl Inspection {
    /// Looks whether the server has ended. The connection shows only that it broke: a fault of the way there looks the same.
    async fn run(self) {
        let address = self.server.address;
        let ended = self.node.client.listens(address).await == Some(false);
        event::write(&Record::ServerBrokeOff {
            id: &self.id,
            asked: self.fingerprint,
            server: self.server.id(),
            ran_ms: self.ran.map(|ran| ran.as_millis() as u64),
            ended,
        });
        if ended {
            self.node.record_server_end(self.server.key());
        }
    }
}

/// Writes that a try failed.
pub fn tell(job: &Job, server: &Server, attempt: u32, problem: &str) {
    event::write(&Record::AttemptFailed {
        id: &job.info.id,
        server: server.id(),
        attempt,
        problem,
    });
}

fn outgoing(node: &Rc<Node>, job: &Job, dispatch: &Dispatch) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.target.clone();
    *request.headers_mut() = node.translator.forward(&job.headers, dispatch);
    request
}
