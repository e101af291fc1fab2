//! What one server sends of a stream.

use crate::client::Connection;
use crate::generate::Open;
use crate::node::Held;
use crate::slowdown::Reading;
use crate::ticket::Tickets;
use alderglade_core::fleet::directory::Server;
use alderglade_core::fleet::slowdown::Suspicion;
use alderglade_core::fleet::sse::Splitter;
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
    pub held: Held,
    /// Memory that was set aside.
    _tickets: Option<Tickets>,
    /// Who reads the prompt.
    pub reading: Reading,
    /// Whether the prompt has been read: the first event has come.
    pub read: bool,
    /// How long the server may stay silent.
    pub silence: Duration,
    /// What its pauses say of the server.
    pub suspicion: Suspicion,
    /// What came while another server was looked for.
    pub heard: Option<Frame>,
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
            _tickets: open.tickets,
            reading: open.reading,
            read: false,
            silence: open.silence,
            suspicion: Suspicion::default(),
            heard: None,
        }
    }

    /// Waits for the next frame. Dropped before there is one, it loses nothing.
    pub async fn frame(&mut self) -> Frame {
        self.body.frame().await
    }
}
