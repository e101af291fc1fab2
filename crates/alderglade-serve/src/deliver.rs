//! Watches how answers leave: a connection owes its caller an answer from the request until the last byte of the answer
//! is the system's.
//!
//! An answer is made before it has left: the HTTP library keeps what the system doesn't take yet.

use crate::answer::{BrokenOff, Content};
use crate::node::Connected;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The body of an answer; dropped, it has been handed over to the connection as a whole.
pub struct Owed {
    content: Content,
    connected: Rc<Connected>,
}

impl Owed {
    /// Watches a body on its way into its connection.
    pub fn new(content: Content, connected: Rc<Connected>) -> Owed {
        Owed { content, connected }
    }
}

impl Drop for Owed {
    fn drop(&mut self) {
        self.connected.made();
    }
}

impl Body for Owed {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, BrokenOff>>> {
        Pin::new(&mut self.content).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.content.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.content.size_hint()
    }
}

/// A caller's stream that notes when all that was written has left.
pub struct Watched {
    stream: TcpStream,
    connected: Rc<Connected>,
}

impl Watched {
    /// Watches a stream.
    pub fn new(stream: TcpStream, connected: Rc<Connected>) -> Watched {
        Watched { stream, connected }
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    /// The HTTP library flushes when it has written all that it keeps.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.connected.flushed();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
