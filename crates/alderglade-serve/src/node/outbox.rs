//! Changes in the store, as the hosts of a failure domain forward them to each other.
//!
//! The hosts that watch the store put changes into their outbox. The other hosts apply them and query the store only
//! if something is missing.

use super::{Node, Origin, StoreEvent};
use crate::clock;
use alderglade_core::Name;
use alderglade_core::fleet::config::{Config, Patch};
use alderglade_core::fleet::directory::Change;
use alderglade_core::fleet::fanout::{self, Scope, Sender};
use alderglade_core::fleet::load_table::Notice;
use alderglade_core::fleet::message::{Fragment, Host, Message, ProxyKey, Servers, StoreUpdate};
use alderglade_core::fleet::position::Position;
use alderglade_core::fleet::reassembly;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum length of an update, in bytes; below the usual size of a packet. If more has changed, hosts query the
/// store.
const MAX_UPDATE_BYTES: usize = 1_200;

/// What a fragment takes in addition to its changes, in bytes.
const FRAGMENT_OVERHEAD_BYTES: usize = 100;

/// The recipients of notices within the own group.
pub struct Recipients {
    /// Hosts that receive notices directly.
    pub direct: Vec<SocketAddr>,
    /// Hosts that forward notices within their failure domain.
    pub forwarders: Vec<SocketAddr>,
}

/// A message for one host.
pub struct Envelope {
    /// The host's address.
    pub to: SocketAddr,
    /// The content.
    pub message: Message,
}

impl Node {
    /// Queues a message for one host.
    pub(super) fn queue_envelope(&self, envelope: Envelope) {
        self.envelopes.borrow_mut().push(envelope);
        self.envelopes_queued.notify_one();
    }

    /// Returns and clears the queued messages for single hosts.
    pub fn take_envelopes(&self) -> Vec<Envelope> {
        std::mem::take(&mut *self.envelopes.borrow_mut())
    }

    /// Queues the difference between two configurations for the hosts of the own domain, if this host watches the
    /// store and the difference is small.
    pub(super) fn publish_config_patch(&self, old: &Config, new: &Config) {
        if !self.state.borrow().watches_store() {
            return;
        }
        let Some(patch) = Patch::between(old, new) else {
            return;
        };
        self.queue_update(StoreUpdate::Config(patch));
    }

    /// Adds an update to the outbox if it fits into a packet.
    fn queue_update(&self, update: StoreUpdate) {
        let length = postcard::to_stdvec(&update).map(|bytes| bytes.len());
        match length {
            Ok(length) if length <= MAX_UPDATE_BYTES => self.state.borrow_mut().outbox.push(update),
            Ok(length) => {
                log::debug!("an update of {length} bytes exceeds a packet; hosts query the store")
            }
            Err(error) => log::warn!("cannot encode an update: {error}"),
        }
    }

    /// Queues changes of backend servers for the hosts of the own domain, if this host watches the store.
    pub(super) fn publish_server_changes(
        &self,
        after: Position,
        position: Position,
        changes: &[Change],
    ) {
        let grace_ms = {
            let state = self.state.borrow();
            if changes.is_empty() || !state.watches_store() {
                return;
            }
            state.grace_ms(clock::now())
        };
        let update = Servers {
            base: after,
            position,
            grace_ms,
            fragment: Fragment::SINGLE,
            changes: changes.to_vec(),
        };
        let size = |change: &Change| postcard::to_stdvec(change).map_or(usize::MAX, |b| b.len());
        for fragment in reassembly::split(&update, MAX_UPDATE_BYTES - FRAGMENT_OVERHEAD_BYTES, size)
        {
            self.queue_update(StoreUpdate::Servers(fragment));
        }
    }

    /// Queues a host's address for the hosts of the own domain, if this host watches the store. When many hosts start
    /// together, the first ones find few others in the store's list.
    pub(super) fn publish_host(&self, host: &Host) {
        let mut state = self.state.borrow_mut();
        if state.watches_store() {
            state.unpublished_hosts.push(host.clone());
            self.notice_due.notify_one();
        }
    }

