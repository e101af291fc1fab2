//! Carries exchanges for hosts that have no path to a server.

use super::body::{PeerBody, ProxiedBody, Resources};
use super::head::{self, OUTCOME, Outcome, Purpose, TARGET, Target};
use crate::client::{Error, Exchange};
use crate::clock;
use crate::event::{self, Record};
use crate::forward;
use crate::listen;
use crate::memory::Portion;
use crate::node::{Node, Stage};
use crate::transport;
use alderglade_core::fleet::directory::Server;
use alderglade_core::fleet::reachability::Path;
use bytes::Bytes;
use http::header::{
    CONNECTION, CONTENT_LENGTH, PROXY_AUTHORIZATION, TE, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Memory that a proxied exchange uses besides its request body and the buffers of the connection to the other host: the
/// buffers of the connection to the server, in bytes.
const EXCHANGE_BYTES: usize = 8 * 1024;
/// How long another host may take to send the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Headers that apply to a single connection, or to a host and its proxy.
const HOP_BY_HOP: [HeaderName; 8] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    TE,
    TRANSFER_ENCODING,
    UPGRADE,
    PROXY_AUTHORIZATION,
    TARGET,
    OUTCOME,
];

/// Answers a request of another host that is to be carried to a server.
///
/// # Errors
///
/// Returns the request if it is for this host itself.
pub async fn serve(
    node: &Rc<Node>,
    from: SocketAddr,
    request: Request<Incoming>,
) -> Result<Response<PeerBody>, Request<Incoming>> {
    let Some(value) = request.headers().get(TARGET) else {
        return Err(request);
    };
    let target = value.to_str().ok().and_then(|text| text.parse().ok());
    if !node.is_proxy_key(bearer_token(request.headers())) {
        event::write(&Record::ProxyRefused { from });
        return Ok(empty(StatusCode::FORBIDDEN));
    }
    let Some(target) = target else {
        return Ok(empty(StatusCode::BAD_REQUEST));
    };
    let result = carry(node, target, request).await;
    let outcome = result.as_ref().err().copied();
    let outcome = outcome.unwrap_or(Outcome::Answered);
    let served = &node.metrics.proxied_served;
    served.with_label_values(&[outcome.label()]).inc();
    Ok(result.unwrap_or_else(response))
}

/// Returns the token of the `Proxy-Authorization` header, or an empty string.
fn bearer_token(head: &HeaderMap) -> &str {
    let value = head.get(PROXY_AUTHORIZATION);
    let value = value.and_then(|value| value.to_str().ok());
    let token = value.and_then(|value| value.strip_prefix("Bearer "));
    token.unwrap_or_default()
}

fn empty(status: StatusCode) -> Response<PeerBody> {
    listen::plain(status, Vec::new()).map(PeerBody::Left)
}

/// Builds a response that no server has produced.
fn response(outcome: Outcome) -> Response<PeerBody> {
    let mut response = empty(outcome.status());
    outcome.set(response.headers_mut());
    response
}

/// Carries one exchange.
///
/// # Errors
///
/// Returns the outcome if no server answers.
async fn carry(
    node: &Rc<Node>,
    target: Target,
    request: Request<Incoming>,
) -> Result<Response<PeerBody>, Outcome> {
    let server = node
        .proxy_target(target.server, target.purpose)
        .ok_or(Outcome::Declined)?;
    // This host's own path may be cut, too. A third host is never asked.
    if node.path_to(server.key()) != Path::Direct {
        return Err(Outcome::Unavailable);
    }
    if target.purpose == Purpose::Check {
        return check(node, &server).await;
    }
    let mut resources = Resources {
        in_flight: node.track_request(),
        proxied: node.track_proxied().ok_or(Outcome::Unavailable)?,
        memory: Portion::without_free_bytes(&node.memory),
    };
    if !resources
        .memory
        .grow(EXCHANGE_BYTES + node.peer_buffer_bytes())
    {
        return Err(Outcome::Unavailable);
    }
    let (head, body) = request.into_parts();
    // The other host may have missed the decision because it was cut off.
    let parts = node.translator.shared_parts(&head.headers);
    if target.purpose == Purpose::Request && node.barred_part(&parts).is_some() {
        return Err(Outcome::Declined);
    }
    let max_bytes = node.max_body_bytes();
    let deadline = clock::now() + BODY_TIMEOUT;
    let body = forward::read_body(body, max_bytes, deadline, &mut resources.memory).await;
    let body = body.map_err(|_| Outcome::Unavailable)?;
    let mut outgoing = Request::new(Full::new(body));
    *outgoing.method_mut() = head.method;
    *outgoing.uri_mut() = head.uri;
    *outgoing.headers_mut() = end_to_end(head.headers);
    outgoing.headers_mut().remove(CONTENT_LENGTH);
    let stage = Stage::Sent(server.id().clone());
    resources.in_flight.progress.set_stage(stage);
    let exchange = exchange(node, &server, outgoing, &target).await?;
    Ok(relay(node, server, exchange, resources))
}

/// Connects to a server and keeps the connection for the request that is likely to follow. If that fails, no other hosts
/// are asked: the question would pass through all of them.
async fn check(node: &Rc<Node>, server: &Server) -> Result<Response<PeerBody>, Outcome> {
    let connected = node.client.connect(server.address).await;
    let link = connected.map_err(|error| outcome(&error))?;
    node.record_connection(server);
    node.client.keep(link);
    Ok(response(Outcome::Answered))
}

/// Sends a request to a server. What the server states about itself is applied here, too, as this host is the one that
/// it answers.
async fn exchange(
    node: &Rc<Node>,
    server: &Server,
    request: Request<Full<Bytes>>,
    target: &Target,
) -> Result<Exchange, Outcome> {
    let sent_at = clock::now();
    let sent = transport::send_direct(node, server, request, target.purpose, target.fresh).await;
    let exchange = sent.map_err(|error| outcome(&error))?;
    let head = &exchange.head;
    let statement = node.translator.statement(head.status, &head.headers);
    node.apply_statement(server, &statement, sent_at);
    Ok(exchange)
}

fn outcome(error: &Error) -> Outcome {
    match error {
        Error::Closed { .. } => Outcome::Refused,
        Error::Unreachable { .. } => Outcome::Unreachable,
        Error::NotSent | Error::Withheld => Outcome::Declined,
        Error::Lost { .. } | Error::ProxyLost { .. } => Outcome::Lost,
    }
}

/// Builds the response of the server as the other host receives it. A body that ends with the server's connection gets
/// an end of its own, if the server has not ended, so that it can't be mistaken for a whole one.
fn relay(
    node: &Rc<Node>,
    server: Server,
    exchange: Exchange,
    resources: Resources,
) -> Response<PeerBody> {
    let Exchange {
        head,
        body,
        connection,
    } = exchange;
    let framing = body.framing;
    let body = ProxiedBody::new(body, connection, resources, node.clone(), server);
    let mut response = Response::new(PeerBody::Right(Box::new(body)));
    *response.status_mut() = head.status;
    *response.headers_mut() = end_to_end(head.headers);
    head::set_framing(framing, response.headers_mut());
    Outcome::Answered.set(response.headers_mut());
    response
}

/// Drops the headers that apply to a single connection only.
fn end_to_end(mut head: HeaderMap) -> HeaderMap {
    HOP_BY_HOP.iter().for_each(|name| {
        head.remove(name);
    });
    head
}
