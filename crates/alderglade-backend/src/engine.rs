//! HTTP client of one model engine, with a timeout for each call.

use crate::wire::{
    Completion, Confirmed, Export, Order, Prefill, Reason, Refusal, Requests, Reserve,
};
use alderglade_core::engine_state::Report;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use std::sync::Arc;
use std::time::Duration;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a call whose response isn't streamed, other than a prefill.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a call to an engine failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The connection failed, so nothing was sent.
    #[snafu(display("engine at {address} can't be reached: {cause}"))]
    Unreached {
        /// Address of the engine.
        address: Arc<str>,
        /// Error message of the HTTP client.
        cause: String,
    },
    /// The engine refused the call.
    #[snafu(display("engine at {address} refused: {reason:?}"))]
    Refused {
        /// Address of the engine.
        address: Arc<str>,
        /// The engine's reason; [`Reason::Failed`] if its response doesn't contain one.
        reason: Reason,
    },
    /// The connection broke or timed out after the call may have been sent, or the response is invalid.
    #[snafu(display("contact with engine at {address} was lost: {cause}"))]
    Lost {
        /// Address of the engine.
        address: Arc<str>,
        /// Error message of the HTTP client.
        cause: String,
    },
}

/// Timeouts of a streamed response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Maximum duration of the whole response.
    pub whole: Duration,
    /// Maximum pause without a token, including the one for the prefill before the first token.
    pub pause: Duration,
}

/// Client of one engine.
#[derive(Debug, Clone)]
pub struct Client {
    address: Arc<str>,
    agent: ureq::Agent,
}

impl Client {
    /// Creates a client for the engine at `address`, an IP address and port.
    pub fn new(address: &str) -> Client {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .max_idle_connections_per_host(MAX_IDLE_CONNECTIONS)
            .build();
        Client {
            address: address.into(),
            agent: config.into(),
        }
    }

    /// Returns the engine's address.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Starts a completion and returns the response body, which streams one [`Line`] at a time.
    ///
    /// `limits` bound the whole response and each pause in it.
    ///
    /// [`Line`]: crate::wire::Line
    ///
    /// # Errors
    ///
    /// Returns an error if the engine can't be reached, refuses, or disconnects before its first byte.
    pub fn complete(&self, body: &Completion, limits: Limits) -> Result<ureq::Body, Error> {
        let call = self.agent.post(self.url("completions")).config();
        let response = call
            .timeout_global(Some(limits.whole))
            .timeout_per_read(Some(limits.pause))
            .build()
            .send_json(body);
        Ok(self.check_response(response)?.into_body())
    }

    /// Reserves KV memory for a request.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine doesn't have enough free memory or doesn't respond.
    pub fn reserve(&self, body: &Reserve) -> Result<(), Error> {
        self.post("reserve", body, CALL_TIMEOUT).map(drop)
    }

    /// Renews the leases of the memory that requests hold.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine doesn't respond.
    pub fn renew(&self, body: &Requests) -> Result<Confirmed, Error> {
        self.call("renew", body, CALL_TIMEOUT)
    }

    /// Stops requests and frees the memory that they hold; returns the engine's confirmation.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine doesn't respond; the call may be retried.
    pub fn cancel(&self, body: &Requests) -> Result<Confirmed, Error> {
        self.call("cancel", body, CALL_TIMEOUT)
    }

    /// Prefills one part of a prompt and returns a handle to the exported KV cache.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine refuses or the connection fails.
    pub fn prefill(&self, body: &Prefill, timeout: Duration) -> Result<Export, Error> {
        self.call("prefill", body, timeout)
    }

    /// Sends an order.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine refuses the order for its old epoch or doesn't respond.
    pub fn order(&self, body: &Order) -> Result<(), Error> {
        self.post("orders", body, CALL_TIMEOUT).map(drop)
    }

    /// Fetches the engine's load report.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine doesn't respond.
    pub fn load(&self) -> Result<Report, Error> {
        let url = self.url("load");
        let call = self.agent.get(&url).config();
        let response = call.timeout_global(Some(CALL_TIMEOUT)).build().call();
        self.parse_body(self.check_response(response)?)
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/v1/{path}", self.address)
    }

    fn call<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<T, Error> {
        self.parse_body(self.post(path, body, timeout)?)
    }

    fn post(
        &self,
        path: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<Response, Error> {
        let call = self.agent.post(self.url(path)).config();
        let response = call.timeout_global(Some(timeout)).build().send_json(body);
        self.check_response(response)
    }

    fn check_response(&self, response: Result<Response, ureq::Error>) -> Result<Response, Error> {
        let address = self.address.clone();
        let response = match response {
            Ok(response) => response,
            Err(cause) if failed_before_send(&cause) => {
                let cause = cause.to_string();
                return UnreachedSnafu { address, cause }.fail();
            }
            Err(cause) => {
                let cause = cause.to_string();
                return LostSnafu { address, cause }.fail();
            }
        };
        if response.status().is_success() {
            return Ok(response);
        }
        let reason = match self.parse_body::<Refusal>(response) {
            Ok(refusal) => refusal.reason,
            Err(_) => Reason::Failed,
        };
        RefusedSnafu { address, reason }.fail()
    }

    fn parse_body<T: DeserializeOwned>(&self, mut response: Response) -> Result<T, Error> {
        response
            .body_mut()
            .read_json()
            .map_err(|cause| Error::Lost {
                address: self.address.clone(),
                cause: cause.to_string(),
            })
    }
}

/// Maximum number of idle connections kept open to one engine.
const MAX_IDLE_CONNECTIONS: usize = 32;

type Response = ureq::http::Response<ureq::Body>;

/// Returns whether a call failed before any of it can have reached the server.
fn failed_before_send(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        ureq::Error::Io(cause) => cause.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
