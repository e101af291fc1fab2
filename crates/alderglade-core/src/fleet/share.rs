//! The shares of engine time that workspaces get while there is too little for all of them.

use crate::time::Time;
use std::time::Duration;

/// The engine time that workspaces have used lately.
#[derive(Debug, Default)]
pub struct Shares {}

impl Shares {
    /// Returns how much later than its due time a prompt of a workspace ranks in the wait queue.
    pub fn order_delay(&self, _workspace: Option<&str>, _now: Time) -> Duration {
        Duration::ZERO
    }
}
