//! What has changed in the store, as the hosts of a failure domain pass it on to each other.
//!
//! Those that watch the store put changes into their outbox; the others take them, and ask the store only where
//! something is missing.

use super::{Node, StoreEvent};
use crate::clock;
use alderglade_core::Name;
use alderglade_core::fleet::config::{Config, Patch};
use alderglade_core::fleet::directory::Change;
use alderglade_core::fleet::fanout::{self, Scope, Sender};
use alderglade_core::fleet::load_table::Notice;
use alderglade_core::fleet::message::{Fragment, Host, Message, Servers, StoreUpdate};
use alderglade_core::fleet::position::Position;
use alderglade_core::fleet::reassembly;
use std::net::SocketAddr;

/// The largest message that is passed on, in bytes; below the usual size of a packet. Where more has changed, hosts ask
/// the store.
const LARGEST: usize = 1_200;

/// What a piece of changes takes beside them, in bytes.
const AROUND: usize = 100;

/// By which ways notices go to the other hosts of the own group.
pub struct Recipients {
    /// Hosts that are told directly.
    pub direct: Vec<SocketAddr>,
    /// Hosts that pass notices on in their failure domain.
    pub through: Vec<SocketAddr>,
}

/// A message for one host.
pub struct Envelope {
    /// Where that is.
    pub to: SocketAddr,
    /// What is sent.
    pub message: Message,
}

impl Node {
    /// Has a message sent to one host.
    pub(super) fn queue_envelope(&self, envelope: Envelope) {
        self.envelopes.borrow_mut().push(envelope);
        self.envelopes_queued.notify_one();
    }

    /// Gives the messages for single hosts that have not been sent yet.
    pub fn take_envelopes(&self) -> Vec<Envelope> {
        std::mem::take(&mut *self.envelopes.borrow_mut())
    }

    /// Has what differs between two configurations passed on to the hosts of the own domain, if this host
    /// watches and it is little.
    pub(super) fn tell_config(&self, old: &Config, new: &Config) {
        if !self.state.borrow().watches_store() {
            return;
        }
        let Some(patch) = Patch::between(old, new) else {
            return;
        };
        self.pass_on(StoreUpdate::Config(patch));
    }

    /// Puts what was learnt into the outbox, if it fits a packet.
    fn pass_on(&self, update: StoreUpdate) {
        let length = postcard::to_stdvec(&update).map(|bytes| bytes.len());
        match length {
            Ok(length) if length <= LARGEST => self.state.borrow_mut().outbox.push(update),
            Ok(length) => log::debug!("{length} bytes have changed; hosts ask the store"),
            Err(error) => log::warn!("a change can't be written: {error}"),
        }
    }

    /// Has changes of backend servers passed on to the hosts of the own domain, if this host watches.
    pub(super) fn tell_changes(&self, after: Position, position: Position, changes: &[Change]) {
        let grace_ms = {
            let state = self.state.borrow();
            if changes.is_empty() || !state.watches_store() {
                return;
            }
            state.grace_ms(clock::now())
        };
        let whole = Servers {
            after,
            position,
            grace_ms,
            fragment: Fragment::WHOLE,
            changes: changes.to_vec(),
        };
        let size = |change: &Change| postcard::to_stdvec(change).map_or(usize::MAX, |b| b.len());
        for fragment in reassembly::split(&whole, LARGEST - AROUND, size) {
            self.pass_on(StoreUpdate::Servers(fragment));
        }
    }

    /// Has a host passed on to the hosts of the own domain, if this one watches: of many that start together, the first find
    /// few others in the store's list.
    pub(super) fn tell_host(&self, host: &Host) {
        let mut state = self.state.borrow_mut();
        if state.watches_store() {
            state.new_hosts.push(host.clone());
            self.loads_changed.notify_one();
        }
    }

    /// Gives what the hosts of the own failure domain have not been told yet.
    pub fn take_outbox(&self) -> Vec<StoreUpdate> {
        /// Hosts in one message, some 40 bytes each.
        const EACH: usize = 24;
        let new_hosts = std::mem::take(&mut self.state.borrow_mut().new_hosts);
        for some in new_hosts.chunks(EACH) {
            self.pass_on(StoreUpdate::Hosts(some.to_vec()));
        }
        std::mem::take(&mut self.state.borrow_mut().outbox)
    }

