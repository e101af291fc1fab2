//! Sends requests to backend servers, and records whether the servers can be connected to.

use crate::client::{Error, Exchange, IdleSend, OpenConnection};
use crate::node::Node;
use alderglade_core::fleet::directory::Server;
use bytes::Bytes;
use http::Request;
use http_body_util::Full;

/// Sends a request to a server and waits for the head of the response. With `fresh`, no idle connection is used.
///
/// # Errors
///
/// Returns an error if no connection can be opened, or if it breaks before the head has arrived.
pub async fn send(
    node: &Node,
    server: &Server,
    request: Request<Full<Bytes>>,
    fresh: bool,
) -> Result<Exchange, Error> {
    let request = match node
        .client
        .send_on_idle(server.address, request, fresh)
        .await
    {
        IdleSend::Done(result) => return result,
        IdleSend::Unsent(request) => request,
    };
    let link = connect(node, server).await?;
    node.client.send_on(link, request).await
}

/// Opens a connection to a server and records whether that succeeded.
///
/// # Errors
///
/// Returns an error if no connection can be opened.
pub async fn connect(node: &Node, server: &Server) -> Result<OpenConnection, Error> {
    let connected = node.client.connect(server.address).await;
    node.record_connect(server, connected.is_ok());
    connected
}
