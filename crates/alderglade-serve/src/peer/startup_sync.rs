//! What a host that has just started asks others before it serves: whether they know a newer configuration than the store.
//!
//! The store may have come back from a copy some seconds old, and not hold the newest version yet. Who has lived through
//! that knows it; who starts then would open doors with keys that were taken away.

use super::copy;
use crate::clock;
use crate::node::Node;
use std::rc::Rc;
use std::time::Duration;

/// Hosts that are asked: enough that one of them has lived for a while and answers, few beside the notices that go to all.
const ASKED: usize = 6;
/// Answers that are enough.
const ENOUGH: usize = 2;
/// How long the answers may take: a way there and back takes a few milliseconds, and a busy host some tens.
const ANSWERS: Duration = Duration::from_millis(150);
/// How long another host's configuration may take to come.
const COPY: Duration = Duration::from_millis(500);

/// Asks some of the other hosts, once the store has listed them and has given the configuration; requests that have come by
/// then wait for it.
pub(super) async fn run(node: Rc<Node>) {
    node.wait_for_hosts().await;
    let asked = node.query_peers(ASKED);
    if asked > 0 {
        let enough = node.wait_for_answers(ENOUGH.min(asked));
        // In vain or not, what is known then counts.
        let _ = clock::timeout(ANSWERS, enough).await;
    }
    if let Some(source) = node.newer_config_source() {
        let copied = copy::take_config(node.clone(), source);
        let _ = clock::timeout(COPY, copied).await;
    }
    node.finish_startup_sync();
}
