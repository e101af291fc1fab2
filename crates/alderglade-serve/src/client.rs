//! The HTTP client for backend servers and the store.
//!
//! Connections are kept alive for as long as the other side allows. Dropping an exchange before it has finished
//! closes its connection, so that no server continues to work for a caller that has left.

mod exchange;
mod open_connection;
mod socket;
mod standby;

pub use exchange::{Collected, Exchange, RemainingBody, ResponseBody};
pub use open_connection::OpenConnection;
pub(crate) use open_connection::{EXIT_TIME, settle};
pub use standby::Question;
use standby::Standby;

use crate::clock;
use alderglade_core::fleet::ending::Framing;
use alderglade_core::time::Time;
use bytes::Bytes;
use http::{HeaderMap, Request};
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use open_connection::Driver;
use snafu::Snafu;
use socket::{Activity, Socket};
use std::any::Any;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::oneshot;

/// Timeout for opening a connection. A round trip between failure domains takes a few milliseconds. A lost first
/// packet is retransmitted after a second, too late for short requests.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long sent bytes may remain unacknowledged before the connection is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long a connection may be silent before the first TCP keepalive probe.
const KEEPALIVE_DELAY: Duration = Duration::from_secs(1);
/// Interval between keepalive probes; the connection ends when two remain unanswered.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// How long an idle connection is kept if the other side does not state a timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How much earlier than the other side's stated timeout an idle connection is closed.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(800);
/// How long a server is expected to send more responses that end with their connections after it has sent one.
const UNFRAMED_MEMORY: Duration = Duration::from_secs(10);
/// Maximum number of bytes that a connection reads ahead of the consumer of its response.
const MAX_READ_AHEAD_BYTES: usize = 8 * 1024;

/// Why an exchange failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The connection could not be opened; nothing was sent.
    #[snafu(display("no connection: {reason}"))]
    Unreachable {
        /// The error that was observed.
        reason: String,
    },
    /// The machine at the address refused the connection; nothing was sent.
    #[snafu(display("no connection: {reason}"))]
    Closed {
        /// The error that was observed.
        reason: String,
    },
    /// An idle connection was closed before anything was sent on it.
    #[snafu(display("the connection closed before the request was sent"))]
    NotSent,
    /// Nothing was sent, because the server accepts no new work any more.
    #[snafu(display("the server takes nothing now"))]
    Withheld,
    /// The connection was lost after the request, or a part of it, was sent.
    #[snafu(display("contact lost: {reason}"))]
    Lost {
        /// The error that was observed.
        reason: String,
    },
    /// The connection to the host through which the request was sent was lost. That says nothing about the server.
    #[snafu(display("contact with the proxy lost: {reason}"))]
    ProxyLost {
        /// The error that was observed.
        reason: String,
    },
}

/// An idle connection.
struct IdleConnection {
    link: OpenConnection,
    /// When the idle timeout expires.
    until: Time,
}

/// The result of sending a request on an idle connection.
pub enum IdleSend {
    /// It was sent, and answered or not.
    Done(Result<Exchange, Error>),
    /// Nothing of it was sent: there is no usable idle connection.
    Unsent(Request<Full<Bytes>>),
}

/// Why no response head arrived.
struct ExchangeFailure {
    error: Error,
    /// The request, if nothing of it was sent.
    unsent: Option<Request<Full<Bytes>>>,
}

/// An HTTP client with its idle connections by address.
#[derive(Default)]
pub struct Client {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
    opened: Cell<u64>,
    /// When a response of the server at each address last ended with its connection.
    unframed: RefCell<HashMap<SocketAddr, Time>>,
}

/// A connection in use. It is closed if it is dropped before it is recycled.
pub struct Connection {
    client: Rc<Client>,
    address: SocketAddr,
    sender: Option<http1::SendRequest<Full<Bytes>>>,
    /// The task that runs the connection, until it becomes idle.
    driver: Option<Driver>,
    idle_timeout: Duration,
    reusable: bool,
    /// What is in use until the exchange on the connection has ended.
    held: Option<Box<dyn Any>>,
}

