//! Receives messages of other entry hosts.

use super::{BATCH_DELAY, log_fault, send};
use crate::clock;
use crate::node::{Host, Node, Origin};
use alderglade_core::fleet::load_table::Notice;
use alderglade_core::fleet::loan::LoanRequest;
use alderglade_core::fleet::message::{ConfirmationRequest, ForwardedNotice, Message, StoreUpdate};
use alderglade_core::fleet::rate_limit;
use alderglade_core::fleet::share::Report;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// Maximum length of a message, in bytes.
const MAX_MESSAGE_BYTES: usize = 8 * 1024;

/// Receives messages until the process ends.
pub(super) async fn run(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_MESSAGE_BYTES];
    loop {
        let (length, sender) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!("receiving from a peer failed: {error}");
                tokio::time::sleep(BATCH_DELAY).await;
                continue;
            }
        };
        match postcard::from_bytes::<Message>(&buffer[..length]) {
            Ok(message) => handle(&node, &socket, message, sender).await,
            Err(error) => log_fault(&error.to_string()),
        }
    }
}

/// Handles a message, and sends an answer if it is a request.
async fn handle(node: &Node, socket: &UdpSocket, message: Message, sender: SocketAddr) {
    node.observe_standstill();
    match message {
        Message::Notice(notice) => apply_notice(node, &notice, sender),
        Message::NoticeToForward(notice) => forward_notice(node, socket, notice, sender).await,
        Message::ForwardedNotice(forwarded) => {
            apply_notice(node, &forwarded.notice, forwarded.origin)
        }
        Message::ConfirmationRequest(request) => {
            answer_confirmation_request(node, socket, request, sender).await
        }
        Message::Confirmation(confirmation) => node.apply_confirmation(&confirmation, sender),
        Message::StoreUpdate(update) => node.apply_store_update(&update, sender),
        Message::StoreUpdateToForward(update) => {
            forward_update(node, socket, update, sender).await;
        }
        Message::LoanRequest(request) => answer_loan_request(node, socket, &request, sender).await,
        Message::Loan(loan) => node.accept_loan(loan),
        Message::GrantRequest(request) => {
            answer_grant_request(node, socket, &request, sender).await
        }
        Message::Grant(grant) => node.apply_grant(grant),
        Message::Usage(report) => node.apply_usage(report),
        Message::UsageToForward(report) => forward_usage(node, socket, report).await,
    }
}

/// Applies an update from the store and forwards it to the hosts of the own group and failure domain.
async fn forward_update(node: &Node, socket: &UdpSocket, update: StoreUpdate, sender: SocketAddr) {
    node.apply_store_update(&update, sender);
    node.metrics.passed_on.inc();
    send::send(
        socket,
        &Message::StoreUpdate(update),
        &node.same_domain_hosts(),
    )
    .await;
}

/// Applies a report of usage and forwards it to the hosts of the own group and failure domain.
async fn forward_usage(node: &Node, socket: &UdpSocket, report: Report) {
    node.apply_usage(report.clone());
    node.metrics.passed_on.inc();
    send::send(socket, &Message::Usage(report), &node.same_domain_hosts()).await;
}

/// Applies a notice and forwards it to the hosts of the own group and failure domain.
async fn forward_notice(node: &Node, socket: &UdpSocket, notice: Notice, origin: SocketAddr) {
    apply_notice(node, &notice, origin);
    node.metrics.passed_on.inc();
    let message = Message::ForwardedNotice(ForwardedNotice { origin, notice });
    send::send(socket, &message, &node.same_domain_hosts()).await;
}

/// Applies a peer's reservations and its reports about servers and the store.
fn apply_notice(node: &Node, notice: &Notice, sender: SocketAddr) {
    let now = clock::now();
    let mut state = node.state.borrow_mut();
    for server in &notice.leaving {
        state.directory.mark_leaving(*server, now);
    }
    for ejection in &notice.ejections {
        state.health.apply_ejection(ejection, now);
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
        // A host that has just joined may not be in the store's list yet.
        state.hosts.insert(Host {
            name: notice.host.clone(),
            address: sender,
            domain: Some(notice.domain.clone()),
            proxy_key: None,
        });
    }
    drop(state);
    if joined {
        node.forget_previous_usage(notice);
    }
    node.log_departures(Origin::Host(&notice.host));
    node.apply_limit_reports(&notice.limits);
    node.apply_cold_reports(&notice.cold);
    node.apply_evacuations(&notice.evacuations);
    node.apply_findings(&notice.quarantine);
    node.apply_store_status(&notice.store);
}

/// Lends a peer a part of this host's retry budget.
async fn answer_loan_request(
    node: &Node,
    socket: &UdpSocket,
    request: &LoanRequest,
    sender: SocketAddr,
) {
    let message = Message::Loan(node.lend(request));
    send::send(socket, &message, &[sender]).await;
}

/// Answers a peer that wants to send a request to a server with a limit.
async fn answer_grant_request(
    node: &Node,
    socket: &UdpSocket,
    request: &rate_limit::GrantRequest,
    sender: SocketAddr,
) {
    let message = Message::Grant(node.grant(request));
    send::send(socket, &message, &[sender]).await;
}

/// Sends a peer the age of this host's copy of the store's state, if this host has a configuration.
async fn answer_confirmation_request(
    node: &Node,
    socket: &UdpSocket,
    request: ConfirmationRequest,
    sender: SocketAddr,
) {
    if let Some(confirmation) = node.answer_confirmation(request) {
        let message = Message::Confirmation(confirmation);
        send::send(socket, &message, &[sender]).await;
    }
}
