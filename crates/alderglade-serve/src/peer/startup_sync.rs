//! Queries to other hosts before a host that has just started serves: whether they have a newer configuration than
//! the store.
//!
//! The store may have been restored from a copy that is some seconds old, and not hold the newest version yet. Hosts
//! that were running at that time have that version; without it, a host that starts then would accept keys that were
//! revoked.

use super::copy;
use crate::clock;
use crate::node::Node;
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of hosts to ask: enough that one of them has been running for a while and answers, few in
/// comparison with the notices that go to all hosts.
const MAX_QUERIED_HOSTS: usize = 6;
/// Number of answers that suffice.
const SUFFICIENT_ANSWERS: usize = 2;
/// How long the answers may take: a round trip takes a few milliseconds, and on a busy host some tens.
const ANSWERS_TIMEOUT: Duration = Duration::from_millis(150);
/// How long the copy of another host's configuration may take.
const COPY_TIMEOUT: Duration = Duration::from_millis(500);

/// Asks some other hosts once the store has listed them and has provided the configuration. Requests that arrive in
/// the meantime wait.
pub(super) async fn run(node: Rc<Node>) {
    node.wait_for_hosts().await;
    let asked = node.query_peers(MAX_QUERIED_HOSTS);
    if asked > 0 {
        let answers = node.wait_for_answers(SUFFICIENT_ANSWERS.min(asked));
        // After a timeout the answers received by then are used.
        let _ = clock::timeout(ANSWERS_TIMEOUT, answers).await;
    }
    if let Some(source) = node.newer_config_source() {
        let copied = copy::copy_config(node.clone(), source);
        let _ = clock::timeout(COPY_TIMEOUT, copied).await;
    }
    node.finish_startup_sync();
}
