//! Sends requests to backend servers: over this host's own connections, or through another host while the own path to
//! a server is cut.

use crate::client::{self, Error, Exchange, IdleSend, OpenConnection, Question};
use crate::clock;
use crate::node::Node;
use crate::order;
use crate::proxy::{self, Purpose};
use crate::translate::Dispatch;
use alderglade_core::fleet::directory::Server;
use alderglade_core::fleet::homes::Homes;
use alderglade_core::fleet::reachability::{Failure, Finding, Path};
use bytes::Bytes;
use http::{HeaderMap, Request};
use http_body_util::Full;
use std::rc::Rc;
use std::time::Duration;

/// How long a request waits for what other hosts say of a server that it can't be sent to: some round trips between
/// hosts. After that, another server is tried.
const CHECK_WAIT: Duration = Duration::from_millis(30);

/// What is to be sent, apart from the request itself.
pub struct Outgoing<'a> {
    /// The id of the request that it belongs to, for the log.
    pub id: &'a str,
    /// The server.
    pub server: &'a Server,
    /// The regions to which the request is restricted.
    pub homes: &'a Homes,
    /// What is sent.
    pub purpose: Purpose,
    /// Whether to use a new connection. If an idle one breaks while a request is sent, it is unknown whether it ran.
    pub fresh: bool,
}

/// Sends a request to a server and waits for the head of the response. `request` builds the request anew for each way
/// that is tried.
///
/// # Errors
///
/// Returns an error if no way leads to the server, or if the connection breaks before the head has arrived.
pub async fn send(
    node: &Rc<Node>,
    outgoing: &Outgoing<'_>,
    request: impl Fn() -> Request<Full<Bytes>>,
) -> Result<Exchange, Error> {
    let server = outgoing.server;
    if node.path_to(server.key()) == Path::Direct {
        let result = send_direct(node, server, request(), outgoing.purpose, outgoing.fresh).await;
        let no_connection = matches!(
            result,
            Err(Error::Unreachable { .. } | Error::Closed { .. })
        );
        if !no_connection || !is_blocked(node, server).await {
            return result;
        }
    }
    proxy::send(node, outgoing, request).await
}

/// Looks at a server once more right before a request is sent to it, and records the send. The host may have been told
/// since the server was chosen that it departs.
///
/// # Errors
///
/// Returns an error if the server accepts no new work.
pub fn begin_send(node: &Node, server: &Server, purpose: Purpose) -> Result<(), Error> {
    if purpose != Purpose::Request {
        return Ok(());
    }
    if !node.is_usable(server.key()) {
        return Err(Error::Withheld);
    }
    node.record_send(server.key());
    Ok(())
}

/// Sends a request over a connection of this host. With `fresh`, no idle connection is used. If the response ends with
/// its connection, a standby connection is held beside it.
///
/// # Errors
///
/// Returns an error if the server accepts no new work, if no connection can be opened, or if it breaks before the head has
/// arrived.
pub async fn send_direct(
    node: &Rc<Node>,
    server: &Server,
    request: Request<Full<Bytes>>,
    purpose: Purpose,
    fresh: bool,
) -> Result<Exchange, Error> {
    begin_send(node, server, purpose)?;
    let standby = node.client.take_standby(server.address);
    let idle_send = node.client.send_on_idle(server.address, request, fresh);
    let result = match idle_send.await {
        IdleSend::Done(result) => result,
        IdleSend::Unsent(request) => {
            let link = connect(node, server).await?;
            if let Err(error) = begin_send(node, server, purpose) {
                node.client.keep(link);
                return Err(error);
            }
            node.client.send_on(link, request).await
        }
    };
    match result {
        Ok(mut exchange) => {
            node.record_direct_answer();
            exchange.hold_standby(standby, || question(node, server));
            Ok(exchange)
        }
        Err(error) => {
            standby.into_iter().for_each(|link| node.client.keep(link));
            Err(error)
        }
    }
}

/// Builds what a server is asked on a standby connection: for a report, which only this server may answer. Returns `None`
/// if the path of reports is invalid.
fn question(node: &Node, server: &Server) -> Option<Question> {
    /// How long the answer is of use.
    const TIME_LIMIT: Duration = Duration::from_secs(1);
    let request = order::request(node.translator.report(), server.address);
    let mut request = request
        .inspect_err(|error| log::debug!("a server can't be asked for a report: {error}"))
        .ok()?;
    let dispatch = Dispatch {
        server: server.id().clone(),
        time_left: TIME_LIMIT,
        workspace: None,
        helpers: Vec::new(),
        last_event: None,
        urgency: None,
    };
    let headers = node.translator.forward(&HeaderMap::new(), &dispatch);
    request.headers_mut().extend(headers);
    Some(request)
}

/// Opens a connection to a server and records whether that succeeded. If not, other hosts are asked about the server.
///
/// # Errors
///
/// Returns an error if no connection can be opened.
pub async fn connect(node: &Rc<Node>, server: &Server) -> Result<OpenConnection, Error> {
    let connected = node.client.connect(server.address).await;
    match &connected {
        Ok(_) => node.record_connection(server),
        Err(error) => {
            if node.record_connect_failure(server, failure(error)) {
                tokio::task::spawn_local(check(node.clone(), server.clone()));
            }
        }
    }
    connected
}

fn failure(error: &Error) -> Failure {
    match error {
        Error::Closed { .. } => Failure::Refused,
        _ => Failure::Silent,
    }
}

/// Asks other hosts about a server that this host can't connect to.
async fn check(node: Rc<Node>, server: Server) {
    let finding = proxy::check(&node, &server).await;
    node.finish_check(&server, finding);
}

/// Waits for what other hosts say of a server, and returns whether this host's path to it is cut.
pub async fn is_blocked(node: &Node, server: &Server) -> bool {
    let checked = node.wait_until_checked(server.key());
    // After a timeout the server counts as down until the check has ended.
    let _ = clock::timeout(CHECK_WAIT, checked).await;
    node.path_to(server.key()) == Path::Proxied
}

/// Returns whether nothing listens at a server's address, as this host and, if it has no path to the server, other
/// hosts see it. A connection that is closed right after it was opened shows that, too.
pub async fn has_ended(node: &Rc<Node>, server: &Server) -> bool {
    if node.path_to(server.key()) == Path::Proxied {
        clock::sleep(client::EXIT_TIME).await;
        return proxy::check(node, server).await == Finding::Down;
    }
    match client::settle(connect(node, server).await).await {
        Ok(link) => {
            node.client.keep(link);
            false
        }
        Err(Error::Closed { .. }) => !is_blocked(node, server).await,
        Err(_) => false,
    }
}

/// Opens a connection to a server that was silent, to find out whether the path to it is cut.
pub async fn test_path(node: Rc<Node>, server: Server) {
    if let Ok(link) = connect(&node, &server).await {
        node.client.keep(link);
    }
}

/// Probes the paths to servers that are reached through other hosts, as long as one is due.
pub async fn probe(node: Rc<Node>) {
    while let Some(server) = node.next_probe() {
        match node.client.connect(server.address).await {
            Ok(link) => {
                node.client.keep(link);
                node.record_connection(&server);
            }
            Err(error) => log::debug!("{} is still out of reach: {error}", server.id()),
        }
    }
}
