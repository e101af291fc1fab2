//! The shares of workspaces, as this host applies them.

use super::Node;
use crate::clock;
use crate::job::Job;
use alderglade_core::Name;
use alderglade_core::fleet::load_table::{Notice, Reservation};
use alderglade_core::fleet::placement::SHORT_PROMPT_TOKENS;
use alderglade_core::fleet::share::{Charge, Report};
use alderglade_core::time::Time;
use std::rc::Rc;
use std::time::Duration;

impl Node {
    /// Returns how much later than its due time a request ranks in the wait queue, because of its workspace's use.
    ///
    /// Zero for long prompts. Their objectives of some seconds are hardly longer than the longest delay, so a delayed one
    /// would be late or given up although engines have time for it.
    pub fn share_delay(&self, job: &Job) -> Duration {
        if job.prompt().tokens >= SHORT_PROMPT_TOKENS {
            return Duration::ZERO;
        }
        let now = clock::now();
        let shares = &mut self.state.borrow_mut().shares;
        shares.refresh(now);
        shares.order_delay(job.workspace.as_deref(), now)
    }

    /// Records that a prompt waits or is refused for lack of capacity. Hosts exchange the use of workspaces for some
    /// seconds from then on.
    pub fn record_shortage(&self) {
        self.state.borrow_mut().shares.record_shortage(clock::now());
    }

    /// Returns the report of the workspaces' use, if one is due.
    pub fn usage_report(&self) -> Option<Report> {
        let interval = self.heartbeat();
        let shares = &mut self.state.borrow_mut().shares;
        let host = &self.settings.host;
        shares.take_report(host, self.incarnation.get(), interval, clock::now())
    }

    /// Applies another host's report of its workspaces' use.
    pub fn apply_usage(&self, report: Report) {
        // A report that a forwarder returns would count this host's use twice.
        if report.host != self.settings.host {
            self.state.borrow_mut().shares.apply(report, clock::now());
        }
    }

    /// Drops the use that a host reported in a previous incarnation, when it has joined again.
    pub fn forget_previous_usage(&self, notice: &Notice) {
        let shares = &mut self.state.borrow_mut().shares;
        shares.forget_before(&notice.host, notice.incarnation);
    }

    /// Records what a placed request uses at engines, until the guard is dropped. Returns `None`
    /// if the request has no workspace or its service states no timing of engines.
    pub(super) fn track_use(
        self: &Rc<Node>,
        job: &Job,
        reservation: &Reservation,
    ) -> Option<SlotGuard> {
        let workspace = job.workspace.clone()?;
        let state = &mut *self.state.borrow_mut();
        let slots = state.config.as_ref()?.service(&job.service)?.engine?.slots;
        let reading = Duration::from_micros(reservation.reading_micros());
        let shares = &mut state.shares;
        let charge = shares.record_placed(&workspace, slots, reading, clock::now());
        Some(SlotGuard {
            node: self.clone(),
            workspace,
            charge,
            begun: None,
        })
    }
}

/// Records for how long an answer held its slot when it ends.
pub(super) struct SlotGuard {
    node: Rc<Node>,
    workspace: Name,
    charge: Charge,
    /// When the answer began.
    begun: Option<Time>,
}

impl SlotGuard {
    /// Records that the answer has begun.
    pub(super) fn begin(&mut self) {
        self.begun.get_or_insert_with(clock::now);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let now = clock::now();
        let held = self.begun.map_or(Duration::ZERO, |begun| now.since(begun));
        let shares = &mut self.node.state.borrow_mut().shares;
        shares.settle(&self.workspace, self.charge, held, now);
    }
}
