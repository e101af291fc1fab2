//! The body of a server's response on its way through a proxy.

use crate::answer::{BrokenOff, Content};
use crate::attempt;
use crate::client::{Connection, ResponseBody};
use crate::memory::Portion;
use crate::node::{Node, ProxiedGuard, RequestGuard};
use alderglade_core::fleet::directory::Server;
use alderglade_core::fleet::ending::Framing;
use bytes::Bytes;
use http_body_util::Either;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::rc::Rc;
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
    source: Source,
    connection: Option<Connection>,
    _resources: Resources,
}

/// Where the frames of a body come from.
enum Source {
    /// From the server.
    Server {
        body: ResponseBody,
        node: Rc<Node>,
        server: Server,
    },
    /// The last one has arrived; this tells whether the server has broken the body off.
    Check(Pin<Box<dyn Future<Output = bool>>>),
    /// There are no more.
    End,
}

impl ProxiedBody {
    /// Begins the body of an exchange.
    pub fn new(
        body: ResponseBody,
        connection: Connection,
        resources: Resources,
        node: Rc<Node>,
        server: Server,
    ) -> ProxiedBody {
        ProxiedBody {
            source: Source::Server { body, node, server },
            connection: Some(connection),
            _resources: resources,
        }
    }

    fn recycle(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.recycle();
        }
    }

    /// Waits until it is known whether a body that has ended is complete.
    fn poll_end(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        self.source = match std::mem::replace(&mut self.source, Source::End) {
            Source::Server {
                mut body,
                node,
                server,
            } => Source::Check(Box::pin(async move {
                attempt::has_broken_off(&node, &server, &mut body).await
            })),
            source => source,
        };
        let Source::Check(check) = &mut self.source else {
            return Poll::Ready(None);
        };
        let is_broken_off = ready!(check.as_mut().poll(context));
        self.source = Source::End;
        if is_broken_off {
            log::debug!("the server of a proxied response has ended");
            self.connection = None;
            return Poll::Ready(Some(Err(BrokenOff)));
        }
        self.recycle();
        Poll::Ready(None)
    }
}

impl Drop for ProxiedBody {
    fn drop(&mut self) {
        // A body of a stated length is dropped after its last byte, without being asked for its end.
        if self.is_end_stream() {
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
        if let Source::Server { body, .. } = &mut self.source {
            let frame = ready!(Pin::new(body).poll_frame(context));
            if let Some(result) = frame {
                return Poll::Ready(Some(result.map_err(|error| {
                    log::debug!("a server broke off a proxied response: {error}");
                    self.connection = None;
                    BrokenOff
                })));
            }
        }
        self.poll_end(context)
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            Source::Server { body, .. } => body.is_end_stream() && body.framing != Framing::Close,
            Source::Check(_) => false,
            Source::End => true,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Server { body, .. } => body.size_hint(),
            Source::Check(_) | Source::End => SizeHint::default(),
        }
    }
}

/// The body of a response to another host: one of this host's own, or that of a server's response.
pub type PeerBody = Either<Content, Box<ProxiedBody>>;
