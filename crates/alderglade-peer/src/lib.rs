//! Messages between entry hosts, over `tarpc`.
//!
//! One call carries a batch of one-way messages. The library's runtime lives on one thread of its
//! own; the rest of the process knows only [`Peers::send`] and a function that takes what comes.
//! A message that can't be delivered is dropped and its receiver reported silent: every exchange
//! is repeated by whoever still waits, so nothing here retries.

mod link;
mod rpc;

use alderglade_core::Name;
use alderglade_core::message::Message;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::mpsc;

/// Messages that may wait for the runtime's thread.
const MOST_WAITING: usize = 65_536;

/// Why the peer side can't start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The address can't be listened on.
    #[snafu(display("can't listen for other entry hosts on {address}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The runtime's thread can't be started.
    #[snafu(display("can't start the thread for other entry hosts"))]
    Thread {
        /// The cause.
        source: std::io::Error,
    },
}

/// What comes from other hosts.
#[derive(Debug)]
pub enum Incoming {
    /// A message.
    Message {
        /// The sender.
        from: Name,
        /// The message.
        message: Box<Message>,
    },
    /// A host didn't take a message.
    Silent {
        /// The host.
        host: Name,
    },
}

/// Takes what comes from other hosts; called on the runtime's thread and must not block.
pub type Sink = Arc<dyn Fn(Incoming) + Send + Sync>;

/// One message on its way out.
#[derive(Debug)]
pub(crate) struct Outgoing {
    to: Name,
    address: Name,
    message: Message,
}

/// Sends messages to other hosts.
#[derive(Debug, Clone)]
pub struct Peers {
    queue: mpsc::Sender<Outgoing>,
    address: SocketAddr,
}

impl Peers {
    /// Listens on `address` and starts the runtime's thread.
    ///
    /// # Errors
    ///
    /// Where the address is taken or no thread can be started.
    pub fn start(own: Name, address: SocketAddr, sink: Sink) -> Result<Peers, Error> {
        let listener = std::net::TcpListener::bind(address).context(ListenSnafu { address })?;
        listener
            .set_nonblocking(true)
            .context(ListenSnafu { address })?;
        let address = listener.local_addr().context(ListenSnafu { address })?;
        let (queue, waiting) = mpsc::channel(MOST_WAITING);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .context(ThreadSnafu)?;
        std::thread::Builder::new()
            .name("peer".into())
            .spawn(move || runtime.block_on(link::run(own, listener, waiting, sink)))
            .context(ThreadSnafu)?;
        Ok(Peers { queue, address })
    }

    /// Gives the address that other hosts reach this one at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Hands a message to the runtime's thread; it is dropped where too many wait.
    pub fn send(&self, to: Name, address: Name, message: Message) {
        let outgoing = Outgoing {
            to,
            address,
            message,
        };
        // A full queue means that the receiver is far behind; the sender's repetition covers it.
        let _ = self.queue.try_send(outgoing);
    }
}
