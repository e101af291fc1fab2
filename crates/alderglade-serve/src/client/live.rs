//! Counts the connections that are open to each address.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// The open connections.
#[derive(Debug, Clone, Default)]
pub(super) struct Live(Rc<Connections>);

#[derive(Debug, Default)]
struct Connections {
    /// The number of open connections by address.
    counts: RefCell<HashMap<SocketAddr, usize>>,
    /// Notified when the last connection to an address is closed.
    last_closed: Notify,
}

/// Counts a connection as open until it is dropped.
pub(super) struct LiveGuard {
    live: Live,
    address: SocketAddr,
}

impl Live {
    /// Counts a connection.
    pub fn begin(&self, address: SocketAddr) -> LiveGuard {
        *self.0.counts.borrow_mut().entry(address).or_default() += 1;
        LiveGuard {
            live: self.clone(),
            address,
        }
    }

    /// Waits until no connection to an address is open.
    pub async fn wait_until_none(&self, address: SocketAddr) {
        loop {
            let last_closed = self.0.last_closed.notified();
            if !self.0.counts.borrow().contains_key(&address) {
                return;
            }
            last_closed.await;
        }
    }
}

impl Drop for LiveGuard {
    fn drop(&mut self) {
        let connections = &self.live.0;
        let mut counts = connections.counts.borrow_mut();
        if let Some(count) = counts.get_mut(&self.address) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.address);
                connections.last_closed.notify_waiters();
            }
        }
    }
}
