//! HTTP calls to plain services. Bodies pass through unchanged.

use crate::engine::failed_before_send;
use std::time::Duration;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest response body that is passed on.
const MAX_RESPONSE_BYTES: u64 = 4 << 20;
/// Header with the id of the request that a call belongs to.
pub const REQUEST_HEADER: &str = "x-alderglade-request";

/// A call to a plain service.
#[derive(Debug, Clone)]
pub struct Call<'a> {
    /// Address of the server: IP address and port.
    pub address: &'a str,
    /// Path of the URL: what follows the service's name in the caller's URL.
    pub path: &'a str,
    /// Id of the request, sent in [`REQUEST_HEADER`].
    pub request: String,
    /// Body of the call.
    pub body: &'a [u8],
    /// Timeout of the whole call.
    pub limit: Duration,
}

/// Outcome of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// The server responded.
    Answered {
        /// HTTP status.
        status: u16,
        /// Body of the response.
        body: String,
    },
    /// The server reported that it is leaving and did not run the call.
    Leaving,
    /// The connection failed, so nothing was sent.
    Unreached,
    /// The connection broke or timed out after the call may have been sent, or the response can't be read.
    Broke,
}

/// HTTP status by which a server reports that it is leaving and has not run the call.
const STATUS_LEAVING: u16 = 421;

/// Creates the HTTP agent for calls; one agent serves all servers.
pub fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        // An idle connection may break just as a call is sent on it, and then it is unknown whether
        // the call ran.
        .max_idle_connections(0)
        .build()
        .into()
}

/// Posts a call to its server and waits for the outcome.
pub fn call(agent: &ureq::Agent, call: &Call<'_>) -> End {
    let url = format!("http://{}{}", call.address, call.path);
    let response = agent
        .post(&url)
        .header(REQUEST_HEADER, &call.request)
        .config()
        .timeout_global(Some(call.limit))
        .build()
        .send(call.body);
    let mut response = match response {
        Ok(response) => response,
        Err(error) if failed_before_send(&error) => return End::Unreached,
        Err(_) => return End::Broke,
    };
    let status = response.status().as_u16();
    if status == STATUS_LEAVING {
        return End::Leaving;
    }
    let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES);
    match body.read_to_string() {
        Ok(body) => End::Answered { status, body },
        Err(_) => End::Broke,
    }
}