impl Client {
    /// Returns the number of connections opened so far.
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Sends a request and waits for the head of the response. With `fresh`, no idle connection is used: if such a
    /// connection breaks while a request is sent, it is unknown whether the request ran.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection can be opened, or if it breaks before the head has arrived.
    pub async fn send(
        self: &Rc<Client>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        fresh: bool,
    ) -> Result<Exchange, Error> {
        let request = match self.send_on_idle(address, request, fresh).await {
            IdleSend::Done(result) => return result,
            IdleSend::Unsent(request) => request,
        };
        let link = self.connect(address).await?;
        self.send_on(link, request).await
    }

    /// Sends a request on an idle connection, if there is one and `fresh` is not set, and waits for the head of the
    /// response.
    pub async fn send_on_idle(
        self: &Rc<Client>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        fresh: bool,
    ) -> IdleSend {
        let idle = if fresh { None } else { self.take_idle(address) };
        let Some(link) = idle else {
            return IdleSend::Unsent(request);
        };
        match self.exchange(link, request).await {
            Ok(exchange) => IdleSend::Done(Ok(exchange)),
            Err(ExchangeFailure { error, unsent }) => match unsent {
                Some(request) => IdleSend::Unsent(request),
                None => IdleSend::Done(Err(error)),
            },
        }
    }

    /// Sends a request on a connection and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks before the head has arrived.
    pub async fn send_on(
        self: &Rc<Client>,
        link: OpenConnection,
        request: Request<Full<Bytes>>,
    ) -> Result<Exchange, Error> {
        let result = self.exchange(link, request).await;
        result.map_err(|failure| failure.error)
    }

    /// Closes the connections whose idle timeout has expired, and forgets responses that ended with their connections long
    /// ago.
    pub fn expire(&self) {
        let now = clock::now();
        let mut unframed = self.unframed.borrow_mut();
        unframed.retain(|_, at| now.since(*at) < UNFRAMED_MEMORY);
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|entry| {
                let unexpired = entry.until > now;
                if !unexpired {
                    entry.link.driver.task.abort();
                }
                unexpired
            });
            !list.is_empty()
        });
    }

    /// Returns the number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    async fn exchange(
        self: &Rc<Client>,
        link: OpenConnection,
        request: Request<Full<Bytes>>,
    ) -> Result<Exchange, ExchangeFailure> {
        let OpenConnection {
            address,
            mut sender,
            driver,
        } = link;
        let activity = driver.activity.clone();
        let mut connection = Connection {
            client: self.clone(),
            address,
            sender: None,
            driver: Some(driver),
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            reusable: false,
            held: None,
        };
        if let Err(error) = sender.ready().await {
            log::debug!("idle connection to {address} was closed: {error}");
            return Err(ExchangeFailure {
                error: Error::NotSent,
                unsent: Some(request),
            });
        }
        let sent_at = clock::now();
        let response = match sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut failed) => {
                let unsent = failed.take_message();
                let reason = failed.error().to_string();
                let error = match &unsent {
                    Some(_) => Error::NotSent,
                    None => Error::Lost { reason },
                };
                return Err(ExchangeFailure { error, unsent });
            }
        };
        let (head, body) = response.into_parts();
        let framing = exchange::framing(&head, &body);
        if framing == Framing::Close {
            activity.watch(sent_at);
            self.unframed.borrow_mut().insert(address, sent_at);
        }
        connection.reusable = !has_close_option(&head.headers);
        connection.idle_timeout = idle_timeout(&head.headers);
        connection.sender = Some(sender);
        Ok(Exchange {
            head,
            body: ResponseBody::new(body, framing, activity),
            connection,
        })
    }

    /// Keeps a connection that was opened ahead of the next request.
    pub fn keep(&self, link: OpenConnection) {
        self.keep_idle(link, DEFAULT_IDLE_TIMEOUT);
    }

    /// Keeps an idle connection until its timeout expires.
    fn keep_idle(&self, link: OpenConnection, idle_timeout: Duration) {
        let address = link.address;
        let entry = IdleConnection {
            link,
            until: clock::now() + idle_timeout,
        };
        let mut idle = self.idle.borrow_mut();
        idle.entry(address).or_default().push(entry);
    }

    /// Closes the idle connections to an address.
    pub fn forget(&self, address: SocketAddr) {
        let entries = self.idle.borrow_mut().remove(&address).unwrap_or_default();
        entries
            .iter()
            .for_each(|entry| entry.link.driver.task.abort());
    }

    /// Takes an idle connection that is still usable, and closes unusable ones found before it.
    fn take_idle(&self, address: SocketAddr) -> Option<OpenConnection> {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&address)?;
        while let Some(entry) = list.pop() {
            if entry.until > now && entry.link.sender.is_ready() {
                return Some(entry.link);
            }
            entry.link.driver.task.abort();
        }
        None
    }

    /// Takes an idle connection as the standby connection of a request that is about to be sent, if the response is
    /// likely to end with its connection. It stays usable until it is asked on.
    pub fn take_standby(&self, address: SocketAddr) -> Option<OpenConnection> {
        if !self.unframed.borrow().contains_key(&address) {
            return None;
        }
        let until = clock::now() + standby::REFRESH_INTERVAL;
        let mut idle = self.idle.borrow_mut();
        let is_usable =
            |entry: &mut IdleConnection| entry.until > until && entry.link.sender.is_ready();
        let entry = idle.get_mut(&address)?.pop_if(is_usable)?;
        Some(entry.link)
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if none is open within 300 ms.
    pub async fn connect(&self, address: SocketAddr) -> Result<OpenConnection, Error> {
        let unreachable = |reason: String| Error::Unreachable { reason };
        let stream = clock::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| unreachable(format!("none within {} ms", CONNECT_TIMEOUT.as_millis())))?
            .map_err(|error| match error.kind() {
                ErrorKind::ConnectionRefused => Error::Closed {
                    reason: error.to_string(),
                },
                _ => unreachable(error.to_string()),
            })?;
        set_socket_options(&stream);
        self.opened.set(self.opened.get() + 1);
        let activity = Activity::default();
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_READ_AHEAD_BYTES)
            .handshake(TokioIo::new(Socket::new(stream, activity.clone())))
            .await
            .map_err(|error| unreachable(error.to_string()))?;
        let (ending, ended) = oneshot::channel();
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address}: {error}");
            }
            drop(ending);
        });
        let driver = Driver {
            task: task.abort_handle(),
            opened: clock::now(),
            activity,
            ended,
        };
        Ok(OpenConnection {
            address,
            sender,
            driver,
        })
    }
}

