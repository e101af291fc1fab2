//! The interface to a deployment's wire format: translates messages of callers and backend servers to and from this
//! project's types.

use alderglade_core::Name;
use alderglade_core::fleet::part::Part;
use alderglade_core::fleet::placement::Share;
use alderglade_core::fleet::statement::Statement;
use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use snafu::Snafu;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A request head that cannot be parsed.
#[derive(Debug, Snafu)]
#[snafu(display("header {header}: {problem}"))]
pub struct Malformed {
    /// The name of the header.
    pub header: &'static str,
    /// The problem with its value.
    pub problem: &'static str,
}

/// The prompt of a generation, as its caller describes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prompt {
    /// The length of the prompt in tokens.
    pub tokens: u64,
    /// The maximum number of output tokens.
    pub max_output: u64,
    /// The caller's estimate of the number of output tokens.
    pub output_estimate: Option<u64>,
}

impl Prompt {
    /// Returns the expected number of output tokens: the caller's estimate, or the maximum if there is none.
    pub fn expected_output_tokens(&self) -> u64 {
        self.output_estimate.unwrap_or(self.max_output)
    }
}

/// What a caller states about its request apart from method, path and body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestInfo {
    /// The id of the request, new with each attempt of a caller.
    pub id: Name,
    /// How long the caller waits, if it says so.
    pub time_limit: Option<Duration>,
    /// The API key that the caller presents.
    pub key: Option<Name>,
    /// The prompt, if the request is a generation.
    pub prompt: Option<Prompt>,
    /// The parts of the prompt that other requests may share, in order; the last part belongs to the request itself.
    pub parts: Arc<[Part]>,
    /// The id of the last event of the stream that the caller already has.
    pub last_event: Option<String>,
}

/// A server that reads a part of a prompt or holds memory for it, as described to the server that answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Helper {
    /// The address of the server.
    pub address: SocketAddr,
    /// The ticket of the memory reserved there for the prompt.
    pub ticket: Option<Name>,
}

/// What a backend server receives in addition to the caller's headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// The intended server; any other server must refuse.
    pub server: Name,
    /// The remaining time for the work.
    pub time_left: Duration,
    /// The workspace that the request is served for, if any.
    pub workspace: Option<Name>,
    /// The servers that read parts of the prompt or hold memory for it.
    pub helpers: Vec<Helper>,
    /// The id of the last event that the caller already has.
    pub last_event: Option<String>,
    /// How early an engine admits the request, from `0`, which is first, to `9`; `None` for ordinary work, which the
    /// engine treats like `5`.
    pub urgency: Option<u8>,
}

/// The contents of the head of a backend server's response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// The id of the request that it answers, if present.
    pub id: Option<Name>,
    /// Whether the server states that it did not run the request.
    pub not_run: bool,
    /// The address of the server at fault, if the sender names one.
    pub at_fault: Option<SocketAddr>,
    /// Whether the response carries the marker of a server's own response.
    pub genuine: bool,
}

/// What a server reports about itself in response to an [`Order`].
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Status {
    /// When the server started, in Unix milliseconds, if reported.
    pub born: Option<u64>,
    /// The ratio of the server's actual to its stated times, if reported.
    pub slowdown: Option<f64>,
}

/// A call to an engine apart from the requests that it serves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The request method.
    pub method: Method,
    /// The request path.
    pub path: String,
    /// The content type of the body.
    pub content_type: &'static str,
    /// The request body.
    pub body: Bytes,
}

/// Translates between this project's types and the deployment's wire format.
pub trait Translator {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns an error if a header is missing or malformed.
    fn ask(&self, head: &HeaderMap) -> Result<RequestInfo, Malformed>;

    /// Returns the parts of the prompt that other requests may share, in order.
    fn shared_parts(&self, head: &HeaderMap) -> Arc<[Part]>;

    /// Returns the headers that are sent to a backend server. Headers that only the system may set are dropped from
    /// the caller's headers.
    fn forward(&self, head: &HeaderMap, dispatch: &Dispatch) -> HeaderMap;

    /// Parses the head of a backend server's response.
    fn reply(&self, head: &HeaderMap) -> Reply;

    /// Parses the statement that a backend server makes about itself in the head of a response to a request or an
    /// order. Values that cannot be parsed are left out.
    fn statement(&self, status: StatusCode, head: &HeaderMap) -> Statement;

    /// Returns the headers of a backend server's response that are sent to the caller.
    fn give_back(&self, head: &HeaderMap) -> HeaderMap;

    /// Returns the order that reserves memory or renews a reservation.
    fn reserve(&self, ticket: &str, share: &Share, hold: Duration) -> Order;

    /// Returns the order that releases memory.
    fn release(&self, ticket: &str) -> Order;

    /// Returns the order that queries an engine for a report on itself.
    fn report(&self) -> Order;

    /// Parses the report in the body of a response to an order. Values that cannot be parsed are left out.
    fn status(&self, body: &[u8]) -> Status;
}
