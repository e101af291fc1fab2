//! Accepts connections, applies timeouts and limits, and runs each request on its own thread.
//!
//! One thread drives all connections, with the HTTP stack that the platform's adapter uses too. A caller
//! that sends its head or body slowly only occupies a few bytes of memory and delays nobody else. A
//! request gets a thread only after it has been received completely.

use crate::answer::Fallback;
use crate::ask::{self, Fault};
use alderglade_core::error::Kind;
use alderglade_serve::answer::Content;
use alderglade_serve::socket::{Socket, Unframed};
use bytes::Bytes;
use http::header::CONNECTION;
use http::{HeaderMap, HeaderValue, Method, Response};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};

/// A connection is closed if a request head takes longer than this, or if it is idle for longer.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// The whole body must be received within this time.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause after a failed accept, so that a lack of file descriptors doesn't cause a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// A closing door still accepts connections and requests for this time: a request sent before the close may
/// still be in transit, and TCP may retransmit it once, after 200 ms.
const CLOSE_GRACE: Duration = Duration::from_millis(500);
/// Stack size in bytes of a thread that handles one request.
const HANDLER_STACK_BYTES: usize = 256 * 1_024;

/// Value of the `Connection` header of an answer after which the connection is closed.
const CONNECTION_CLOSE: HeaderValue = HeaderValue::from_static("close");

/// Why [`Door::open`] failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The server can't listen on the address, or can't start its runtime or thread.
    #[snafu(display("can't listen for callers on {address}"))]
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// A request that has been received, completely unless it was rejected.
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers of the request.
    pub headers: HeaderMap,
    /// Body, or why it was rejected. Empty if the request is passed to [`Handler::turn_away`].
    pub body: Result<Bytes, Fault>,
    /// Channel for the answer; closed when the caller has disconnected.
    pub answer: oneshot::Sender<Response<Content>>,
    /// Answer that the caller receives if [`Door::give_up`] is called before the answer has begun.
    pub fallback: Fallback,
}

/// Handles the requests that a [`Door`] receives.
pub trait Handler: Send + Sync + 'static {
    /// Answers a request, on its own thread.
    fn handle(&self, request: Request);

    /// Rejects a request that exceeds the limit of concurrent requests; runs on the listening thread and
    /// must not block.
    fn turn_away(&self, request: Request);
}

/// Phase of a door's life, in order.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
enum Phase {
    Open,
    Closed,
    GivenUp,
}

/// HTTP server that listens for callers.
#[derive(Debug)]
pub struct Door {
    address: SocketAddr,
    phase: watch::Sender<Phase>,
    requests: Arc<AtomicUsize>,
    open_connections: Arc<AtomicUsize>,
}

impl Door {
    /// Starts listening on `address`; at most `max_requests` requests are handled at once.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is in use, or the runtime or its thread can't be started.
    pub fn open(
        address: SocketAddr,
        max_requests: usize,
        handler: Arc<dyn Handler>,
    ) -> Result<Door, Error> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .context(ListenSnafu { address })?;
        let listener = {
            let _entered = runtime.enter();
            alderglade_serve::listen::open(address).context(ListenSnafu { address })?
        };
        let address = listener.local_addr().context(ListenSnafu { address })?;
        let (phase, phase_receiver) = watch::channel(Phase::Open);
        let dispatcher = Dispatcher {
            handler,
            phase: phase_receiver,
            requests: Arc::default(),
            max_requests,
        };
        let requests = dispatcher.requests.clone();
        let open_connections: Arc<AtomicUsize> = Arc::default();
        let connections = Connections {
            dispatcher,
            open_connections: open_connections.clone(),
        };
        let run = move || runtime.block_on(accept(listener, connections));
        thread::Builder::new()
            .name("callers".into())
            .spawn(run)
            .context(ListenSnafu { address })?;
        Ok(Door {
            address,
            phase,
            requests,
            open_connections,
        })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of requests being handled. Once the door is closed, returns the number of open
    /// connections instead, plus one while connections are still accepted: a connection stays open until
    /// its answer has been sent completely.
    pub fn busy(&self) -> usize {
        if *self.phase.borrow() != Phase::Open {
            return self.open_connections.load(Ordering::Relaxed);
        }
        self.requests.load(Ordering::Relaxed)
    }

    /// Stops accepting connections and closes idle ones, after a short time for requests that are still in
    /// transit. Requests that are being handled continue.
    pub fn close(&self) {
        self.phase.send_replace(Phase::Closed);
    }

    /// Gives up answers that haven't begun: their callers receive the fallback set for them, or a closed
    /// connection if there is none.
    ///
    /// A request may hang at a backend server for longer than a stopping process can wait.
    pub fn give_up(&self) {
        self.phase.send_replace(Phase::GivenUp);
    }
}

/// State shared by all connections.
#[derive(Clone)]
struct Connections {
    dispatcher: Dispatcher,
    open_connections: Arc<AtomicUsize>,
}

