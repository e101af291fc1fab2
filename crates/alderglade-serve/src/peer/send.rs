//! Sends messages to other entry hosts.

use super::log_fault;
use crate::clock;
use crate::node::{Node, Recipients};
use alderglade_core::fleet::heartbeat::{Due, Schedule};
use alderglade_core::fleet::load_table::{Holding, Notice};
use alderglade_core::fleet::message::Message;
use alderglade_core::fleet::share::Report;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// Holdings in one notice, some 28 bytes each. With the rest of the notice they stay well below the usual size of a
/// packet.
const HOLDINGS_PER_NOTICE: usize = 24;

/// Sends this host's messages.
#[derive(Clone)]
pub(super) struct PeerSender {
    node: Rc<Node>,
    socket: Rc<UdpSocket>,
    /// The sequence number of the last notice.
    sequence: Rc<Cell<u64>>,
    /// The number of heartbeats so far.
    beat: Rc<Cell<u64>>,
    /// When notices were last sent.
    schedule: Rc<RefCell<Schedule>>,
}

impl PeerSender {
    /// Creates the sender of a socket; nothing is sent yet.
    pub(super) fn new(node: Rc<Node>, socket: Rc<UdpSocket>) -> PeerSender {
        PeerSender {
            node,
            socket,
            sequence: Rc::default(),
            beat: Rc::default(),
            schedule: Rc::default(),
        }
    }

    /// Sends the notices of a heartbeat, if one is due.
    pub(super) async fn heartbeat(&self) {
        let interval = self.node.heartbeat();
        let due = self.schedule.borrow().due(interval, clock::now());
        self.beat.set(self.beat.get() + u64::from(due.is_some()));
        match due {
            Some(Due::Full) => self.send_full().await,
            Some(Due::Changes) => self.send_changes().await,
            None => {}
        }
        if let Some(report) = self.node.usage_report() {
            self.send_usage(report).await;
        }
    }

    /// Sends the use of this host's workspaces to the recipients of notices within the own group.
    async fn send_usage(&self, report: Report) {
        let Recipients { direct, forwarders } = self.node.recipients(self.beat.get());
        self.send(&Message::Usage(report.clone()), &direct).await;
        self.send(&Message::UsageToForward(report), &forwarders)
            .await;
    }

    /// Sends all of this host's holdings to other hosts.
    async fn send_full(&self) {
        let now = clock::now();
        self.schedule.borrow_mut().record(Due::Full, now);
        let holdings = self.node.state.borrow().loads.all_holdings(now);
        self.send_notices(holdings, true).await;
    }

    /// Sends the changes since the last notice to other hosts.
    pub(super) async fn send_changes(&self) {
        self.schedule
            .borrow_mut()
            .record(Due::Changes, clock::now());
        let holdings = self.node.state.borrow_mut().loads.take_changes();
        self.send_notices(holdings, false).await;
    }

    /// Asks watchers for the age of their copy of the store's state, if this host relies on it.
    pub(super) async fn request_confirmations(&self, beat: u64) {
        let hosts = self.node.confirmation_targets(beat);
        if hosts.is_empty() {
            return;
        }
        let request = self.node.create_confirmation_request();
        self.send(&Message::ConfirmationRequest(request), &hosts)
            .await;
    }

    /// Sends the queued messages for single hosts.
    pub(super) async fn send_envelopes(&self) {
        for envelope in self.node.take_envelopes() {
            self.send(&envelope.message, &[envelope.to]).await;
        }
    }

    /// Forwards updates from the store to the hosts of the own failure domain.
    pub(super) async fn send_outbox(&self) {
        let outbox = self.node.take_outbox();
        if outbox.is_empty() {
            return;
        }
        let same_domain = self.node.same_domain_hosts();
        let gateways = self.node.domain_gateways(self.beat.get());
        for update in outbox {
            self.send(&Message::StoreUpdate(update.clone()), &same_domain)
                .await;
            self.send(&Message::StoreUpdateToForward(update), &gateways)
                .await;
        }
    }

    /// Sends holdings to the hosts of the group, in as many notices as they need, or in one without any. Sends hosts
    /// of other groups the parts that concern them.
    async fn send_notices(&self, holdings: Vec<Holding>, full: bool) {
        let mut chunks: Vec<Vec<Holding>> = holdings
            .chunks(HOLDINGS_PER_NOTICE)
            .map(<[Holding]>::to_vec)
            .collect();
        if chunks.is_empty() {
            chunks.push(Vec::new());
        }
        let Recipients { direct, forwarders } = self.node.recipients(self.beat.get());
        for (number, holdings) in chunks.into_iter().enumerate() {
            let mut notice = self.next_notice(holdings, full && number == 0);
            let others = self.node.notice_for_others(&notice, self.beat.get());
            if notice.full {
                let mut state = self.node.state.borrow_mut();
                let bars = state.quarantine.bars_to_repeat(clock::now());
                notice.quarantine.extend(bars);
            }
            if let Some((notice, gateways)) = others {
                self.send(&Message::NoticeToForward(notice), &gateways)
                    .await;
            }
            let to_forward = Message::NoticeToForward(notice.clone());
            self.send(&Message::Notice(notice), &direct).await;
            self.send(&to_forward, &forwarders).await;
        }
    }

    /// Creates the next notice.
    fn next_notice(&self, holdings: Vec<Holding>, full: bool) -> Notice {
        self.sequence.set(self.sequence.get() + 1);
        let status = self.node.store_status();
        let interval = self.node.heartbeat();
        let state = &mut *self.node.state.borrow_mut();
        Notice {
            host: self.node.settings.host.clone(),
            domain: self.node.settings.domain.clone(),
            incarnation: self.node.incarnation.get(),
            sequence: self.sequence.get(),
            interval_ms: u32::try_from(interval.as_millis()).unwrap_or(u32::MAX),
            full,
            multi_engine_prompts: state.loads.own_multi_engine_prompts(),
            queued: state.loads.queued_demands(clock::now()),
            store: status,
            leaving: self.node.leaving_group_servers(state),
            ejections: state.health.ejections_to_report(clock::now()),
            unanswered: state.health.unanswered_to_report(clock::now()),
            quarantine: state.quarantine.findings_to_report(full, clock::now()),
            limits: state.limits.reports(clock::now()),
            cold: state.limits.cold_reports(clock::now()),
            evacuations: state.evacuations.snapshot(clock::now()),
            holdings,
        }
    }

    async fn send(&self, message: &Message, hosts: &[SocketAddr]) {
        send(&self.socket, message, hosts).await;
    }
}

/// Sends a message to each of `hosts`, as one datagram.
pub(super) async fn send(socket: &UdpSocket, message: &Message, hosts: &[SocketAddr]) {
    let bytes = match postcard::to_stdvec(message) {
        Ok(bytes) => bytes,
        Err(error) => return log_fault(&error.to_string()),
    };
    for host in hosts {
        if let Err(error) = socket.send_to(&bytes, host).await {
            // The address of a host that is gone refuses messages; its entry in the store will be replaced or
            // removed.
            log::debug!("sending a message to {host} failed: {error}");
        }
    }
}
