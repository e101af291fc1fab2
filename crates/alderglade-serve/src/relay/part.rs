//! The part of a stream that one server sends.

use crate::client::Connection;
use crate::generate::OpenStream;
use crate::node::{Node, ReservationGuard};
use crate::slowdown::Reading;
use crate::ticket::Tickets;
use alderglade_core::fleet::directory::Server;
use alderglade_core::fleet::ending::Framing;
use alderglade_core::fleet::slowdown::PauseMonitor;
use alderglade_core::fleet::sse::Splitter;
use alderglade_core::time::Time;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::time::Duration;

/// The next frame from a server's connection; `None` after the last one.
pub(super) type Frame = Option<Result<hyper::body::Frame<Bytes>, hyper::Error>>;

/// The part of a stream that one server sends, with the resources held there for it.
pub(super) struct ServerPart {
    pub server: Server,
    body: Incoming,
    /// How the server marks the end of its response.
    pub framing: Framing,
    /// The connection, to be recycled after the last byte.
    pub connection: Connection,
    pub splitter: Splitter,
    /// The placement in the load table.
    pub reservation: ReservationGuard,
    /// Memory reserved at several engines, if the prompt needs it.
    tickets: Option<Tickets>,
    /// The engines that read the prompt.
    pub reading: Reading,
    /// When the first event arrived: the prompt has been read, and the output is being generated.
    pub first_event_at: Option<Time>,
    /// Longest silence before another server is looked for.
    pub silence: Duration,
    /// The evidence of slowness in the server's pauses.
    pub pause_monitor: PauseMonitor,
    /// Whether the server was recorded as silent since its last frame.
    pub recorded_silent: bool,
    /// A frame that arrived while another server was looked for.
    pub pending: Option<Frame>,
}

impl ServerPart {
    /// Begins the part of a server whose response has begun.
    pub fn new(open: OpenStream) -> ServerPart {
        ServerPart {
            server: open.server,
            body: open.exchange.body,
            framing: open.exchange.framing,
            connection: open.exchange.connection,
            splitter: Splitter::default(),
            reservation: open.reservation,
            tickets: open.tickets,
            reading: open.reading,
            first_event_at: None,
            silence: open.silence,
            pause_monitor: PauseMonitor::default(),
            recorded_silent: false,
            pending: None,
        }
    }

    /// Releases the resources at a server that failed.
    pub fn release_resources(&mut self) {
        self.reservation.suspend();
        self.tickets = None;
    }

    /// Waits for the next frame. Returns `None` if the server has restarted and nothing more can arrive. Cancel safe.
    pub async fn next_unless_restarted(&mut self, node: &Node) -> Option<Frame> {
        let ServerPart { body, server, .. } = self;
        tokio::select! {
            // Data that has arrived takes precedence over the sign that no more will arrive.
            biased;
            frame = body.frame() => Some(frame),
            () = node.wait_until_superseded(server) => None,
        }
    }

    /// Waits for the next frame. Cancel safe.
    pub async fn frame(&mut self) -> Frame {
        self.body.frame().await
    }
}
