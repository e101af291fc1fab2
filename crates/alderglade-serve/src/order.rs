//! Calls to engines beside the requests that they serve: memory set aside, and questions.

use crate::clock;
use crate::node::Node;
use crate::translate::Order;
use alderglade_core::fleet::directory::Server;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use snafu::{ResultExt, Snafu};
use std::time::Duration;

/// How long a call may take. Engines answer at once; the rest is the way.
const LIMIT: Duration = Duration::from_millis(800);

/// Why a call gave no answer.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The path or the address can't be written.
    #[snafu(display("the call can't be made: {source}"))]
    Unwritable {
        /// The cause.
        source: http::Error,
    },
    /// No answer came in time.
    #[snafu(display("no answer in {} ms", LIMIT.as_millis()))]
    Silent,
    /// No connection, or it broke.
    #[snafu(display("{source}"))]
    Contact {
        /// The cause.
        source: crate::client::Error,
    },
}

/// Makes a call to a server and gives the answer as a whole. What the server says of itself in its head is taken.
///
/// # Errors
///
/// Where no answer comes.
pub async fn call(node: &Node, server: &Server, order: Order) -> Result<Response<Bytes>, Error> {
    let request = Request::builder()
        .method(order.method)
        .uri(order.path)
        .header(http::header::CONTENT_TYPE, order.content_type)
        .header(http::header::HOST, server.address.to_string())
        .body(Full::new(order.body))
        .context(UnwritableSnafu)?;
    let exchange = async {
        let exchange = node.client.send(server.address, request, false).await?;
        exchange.collect().await
    };
    let sent = clock::now();
    let Ok(answer) = clock::timeout(LIMIT, exchange).await else {
        return SilentSnafu.fail();
    };
    let answer = answer.context(ContactSnafu)?;
    let statement = node.translator.statement(answer.status(), answer.headers());
    node.apply_statement(server, &statement, sent);
    Ok(answer)
}
