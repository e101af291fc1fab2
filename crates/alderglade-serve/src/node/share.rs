//! The shares of workspaces, as this host applies them.

use super::Node;
use crate::clock;
use crate::job::Job;
use std::time::Duration;

impl Node {
    /// Returns how much later than its due time a request ranks in the wait queue, because of its workspace's use.
    pub fn share_delay(&self, job: &Job) -> Duration {
        let state = self.state.borrow();
        state
            .shares
            .order_delay(job.workspace.as_deref(), clock::now())
    }
}
