//! Sends messages to other entry hosts.

use super::tell_fault;
use crate::clock;
use crate::node::{Node, Recipients};
use alderglade_core::fleet::heartbeat::{Due, Schedule};
use alderglade_core::fleet::load_table::{Holding, Notice};
use alderglade_core::fleet::message::{ConfirmationRequest, Message};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// Holdings in one notice, some 28 bytes each: with the rest of a notice well below the usual size of a packet.
const HOLDINGS: usize = 24;

/// Sends this host's messages.
#[derive(Clone)]
pub(super) struct Teller {
    node: Rc<Node>,
    socket: Rc<UdpSocket>,
    /// The number of the last notice.
    sequence: Rc<Cell<u64>>,
    /// Heartbeats so far.
    beat: Rc<Cell<u64>>,
    /// When hosts were last told something.
    schedule: Rc<RefCell<Schedule>>,
}

impl Teller {
    /// Makes the sender of a socket; nothing is sent yet.
    pub(super) fn new(node: Rc<Node>, socket: Rc<UdpSocket>) -> Teller {
        Teller {
            node,
            socket,
            sequence: Rc::default(),
            beat: Rc::default(),
            schedule: Rc::default(),
        }
    }

    /// Tells other hosts what a heartbeat should, if one is due.
    pub(super) async fn heartbeat(&self) {
        let interval = self.node.heartbeat();
        let due = self.schedule.borrow().due(interval, clock::now());
        self.beat.set(self.beat.get() + u64::from(due.is_some()));
        match due {
            Some(Due::Whole) => self.whole().await,
            Some(Due::Changes) => self.changes().await,
            None => {}
        }
    }

    /// Tells other hosts all that this one holds.
    async fn whole(&self) {
        let now = clock::now();
        self.schedule.borrow_mut().note(Due::Whole, now);
        let holdings = self.node.state.borrow().loads.all_holdings(now);
        self.notices(holdings, true).await;
    }

    /// Tells other hosts what has changed.
    pub(super) async fn changes(&self) {
        self.schedule.borrow_mut().note(Due::Changes, clock::now());
        let holdings = self.node.state.borrow_mut().loads.take_changes();
        self.notices(holdings, false).await;
    }

    /// Asks for the age of the watchers' word, where this host goes by it.
    pub(super) async fn ask(&self, beat: u64) {
        let hosts = self.node.confirmation_targets(beat);
        if hosts.is_empty() {
            return;
        }
        let asked_us = clock::now().0;
        self.send(
            &Message::ConfirmationRequest(ConfirmationRequest { asked_us }),
            &hosts,
        )
        .await;
    }

    /// Sends what is meant for single hosts.
    pub(super) async fn envelopes(&self) {
        for envelope in self.node.take_envelopes() {
            self.send(&envelope.message, &[envelope.to]).await;
        }
    }

    /// Passes on to the hosts of the own failure domain what the store has told.
    pub(super) async fn outbox(&self) {
        let outbox = self.node.take_outbox();
        if outbox.is_empty() {
            return;
        }
        let near = self.node.same_domain_hosts();
        let gateways = self.node.domain_gateways(self.beat.get());
        for update in outbox {
            self.send(&Message::StoreUpdate(update.clone()), &near)
                .await;
            self.send(&Message::StoreUpdateToForward(update), &gateways)
                .await;
        }
    }

    /// Tells the hosts of the group some holdings, in as many notices as they take, or in one where there are none; and those of
    /// other groups what concerns them.
    async fn notices(&self, holdings: Vec<Holding>, whole: bool) {
        let mut chunks: Vec<Vec<Holding>> =
            holdings.chunks(HOLDINGS).map(<[Holding]>::to_vec).collect();
        if chunks.is_empty() {
            chunks.push(Vec::new());
        }
        let Recipients { direct, through } = self.node.recipients(self.beat.get());
        for (number, holdings) in chunks.into_iter().enumerate() {
            let notice = self.notice(holdings, whole && number == 0);
            let others = self.node.notice_for_others(&notice, self.beat.get());
            if let Some((notice, gateways)) = others {
                self.send(&Message::NoticeToForward(notice), &gateways)
                    .await;
            }
            let spread = Message::NoticeToForward(notice.clone());
            self.send(&Message::Notice(notice), &direct).await;
            self.send(&spread, &through).await;
        }
    }

    /// Makes the next notice.
    fn notice(&self, holdings: Vec<Holding>, whole: bool) -> Notice {
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
            full: whole,
            multi_engine_prompts: state.loads.own_multi_engine_prompts(),
            waiting: state.loads.waiting(clock::now()),
            store: status,
            leaving: self.node.shared_leavers(state),
            ejections: state.health.ejections_to_report(clock::now()),
            unanswered: state.health.unanswered_to_report(clock::now()),
            quarantine: state.quarantine.findings_to_report(whole, clock::now()),
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

/// Sends a message to each of some hosts, in one datagram.
pub(super) async fn send(socket: &UdpSocket, message: &Message, hosts: &[SocketAddr]) {
    let bytes = match postcard::to_stdvec(message) {
        Ok(bytes) => bytes,
        Err(error) => return tell_fault(&error.to_string()),
    };
    for host in hosts {
        if let Err(error) = socket.send_to(&bytes, host).await {
            // A host that is gone refuses; its entry in the store is replaced or removed.
            log::debug!("message to {host}: {error}");
        }
    }
}