impl Connection {
    /// Holds on to a guard until the exchange on the connection has ended.
    pub fn hold(&mut self, guard: impl Any) {
        self.held = Some(Box::new(guard));
    }

    /// Returns whether a guard is held: the exchange goes through another host.
    pub fn is_proxied(&self) -> bool {
        self.held.is_some()
    }

    /// Keeps the connection for another request, if the other side allows it.
    pub fn recycle(self) {
        if !self.reusable {
            return;
        }
        tokio::task::spawn_local(async move {
            let (client, idle_timeout) = (self.client.clone(), self.idle_timeout);
            if let Some(link) = self.reclaim().await {
                client.keep_idle(link, idle_timeout);
            }
        });
    }

    /// Returns the open connection after the last byte of its response, if the other side leaves it open.
    async fn reclaim(mut self) -> Option<OpenConnection> {
        if !self.reusable {
            return None;
        }
        // The exchange has ended, although the connection may take longer to become idle.
        self.held = None;
        let mut sender = self.sender.take()?;
        sender.ready().await.ok()?;
        Some(OpenConnection {
            address: self.address,
            sender,
            driver: self.driver.take()?,
        })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if let Some(driver) = &self.driver {
            driver.task.abort();
        }
    }
}

/// Sets socket options so that a silent peer is detected within seconds.
pub(crate) fn set_socket_options(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_DELAY)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    let results = [
        socket.set_tcp_nodelay(true),
        socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)),
        socket.set_tcp_keepalive(&keepalive),
    ];
    for error in results.into_iter().filter_map(Result::err) {
        log::debug!("cannot set a socket option: {error}");
    }
}

fn has_close_option(head: &HeaderMap) -> bool {
    let values = head.get_all(http::header::CONNECTION);
    values
        .iter()
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.to_ascii_lowercase().contains("close"))
}

/// Returns how long a connection may stay idle, from the `Keep-Alive` header if there is one.
fn idle_timeout(head: &HeaderMap) -> Duration {
    let stated_seconds = head
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(|text| {
            text.split(',')
                .find_map(|part| part.trim().strip_prefix("timeout="))
        })
        .and_then(|seconds| seconds.parse::<u64>().ok());
    match stated_seconds {
        Some(seconds) => Duration::from_secs(seconds).saturating_sub(IDLE_TIMEOUT_MARGIN),
        None => DEFAULT_IDLE_TIMEOUT,
    }
}
