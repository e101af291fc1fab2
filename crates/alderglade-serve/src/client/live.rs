//! Counts the connections that are open to each address.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// The number of open connections by address.
#[derive(Debug, Clone, Default)]
pub(super) struct Live(Rc<RefCell<HashMap<SocketAddr, usize>>>);

/// Counts a connection as open until it is dropped.
pub(super) struct LiveGuard {
    live: Live,
    address: SocketAddr,
}

impl Live {
    /// Counts a connection.
    pub fn begin(&self, address: SocketAddr) -> LiveGuard {
        *self.0.borrow_mut().entry(address).or_default() += 1;
        LiveGuard {
            live: self.clone(),
            address,
        }
    }

    /// Returns whether a connection to an address is open.
    pub fn contains(&self, address: SocketAddr) -> bool {
        self.0.borrow().contains_key(&address)
    }
}

impl Drop for LiveGuard {
    fn drop(&mut self) {
        let mut counts = self.live.0.borrow_mut();
        if let Some(count) = counts.get_mut(&self.address) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.address);
            }
        }
    }
}
