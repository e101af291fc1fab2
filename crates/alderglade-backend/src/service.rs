//! Calls to plain services. The body passes through as it is.

use crate::engine::is_unsent;
use std::time::Duration;

/// Connecting takes at most this long.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// The largest answer that is passed on.
const MOST_BYTES: u64 = 4 << 20;
/// The header that tells a server which request a call belongs to.
pub const REQUEST_HEADER: &str = "x-alderglade-request";

/// A call.
#[derive(Debug, Clone)]
pub struct Call<'a> {
    /// The server's address, an IP number and port.
    pub address: &'a str,
    /// The path after the service's name.
    pub path: &'a str,
    /// The request's identity, passed on in a header.
    pub request: String,
    /// The body.
    pub body: &'a [u8],
    /// The time that it may take.
    pub limit: Duration,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// The server answered.
    Answered {
        /// The status.
        status: u16,
        /// The body.
        body: String,
    },
    /// The server said that it is leaving and did not run the call.
    Leaving,
    /// The server was not reached; nothing was sent.
    Unreached,
    /// Contact was lost after sending.
    Broke,
}

/// The status with which a server says that it is leaving and has not run the call.
const MISDIRECTED: u16 = 421;

/// Makes agents for calls; one is kept for all servers.
pub fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_connect(Some(CONNECT_LIMIT))
        // A connection that was kept open may break just as a call is sent on it; nobody could
        // say whether the call ran.
        .max_idle_connections(0)
        .build()
        .into()
}

/// Calls a server.
pub fn call(agent: &ureq::Agent, call: &Call<'_>) -> End {
    let url = format!("http://{}{}", call.address, call.path);
    let answer = agent
        .post(&url)
        .header(REQUEST_HEADER, &call.request)
        .config()
        .timeout_global(Some(call.limit))
        .build()
        .send(call.body);
    let mut answer = match answer {
        Ok(answer) => answer,
        Err(error) if is_unsent(&error) => return End::Unreached,
        Err(_) => return End::Broke,
    };
    let status = answer.status().as_u16();
    if status == MISDIRECTED {
        return End::Leaving;
    }
    let body = answer.body_mut().with_config().limit(MOST_BYTES);
    match body.read_to_string() {
        Ok(body) => End::Answered { status, body },
        Err(_) => End::Broke,
    }
}
