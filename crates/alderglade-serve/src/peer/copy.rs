//! Copies what is too large for a datagram from host to host over HTTP, on the same port as the datagrams. Requests to
//! servers that a host carries for others arrive there, too.

use crate::answer::Content;
use crate::client;
use crate::clock;
use crate::listen;
use crate::node::Node;
use crate::proxy::{self, PeerBody};
use alderglade_core::fleet::config::Config;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// The path of the configuration in force.
const CONFIGURATION_PATH: &str = "/configuration";
/// How long another host may take to send the configuration: some hundred KB over a link of 20 Mbit/s that others use
/// too.
const COPY_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Why no configuration was copied from another host.
#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("the call can't be made"))]
    Call { source: http::Error },
    #[snafu(display("no answer in {} ms", COPY_TIMEOUT.as_millis()))]
    Silent,
    #[snafu(display("it can't be reached"))]
    Contact { source: client::Error },
    #[snafu(display("it answered {status}"))]
    Refused { status: StatusCode },
    #[snafu(display("what it gave can't be read"))]
    Unreadable { source: postcard::Error },
}

/// Serves other hosts' copy requests, and carries their requests to servers, until the process ends.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    let sizing_node = node.clone();
    let buffer_bytes = move || sizing_node.peer_buffer_bytes();
    let answer = move |from, request| {
        let node = node.clone();
        async move {
            match proxy::serve(&node, from, request).await {
                Ok(response) => response,
                Err(request) => copy(&node, request.uri().path()).map(PeerBody::Left),
            }
        }
    };
    listen::peers(listener, buffer_bytes, answer).await;
}

/// Answers another host's copy request.
fn copy(node: &Node, path: &str) -> Response<Content> {
    let config = node.config_in_force();
    match config.filter(|_| path == CONFIGURATION_PATH) {
        Some(config) => match postcard::to_stdvec(&*config) {
            Ok(bytes) => listen::plain(StatusCode::OK, bytes),
            Err(error) => {
                super::log_fault(&error.to_string());
                listen::plain(StatusCode::INTERNAL_SERVER_ERROR, Vec::new())
            }
        },
        None => listen::plain(StatusCode::NOT_FOUND, Vec::new()),
    }
}

/// Copies the configuration of another host and applies it if it is newer.
pub(super) async fn copy_config(node: Rc<Node>, from: SocketAddr) {
    match fetch_config(&node, from).await {
        Ok(config) => node.apply_copied_config(config, from),
        Err(error) => super::log_fault(&format!("{from}: {error}")),
    }
}

async fn fetch_config(node: &Node, from: SocketAddr) -> Result<Config, Error> {
    let request = Request::get(CONFIGURATION_PATH)
        .header(http::header::HOST, from.to_string())
        .body(Full::new(Bytes::new()))
        .context(CallSnafu)?;
    let exchange = async {
        let exchange = node.client.send(from, request, true).await?;
        exchange.collect().await
    };
    let Ok(answer) = clock::timeout(COPY_TIMEOUT, exchange).await else {
        return SilentSnafu.fail();
    };
    let answer = answer.context(ContactSnafu)?;
    let status = answer.status();
    if status != StatusCode::OK {
        return RefusedSnafu { status }.fail();
    }
    postcard::from_bytes(answer.body()).context(UnreadableSnafu)
}
