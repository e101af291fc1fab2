//! The part of a stream that one server sends.

use crate::attempt;
use crate::client::{Connection, ResponseBody};
use crate::event::ResponseEnd;
use crate::generate::OpenStream;
use crate::node::{Node, ReservationGuard};
use crate::slowdown::Reading;
use crate::ticket::Tickets;
use alderglade_core::fleet::directory::Server;
use alderglade_core::fleet::ending::{Ending, Place};
use alderglade_core::fleet::quarantine::SOUND_AFTER;
use alderglade_core::fleet::slowdown::PauseMonitor;
use alderglade_core::fleet::sse::Splitter;
use alderglade_core::time::Time;
use bytes::Bytes;
use http::HeaderMap;
use http::header::CONTENT_TYPE;
use snafu::{ResultExt, Snafu};
use std::rc::Rc;
use std::time::Duration;

/// What a server sent next: bytes, or `None` at the end of its part.
pub(super) type Received = Result<Option<Bytes>, Failure>;

/// How a server failed its part of a stream.
#[derive(Debug, Snafu)]
pub(super) enum Failure {
    /// The connection broke.
    #[snafu(display("{source}"))]
    Connection {
        /// The error that was observed.
        source: hyper::Error,
    },
    /// The stream ended before its last event was complete.
    #[snafu(display("the stream ended inside an event"))]
    InEvent,
    /// The connection ended before the first event.
    #[snafu(display("the stream ended before its first event"))]
    NoEvent,
    /// The server has ended, as did the connection.
    #[snafu(display("{}", attempt::ENDED))]
    Ended,
    /// An event is longer than the host buffers.
    #[snafu(display("an event is too long"))]
    EventTooLong,
    /// The server has restarted, so that nothing more can arrive.
    #[snafu(display("{}", attempt::RESTARTED))]
    Restarted,
}

impl Failure {
    /// Returns the name of the outcome in logs and metrics.
    pub fn outcome(&self) -> &'static str {
        match self {
            Failure::InEvent => "in_event",
            _ => "failed",
        }
    }
}

/// The part of a stream that one server sends, with the resources held there for it.
pub(super) struct ServerPart {
    pub server: Server,
    body: ResponseBody,
    /// Whether the response is a series of events, as it states or by default.
    has_events: bool,
    /// Whether it continues after an event that the caller has.
    continues: bool,
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
    /// Whether the parts of the prompt were recorded as sound.
    recorded_sound: bool,
    /// What arrived while another server was looked for.
    pub pending: Option<Received>,
}

impl ServerPart {
    /// Begins the part of a server whose response has begun.
    ///
    /// `continues` is whether the caller has an event already.
    pub fn new(open: OpenStream, continues: bool) -> ServerPart {
        ServerPart {
            continues,
            server: open.server,
            body: open.exchange.body,
            has_events: has_events(&open.exchange.head.headers),
            connection: open.exchange.connection,
            splitter: Splitter::default(),
            reservation: open.reservation,
            tickets: open.tickets,
            reading: open.reading,
            first_event_at: None,
            silence: open.silence,
            pause_monitor: PauseMonitor::default(),
            recorded_silent: false,
            recorded_sound: false,
            pending: None,
        }
    }

    /// Returns when the first event arrived, once it has shown that no part of the prompt crashes servers.
    pub fn newly_sound(&mut self, now: Time) -> Option<Time> {
        let began = self.first_event_at?;
        let is_new = !self.recorded_sound && now.since(began) >= SOUND_AFTER;
        self.recorded_sound |= is_new;
        is_new.then_some(began)
    }

    /// Releases the resources at a server that failed.
    pub fn release_resources(&mut self) {
        self.reservation.suspend();
        self.tickets = None;
    }

    /// Waits for the next bytes. Cancel safe.
    ///
    /// # Errors
    ///
    /// Returns an error if the server broke off, or has restarted.
    pub async fn receive_unless_restarted(&mut self, node: &Node) -> Received {
        let ServerPart { body, server, .. } = self;
        let received = tokio::select! {
            // Data that has arrived takes precedence over the sign that no more will arrive.
            biased;
            received = body.next() => received,
            () = node.wait_until_superseded(server) => return Err(Failure::Restarted),
        };
        self.judge(received)
    }

    /// Waits for the next bytes. All bytes received before must have been added to the splitter. Cancel safe.
    ///
    /// # Errors
    ///
    /// Returns an error if the server broke off: the connection broke, or it ended inside an event.
    pub async fn receive(&mut self) -> Received {
        let received = self.body.next().await;
        self.judge(received)
    }

    /// Returns what was received, or how the server failed if that is no end of a whole part.
    fn judge(&self, received: Result<Option<Bytes>, hyper::Error>) -> Received {
        match received {
            Ok(None) => {
                let place = self.place();
                match Ending::judge(self.body.framing, place) {
                    Ending::BrokenOff if place == Place::InEvent => Err(Failure::InEvent),
                    Ending::BrokenOff => Err(Failure::NoEvent),
                    Ending::Complete | Ending::Unconfirmed => Ok(None),
                }
            }
            received => received.context(ConnectionSnafu),
        }
    }

    /// Returns where the response stands.
    fn place(&self) -> Place {
        if !self.has_events {
            Place::Boundary
        } else if self.splitter.is_inside_event() {
            Place::InEvent
        } else if self.first_event_at.is_none() && !self.continues {
            Place::BeforeFirstEvent
        } else {
            Place::Boundary
        }
    }

    /// Returns whether the server broke off, although its response has ended after a complete event.
    pub async fn has_broken_off(&mut self, node: &Rc<Node>) -> bool {
        attempt::has_broken_off(node, &self.server, &mut self.body).await
    }

    /// Records how this part ended. `id` is that of the request.
    pub fn record_end(&self, node: &Node, id: &str, outcome: &'static str) {
        let end = ResponseEnd {
            id,
            server: self.server.id(),
            framing: self.body.framing,
            partial_bytes: self.splitter.rest().len(),
            outcome,
        };
        attempt::record_end(node, &end);
    }
}

/// Returns whether a response is a series of events: it states that type, or none.
fn has_events(head: &HeaderMap) -> bool {
    const EVENT_STREAM: &[u8] = b"text/event-stream";
    let Some(value) = head.get(CONTENT_TYPE) else {
        return true;
    };
    let stated = value.as_bytes().get(..EVENT_STREAM.len());
    stated.is_some_and(|stated| stated.eq_ignore_ascii_case(EVENT_STREAM))
}
