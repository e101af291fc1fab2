//! Messages between entry hosts, over `tarpc`.
//!
//! One call transfers a batch of one-way messages. The library's runtime has its own thread; the rest
//! of the process only uses [`Peers::send`] and a [`Sink`] for received messages. A message that can't
//! be delivered is dropped and its receiver is reported as silent. Nothing here retries, because the
//! sender of a request retries it as long as it waits for the reply.

mod link;
mod rpc;

use alderglade_core::Name;
use alderglade_core::message::Message;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::mpsc;

/// Maximum number of messages queued for the runtime's thread.
const MAX_QUEUED_MESSAGES: usize = 65_536;

/// Why [`Peers::start`] failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The host can't listen on the address.
    #[snafu(display("can't listen for other entry hosts on {address}"))]
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The runtime or its thread can't be started.
    #[snafu(display("can't start the thread for other entry hosts"))]
    Thread {
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// An event from the connections to other hosts.
#[derive(Debug)]
pub enum Incoming {
    /// A message was received.
    Message {
        /// Name of the sending host.
        from: Name,
        /// Received message.
        message: Box<Message>,
    },
    /// Messages to a host couldn't be delivered.
    Silent {
        /// Name of the host.
        host: Name,
    },
}

/// Handler of incoming events; called on the runtime's thread and must not block.
pub type Sink = Arc<dyn Fn(Incoming) + Send + Sync>;

/// A message to send, with the name and address of its receiver.
#[derive(Debug)]
pub(crate) struct Outgoing {
    to: Name,
    address: Name,
    message: Message,
}

/// Handle for sending messages to other hosts.
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
    /// Returns an error if the address is in use, or the runtime or its thread can't be started.
    pub fn start(own: Name, address: SocketAddr, sink: Sink) -> Result<Peers, Error> {
        let listener = std::net::TcpListener::bind(address).context(ListenSnafu { address })?;
        listener
            .set_nonblocking(true)
            .context(ListenSnafu { address })?;
        let address = listener.local_addr().context(ListenSnafu { address })?;
        let (queue, outgoing) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .context(ThreadSnafu)?;
        std::thread::Builder::new()
            .name("peer".into())
            .spawn(move || runtime.block_on(link::run(own, listener, outgoing, sink)))
            .context(ThreadSnafu)?;
        Ok(Peers { queue, address })
    }

    /// Returns the address that this host listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Queues a message for the runtime's thread; drops it if the queue is full.
    pub fn send(&self, to: Name, address: Name, message: Message) {
        let outgoing = Outgoing {
            to,
            address,
            message,
        };
        // A full queue means that the receiver is far behind; the sender's retry replaces the message.
        let _ = self.queue.try_send(outgoing);
    }
}
