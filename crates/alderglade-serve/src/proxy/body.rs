//! The body of a server's response on its way through a proxy.

use crate::answer::{BrokenOff, Content};
use crate::client::Connection;
use crate::memory::Portion;
use crate::node::{ProxiedGuard, RequestGuard};
use bytes::Bytes;
use http_body_util::Either;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// What a proxied request uses until it ends.
pub struct Resources {
    /// Counts it among the requests that a stop waits for.
    pub in_flight: RequestGuard,
    /// Counts it among the proxied requests.
    pub proxied: ProxiedGuard,
    /// The memory of its buffers and its body.
    pub memory: Portion,
}

/// A body that is read from the server only as fast as the other host reads it. If it is dropped before its end, the
/// connection to the server is closed, so that the server stops working on it.
pub struct ProxiedBody {
    body: Incoming,
    connection: Option<Connection>,
    _resources: Resources,
}

impl ProxiedBody {
    /// Begins the body of an exchange.
    pub fn new(
        exchange_body: Incoming,
        connection: Connection,
        resources: Resources,
    ) -> ProxiedBody {
        ProxiedBody {
            body: exchange_body,
            connection: Some(connection),
            _resources: resources,
        }
    }

    fn recycle(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.recycle();
        }
    }
}

impl Drop for ProxiedBody {
    fn drop(&mut self) {
        // A body of a stated length is dropped after its last byte, without being asked for its end.
        if self.body.is_end_stream() {
            self.recycle();
        }
    }
}

impl Body for ProxiedBody {
    type Data = Bytes;
    type Error = BrokenOff;

    /// Waits for the next frame. The connection is free for another request after the last one.
    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        if frame.is_none() {
            self.recycle();
        }
        Poll::Ready(frame.map(|result| {
            result.map_err(|error| {
                log::debug!("a server broke off a proxied response: {error}");
                self.connection = None;
                BrokenOff
            })
        }))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The body of a response to another host: one of this host's own, or that of a server's response.
pub type PeerBody = Either<Content, Box<ProxiedBody>>;
