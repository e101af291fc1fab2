//! What one server sends of a stream.

use crate::client::Connection;
use crate::generate::Open;
use crate::node::{Node, ReservationGuard};
use crate::slowdown::Reading;
use crate::ticket::Tickets;
use alderglade_core::fleet::directory::Server;
use alderglade_core::fleet::slowdown::Suspicion;
use alderglade_core::fleet::sse::Splitter;
use alderglade_core::time::Time;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::time::Duration;

/// What a server's connection gives next: `None` after the last frame.
pub(super) type Frame = Option<Result<hyper::body::Frame<Bytes>, hyper::Error>>;

/// What one server sends of a stream, and what is taken up there for it.
pub(super) struct Part {
    pub server: Server,
    body: Incoming,
    /// The connection, to be recycled after the last byte.
    pub connection: Connection,
    pub splitter: Splitter,
    /// The placement in the book.
    pub held: ReservationGuard,
    /// Memory that was set aside.
    tickets: Option<Tickets>,
    /// Who reads the prompt.
    pub reading: Reading,
    /// When the first event came: the prompt has been read, and the answer runs.
    pub began: Option<Time>,
    /// How long the server may stay silent.
    pub silence: Duration,
    /// What its pauses say of the server.
    pub suspicion: Suspicion,
    /// Whether the server was noted as silent since it was heard last.
    pub noted_silent: bool,
    /// What came while another server was looked for.
    pub pending: Option<Frame>,
}

impl Part {
    /// Begins with the part of a server whose answer has begun.
    pub fn new(open: Open) -> Part {
        Part {
            server: open.server,
            body: open.exchange.body,
            connection: open.exchange.connection,
            splitter: Splitter::default(),
            held: open.held,
            tickets: open.tickets,
            reading: open.reading,
            began: None,
            silence: open.silence,
            suspicion: Suspicion::default(),
            noted_silent: false,
            pending: None,
        }
    }

    /// Gives back what is taken up at a server that has failed.
    pub fn give_back(&mut self) {
        self.held.suspend();
        self.tickets = None;
    }

    /// Waits for the next frame; gives `None` where the server has started again and nothing more can come. Dropped
    /// before there is one, it loses nothing.
    pub async fn live_frame(&mut self, node: &Node) -> Option<Frame> {
        let Part { body, server, .. } = self;
        tokio::select! {
            // What is there goes before any sign that nothing more comes.
            biased;
            frame = body.frame() => Some(frame),
            () = node.wait_until_superseded(server) => None,
        }
    }

    /// Waits for the next frame. Dropped before there is one, it loses nothing.
    pub async fn frame(&mut self) -> Frame {
        self.body.frame().await
    }
}
