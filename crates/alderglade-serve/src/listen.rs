//! Listeners: for callers, for the balancer's question and for operators.

use crate::answer::Content;
use crate::clock;
use crate::event::{self, Record};
use crate::forward;
use crate::node::Node;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::Cell;
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
/// How long a stopping host waits for the request of a connection that has just been opened, so that its caller is told
/// to come back elsewhere: a way there and back between failure domains, and a busy moment.
const FIRST_REQUEST: Duration = Duration::from_millis(200);

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
    let _connected = node.track_connection();
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("socket option refused: {error}");
    }
    let limits = node
        .state
        .borrow()
        .config
        .as_ref()
        .map(|config| config.limits);
    let idle = limits.map_or(UNKNOWN_IDLE, |limits| limits.idle_timeout);
    let head = limits.map_or(SMALLEST_BUFFER, |limits| limits.max_header_bytes);
    let service_node = node.clone();
    let asked: Rc<Cell<bool>> = Rc::default();
    let has_asked = asked.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let node = service_node.clone();
        has_asked.set(true);
        // Kept apart from the connection, which is there for much longer: at rest, and while a stream is passed on.
        let served = Box::pin(forward::serve(node, request));
        async move { Ok::<_, Infallible>(served.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(head.max(SMALLEST_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        // A request that has come is read and answered before the connection counts as at rest.
        biased;
        result = connection.as_mut() => result,
        () = ends_at_rest(&node) => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                biased;
                result = connection.as_mut() => result,
                () = head_overdue(&asked) => Ok(()),
            }
        }
    };
    if let Err(error) = result {
        log::debug!("a caller's connection: {error}");
    }
}

/// Waits until a connection that was opened now is to be ended where it rests: the host stops and takes no more requests.
async fn ends_at_rest(node: &Node) {
    let opened = clock::now();
    node.wait_until_closed().await;
    clock::sleep_until(opened + FIRST_REQUEST).await;
}

/// Waits until a connection over which no request has come, but maybe a part of its head, had its time for the rest.
async fn head_overdue(asked: &Cell<bool>) {
    tokio::time::sleep(FIRST_REQUEST).await;
    if asked.get() {
        std::future::pending::<()>().await;
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

/// Answers questions that need no waiting until the process ends.
pub(crate) async fn simple(
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
                log::debug!("a connection: {error}");
            }
        });
    }
}

/// Makes an answer.
pub(crate) fn plain(status: StatusCode, body: Vec<u8>) -> Response<Content> {
    let mut response = Response::new(Content::Whole(Some(Bytes::from(body).into())));
    *response.status_mut() = status;
    response
}
