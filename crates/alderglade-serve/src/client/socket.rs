//! Sockets that record when nothing more arrived on them.

use crate::clock;
use alderglade_core::time::Time;
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// How long nothing arrives on a connection while it is read once its other end has nothing more to send: some round
/// trips. The kernel of a process that has ended goes on with what the process wrote as fast as it is read.
const QUIET_TIME: Duration = Duration::from_millis(30);

/// When the process at the other end of a connection was last known to be alive. Recorded only once somebody watches it.
#[derive(Debug, Clone, Default)]
pub(super) struct Activity(Rc<Watch>);

#[derive(Debug, Default)]
struct Watch {
    alive_at: Cell<Option<Time>>,
    /// Since when nothing has arrived, although the connection is read.
    quiet_since: Cell<Option<Time>>,
    /// Wakes the task that waits for more to arrive.
    reader: RefCell<Option<Waker>>,
}

impl Activity {
    /// Starts to watch a connection whose other end was alive at `at`.
    pub fn watch(&self, at: Time) {
        self.0.alive_at.set(Some(at));
    }

    /// Returns when the process at the other end was last known to be alive: the connection was quiet and had not ended.
    /// `None` if nobody watches it.
    pub fn alive_at(&self) -> Option<Time> {
        self.0.alive_at.get()
    }

    /// Makes the task that waits for more to arrive try to read again.
    pub fn refresh(&self) {
        let reader = self.0.reader.take();
        if let Some(reader) = reader {
            reader.wake();
        }
    }

    fn record_arrival(&self) {
        self.0.quiet_since.set(None);
    }

    fn record_quiet(&self, reader: &Waker) {
        if self.alive_at().is_none() {
            return;
        }
        let now = clock::now();
        let since = self.0.quiet_since.get().unwrap_or(now);
        self.0.quiet_since.set(Some(since));
        if now.since(since) >= QUIET_TIME {
            self.0.alive_at.set(Some(now));
        }
        *self.0.reader.borrow_mut() = Some(reader.clone());
    }
}

/// A socket and its activity.
pub(super) struct Socket {
    stream: TcpStream,
    activity: Activity,
}

impl Socket {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream, activity: Activity) -> Socket {
        Socket { stream, activity }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        match polled {
            Poll::Pending => self.activity.record_quiet(context.waker()),
            Poll::Ready(_) => self.activity.record_arrival(),
        }
        polled
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
