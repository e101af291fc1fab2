//! The runtime's thread: a listener, and one task for each host that is sent to.

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

/// The largest batch in bytes; settings of thousands of workspaces fit.
const MOST_BYTES: usize = 16 << 20;
/// Messages in one batch at most.
const BATCH: usize = 128;
/// Messages that may wait for one host.
const MOST_WAITING: usize = 8_192;
/// Connecting takes at most this long.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// A batch has to be taken within this time.
const CALL_LIMIT: Duration = Duration::from_secs(1);
/// After a failure a host is left alone for this long.
const PAUSE: Duration = Duration::from_millis(200);
/// A task without work for this long ends.
const IDLE: Duration = Duration::from_secs(60);

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

/// Runs until the process ends.
pub(crate) async fn run(
    own: Name,
    listener: std::net::TcpListener,
    mut waiting: mpsc::Receiver<Outgoing>,
    sink: Sink,
) {
    let Ok(listener) = TcpListener::from_std(listener) else {
        return;
    };
    tokio::spawn(listen(listener, sink.clone()));
    let mut links: HashMap<(Name, Name), mpsc::Sender<Message>> = HashMap::new();
    while let Some(outgoing) = waiting.recv().await {
        let key = (outgoing.to, outgoing.address);
        let link = links.entry(key.clone()).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(MOST_WAITING);
            let link = Link {
                own: own.clone(),
                host: key.0.clone(),
                address: key.1.clone(),
                sink: sink.clone(),
            };
            tokio::spawn(link.run(receiver));
            sender
        });
        let result = link.try_send(outgoing.message);
        if let Err(mpsc::error::TrySendError::Closed(_)) = result {
            links.remove(&key);
        }
    }
}

async fn listen(listener: TcpListener, sink: Sink) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        let _ = socket.set_nodelay(true);
        let transport = serde_transport::new(framed(socket), Bincode::default());
        let receiver = Receiver { sink: sink.clone() };
        let requests = BaseChannel::with_defaults(transport).execute(receiver.serve());
        tokio::spawn(requests.for_each(spawn));
    }
}

async fn spawn(answer: impl Future<Output = ()> + Send + 'static) {
    tokio::spawn(answer);
}

fn framed(socket: TcpStream) -> tarpc::tokio_util::codec::Framed<TcpStream, LengthDelimitedCodec> {
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MOST_BYTES);
    tarpc::tokio_util::codec::Framed::new(socket, codec)
}

/// Sends to one host.
struct Link {
    own: Name,
    host: Name,
    address: Name,
    sink: Sink,
}

impl Link {
    async fn run(self, mut waiting: mpsc::Receiver<Message>) {
        let mut connection = None;
        loop {
            let next = tokio::time::timeout(IDLE, waiting.recv()).await;
            let Ok(Some(first)) = next else {
                return;
            };
            let mut batch = vec![first];
            while batch.len() < BATCH {
                let Ok(message) = waiting.try_recv() else {
                    break;
                };
                batch.push(message);
            }
            if !self.deliver(&mut connection, batch).await {
                connection = None;
                (self.sink)(Incoming::Silent {
                    host: self.host.clone(),
                });
                tokio::time::sleep(PAUSE).await;
            }
        }
    }

    /// Delivers a batch; says whether the host took it.
    async fn deliver(&self, connection: &mut Option<HostClient>, batch: Vec<Message>) -> bool {
        if connection.is_none() {
            *connection = self.connect().await;
        }
        let Some(client) = connection else {
            return false;
        };
        let mut context = context::current();
        context.deadline = Instant::now() + CALL_LIMIT;
        client
            .deliver(context, self.own.clone(), batch)
            .await
            .is_ok()
    }

    async fn connect(&self) -> Option<HostClient> {
        let connecting = TcpStream::connect(self.address.as_ref());
        let socket = tokio::time::timeout(CONNECT_LIMIT, connecting)
            .await
            .ok()?
            .ok()?;
        let _ = socket.set_nodelay(true);
        let transport = serde_transport::new(framed(socket), Bincode::default());
        Some(HostClient::new(client::Config::default(), transport).spawn())
    }
}
