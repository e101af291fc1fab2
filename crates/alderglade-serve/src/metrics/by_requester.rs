//! Counters by the workspace and the rank of requests.

use super::labels::Labels;
use crate::event::Requester;
use prometheus::{IntCounterVec, Opts};
use std::cell::RefCell;

/// The highest rank level with a label of its own; higher levels are counted with it. The delay that a rank adds to a
/// wait is bounded, so higher levels hardly differ, and the number of time series has to be bounded.
const MAX_RANK_LABEL: u8 = 9;

/// Counters by the workspace and the rank of requests. With the labels of [`Labels`], each one has at most 100 time
/// series.
pub struct ByRequester {
    labels: RefCell<Labels>,
    /// Requests that were held back, once for each request.
    pub(super) held: IntCounterVec,
    /// Requests that were refused.
    pub(super) refused: IntCounterVec,
    /// Requests that were answered, but not within the objectives of their route.
    pub(super) late: IntCounterVec,
}

impl ByRequester {
    /// Creates the counters.
    ///
    /// # Errors
    ///
    /// Returns an error if a name is invalid.
    pub(super) fn new() -> Result<ByRequester, prometheus::Error> {
        Ok(ByRequester {
            labels: RefCell::default(),
            held: counter("alderglade_held_total", "Requests held back at the host.")?,
            refused: counter("alderglade_refused_total", "Requests refused.")?,
            late: counter(
                "alderglade_late_total",
                "Requests answered later than the objectives of their route.",
            )?,
        })
    }

    /// Adds the weight of an admitted request to its workspace; the heaviest workspaces have their own label.
    pub fn observe(&self, requester: &Requester, tokens: u64) {
        if let Some(workspace) = &requester.workspace {
            self.labels.borrow_mut().observe(workspace, tokens);
        }
    }

    /// Counts a request that is held back.
    pub fn count_held(&self, requester: &Requester) {
        self.count(&self.held, requester);
    }

    /// Counts a request that is refused.
    pub fn count_refused(&self, requester: &Requester) {
        self.count(&self.refused, requester);
    }

    /// Counts a request that was answered late.
    pub fn count_late(&self, requester: &Requester) {
        self.count(&self.late, requester);
    }

    fn count(&self, counter: &IntCounterVec, requester: &Requester) {
        let labels = self.labels.borrow();
        let workspace = labels.label(requester.workspace.as_ref());
        let rank = requester.rank.min(MAX_RANK_LABEL).to_string();
        counter.with_label_values(&[workspace, &rank]).inc();
    }
}

fn counter(name: &str, help: &str) -> Result<IntCounterVec, prometheus::Error> {
    IntCounterVec::new(Opts::new(name, help), &["workspace", "rank"])
}
