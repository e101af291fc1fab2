//! Takes messages of other entry hosts.

use super::{COLLECT, tell, tell_fault};
use crate::clock;
use crate::node::{Host, Node};
use alderglade_core::fleet::load_table::Notice;
use alderglade_core::fleet::loan::Request;
use alderglade_core::fleet::message::{ConfirmationRequest, ForwardedNotice, Message, StoreUpdate};
use alderglade_core::fleet::rate_limit;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// The largest message that is read, in bytes.
const LARGEST: usize = 8 * 1024;

/// Takes messages until the process ends.
pub(super) async fn run(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; LARGEST];
    loop {
        let (length, sender) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!("a peer's socket refused a message: {error}");
                tokio::time::sleep(COLLECT).await;
                continue;
            }
        };
        match postcard::from_bytes::<Message>(&buffer[..length]) {
            Ok(message) => take(&node, &socket, message, sender).await,
            Err(error) => tell_fault(&error.to_string()),
        }
    }
}

/// Takes a message, and answers a question.
async fn take(node: &Node, socket: &UdpSocket, message: Message, sender: SocketAddr) {
    match message {
        Message::Notice(notice) => take_notice(node, &notice, sender),
        Message::NoticeToForward(notice) => pass_on(node, socket, notice, sender).await,
        Message::ForwardedNotice(passed) => take_notice(node, &passed.notice, passed.origin),
        Message::ConfirmationRequest(request) => answer(node, socket, request, sender).await,
        Message::Confirmation(confirmation) => node.take_confirmation(&confirmation, sender),
        Message::StoreUpdate(update) => node.apply_store_update(&update),
        Message::StoreUpdateToForward(update) => relay(node, socket, update).await,
        Message::LoanRequest(request) => lend(node, socket, &request, sender).await,
        Message::Loan(loan) => node.take_loan(loan),
        Message::GrantRequest(request) => grant(node, socket, &request, sender).await,
        Message::Grant(grant) => node.apply_grant(grant),
    }
}

/// Takes what the store has told, and passes it on to the hosts of the own group and failure domain.
async fn relay(node: &Node, socket: &UdpSocket, update: StoreUpdate) {
    node.apply_store_update(&update);
    node.metrics.passed_on.inc();
    tell::send(
        socket,
        &Message::StoreUpdate(update),
        &node.same_domain_hosts(),
    )
    .await;
}

/// Takes a notice and passes it on to the hosts of the own group and failure domain.
async fn pass_on(node: &Node, socket: &UdpSocket, notice: Notice, origin: SocketAddr) {
    take_notice(node, &notice, origin);
    node.metrics.passed_on.inc();
    let message = Message::ForwardedNotice(ForwardedNotice { origin, notice });
    tell::send(socket, &message, &node.same_domain_hosts()).await;
}

/// Takes what a peer holds and what it tells of the servers and the store.
fn take_notice(node: &Node, notice: &Notice, sender: SocketAddr) {
    let now = clock::now();
    let mut state = node.state.borrow_mut();
    for server in &notice.leaving {
        state.directory.mark_leaving(*server, now);
    }
    for told in &notice.ejections {
        state.health.apply_ejection(told, now);
    }
    let Notice {
        host,
        domain,
        unanswered,
        ..
    } = notice;
    state.health.apply_unanswered(host, domain, unanswered, now);
    let joined = state.loads.apply_notice(notice, now);
    if joined {
        state.newcomers.push(notice.host.clone());
        // A host that has just come may not stand in the store's list yet.
        state.hosts.insert(Host {
            name: notice.host.clone(),
            address: sender,
            domain: Some(notice.domain.clone()),
        });
    }
    drop(state);
    node.apply_limit_reports(&notice.limits);
    node.apply_cold_reports(&notice.cold);
    node.apply_evacuations(&notice.evacuations);
    node.apply_findings(&notice.quarantine);
    node.apply_store_status(&notice.store);
}

/// Lends a peer a part of this host's budget of repeated sends.
async fn lend(node: &Node, socket: &UdpSocket, request: &Request, sender: SocketAddr) {
    let message = Message::Loan(node.lend(request));
    tell::send(socket, &message, &[sender]).await;
}

/// Answers a peer that wants to send a request to a server with a limit.
async fn grant(node: &Node, socket: &UdpSocket, request: &rate_limit::Request, sender: SocketAddr) {
    let message = Message::Grant(node.grant(request));
    tell::send(socket, &message, &[sender]).await;
}

/// Tells a peer the age of this host's word of the store, if it has one.
async fn answer(node: &Node, socket: &UdpSocket, request: ConfirmationRequest, sender: SocketAddr) {
    if let Some(confirmation) = node.answer_confirmation(request) {
        let message = Message::Confirmation(confirmation);
        tell::send(socket, &message, &[sender]).await;
    }
}
