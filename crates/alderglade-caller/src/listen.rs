//! Takes connections, bounds them, and gives each request a thread of its own.
//!
//! One thread runs all connections on the stack that the platform's adapter uses too; a caller that
//! dawdles in its head or its body holds up a few bytes of memory and nobody. Only a request that has
//! come whole gets a thread.

use crate::answer::Fallback;
use crate::ask::{self, Fault};
use alderglade_core::error::Kind;
use alderglade_serve::answer::Content;
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

/// A caller that takes longer over its head, or rests longer, loses its connection.
const IDLE_LIMIT: Duration = Duration::from_secs(20);
/// The whole body has to come within this time.
const BODY_LIMIT: Duration = Duration::from_secs(30);
/// The pause after a connection could not be accepted, so that a lack of descriptors isn't a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// A door that closes still takes what comes within this time: a request that was sent before may be under
/// way, and be sent again once by TCP, which waits 200 ms for it.
const CLOSING: Duration = Duration::from_millis(500);
/// Stack of a thread that handles one request.
const STACK: usize = 256 * 1_024;

/// Tells a caller that its connection isn't kept.
const CLOSE: HeaderValue = HeaderValue::from_static("close");

/// Why the door can't open.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The address can't be listened on.
    #[snafu(display("can't listen for callers on {address}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
}

/// A request that has come whole, or as much of it as was taken.
pub struct Request {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body, or why it wasn't taken.
    pub body: Result<Bytes, Fault>,
    /// Where the answer goes; closed when the caller has left.
    pub answer: oneshot::Sender<Response<Content>>,
    /// What the caller is told if the door gives the answer up before it is begun.
    pub fallback: Fallback,
}

/// What is done with each request.
pub trait Handler: Send + Sync + 'static {
    /// Answers a request, on a thread of its own.
    fn handle(&self, request: Request);

    /// Answers a request that is one too many, on the listening thread; must not wait.
    fn turn_away(&self, request: Request);
}

/// How far a door is on its way to the end.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
enum Phase {
    Open,
    Closed,
    GivenUp,
}

/// The listening side.
#[derive(Debug)]
pub struct Door {
    address: SocketAddr,
    phase: watch::Sender<Phase>,
    busy: Arc<AtomicUsize>,
    open: Arc<AtomicUsize>,
}

impl Door {
    /// Opens the door; at most `most` requests are handled at once.
    ///
    /// # Errors
    ///
    /// Where the address is taken.
    pub fn open(
        address: SocketAddr,
        most: usize,
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
        let (phase, shown) = watch::channel(Phase::Open);
        let hall = Hall {
            handler,
            phase: shown,
            busy: Arc::default(),
            most,
        };
        let busy = hall.busy.clone();
        let open: Arc<AtomicUsize> = Arc::default();
        let connections = Connections {
            hall,
            open: open.clone(),
        };
        let run = move || runtime.block_on(accept(listener, connections));
        thread::Builder::new()
            .name("callers".into())
            .spawn(run)
            .context(ListenSnafu { address })?;
        Ok(Door {
            address,
            phase,
            busy,
            open,
        })
    }

    /// Gives the address that callers reach.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Gives how many requests are being handled; once the door is closed, how many connections have
    /// not got the whole of their answer, and one more while connections are still taken.
    pub fn busy(&self) -> usize {
        if *self.phase.borrow() != Phase::Open {
            return self.open.load(Ordering::Relaxed);
        }
        self.busy.load(Ordering::Relaxed)
    }

    /// Takes no further connections and ends those at rest, once what was sent before has come; what is in
    /// hand goes on.
    pub fn close(&self) {
        self.phase.send_replace(Phase::Closed);
    }

    /// Gives up the answers that are not begun: their callers get the fallback that was set for them.
    ///
    /// A request may hang at a backend server longer than a process that stops can wait.
    pub fn give_up(&self) {
        self.phase.send_replace(Phase::GivenUp);
    }
}

/// What each connection is given.
#[derive(Clone)]
struct Connections {
    hall: Hall,
    open: Arc<AtomicUsize>,
}

