//! Sockets of callers. They are reset where closing them would make an incomplete response look complete.
//!
//! The body of a response without a stated length ends with its connection in HTTP/1.0. From its first byte until all of
//! it is written, such a connection does not linger when it is closed, so that it is reset however it ends: also if this
//! process is killed.

use crate::answer::Content;
use http::{Response, Version};
use hyper::body::Body;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A caller's socket, for the HTTP library.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    unframed: Unframed,
    /// Whether closing resets the connection.
    resets: bool,
}

/// Whether the response on a connection ends with the connection.
#[derive(Debug, Clone, Default)]
pub struct Unframed(Arc<AtomicBool>);

impl Unframed {
    /// Records how the response to a request of this version ends. Must be called before it is written.
    pub fn record(&self, version: Version, response: &Response<Content>) {
        let has_length = response.body().size_hint().exact().is_some();
        let ends_with_connection = version < Version::HTTP_11 && !has_length;
        self.0.store(ends_with_connection, Ordering::Relaxed);
    }
}

impl Socket {
    /// Wraps a connection. Responses are recorded in `unframed`.
    pub fn new(stream: TcpStream, unframed: Unframed) -> Socket {
        Socket {
            stream,
            unframed,
            resets: false,
        }
    }

    fn stream(&mut self) -> Pin<&mut TcpStream> {
        Pin::new(&mut self.stream)
    }

    /// Sets whether closing resets the connection.
    fn set_resets(&mut self, resets: bool) -> io::Result<()> {
        let linger = resets.then_some(Duration::ZERO);
        socket2::SockRef::from(&self.stream).set_linger(linger)?;
        self.resets = resets;
        Ok(())
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.stream().poll_read(context, buffer)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if !self.resets && self.unframed.0.load(Ordering::Relaxed) {
            self.set_resets(true)?;
        }
        self.stream().poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if !self.resets && self.unframed.0.load(Ordering::Relaxed) {
            self.set_resets(true)?;
        }
        self.stream().poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_flush(context)
    }

    /// Ends the connection in order: the HTTP library has written all that it had to write.
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.resets {
            self.set_resets(false)?;
        }
        self.stream().poll_shutdown(context)
    }
}
