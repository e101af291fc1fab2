//! Takes connections, bounds them, and gives each request a thread of its own.
//!
//! `tiny_http` sets no time limits, but sockets inherit them from the listener: a caller that
//! sends or takes nothing for a while loses its connection. The limit makes an idle listener's
//! `accept` return as well, which ends the library's server; a new one is then started on the
//! same socket, while the old one still serves the connections it has.

use snafu::{ResultExt, Snafu};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;
use tiny_http::{Request, Server};

/// A caller that sends or takes nothing for this long loses its connection.
const IDLE_LIMIT: Duration = Duration::from_secs(20);
/// A server that no longer accepts still serves its connections for this long.
const OLD_SERVER: Duration = Duration::from_secs(1_200);
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1_024;

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

/// What is done with each request.
pub trait Handler: Send + Sync + 'static {
    /// Answers a request, on a thread of its own.
    fn handle(&self, request: Request);

    /// Answers a request that is one too many, on the listening thread; must not wait.
    fn turn_away(&self, request: Request);
}

/// The listening side.
#[derive(Debug)]
pub struct Door {
    address: SocketAddr,
    closed: Arc<AtomicBool>,
    busy: Arc<AtomicUsize>,
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
        let listener = bind(address).context(ListenSnafu { address })?;
        let address = listener.local_addr().context(ListenSnafu { address })?;
        let door = Door {
            address,
            closed: Arc::default(),
            busy: Arc::default(),
        };
        let hall = Hall {
            handler,
            busy: door.busy.clone(),
            most,
        };
        let closed = door.closed.clone();
        thread::spawn(move || accept(&listener, &hall, &closed));
        Ok(door)
    }

    /// Gives the address that callers reach.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Gives how many requests are being handled.
    pub fn busy(&self) -> usize {
        self.busy.load(Ordering::Relaxed)
    }

    /// Takes no further connections; what is in hand goes on.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
    }
}

fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(address),
        socket2::Type::STREAM,
        None,
    )?;
    socket.set_reuse_address(true)?;
    socket.set_read_timeout(Some(IDLE_LIMIT))?;
    socket.set_write_timeout(Some(IDLE_LIMIT))?;
    socket.set_tcp_nodelay(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Starts a server on the socket, and another one whenever the last stops accepting.
fn accept(listener: &TcpListener, hall: &Hall, closed: &AtomicBool) {
    while !closed.load(Ordering::Relaxed) {
        let server = listener
            .try_clone()
            .ok()
            .and_then(|socket| Server::from_listener(socket, None).ok());
        let Some(server) = server else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        while let Ok(request) = server.recv() {
            hall.admit(request);
        }
        let hall = hall.clone();
        thread::spawn(move || serve_old(&server, &hall));
    }
}

fn serve_old(server: &Server, hall: &Hall) {
    while let Ok(Some(request)) = server.recv_timeout(OLD_SERVER) {
        hall.admit(request);
    }
}

/// Where requests go; bounds how many there are at once.
#[derive(Clone)]
struct Hall {
    handler: Arc<dyn Handler>,
    busy: Arc<AtomicUsize>,
    most: usize,
}

impl Hall {
    fn admit(&self, request: Request) {
        if self.busy.load(Ordering::Relaxed) >= self.most {
            self.handler.turn_away(request);
            return;
        }
        self.busy.fetch_add(1, Ordering::Relaxed);
        let hall = self.clone();
        let spawned = thread::Builder::new()
            .name("caller".into())
            .stack_size(STACK)
            .spawn(move || {
                hall.handler.handle(request);
                hall.busy.fetch_sub(1, Ordering::Relaxed);
            });
        if spawned.is_err() {
            self.busy.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// Stack of a thread that handles one request.
const STACK: usize = 256 * 1_024;