/// Accepts connections until the door has closed, then drives the open ones until the process ends.
async fn accept(listener: TcpListener, connections: Connections) {
    let listener_guard = CountGuard::new(&connections.open_connections);
    let closed = wait_until_closed(connections.dispatcher.phase.clone());
    tokio::pin!(closed);
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = closed.as_mut() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let guard = CountGuard::new(&connections.open_connections);
                tokio::spawn(connection(stream, connections.clone(), guard));
            }
            Err(cause) => {
                log::warn!("failed to accept a connection: {cause}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop((listener, listener_guard));
    std::future::pending().await
}

/// Serves one connection. It stays counted until its answers have left this process.
async fn connection(stream: TcpStream, connections: Connections, _guard: CountGuard) {
    let dispatcher = connections.dispatcher;
    let phase = dispatcher.phase.clone();
    if let Err(cause) = stream.set_nodelay(true) {
        log::debug!("failed to disable Nagle's algorithm on a connection: {cause}");
    }
    let unframed = Unframed::default();
    let socket = Socket::new(stream, unframed.clone());
    let service = service_fn(move |request: hyper::Request<Incoming>| {
        let dispatcher = dispatcher.clone();
        let unframed = unframed.clone();
        let version = request.version();
        async move {
            let response = dispatcher.answer(request).await?;
            unframed.record(version, &response);
            Ok::<_, Dropped>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .serve_connection(TokioIo::new(socket), service);
    tokio::pin!(connection);
    let served = tokio::select! {
        biased;
        served = connection.as_mut() => served,
        () = wait_until_closed(phase) => {
            connection.as_mut().graceful_shutdown();
            connection.as_mut().await
        }
    };
    if let Err(cause) = served {
        log::debug!("connection to a caller failed: {cause}");
    }
}

/// Waits until the door has closed and the time for requests in transit has passed.
async fn wait_until_closed(receiver: watch::Receiver<Phase>) {
    wait_for_phase(receiver, Phase::Closed).await;
    tokio::time::sleep(CLOSE_GRACE).await;
}

/// Waits until the door has reached `phase`. Waits forever if the door is dropped before.
async fn wait_for_phase(mut receiver: watch::Receiver<Phase>, phase: Phase) {
    let is_dropped = receiver
        .wait_for(|current| *current >= phase)
        .await
        .is_err();
    if is_dropped {
        std::future::pending::<()>().await;
    }
}

/// Passes requests to the handler and limits how many run at once.
#[derive(Clone)]
struct Dispatcher {
    handler: Arc<dyn Handler>,
    phase: watch::Receiver<Phase>,
    requests: Arc<AtomicUsize>,
    max_requests: usize,
}

/// Counts one request or connection until it is dropped.
struct CountGuard {
    count: Arc<AtomicUsize>,
}

impl CountGuard {
    fn new(count: &Arc<AtomicUsize>) -> CountGuard {
        count.fetch_add(1, Ordering::Relaxed);
        CountGuard {
            count: count.clone(),
        }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The request was dropped without an answer, so the caller's connection is closed.
#[derive(Debug, Snafu)]
#[snafu(display("the request was dropped without an answer"))]
struct Dropped;

impl Dispatcher {
    async fn answer(
        &self,
        request: hyper::Request<Incoming>,
    ) -> Result<Response<Content>, Dropped> {
        let (head, body) = request.into_parts();
        let guard = self.try_admit();
        let body = match &guard {
            Some(_) => read_body(body).await,
            None => Ok(Bytes::new()),
        };
        let (sender, answer) = oneshot::channel();
        let fallback = Fallback::default();
        let request = Request {
            method: head.method,
            target: head.uri.to_string(),
            headers: head.headers,
            body,
            answer: sender,
            fallback: fallback.clone(),
        };
        match guard {
            Some(guard) => self.handle(request, guard),
            None => self.handler.turn_away(request),
        }
        let mut answer = tokio::select! {
            answer = answer => answer.map_err(|_| Dropped),
            () = wait_for_phase(self.phase.clone(), Phase::GivenUp) => fallback.take().ok_or(Dropped),
        }?;
        if *self.phase.borrow() != Phase::Open {
            answer.headers_mut().insert(CONNECTION, CONNECTION_CLOSE);
        }
        Ok(answer)
    }

    fn try_admit(&self) -> Option<CountGuard> {
        let guard = CountGuard::new(&self.requests);
        (self.requests.load(Ordering::Relaxed) <= self.max_requests).then_some(guard)
    }

    fn handle(&self, request: Request, guard: CountGuard) {
        let handler = self.handler.clone();
        let spawned = thread::Builder::new()
            .name("caller".into())
            .stack_size(HANDLER_STACK_BYTES)
            .spawn(move || {
                let _guard = guard;
                handler.handle(request);
            });
        if let Err(cause) = spawned {
            log::warn!("failed to start a thread for a request: {cause}");
        }
    }
}

/// Reads the body, enforcing [`ask::MAX_BODY_BYTES`] and [`BODY_TIMEOUT`].
async fn read_body(body: Incoming) -> Result<Bytes, Fault> {
    if body.size_hint().lower() > ask::MAX_BODY_BYTES as u64 {
        return Err(ask::body_too_large());
    }
    let collect = Limited::new(body, ask::MAX_BODY_BYTES).collect();
    match tokio::time::timeout(BODY_TIMEOUT, collect).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(cause)) if cause.is::<LengthLimitError>() => Err(ask::body_too_large()),
        Ok(Err(cause)) => {
            let detail = format!("the body broke off: {cause}");
            Err(Fault::new(Kind::BadRequest, detail))
        }
        Err(_) => {
            let detail = format!("the body took longer than {} s", BODY_TIMEOUT.as_secs());
            Err(Fault::new(Kind::BadRequest, detail))
        }
    }
}
