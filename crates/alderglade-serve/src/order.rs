//! Calls to engines beside the requests that they serve: memory set aside, and questions.

use crate::client::Client;
use crate::clock;
use crate::translate::Order;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::rc::Rc;
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

/// Makes a call and gives the answer as a whole.
///
/// # Errors
///
/// Where no answer comes.
pub async fn call(
    client: &Rc<Client>,
    address: SocketAddr,
    order: Order,
) -> Result<Response<Bytes>, Error> {
    let request = Request::builder()
        .method(order.method)
        .uri(order.path)
        .header(http::header::CONTENT_TYPE, order.content_type)
        .header(http::header::HOST, address.to_string())
        .body(Full::new(order.body))
        .context(UnwritableSnafu)?;
    let exchange = async {
        let exchange = client.send(address, request, false).await?;
        exchange.collect().await
    };
    match clock::timeout(LIMIT, exchange).await {
        Err(_) => Err(Error::Silent),
        Ok(answer) => answer.context(ContactSnafu),
    }
}
