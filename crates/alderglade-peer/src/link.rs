//! Tasks on the runtime's thread: a listener, and one sending task for each destination host.

use crate::rpc::{Host, HostClient};
use crate::{Incoming, Outgoing, Sink};
use alderglade_core::Name;
use alderglade_core::message::Message;
use futures::{Future, StreamExt};
use std::collections::HashMap;
use std::time::{Duration, Instant};
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tarpc::{client, context, serde_transport};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// Largest batch in bytes; large enough for the settings of thousands of workspaces.
const MAX_BATCH_BYTES: usize = 16 << 20;
/// Maximum number of messages in one batch.
const MAX_BATCH_MESSAGES: usize = 128;
/// Maximum number of messages queued for one host.
const MAX_QUEUED_MESSAGES: usize = 8_192;
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for delivering a batch.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a failed delivery before the next one to the same host, and after a failed accept.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);
/// A sending task ends after this time without messages.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

#[derive(Clone)]
struct Receiver {
    sink: Sink,
}

impl Host for Receiver {
    async fn deliver(self, _: context::Context, from: Name, messages: Vec<Message>) {
        for message in messages {
            (self.sink)(Incoming::Message {
                from: from.clone(),
                message: Box::new(message),
            });
        }
    }
}

/// Starts the listener and passes outgoing messages to a task for each host; runs until all [`Peers`] are dropped.
///
/// [`Peers`]: crate::Peers
pub(crate) async fn run(
    own: Name,
    listener: std::net::TcpListener,
    mut outgoing: mpsc::Receiver<Outgoing>,
    sink: Sink,
) {
    let Ok(listener) = TcpListener::from_std(listener) else {
        return;
    };
    tokio::spawn(listen(listener, sink.clone()));
    let mut links: HashMap<(Name, Name), mpsc::Sender<Message>> = HashMap::new();
    while let Some(next) = outgoing.recv().await {
        let key = (next.to, next.address);
        let link = links.entry(key.clone()).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
            let link = Link {
                own: own.clone(),
                host: key.0.clone(),
                address: key.1.clone(),
                sink: sink.clone(),
            };
            tokio::spawn(link.run(receiver));
            sender
        });
        let result = link.try_send(next.message);
        if let Err(mpsc::error::TrySendError::Closed(_)) = result {
            links.remove(&key);
        }
    }
}

async fn listen(listener: TcpListener, sink: Sink) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            tokio::time::sleep(FAILURE_PAUSE).await;
            continue;
        };
        let _ = socket.set_nodelay(true);
        let transport = serde_transport::new(framed(socket), Bincode::default());
        let receiver = Receiver { sink: sink.clone() };
        let requests = BaseChannel::with_defaults(transport).execute(receiver.serve());
        tokio::spawn(requests.for_each(spawn_reply));
    }
}

async fn spawn_reply(reply: impl Future<Output = ()> + Send + 'static) {
    tokio::spawn(reply);
}

fn framed(socket: TcpStream) -> tarpc::tokio_util::codec::Framed<TcpStream, LengthDelimitedCodec> {
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MAX_BATCH_BYTES);
    tarpc::tokio_util::codec::Framed::new(socket, codec)
}

/// Sends messages to one host.
struct Link {
    own: Name,
    host: Name,
    address: Name,
    sink: Sink,
}

impl Link {
    async fn run(self, mut messages: mpsc::Receiver<Message>) {
        let mut connection = None;
        loop {
            let next = tokio::time::timeout(IDLE_TIMEOUT, messages.recv()).await;
            let Ok(Some(first)) = next else {
                return;
            };
            let mut batch = vec![first];
            while batch.len() < MAX_BATCH_MESSAGES {
                let Ok(message) = messages.try_recv() else {
                    break;
                };
                batch.push(message);
            }
            if !self.deliver(&mut connection, batch).await {
                connection = None;
                (self.sink)(Incoming::Silent {
                    host: self.host.clone(),
                });
                tokio::time::sleep(FAILURE_PAUSE).await;
            }
        }
    }

    /// Delivers a batch, connecting first if needed; returns whether the host confirmed it.
    async fn deliver(&self, connection: &mut Option<HostClient>, batch: Vec<Message>) -> bool {
        if connection.is_none() {
            *connection = self.connect().await;
        }
        let Some(client) = connection else {
            return false;
        };
        let mut context = context::current();
        context.deadline = Instant::now() + DELIVERY_TIMEOUT;
        client
            .deliver(context, self.own.clone(), batch)
            .await
            .is_ok()
    }

    async fn connect(&self) -> Option<HostClient> {
        let connecting = TcpStream::connect(self.address.as_ref());
        let socket = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .ok()?
            .ok()?;
        let _ = socket.set_nodelay(true);
        let transport = serde_transport::new(framed(socket), Bincode::default());
        Some(HostClient::new(client::Config::default(), transport).spawn())
    }
}
