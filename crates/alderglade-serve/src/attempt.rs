//! One request that was let in, and one send of it to a backend server.

use crate::client::{Error, Exchange};
use crate::clock;
use crate::event::{self, Record};
use crate::node::Node;
use crate::translate::{Ask, Dispatch, Helper, Prompt, Reply};
use alderglade_core::Name;
use alderglade_core::fleet::book::PauseClass;
use alderglade_core::fleet::caller;
use alderglade_core::fleet::config::{Kind, Route};
use alderglade_core::fleet::directory::Server;
use alderglade_core::fleet::health::Outcome;
use alderglade_core::time::Time;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use http_body_util::Full;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// What a prompt counts as whose caller says nothing of it: an ordinary short one.
const ORDINARY: Prompt = Prompt {
    tokens: 5_000,
    most_out: 1_000,
    expected_out: None,
};

/// A request that was read whole and let in.
pub struct Job {
    /// What its caller says.
    pub ask: Ask,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// The headers as they came.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Its route.
    pub route: Route,
    /// The service that it goes to.
    pub service: Name,
    /// The workspace that it is served for.
    pub workspace: Option<Name>,
    /// The version of the configuration that let it in.
    pub config: u64,
    /// When its head came.
    pub arrived: Time,
    /// When it must be over.
    pub ends: Time,
}

impl Job {
    /// Gives the time that is left.
    pub fn left(&self) -> Duration {
        self.ends.left(clock::now())
    }

    /// Gives the time since it came.
    pub fn waited(&self) -> Duration {
        clock::now().since(self.arrived)
    }

    /// Gives how long its caller waits for the first or the next event.
    pub fn patience(&self) -> Duration {
        let longest_pause = match self.route.kind {
            Kind::Stream { longest_pause, .. } => longest_pause,
            Kind::Idempotent | Kind::NonIdempotent => Duration::ZERO,
        };
        caller::patience(self.route.aim, longest_pause)
    }

    /// Says whether its caller has probably asked before: it waits for less time than the route allows.
    pub fn came_back(&self) -> bool {
        /// Callers whose time is as long as their route's say so to the millisecond.
        const SURE: Duration = Duration::from_millis(100);
        let limit = self.ask.time_limit;
        limit.is_some_and(|limit| limit + SURE < self.route.time_limit)
    }

    /// Gives what the caller says of the prompt; one that says nothing counts as an ordinary short one.
    pub fn prompt(&self) -> Prompt {
        self.ask.prompt.unwrap_or(ORDINARY)
    }

    /// Gives the pauses that its answer bears.
    pub fn pauses(&self) -> PauseClass {
        match self.route.kind {
            Kind::Stream { longest_pause, .. } => PauseClass::of(longest_pause),
            Kind::Idempotent | Kind::NonIdempotent => PauseClass::Long,
        }
    }
}

/// What became of a send whose answer doesn't count.
#[derive(Debug)]
pub enum Miss {
    /// Nothing was sent.
    NotSent,
    /// The server says that it did not run the request, and maybe where the server at fault is.
    Disclaimed(Option<SocketAddr>),
    /// The request may have run.
    Lost,
}

/// Sends a job to a server and waits for the head of the answer.
///
/// # Errors
///
/// Where there is no answer, or it isn't this request's.
pub async fn send(
    node: &Rc<Node>,
    job: &Job,
    server: &Server,
    helpers: Vec<Helper>,
    last_event: Option<String>,
    number: u32,
) -> Result<(Exchange, Reply), Miss> {
    let dispatch = Dispatch {
        server: server.id.clone(),
        time_left: job.left(),
        workspace: job.workspace.clone(),
        helpers,
        last_event,
    };
    let fresh = !job.route.kind.repeatable();
    let request = outgoing(node, job, &dispatch);
    let exchange = match node.client.send(server.address, request, fresh).await {
        Ok(exchange) => exchange,
        Err(error) => return Err(unanswered(node, job, server, number, &error)),
    };
    let reply = node.translator.reply(&exchange.head.headers);
    let own = reply.id.as_ref().is_none_or(|id| *id == job.ask.id);
    if !own {
        tell(job, server, number, "the answer belongs to another request");
        node.note(&server.id, Outcome::Failed);
        return Err(Miss::Lost);
    }
    if reply.not_run || exchange.head.status == StatusCode::MISDIRECTED_REQUEST {
        tell(job, server, number, "the server did not run it");
        return Err(Miss::Disclaimed(reply.at_fault));
    }
    Ok((exchange, reply))
}

fn unanswered(node: &Rc<Node>, job: &Job, server: &Server, number: u32, error: &Error) -> Miss {
    tell(job, server, number, &error.to_string());
    match error {
        Error::Unreachable { .. } => {
            node.note(&server.id, Outcome::Silent);
            Miss::NotSent
        }
        Error::NotSent => Miss::NotSent,
        Error::Lost { .. } => {
            node.note(&server.id, Outcome::Failed);
            Miss::Lost
        }
    }
}

/// Writes that a try failed.
pub fn tell(job: &Job, server: &Server, attempt: u32, problem: &str) {
    event::write(&Record::AttemptFailed {
        id: &job.ask.id,
        server: &server.id,
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
