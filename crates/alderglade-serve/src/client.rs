//! The one HTTP client: to backend servers and to the store.
//!
//! Connections are kept while the other side allows it. An exchange that isn't finished when its
//! handle is dropped closes its connection, so that nobody works on for a caller that has left.

use crate::body;
use crate::clock;
use alderglade_core::time::Time;
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// How long a connection may take to come up. A round trip between failure domains takes a few
/// milliseconds; a lost first packet is sent again after a second, too late for short work.
const CONNECT: Duration = Duration::from_millis(300);
/// How long sent bytes may stay without an acknowledgement before the connection is given up.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2_000);
/// How long a silent connection is left alone before the other side's host is asked for a sign.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// The time between two such signs; the second one unanswered ends the connection.
const PROBE_EACH: Duration = Duration::from_secs(1);
/// How long a connection at rest is kept where the other side doesn't say.
const REST: Duration = Duration::from_millis(2_500);
/// How much sooner than the other side says a resting connection is given up.
const REST_MARGIN: Duration = Duration::from_millis(800);
/// The most bytes that a connection reads ahead of whoever takes its answer.
const BUFFER: usize = 8 * 1024;
/// The most bytes of an answer that is taken as a whole.
const MOST_BYTES: usize = 16 * 1024 * 1024;

/// Why an exchange failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No connection came up; nothing was sent.
    #[snafu(display("no connection: {reason}"))]
    Unreachable {
        /// What was seen.
        reason: String,
    },
    /// The machine at the address says that nobody listens there; nothing was sent.
    #[snafu(display("no connection: {reason}"))]
    Closed {
        /// What was seen.
        reason: String,
    },
    /// A kept connection was closed before anything was sent on it.
    #[snafu(display("the connection closed before the request was sent"))]
    NotSent,
    /// Contact was lost after the request, or a part of it, was sent.
    #[snafu(display("contact lost: {reason}"))]
    Lost {
        /// What was seen.
        reason: String,
    },
}

/// A connection that is up.
struct Link {
    sender: http1::SendRequest<Full<Bytes>>,
    /// The task that runs it.
    task: AbortHandle,
}

/// A connection at rest.
struct Idle {
    link: Link,
    /// When it has rested for as long as it may.
    until: Time,
}

/// Why the head of an answer didn't come.
struct Failure {
    error: Error,
    /// The request, where nothing of it was sent.
    unsent: Option<Request<Full<Bytes>>>,
}

/// Kept connections by address.
#[derive(Default)]
pub struct Client {
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
    opened: Cell<u64>,
}

/// A connection in use; dropped before it is recycled, it is closed.
pub struct Connection {
    client: Rc<Client>,
    address: SocketAddr,
    sender: Option<http1::SendRequest<Full<Bytes>>>,
    /// The task that runs the connection, until it is kept for another request.
    task: Option<AbortHandle>,
    rest: Duration,
    reusable: bool,
}

/// The head of an answer, with the rest still to come.
pub struct Exchange {
    /// Status and headers.
    pub head: http::response::Parts,
    /// What is still to come.
    pub body: Incoming,
    /// The connection, to be recycled after the last byte.
    pub connection: Connection,
}

impl Client {
    /// Gives the number of connections opened so far.
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Sends a request and waits for the head of the answer. With `fresh`, no kept connection is
    /// used: one that breaks as a request is sent leaves it unknown whether the request ran.
    ///
    /// # Errors
    ///
    /// Where there is no connection, or it breaks before the head has come.
    pub async fn send(
        self: &Rc<Client>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        fresh: bool,
    ) -> Result<Exchange, Error> {
        let mut request = request;
        if !fresh && let Some(kept) = self.take(address) {
            let failure = match self.exchange(address, kept, request).await {
                Ok(exchange) => return Ok(exchange),
                Err(failure) => failure,
            };
            request = failure.unsent.ok_or(failure.error)?;
        }
        let link = self.connect(address).await?;
        let result = self.exchange(address, link, request).await;
        result.map_err(|failure| failure.error)
    }

