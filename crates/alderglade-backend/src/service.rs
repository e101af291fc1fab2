//! HTTP calls to plain services. Bodies pass through unchanged.

use alderglade_core::fleet::ending::{Ending, Place};
use alderglade_serve::client::{Client, Collected, Error};
use bytes::Bytes;
use http::header::HOST;
use http::{Method, Request};
use http_body_util::Full;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;

/// Largest response body that is passed on, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
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

/// Posts a call to its server and waits for the outcome.
///
/// # Panics
///
/// Panics if called from within an asynchronous runtime.
pub fn call(call: &Call<'_>) -> End {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(cause) => {
            log::warn!("failed to start a runtime for a call: {cause}");
            return End::Unreached;
        }
    };
    let exchange = async {
        let timeout = tokio::time::timeout(call.limit, exchange(call));
        timeout.await.unwrap_or(End::Broke)
    };
    LocalSet::new().block_on(&runtime, exchange)
}

/// How long a server may take to accept a connection when it is checked.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// Sends a call and reads the whole response.
async fn exchange(call: &Call<'_>) -> End {
    let Some((address, request)) = request(call) else {
        return End::Unreached;
    };
    let client = Rc::new(Client::default());
    // An idle connection may break just as a call is sent on it, and then it is unknown whether the call ran.
    let mut exchange = match client.send(address, request, true).await {
        Ok(exchange) => exchange,
        Err(
            Error::Unreachable { .. } | Error::Closed { .. } | Error::NotSent | Error::Withheld,
        ) => {
            return End::Unreached;
        }
        Err(Error::Lost { .. } | Error::ProxyLost { .. }) => return End::Broke,
    };
    let status = exchange.head.status.as_u16();
    if status == STATUS_LEAVING {
        return End::Leaving;
    }
    exchange.hold_standby(None, || question(call.address));
    let mut length = 0;
    let is_within_limit = |bytes| {
        length += bytes;
        length <= MAX_RESPONSE_BYTES
    };
    let Ok(Collected::Whole(response, mut body)) = exchange.collect_while(is_within_limit).await
    else {
        return End::Broke;
    };
    if Ending::judge(body.framing, Place::Boundary) == Ending::Unconfirmed
        && let Some((state, _)) = body.server_state().await
        && Ending::is_broken_off_by(state)
    {
        return End::Broke;
    }
    match String::from_utf8(response.into_body().into()) {
        Ok(body) => End::Answered { status, body },
        Err(_) => End::Broke,
    }
}

/// Builds the request of a call. Returns `None` if its address or path is invalid.
fn request(call: &Call<'_>) -> Option<(SocketAddr, Request<Full<Bytes>>)> {
    let address = call.address.parse().ok()?;
    let body = Full::new(Bytes::copy_from_slice(call.body));
    let request = Request::post(call.path)
        .header(HOST, call.address)
        .header(REQUEST_HEADER, &call.request)
        .body(body)
        .ok()?;
    Some((address, request))
}

/// Returns whether a server has ended: nothing listens at its address. Takes up to [`CHECK_TIMEOUT`].
pub fn has_ended(address: &str) -> bool {
    let Ok(address) = address.parse() else {
        return false;
    };
    let connected = TcpStream::connect_timeout(&address, CHECK_TIMEOUT);
    connected.is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused)
}

/// Builds what a server is asked to find out whether it is alive: a request without any effect. Returns `None` if the
/// address is invalid in one.
fn question(address: &str) -> Option<Request<Full<Bytes>>> {
    let request = Request::builder().method(Method::OPTIONS).uri("*");
    request.header(HOST, address).body(Full::default()).ok()
}