    /// Returns and clears the updates that were not sent yet to the hosts of the own failure domain.
    pub fn take_outbox(&self) -> Vec<StoreUpdate> {
        /// Hosts in one update, some 40 bytes each, and up to 55 with their keys.
        const HOSTS_PER_UPDATE: usize = 24;
        let unpublished_hosts = std::mem::take(&mut self.state.borrow_mut().unpublished_hosts);
        for chunk in unpublished_hosts.chunks(HOSTS_PER_UPDATE) {
            self.queue_update(StoreUpdate::Hosts(chunk.to_vec()));
            let keys = chunk.iter().filter_map(|host| {
                Some(ProxyKey {
                    host: host.name.clone(),
                    key: host.proxy_key.clone()?,
                })
            });
            let keys: Vec<ProxyKey> = keys.collect();
            if !keys.is_empty() {
                self.queue_update(StoreUpdate::ProxyKeys(keys));
            }
        }
        std::mem::take(&mut self.state.borrow_mut().outbox)
    }

    /// Returns the recipients of notices within the own group at heartbeat number `beat`.
    pub fn recipients(&self, beat: u64) -> Recipients {
        let now = clock::now();
        let own = &self.settings.host;
        let state = self.state.borrow();
        let live = state.live_group_hosts(own, &self.settings.domain, now);
        let fanout = fanout::fanout(own, beat, live);
        let is_excluded = |name: &Name| {
            let other_group = !state.groups.same_group(own, name);
            name == own || other_group || fanout.covered.contains(name)
        };
        let forwarders = fanout.forwarders.iter();
        Recipients {
            direct: state.hosts.addresses_except(is_excluded),
            forwarders: forwarders
                .filter_map(|name| state.hosts.get(name))
                .collect(),
        }
    }

    /// Returns the part of a notice that concerns hosts of other groups, and the gateways that forward it to them at
    /// heartbeat number `beat`; `None` if it concerns none of them.
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

    /// Returns the hosts of other groups that forward store updates within the own failure domain.
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
        let gateways = scope.gateways(&sender, beat, state.hosts.domains());
        let addresses = gateways
            .into_iter()
            .filter_map(|name| state.hosts.get(name));
        addresses.collect()
    }

    /// Returns the addresses of the live hosts of the own group and failure domain.
    pub fn same_domain_hosts(&self) -> Vec<SocketAddr> {
        let now = clock::now();
        let state = self.state.borrow();
        let live = state.live_group_hosts(&self.settings.host, &self.settings.domain, now);
        let same_domain = live.filter(|host| host.same_domain);
        same_domain
            .filter_map(|host| state.hosts.get(host.name))
            .collect()
    }

    /// Applies an update of a peer that watches the store.
    pub fn apply_store_update(&self, update: &StoreUpdate, sender: SocketAddr) {
        match update {
            StoreUpdate::Servers(servers) => self.apply_server_update(servers, sender),
            StoreUpdate::Config(patch) => self.apply_config_patch(patch),
            StoreUpdate::ProxyKeys(keys) => {
                let hosts = &mut self.state.borrow_mut().hosts;
                for ProxyKey { host, key } in keys {
                    hosts.set_proxy_key(host, key.clone());
                }
            }
            StoreUpdate::Hosts(hosts) => {
                let known = &mut self.state.borrow_mut().hosts;
                hosts
                    .iter()
                    .cloned()
                    .for_each(|host| known.insert_if_absent(host));
            }
        }
    }

    /// Applies changes of backend servers from a peer that watches the store. If earlier changes are missing here,
    /// the changes are ignored and the store is queried.
    fn apply_server_update(&self, servers: &Servers, sender: SocketAddr) {
        let mut state = self.state.borrow_mut();
        let Servers {
            base: after,
            position,
            ..
        } = *servers;
        if !state.directory.needs_changes(after, position) {
            return;
        }
        let now = clock::now();
        let reported = Duration::from_millis(u64::from(servers.grace_ms));
        let told = self.told_grace(&state, Some(reported), now);
        let Some(changes) = state.reassembly.take(servers) else {
            return;
        };
        state
            .directory
            .apply_told_changes(after, &changes, position, told, now);
        drop(state);
        self.log_departures(Origin::Address(sender));
        self.on_servers_changed();
        self.notice_due.notify_one();
    }

    /// Applies a newer configuration from a peer that watches the store. A patch for another version is ignored, and
    /// the store is queried for the newest version.
    fn apply_config_patch(&self, patch: &Patch) {
        let current = self.state.borrow().config.clone();
        if let Some(config) = current.and_then(|config| config.apply_patch(patch)) {
            self.apply_store_event(StoreEvent::Config(config));
        }
    }
}
