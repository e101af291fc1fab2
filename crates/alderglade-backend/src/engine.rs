//! Calls to one model engine, each with its time limits.

use crate::wire::{
    Completion, Confirmed, Export, Order, Prefill, Reason, Refusal, Requests, Reserve,
};
use alderglade_core::engine_state::Report;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use std::sync::Arc;
use std::time::Duration;

/// Connecting takes at most this long.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// A call that isn't a stream takes at most this long.
const CALL_LIMIT: Duration = Duration::from_secs(2);

/// Why a call to an engine failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// No connection: nothing was sent.
    #[snafu(display("engine at {address} can't be reached: {cause}"))]
    Unreached {
        /// The engine's address.
        address: Arc<str>,
        /// What the HTTP library said.
        cause: String,
    },
    /// The engine said no, and for which reason.
    #[snafu(display("engine at {address} refused: {reason:?}"))]
    Refused {
        /// The engine's address.
        address: Arc<str>,
        /// Its reason.
        reason: Reason,
    },
    /// Contact was lost after sending.
    #[snafu(display("contact with engine at {address} was lost: {cause}"))]
    Lost {
        /// The engine's address.
        address: Arc<str>,
        /// What the HTTP library said.
        cause: String,
    },
}

/// How long an answer may take.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// The whole answer.
    pub whole: Duration,
    /// A pause without a token; it covers the prefill, too.
    pub pause: Duration,
}

/// Calls one engine.
#[derive(Debug, Clone)]
pub struct Client {
    address: Arc<str>,
    agent: ureq::Agent,
}

impl Client {
    /// Makes a client for the engine at `address`, an IP number and port.
    pub fn new(address: &str) -> Client {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_LIMIT))
            .max_idle_connections_per_host(MOST_IDLE)
            .build();
        Client {
            address: address.into(),
            agent: config.into(),
        }
    }

    /// Gives the engine's address.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Starts an answer; its lines are read from what this gives.
    ///
    /// `limits` bound the whole answer and each pause in it.
    ///
    /// # Errors
    ///
    /// Where the engine can't be reached, refuses, or is lost before its first byte.
    pub fn complete(&self, body: &Completion, limits: Limits) -> Result<ureq::Body, Error> {
        let call = self.agent.post(self.url("completions")).config();
        let answer = call
            .timeout_global(Some(limits.whole))
            .timeout_per_read(Some(limits.pause))
            .build()
            .send_json(body);
        Ok(self.check(answer)?.into_body())
    }

    /// Reserves memory.
    ///
    /// # Errors
    ///
    /// Where the engine has no room or gives no answer.
    pub fn reserve(&self, body: &Reserve) -> Result<(), Error> {
        self.post("reserve", body, CALL_LIMIT).map(drop)
    }

    /// Renews what requests hold.
    ///
    /// # Errors
    ///
    /// Where the engine gives no answer.
    pub fn renew(&self, body: &Requests) -> Result<Confirmed, Error> {
        self.call("renew", body, CALL_LIMIT)
    }

    /// Stops requests and frees what they hold; the engine confirms.
    ///
    /// # Errors
    ///
    /// Where the engine gives no answer; the call may be repeated.
    pub fn cancel(&self, body: &Requests) -> Result<Confirmed, Error> {
        self.call("cancel", body, CALL_LIMIT)
    }

    /// Prefills a part of a prompt.
    ///
    /// # Errors
    ///
    /// Where the engine refuses or is lost.
    pub fn prefill(&self, body: &Prefill, limit: Duration) -> Result<Export, Error> {
        self.call("prefill", body, limit)
    }

    /// Gives an order.
    ///
    /// # Errors
    ///
    /// Where the engine refuses an old epoch or gives no answer.
    pub fn order(&self, body: &Order) -> Result<(), Error> {
        self.post("orders", body, CALL_LIMIT).map(drop)
    }

    /// Fetches the engine's report of its load.
    ///
    /// # Errors
    ///
    /// Where the engine gives no answer.
    pub fn load(&self) -> Result<Report, Error> {
        let url = self.url("load");
        let call = self.agent.get(&url).config();
        let answer = call.timeout_global(Some(CALL_LIMIT)).build().call();
        self.read(self.check(answer)?)
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/v1/{path}", self.address)
    }

    fn call<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
        limit: Duration,
    ) -> Result<T, Error> {
        self.read(self.post(path, body, limit)?)
    }

    fn post(&self, path: &str, body: &impl Serialize, limit: Duration) -> Result<Response, Error> {
        let call = self.agent.post(self.url(path)).config();
        let answer = call.timeout_global(Some(limit)).build().send_json(body);
        self.check(answer)
    }

    fn check(&self, answer: Result<Response, ureq::Error>) -> Result<Response, Error> {
        let address = self.address.clone();
        let answer = match answer {
            Ok(answer) => answer,
            Err(cause) if is_unsent(&cause) => {
                let cause = cause.to_string();
                return UnreachedSnafu { address, cause }.fail();
            }
            Err(cause) => {
                let cause = cause.to_string();
                return LostSnafu { address, cause }.fail();
            }
        };
        if answer.status().is_success() {
            return Ok(answer);
        }
        let reason = match self.read::<Refusal>(answer) {
            Ok(refusal) => refusal.reason,
            Err(_) => Reason::Failed,
        };
        RefusedSnafu { address, reason }.fail()
    }

    fn read<T: DeserializeOwned>(&self, mut answer: Response) -> Result<T, Error> {
        answer.body_mut().read_json().map_err(|cause| Error::Lost {
            address: self.address.clone(),
            cause: cause.to_string(),
        })
    }
}

/// Connections kept open to one engine.
const MOST_IDLE: usize = 32;

type Response = ureq::http::Response<ureq::Body>;

/// Says whether a call failed before anything can have reached the other side.
pub(crate) fn is_unsent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        ureq::Error::Io(cause) => cause.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