    /// Gives the ways by which notices go to the other hosts of the own group, after so many heartbeats.
    pub fn recipients(&self, beat: u64) -> Recipients {
        let now = clock::now();
        let own = &self.settings.host;
        let state = self.state.borrow();
        let heard = state.heard_in_group(own, &self.settings.domain, now);
        let fanout = fanout::fanout(own, beat, heard);
        let left_out = |name: &Name| {
            let elsewhere = !state.groups.same_group(own, name);
            name == own || elsewhere || fanout.covered.contains(name)
        };
        let through = fanout.forwarders.iter();
        Recipients {
            direct: state.hosts.addresses_but(left_out),
            through: through.filter_map(|name| state.hosts.get(name)).collect(),
        }
    }

    /// Gives what hosts of other groups are told of a notice, with those of them that pass it on, after so many heartbeats; `None`
    /// where it concerns none of them.
    pub fn notice_for_others(
        &self,
        notice: &Notice,
        beat: u64,
    ) -> Option<(Notice, Vec<SocketAddr>)> {
        let scope = notice.scope(&self.state.borrow().groups);
        let gateways = self.gateways(&scope, beat);
        let state = self.state.borrow();
        (!gateways.is_empty()).then(|| (notice.for_other_groups(&state.groups), gateways))
    }

    /// Gives the hosts of other groups that pass on in the own failure domain what the store has told.
    pub fn domain_gateways(&self, beat: u64) -> Vec<SocketAddr> {
        let scope = Scope {
            domain: true,
            ..Scope::default()
        };
        self.gateways(&scope, beat)
    }

    fn gateways(&self, scope: &Scope, beat: u64) -> Vec<SocketAddr> {
        let state = self.state.borrow();
        if state.groups.division().is_single() {
            return Vec::new();
        }
        let sender = Sender {
            name: &self.settings.host,
            domain: &self.settings.domain,
            division: state.groups.division(),
        };
        let gateways = scope.gateways(&sender, beat, state.hosts.placed());
        let addresses = gateways
            .into_iter()
            .filter_map(|name| state.hosts.get(name));
        addresses.collect()
    }

    /// Gives the addresses of the hosts of the own group and failure domain that were heard of lately.
    pub fn same_domain_hosts(&self) -> Vec<SocketAddr> {
        let now = clock::now();
        let state = self.state.borrow();
        let heard = state.heard_in_group(&self.settings.host, &self.settings.domain, now);
        let near = heard.filter(|host| host.same_domain);
        near.filter_map(|host| state.hosts.get(host.name)).collect()
    }

    /// Takes what a peer has learnt that watches the store.
    pub fn apply_store_update(&self, update: &StoreUpdate) {
        match update {
            StoreUpdate::Servers(servers) => self.take_servers(servers),
            StoreUpdate::Config(patch) => self.take_patch(patch),
            StoreUpdate::Hosts(hosts) => {
                let known = &mut self.state.borrow_mut().hosts;
                hosts
                    .iter()
                    .cloned()
                    .for_each(|host| known.insert_new(host));
            }
        }
    }

    /// Takes changes of backend servers from a peer that watches the store, unless some before them are
    /// missing here; the store is asked for these.
    fn take_servers(&self, servers: &Servers) {
        let mut state = self.state.borrow_mut();
        let Servers {
            after, position, ..
        } = *servers;
        if !state.directory.needs_changes(after, position) {
            return;
        }
        state.take_grace(servers.grace_ms);
        let Some(changes) = state.reassembly.take(servers) else {
            return;
        };
        let now = clock::now();
        state
            .directory
            .apply_changes(after, &changes, position, now);
        drop(state);
        self.tell_servers();
        self.loads_changed.notify_one();
    }

    /// Takes a newer configuration from a peer that watches the store. One that applies to another version
    /// is passed over; the store is asked for the newest.
    fn take_patch(&self, patch: &Patch) {
        let known = self.state.borrow().config.clone();
        if let Some(config) = known.and_then(|config| config.patched(patch)) {
            self.apply_store_event(StoreEvent::Config(config));
        }
    }
}