    /// Closes the connections that have rested for as long as they may.
    pub fn expire(&self) {
        let now = clock::now();
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|entry| {
                let fresh = entry.until > now;
                if !fresh {
                    entry.link.task.abort();
                }
                fresh
            });
            !list.is_empty()
        });
    }

    /// Gives the number of connections at rest.
    pub fn resting(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Sends a request on a connection and waits for the head of the answer.
    async fn exchange(
        self: &Rc<Client>,
        address: SocketAddr,
        link: Link,
        request: Request<Full<Bytes>>,
    ) -> Result<Exchange, Failure> {
        let Link { mut sender, task } = link;
        let mut connection = Connection {
            client: self.clone(),
            address,
            sender: None,
            task: Some(task),
            rest: REST,
            reusable: false,
        };
        if let Err(error) = sender.ready().await {
            log::debug!("connection to {address} closed at rest: {error}");
            return Err(Failure {
                error: Error::NotSent,
                unsent: Some(request),
            });
        }
        let response = match sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut failed) => {
                let unsent = failed.take_message();
                let reason = failed.error().to_string();
                let error = match &unsent {
                    Some(_) => Error::NotSent,
                    None => Error::Lost { reason },
                };
                return Err(Failure { error, unsent });
            }
        };
        let (head, body) = response.into_parts();
        connection.reusable = !says_close(&head.headers);
        connection.rest = rest_time(&head.headers);
        connection.sender = Some(sender);
        Ok(Exchange {
            head,
            body,
            connection,
        })
    }

    /// Says whether somebody listens at an address, by a connection that is kept for the next request; `None` where
    /// that can't be told.
    pub async fn listens(self: &Rc<Client>, address: SocketAddr) -> Option<bool> {
        match self.connect(address).await {
            Ok(link) => {
                self.keep(address, link, REST);
                Some(true)
            }
            Err(Error::Closed { .. }) => Some(false),
            Err(_) => None,
        }
    }

    /// Keeps a connection for another request, for as long as it may rest.
    fn keep(&self, address: SocketAddr, link: Link, rest: Duration) {
        let entry = Idle {
            link,
            until: clock::now() + rest,
        };
        let mut idle = self.idle.borrow_mut();
        idle.entry(address).or_default().push(entry);
    }

    /// Closes the connections at rest to an address.
    pub fn forget(&self, address: SocketAddr) {
        let entries = self.idle.borrow_mut().remove(&address).unwrap_or_default();
        entries.iter().for_each(|entry| entry.link.task.abort());
    }

    /// Takes a connection at rest that is still good, and closes those before it that aren't.
    fn take(&self, address: SocketAddr) -> Option<Link> {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&address)?;
        while let Some(entry) = list.pop() {
            if entry.until > now && entry.link.sender.is_ready() {
                return Some(entry.link);
            }
            entry.link.task.abort();
        }
        None
    }

    /// Opens a connection.
    async fn connect(&self, address: SocketAddr) -> Result<Link, Error> {
        let unreachable = |reason: String| Error::Unreachable { reason };
        let stream = clock::timeout(CONNECT, TcpStream::connect(address))
            .await
            .map_err(|_| unreachable(format!("none within {} ms", CONNECT.as_millis())))?
            .map_err(|error| match error.kind() {
                ErrorKind::ConnectionRefused => Error::Closed {
                    reason: error.to_string(),
                },
                _ => unreachable(error.to_string()),
            })?;
        tune(&stream);
        self.opened.set(self.opened.get() + 1);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| unreachable(error.to_string()))?;
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address}: {error}");
            }
        });
        Ok(Link {
            sender,
            task: task.abort_handle(),
        })
    }
}

impl Connection {
    /// Keeps the connection for another request, if the other side allows it.
    pub fn recycle(mut self) {
        if !self.reusable {
            return;
        }
        let (Some(mut sender), Some(task)) = (self.sender.take(), self.task.take()) else {
            return;
        };
        let (client, address, rest) = (self.client.clone(), self.address, self.rest);
        tokio::task::spawn_local(async move {
            if sender.ready().await.is_err() {
                return;
            }
            client.keep(address, Link { sender, task }, rest);
        });
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if let Some(task) = &self.task {
            task.abort();
        }
    }
}

impl Exchange {
    /// Takes the rest of the answer as a whole.
    ///
    /// # Errors
    ///
    /// Where the answer breaks off or is too long.
    pub async fn collect(self) -> Result<Response<Bytes>, Error> {
        let mut length = 0;
        let within_bound = |bytes| {
            length += bytes;
            length <= MOST_BYTES
        };
        match self.collect_while(within_bound).await? {
            Collected::Whole(response) => Ok(response),
            Collected::Partial(..) => Err(Error::Lost {
                reason: "the answer is too long".to_string(),
            }),
        }
    }

    /// Takes the rest of the answer as a whole, or as much of it as `grow` has room for.
    ///
    /// # Errors
    ///
    /// Where the answer breaks off.
    pub async fn collect_while(
        self,
        mut grow: impl FnMut(usize) -> bool,
    ) -> Result<Collected, Error> {
        let mut rest = Rest {
            body: self.body,
            connection: self.connection,
        };
        let mut collected = BytesMut::new();
        while let Some(data) = rest.next().await? {
            collected.extend_from_slice(&data);
            if !grow(data.len()) {
                let response = Response::from_parts(self.head, collected.freeze());
                return Ok(Collected::Partial(response, rest));
            }
        }
        rest.connection.recycle();
        let response = Response::from_parts(self.head, collected.freeze());
        Ok(Collected::Whole(response))
    }
}

/// What was taken of an answer.
pub enum Collected {
    /// All of it.
    Whole(Response<Bytes>),
    /// Its beginning, with what is still to come.
    Partial(Response<Bytes>, Rest),
}

/// The part of an answer that is still to come.
pub struct Rest {
    body: Incoming,
    /// The connection, to be recycled after the last byte.
    pub connection: Connection,
}

impl Rest {
    /// Waits for the next bytes; gives `None` after the last ones.
    ///
    /// # Errors
    ///
    /// Where the answer breaks off.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        let next = body::next(&mut self.body).await;
        next.map_err(|error| Error::Lost {
            reason: error.to_string(),
        })
    }
}

/// Sets the socket so that a silent peer is noticed in seconds.
fn tune(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_EACH)
        .with_retries(2);
    let results = [
        socket.set_tcp_nodelay(true),
        socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED)),
        socket.set_tcp_keepalive(&keepalive),
    ];
    for error in results.into_iter().filter_map(Result::err) {
        log::debug!("socket option refused: {error}");
    }
}

fn says_close(head: &HeaderMap) -> bool {
    let values = head.get_all(http::header::CONNECTION);
    values
        .iter()
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.to_ascii_lowercase().contains("close"))
}

/// Gives how long a connection may rest, from the `Keep-Alive` header if there is one.
fn rest_time(head: &HeaderMap) -> Duration {
    let stated = head
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(|text| {
            text.split(',')
                .find_map(|part| part.trim().strip_prefix("timeout="))
        })
        .and_then(|seconds| seconds.parse::<u64>().ok());
    match stated {
        Some(seconds) => Duration::from_secs(seconds).saturating_sub(REST_MARGIN),
        None => REST,
    }
}
