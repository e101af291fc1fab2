//! Calls to engines apart from the requests that they serve: memory reservations and status reports.

use crate::clock;
use crate::node::Node;
use crate::proxy::Purpose;
use crate::translate::Order;
use crate::transport::{self, Outgoing};
use alderglade_core::fleet::directory::Server;
use alderglade_core::fleet::homes::Homes;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Timeout of a call. Engines respond immediately; the rest is network latency.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Why a call has no response.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The path or the address is not valid in a request.
    #[snafu(display("the call can't be made: {source}"))]
    Unwritable {
        /// The cause.
        source: http::Error,
    },
    /// No response arrived in time.
    #[snafu(display("no answer in {} ms", CALL_TIMEOUT.as_millis()))]
    Silent,
    /// There was no connection, or it broke.
    #[snafu(display("{source}"))]
    Contact {
        /// The cause.
        source: crate::client::Error,
    },
}

/// Builds the request of a call to the server at an address.
///
/// # Errors
///
/// Returns an error if the path of the call is invalid.
pub(crate) fn request(order: Order, address: SocketAddr) -> http::Result<Request<Full<Bytes>>> {
    Request::builder()
        .method(order.method)
        .uri(order.path)
        .header(http::header::CONTENT_TYPE, order.content_type)
        .header(http::header::HOST, address.to_string())
        .body(Full::new(order.body))
}

/// Sends a call to a server and returns the whole response. Applies the statement that the server makes about itself
/// in the head.
///
/// # Errors
///
/// Returns an error if no response arrives.
pub async fn call(
    node: &Rc<Node>,
    server: &Server,
    order: Order,
) -> Result<Response<Bytes>, Error> {
    let request = request(order, server.address).context(UnwritableSnafu)?;
    let outgoing = Outgoing {
        id: "",
        server,
        homes: &Homes::default(),
        purpose: Purpose::Order,
        fresh: false,
    };
    let exchange = async {
        let exchange = transport::send(node, &outgoing, || request.clone()).await?;
        exchange.collect().await
    };
    let sent_at = clock::now();
    let Ok(answer) = clock::timeout(CALL_TIMEOUT, exchange).await else {
        return SilentSnafu.fail();
    };
    let answer = answer.context(ContactSnafu)?;
    let statement = node.translator.statement(answer.status(), answer.headers());
    node.apply_statement(server, &statement, sent_at);
    Ok(answer)
}
