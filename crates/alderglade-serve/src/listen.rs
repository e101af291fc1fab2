//! Listeners for callers, for the balancer's readiness check and for operators.

use crate::answer::Content;
use crate::client;
use crate::clock;
use crate::event::{self, Record};
use crate::forward;
use crate::head;
use crate::node::Node;
use crate::socket::{Socket, Unframed};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::Cell;
use std::convert::Infallible;
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Maximum number of connections that wait to be accepted.
const MAX_PENDING_CONNECTIONS: u32 = 1_024;
/// The smallest buffer that the HTTP library allows, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;
/// Idle timeout of a connection while the configuration is not known yet.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Delay after a connection could not be accepted, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// How long a stopping host waits for the request on a connection that has just been opened, so that its caller is
/// told to retry elsewhere: a round trip between failure domains, with a margin for a busy host.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(200);

/// Opens a listener.
///
/// # Errors
///
/// Returns an error if the address is not available.
pub fn open(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(MAX_PENDING_CONNECTIONS)
}

/// Serves callers until the process ends.
pub async fn serve_callers(node: Rc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_connection(node.clone(), stream));
            }
            Err(error) => {
                let problem = error.to_string();
                event::write(&Record::ListenFault { problem: &problem });
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(node: Rc<Node>, stream: TcpStream) {
    let _connected = node.track_connection();
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("cannot set a socket option: {error}");
    }
    let limits = node
        .state
        .borrow()
        .config
        .as_ref()
        .map(|config| config.limits);
    let idle_timeout = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout);
    let max_header_bytes = limits.map_or(MIN_BUFFER_BYTES, |limits| limits.max_header_bytes);
    let unframed = Unframed::default();
    let socket = Socket::new(stream, unframed.clone());
    let service_node = node.clone();
    let request_received: Rc<Cell<bool>> = Rc::default();
    let mark_received = request_received.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let node = service_node.clone();
        mark_received.set(true);
        let (mut head, body) = request.into_parts();
        let version = head.version;
        let unframed = unframed.clone();
        // Before the connection reads on, which would otherwise allocate a second buffer.
        head::detach(&mut head);
        // Boxed apart from the connection, which lives much longer: while it is idle, and while a stream is relayed.
        let served = Box::pin(forward::serve(node, head, body));
        async move {
            let response = served.await;
            unframed.record(version, &response);
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(socket), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        // A request that has arrived is read and answered before the connection counts as idle.
        biased;
        result = connection.as_mut() => result,
        () = wait_to_close_idle(&node) => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                biased;
                result = connection.as_mut() => result,
                () = wait_for_overdue_head(&request_received) => Ok(()),
            }
        }
    };
    if let Err(error) = result {
        log::debug!("caller connection failed: {error}");
    }
}

/// Waits until a connection that is opened now must be closed when idle: the host is stopping and accepts no more
/// requests.
async fn wait_to_close_idle(node: &Node) {
    let opened = clock::now();
    node.wait_until_closed().await;
    clock::sleep_until(opened + FIRST_REQUEST_TIMEOUT).await;
}

/// Waits until a connection without a request, but possibly with a part of its head, has used its time to send the
/// rest.
async fn wait_for_overdue_head(request_received: &Cell<bool>) {
    tokio::time::sleep(FIRST_REQUEST_TIMEOUT).await;
    if request_received.get() {
        std::future::pending::<()>().await;
    }
}

/// Answers the balancer's readiness check: whether the host accepts new connections.
pub async fn serve_readiness(node: Rc<Node>, listener: TcpListener) {
    simple(listener, move |_| {
        let status = if node.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        plain(status, Vec::new())
    })
    .await;
}

/// Serves the metrics to operators.
pub async fn serve_metrics(node: Rc<Node>, listener: TcpListener) {
    simple(listener, move |request| match request.uri().path() {
        "/metrics" => plain(StatusCode::OK, node.encode_metrics()),
        _ => plain(StatusCode::NOT_FOUND, Vec::new()),
    })
    .await;
}

/// Serves requests whose responses are available immediately, until the process ends.
async fn simple(
    listener: TcpListener,
    answer: impl Fn(&Request<Incoming>) -> Response<Content> + Clone + 'static,
) {
    let answer = move |_, request| std::future::ready(answer(&request));
    peers(listener, || MIN_BUFFER_BYTES, answer).await;
}

/// Serves requests of hosts, or of the platform, until the process ends. `buffer_bytes` returns the size of a new
/// connection's buffers; `answer` gets the address that a request comes from.
pub(crate) async fn peers<F, B>(
    listener: TcpListener,
    buffer_bytes: impl Fn() -> usize,
    answer: impl Fn(SocketAddr, Request<Incoming>) -> F + Clone + 'static,
) where
    F: Future<Output = Response<B>> + 'static,
    B: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>> + 'static,
{
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                let problem = error.to_string();
                event::write(&Record::ListenFault { problem: &problem });
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let answer = answer.clone();
        let max_buffer_bytes = buffer_bytes().max(MIN_BUFFER_BYTES);
        tokio::task::spawn_local(async move {
            client::set_socket_options(&stream);
            let service = service_fn(|request: Request<Incoming>| {
                let response = answer(from, request);
                async move { Ok::<_, Infallible>(response.await) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(DEFAULT_IDLE_TIMEOUT)
                .max_buf_size(max_buffer_bytes)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("connection failed: {error}");
            }
        });
    }
}

/// Builds a response without headers.
pub(crate) fn plain(status: StatusCode, body: Vec<u8>) -> Response<Content> {
    let mut response = Response::new(Content::Whole(Some(Bytes::from(body).into())));
    *response.status_mut() = status;
    response
}
