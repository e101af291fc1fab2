//! Queries engines that are suspected of being slow, and ejects slow ones on every host.
//!
//! A slow engine receives no more work that would show when it has recovered. Therefore the host that found it slow
//! last owns the ejection: it keeps querying the engine until it is no longer slow or another host takes over.

use crate::clock;
use crate::event::{self, Record};
use crate::node::Node;
use crate::order;
use alderglade_core::fleet::incarnation::Key;
use alderglade_core::fleet::placement::Plan;
use alderglade_core::fleet::slowdown;
use alderglade_core::time::Time;
use std::rc::Rc;
use std::time::Duration;

/// Interval between two queries of a slow engine: shorter than an ejection, which ends three seconds after the
/// engine's last report.
const QUERY_INTERVAL: Duration = Duration::from_millis(2_400);

/// A prompt that is being read, possibly by several engines.
pub struct Reading {
    engines: Vec<Key>,
    began: Time,
    expected: Duration,
}

impl Reading {
    /// Records that a plan is carried out from now on.
    pub fn begin(plan: &Plan) -> Reading {
        let primary = std::iter::once(&plan.primary);
        Reading {
            engines: primary.chain(&plan.helpers).copied().collect(),
            began: clock::now(),
            expected: plan.time_to_first_event,
        }
    }

    /// Records that the first event arrived. If it was very late, queries all engines that read parts. An engine that
    /// reads alone is detected by the pauses of its response.
    pub fn end(&self, node: &Rc<Node>) {
        let elapsed = clock::now().since(self.began);
        let is_shared = self.engines.len() > 1;
        if is_shared && slowdown::is_late(self.expected, elapsed) {
            self.engines
                .iter()
                .for_each(|engine| inspect(node, *engine));
        }
    }
}

/// Queries how slow an engine is, and keeps it ejected if it is slow. Does nothing if the engine was queried recently
/// or is already ejected.
pub fn inspect(node: &Rc<Node>, server: Key) {
    let begins = {
        let mut state = node.state.borrow_mut();
        state.health.begin_slowness_check(server, clock::now())
    };
    if begins {
        tokio::task::spawn_local(maintain_ejection(node.clone(), server));
    }
}

/// Ejects an engine for as long as it reports that it is slow and this host owns the ejection.
async fn maintain_ejection(node: Rc<Node>, server: Key) {
    while let Some(slowdown) = query_slowdown(&node, server).await {
        if !slowdown::is_slow(slowdown) {
            return;
        }
        node.eject_slow(server, slowdown);
        clock::sleep(QUERY_INTERVAL).await;
        if !node.state.borrow().health.owns_ejection(server) {
            return;
        }
    }
}

/// Returns the slowdown that an engine reports: the ratio of its actual to its stated times. Returns `None` if it is
/// gone, has restarted, does not respond or does not report it.
async fn query_slowdown(node: &Rc<Node>, server: Key) -> Option<f64> {
    let server = node.server(server)?;
    let report = order::call(node, &server, node.translator.report()).await;
    match report {
        Ok(answer) => {
            let status = node.translator.status(answer.body());
            let same_incarnation = node.apply_status(&server, status);
            status.slowdown.filter(|_| same_incarnation)
        }
        Err(error) => {
            log::debug!("no report from {}: {error}", server.id());
            None
        }
    }
}

impl Node {
    /// Ejects a server that reports that it is slow, and notifies peers.
    fn eject_slow(&self, server: Key, slowdown: f64) {
        let Some(known) = self.server(server) else {
            return;
        };
        let mut state = self.state.borrow_mut();
        state.health.eject(server, clock::now());
        drop(state);
        self.notice_due.notify_one();
        event::write(&Record::ServerSlow {
            server: known.id(),
            slowdown,
        });
    }
}
