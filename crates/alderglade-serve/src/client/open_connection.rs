//! Connections on which nothing is being sent.

use super::Error;
use super::socket::Activity;
use crate::clock;
use alderglade_core::time::Time;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

/// An open connection on which nothing is being sent.
pub struct OpenConnection {
    pub(super) address: SocketAddr,
    pub(super) sender: http1::SendRequest<Full<Bytes>>,
    pub(super) driver: Driver,
}

/// The task that runs a connection.
pub(super) struct Driver {
    pub task: AbortHandle,
    /// When the connection was open.
    pub opened: Time,
    pub activity: Activity,
    /// Completes when the connection has ended.
    pub ended: oneshot::Receiver<Infallible>,
}

impl OpenConnection {
    /// Returns when the connection was open.
    pub(super) fn opened(&self) -> Time {
        self.driver.opened
    }

    /// Returns whether the connection has ended.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until the connection has ended.
    pub(super) async fn closed(&mut self) {
        if !self.is_closed() {
            // Nothing is ever sent: the task drops the other end.
            let _ = (&mut self.driver.ended).await;
        }
    }
}

/// How long the connections of a process that ends may outlive each other: its listener may still accept some after
/// the first ones were closed.
pub(crate) const EXIT_TIME: Duration = Duration::from_millis(5);

/// Waits until a process that was ending when it was connected to has ended.
///
/// # Errors
///
/// Returns [`Error::Closed`] if the connection was closed meanwhile, and an error to connect unchanged.
pub(crate) async fn settle(
    connected: Result<OpenConnection, Error>,
) -> Result<OpenConnection, Error> {
    clock::sleep(EXIT_TIME).await;
    let link = connected?;
    if link.is_closed() {
        let reason = "closed right after it was opened".to_string();
        return Err(Error::Closed { reason });
    }
    Ok(link)
}
