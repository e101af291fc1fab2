//! The port to a deployment's wire: what callers and backend servers say, in this project's types.

use alderglade_core::Name;
use alderglade_core::fleet::placement::Share;
use alderglade_core::fleet::statement::Statement;
use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use snafu::Snafu;
use std::net::SocketAddr;
use std::time::Duration;

/// A head that can't be understood.
#[derive(Debug, Snafu)]
#[snafu(display("header {header}: {problem}"))]
pub struct Malformed {
    /// The header.
    pub header: &'static str,
    /// What is wrong with it.
    pub problem: &'static str,
}

/// The prompt of a generation, as its caller describes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prompt {
    /// Its length in tokens.
    pub tokens: u64,
    /// The most tokens of the answer.
    pub max_output: u64,
    /// The caller's estimate of the tokens of the answer.
    pub output_estimate: Option<u64>,
}

impl Prompt {
    /// Gives the tokens that the answer is likely to have: the caller's estimate, else the most.
    pub fn expected_output_tokens(&self) -> u64 {
        self.output_estimate.unwrap_or(self.max_output)
    }
}

/// What a caller says of its request beside method, path and body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestInfo {
    /// The request's identity, new with each attempt of a caller.
    pub id: Name,
    /// How long the caller waits.
    pub time_limit: Option<Duration>,
    /// The key that the caller shows.
    pub key: Option<Name>,
    /// The prompt, where the request is a generation.
    pub prompt: Option<Prompt>,
    /// The last event that the caller already has of the stream.
    pub last_event: Option<String>,
}

/// A server that reads a part of a prompt, as told to the one that answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Helper {
    /// Where it is reached.
    pub address: SocketAddr,
    /// The memory set aside there for the prompt, by its ticket.
    pub ticket: Option<Name>,
}

/// What a backend server is told beside what the caller said.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// The server that is meant; any other must refuse.
    pub server: Name,
    /// The time that is left for the work.
    pub time_left: Duration,
    /// The workspace that the request is served for.
    pub workspace: Option<Name>,
    /// The servers that read parts of the prompt.
    pub helpers: Vec<Helper>,
    /// The last event that the caller already has.
    pub last_event: Option<String>,
}

/// What the head of a backend server's answer says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// The request that it answers.
    pub id: Option<Name>,
    /// Whether the server says that it did not run the request.
    pub not_run: bool,
    /// Where the server at fault is reached, if the sender says which one that is.
    pub at_fault: Option<SocketAddr>,
    /// Whether it carries the mark of a server's own answer.
    pub genuine: bool,
}

/// What a server says of itself when it answers an [`Order`].
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Status {
    /// When it started, in Unix milliseconds, if it says so.
    pub born: Option<u64>,
    /// How many times the stated times it takes, if it says so.
    pub slowdown: Option<f64>,
}

/// A call to an engine beside the requests that it serves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The type of the body.
    pub content_type: &'static str,
    /// The body.
    pub body: Bytes,
}

/// Translates between this project's types and the deployment's wire.
pub trait Translator {
    /// Reads what a caller says of its request.
    ///
    /// # Errors
    ///
    /// Where a header is missing or can't be understood.
    fn ask(&self, head: &HeaderMap) -> Result<RequestInfo, Malformed>;

    /// Gives the headers that go to a backend server. Headers that only the system may set are
    /// dropped from what the caller sent.
    fn forward(&self, head: &HeaderMap, dispatch: &Dispatch) -> HeaderMap;

    /// Reads the head of a backend server's answer.
    fn reply(&self, head: &HeaderMap) -> Reply;

    /// Reads what a backend server says of itself in the head of an answer to a request or an order; what can't be read is
    /// left out.
    fn statement(&self, status: StatusCode, head: &HeaderMap) -> Statement;

    /// Gives the headers of a backend server's answer that go to the caller.
    fn give_back(&self, head: &HeaderMap) -> HeaderMap;

    /// Gives the order that sets memory aside or renews it.
    fn reserve(&self, ticket: &str, share: &Share, hold: Duration) -> Order;

    /// Gives the order that gives memory back.
    fn release(&self, ticket: &str) -> Order;

    /// Gives the call that asks an engine for a report on itself.
    fn report(&self) -> Order;

    /// Reads what a server says of itself in the body of an answer to such a call; what can't be read is left out.
    fn status(&self, body: &[u8]) -> Status;
}
