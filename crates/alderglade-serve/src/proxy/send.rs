//! Sends requests through proxies.

use super::head::{self, Outcome, Purpose, TARGET, Target};
use crate::client::{Error, Exchange};
use crate::clock;
use crate::event::{self, Record};
use crate::node::{Node, Proxy};
use crate::transport::{self, Outgoing};
use alderglade_core::fleet::directory::Server;
use alderglade_core::fleet::homes::Homes;
use alderglade_core::fleet::reachability::Finding;
use bytes::Bytes;
use http::header::{HOST, PROXY_AUTHORIZATION};
use http::{HeaderValue, Request};
use http_body_util::Full;
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of proxies tried for one request.
const MAX_PROXIES: usize = 3;
/// Number of hosts that are asked at the same time about a server.
const CHECKS_AT_ONCE: usize = 2;
/// Number of times that hosts are asked.
const CHECK_ROUNDS: usize = 2;
/// How long a host may take to connect to a server for a check, with a margin for a busy host.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends a request to a server through another host and waits for the head of the response. `request` builds the
/// request anew for each host that is tried.
///
/// # Errors
///
/// Returns an error if no host reaches the server, or if the connection breaks before the head has arrived.
pub async fn send(
    node: &Rc<Node>,
    outgoing: &Outgoing<'_>,
    request: impl Fn() -> Request<Full<Bytes>>,
) -> Result<Exchange, Error> {
    let server = outgoing.server;
    let mut tried: Vec<Proxy> = Vec::new();
    let mut last_error = Error::NotSent;
    while tried.len() < MAX_PROXIES {
        // The hosts tried before have taken time.
        transport::begin_send(node, server, outgoing.purpose)?;
        let Some(proxy) = node.choose_proxy(server, outgoing.homes, &tried) else {
            break;
        };
        let target = Target {
            server: server.key(),
            purpose: outgoing.purpose,
            fresh: outgoing.fresh,
        };
        let result = exchange(node, &proxy, target, request()).await;
        let label = match &result {
            Ok((_, outcome)) => outcome.label(),
            Err(error) => error_label(error),
        };
        event::write(&Record::Proxied {
            id: outgoing.id,
            server: server.id(),
            host: &proxy.host,
            outcome: label,
        });
        let Proxy { host, .. } = &proxy;
        match result {
            Ok((exchange, Outcome::Answered)) => return Ok(exchange),
            Ok((_, Outcome::Lost)) => {
                let reason = format!("between {host} and the server");
                return Err(Error::Lost { reason });
            }
            Ok((_, Outcome::Refused)) => {
                let reason = format!("refused to {host}");
                return Err(Error::Closed { reason });
            }
            Ok((_, Outcome::Unreachable)) => {
                let reason = format!("none from {host}");
                last_error = Error::Unreachable { reason };
                // A host that reaches other servers is not at fault.
                if node.has_proxy_helped(host) {
                    return Err(last_error);
                }
            }
            Err(Error::Lost { reason }) => return Err(Error::ProxyLost { reason }),
            Ok((_, Outcome::Declined | Outcome::Unavailable)) | Err(_) => {}
        }
        tried.push(proxy);
    }
    Err(last_error)
}

fn error_label(error: &Error) -> &'static str {
    match error {
        Error::Lost { .. } | Error::ProxyLost { .. } => "proxy_lost",
        Error::Unreachable { .. } | Error::Closed { .. } | Error::NotSent | Error::Withheld => {
            "no_proxy"
        }
    }
}

/// Asks other hosts whether they connect to a server that this host can't connect to.
pub async fn check(node: &Rc<Node>, server: &Server) -> Finding {
    let mut asked: Vec<Proxy> = Vec::new();
    for _ in 0..CHECK_ROUNDS {
        let mut checks = tokio::task::JoinSet::new();
        for _ in 0..CHECKS_AT_ONCE {
            let Some(proxy) = node.choose_proxy(server, &Homes::default(), &asked) else {
                break;
            };
            checks.spawn_local(check_at(node.clone(), server.clone(), proxy.clone()));
            asked.push(proxy);
        }
        let mut finding = Finding::Unknown;
        while let Some(checked) = checks.join_next().await {
            match checked {
                Ok(Finding::Reached) => return Finding::Reached,
                Ok(Finding::Down) => finding = Finding::Down,
                Ok(Finding::Unknown) | Err(_) => {}
            }
        }
        if finding == Finding::Down {
            return finding;
        }
    }
    Finding::Unknown
}

/// Asks one host whether it connects to a server.
async fn check_at(node: Rc<Node>, server: Server, proxy: Proxy) -> Finding {
    let target = Target {
        server: server.key(),
        purpose: Purpose::Check,
        fresh: false,
    };
    let request = Request::new(Full::default());
    let exchange = exchange(&node, &proxy, target, request);
    let Ok(answer) = clock::timeout(CHECK_TIMEOUT, exchange).await else {
        node.record_proxy(&proxy.host, Some(false));
        return Finding::Unknown;
    };
    let Ok((exchange, outcome)) = answer else {
        return Finding::Unknown;
    };
    match outcome {
        Outcome::Answered => {
            // A request to the server is likely to follow.
            exchange.connection.recycle();
            Finding::Reached
        }
        Outcome::Refused | Outcome::Unreachable => Finding::Down,
        Outcome::Lost | Outcome::Declined | Outcome::Unavailable => Finding::Unknown,
    }
}

/// Sends a request to a proxy, and records whether the proxy could help.
async fn exchange(
    node: &Rc<Node>,
    proxy: &Proxy,
    target: Target,
    mut request: Request<Full<Bytes>>,
) -> Result<(Exchange, Outcome), Error> {
    let in_use = node.use_proxy(&proxy.host);
    let headers = request.headers_mut();
    let value = |text: &str| HeaderValue::from_str(text).ok();
    headers.extend(value(&target.to_string()).map(|value| (TARGET, value)));
    headers.extend(value(&format!("Bearer {}", proxy.key)).map(|key| (PROXY_AUTHORIZATION, key)));
    if !headers.contains_key(HOST) {
        headers.extend(value(&proxy.address.to_string()).map(|address| (HOST, address)));
    }
    let sent = node.client.send(proxy.address, request, target.fresh).await;
    let result = sent.map(|mut exchange| {
        let headers = &mut exchange.head.headers;
        let outcome = Outcome::take(headers);
        if let Some(framing) = head::take_framing(headers) {
            exchange.body.framing = framing;
        }
        // Only a proxy states the outcome. Without it the host has not sent the request anywhere.
        (exchange, outcome.unwrap_or(Outcome::Unavailable))
    });
    let helped = match &result {
        Ok((_, Outcome::Answered | Outcome::Refused | Outcome::Lost)) => Some(true),
        Ok((_, Outcome::Declined)) => None,
        // The server may be down; only a request shows that this host needs a proxy at all.
        Ok((_, Outcome::Unreachable))
            if target.purpose == Purpose::Check || node.has_proxy_helped(&proxy.host) =>
        {
            None
        }
        Ok((_, Outcome::Unreachable | Outcome::Unavailable)) | Err(_) => Some(false),
    };
    node.record_proxy(&proxy.host, helped);
    result.map(|(mut exchange, outcome)| {
        exchange.connection.hold(in_use);
        (exchange, outcome)
    })
}
