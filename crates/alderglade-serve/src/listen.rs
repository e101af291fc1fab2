//! Listeners: for callers, for the balancer's question and for operators.

use crate::answer::Content;
use crate::deliver::{Owed, Watched};
use crate::event::{self, Record};
use crate::forward;
use crate::node::Node;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// The smallest buffer that the HTTP library allows.
const SMALLEST_BUFFER: usize = 8_192;
/// How long a connection that says nothing is kept where the configuration isn't known yet.
const UNKNOWN_IDLE: Duration = Duration::from_secs(15);
/// The pause after a connection could not be accepted, so that a lack of descriptors isn't a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How long connections at rest are still served after the request to stop: until the balancer, which
/// asks each second and wants two refusals, has noticed.
const STILL_SERVED: Duration = Duration::from_millis(3_000);

/// Opens a listener.
///
/// # Errors
///
/// Where the address can't be had.
pub fn open(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves callers until the process ends.
pub async fn callers(node: Rc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(connection(node.clone(), stream));
            }
            Err(error) => {
                let problem = error.to_string();
                event::write(&Record::ListenFault { problem: &problem });
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(node: Rc<Node>, stream: TcpStream) {
    let connected = Rc::new(node.connect());
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("socket option refused: {error}");
    }
    let limits = node
        .state
        .borrow()
        .config
        .as_ref()
        .map(|config| config.limits);
    let idle = limits.map_or(UNKNOWN_IDLE, |limits| limits.idle);
    let head = limits.map_or(SMALLEST_BUFFER, |limits| limits.header_bytes);
    let watched = Watched::new(stream, connected.clone());
    let service_node = node.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let node = service_node.clone();
        let connected = connected.clone();
        async move {
            connected.owe();
            let answer = forward::serve(node, request).await;
            Ok::<_, Infallible>(answer.map(|content| Owed::new(content, connected)))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(head.max(SMALLEST_BUFFER))
        .serve_connection(TokioIo::new(watched), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = node.stopped_for(STILL_SERVED) => {
            connection.as_mut().graceful_shutdown();
            connection.as_mut().await
        }
    };
    if let Err(error) = result {
        log::debug!("a caller's connection: {error}");
    }
}

/// Answers the balancer's question whether the host takes new connections.
pub async fn ready(node: Rc<Node>, listener: TcpListener) {
    simple(listener, move |_| {
        let status = if node.ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        plain(status, Vec::new())
    })
    .await;
}

/// Serves the metrics to operators.
pub async fn metrics(node: Rc<Node>, listener: TcpListener) {
    simple(listener, move |request| match request.uri().path() {
        "/metrics" => plain(StatusCode::OK, node.metrics.text()),
        _ => plain(StatusCode::NOT_FOUND, Vec::new()),
    })
    .await;
}

async fn simple(
    listener: TcpListener,
    answer: impl Fn(&Request<Incoming>) -> Response<Content> + Clone + 'static,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                let problem = error.to_string();
                event::write(&Record::ListenFault { problem: &problem });
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let answer = answer.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let response = answer(&request);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(UNKNOWN_IDLE)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("an operator's connection: {error}");
            }
        });
    }
}

fn plain(status: StatusCode, body: Vec<u8>) -> Response<Content> {
    let mut response = Response::new(Content::Whole(Some(body.into())));
    *response.status_mut() = status;
    response
}