/// Accepts connections until the door has closed, and serves the open ones until the process ends.
async fn accept(listener: TcpListener, connections: Connections) {
    let own = Place::take(&connections.open);
    let until_closed = until_closed(connections.hall.phase.clone());
    tokio::pin!(until_closed);
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = until_closed.as_mut() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let place = Place::take(&connections.open);
                tokio::spawn(connection(stream, connections.clone(), place));
            }
            Err(cause) => {
                log::warn!("a connection can't be accepted: {cause}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop((listener, own));
    std::future::pending().await
}

/// Serves one connection. An answer counts as given once it has left this process, so the place is kept
/// until then.
async fn connection(stream: TcpStream, connections: Connections, _place: Place) {
    let hall = connections.hall;
    let phase = hall.phase.clone();
    if let Err(cause) = stream.set_nodelay(true) {
        log::debug!("socket option refused: {cause}");
    }
    let service = service_fn(move |request| {
        let hall = hall.clone();
        async move { hall.answer(request).await }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_LIMIT)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let served = tokio::select! {
        biased;
        served = connection.as_mut() => served,
        () = until_closed(phase) => {
            connection.as_mut().graceful_shutdown();
            connection.as_mut().await
        }
    };
    if let Err(cause) = served {
        log::debug!("a caller's connection: {cause}");
    }
}

/// Waits until the door has closed and whatever was sent before has come.
async fn until_closed(shown: watch::Receiver<Phase>) {
    until(shown, Phase::Closed).await;
    tokio::time::sleep(CLOSING).await;
}

/// Waits until the door is so far, which a door that is dropped never is.
async fn until(mut shown: watch::Receiver<Phase>, phase: Phase) {
    let gone = shown.wait_for(|shown| *shown >= phase).await.is_err();
    if gone {
        std::future::pending::<()>().await;
    }
}

/// Where requests go; bounds how many there are at once.
#[derive(Clone)]
struct Hall {
    handler: Arc<dyn Handler>,
    phase: watch::Receiver<Phase>,
    busy: Arc<AtomicUsize>,
    most: usize,
}

/// One request or connection in a count, until it is dropped.
struct Place {
    count: Arc<AtomicUsize>,
}

impl Place {
    fn take(count: &Arc<AtomicUsize>) -> Place {
        count.fetch_add(1, Ordering::Relaxed);
        Place {
            count: count.clone(),
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The handler has dropped a request without an answer; the caller's connection is closed.
#[derive(Debug, Snafu)]
#[snafu(display("the request was dropped without an answer"))]
struct Dropped;

impl Hall {
    async fn answer(
        &self,
        request: hyper::Request<Incoming>,
    ) -> Result<Response<Content>, Dropped> {
        let (head, body) = request.into_parts();
        let place = self.place();
        let body = match &place {
            Some(_) => read(body).await,
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
        match place {
            Some(place) => self.handle(request, place),
            None => self.handler.turn_away(request),
        }
        let mut answer = tokio::select! {
            answer = answer => answer.map_err(|_| Dropped),
            () = until(self.phase.clone(), Phase::GivenUp) => fallback.take().ok_or(Dropped),
        }?;
        if *self.phase.borrow() != Phase::Open {
            answer.headers_mut().insert(CONNECTION, CLOSE);
        }
        Ok(answer)
    }

    fn place(&self) -> Option<Place> {
        let place = Place::take(&self.busy);
        (self.busy.load(Ordering::Relaxed) <= self.most).then_some(place)
    }

    fn handle(&self, request: Request, place: Place) {
        let handler = self.handler.clone();
        let spawned = thread::Builder::new()
            .name("caller".into())
            .stack_size(STACK)
            .spawn(move || {
                let _place = place;
                handler.handle(request);
            });
        if let Err(cause) = spawned {
            log::warn!("a request gets no thread: {cause}");
        }
    }
}

/// Reads the body, within its size and time.
async fn read(body: Incoming) -> Result<Bytes, Fault> {
    if body.size_hint().lower() > ask::MOST_BYTES as u64 {
        return Err(ask::too_large());
    }
    let collect = Limited::new(body, ask::MOST_BYTES).collect();
    match tokio::time::timeout(BODY_LIMIT, collect).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(cause)) if cause.is::<LengthLimitError>() => Err(ask::too_large()),
        Ok(Err(cause)) => {
            let detail = format!("the body broke off: {cause}");
            Err(Fault::new(Kind::BadRequest, detail))
        }
        Err(_) => {
            let detail = format!("the body took longer than {} s", BODY_LIMIT.as_secs());
            Err(Fault::new(Kind::BadRequest, detail))
        }
    }
}
