//! What has changed in the store, as the hosts of a failure domain pass it on to each other.
//!
//! Those that watch the store put changes into their outbox; the others take them, and ask the store only where
//! something is missing.

use super::{News, Node};
use crate::clock;
use alderglade_core::Name;
use alderglade_core::fleet::config::{Config, Patch};
use alderglade_core::fleet::directory::Change;
use alderglade_core::fleet::message::{Message, Servers};
use alderglade_core::fleet::position::Position;
use alderglade_core::fleet::spread;
use std::net::SocketAddr;

/// The largest message that is passed on, in bytes; below the usual size of a packet. Where more has changed, hosts ask
/// the store.
const LARGEST: usize = 1_200;

/// By which ways notices go to all other hosts.
pub struct Ways {
    /// Hosts that are told directly.
    pub direct: Vec<SocketAddr>,
    /// Hosts that pass notices on in their failure domain.
    pub through: Vec<SocketAddr>,
}

/// A message for one host.
pub struct Letter {
    /// Where that is.
    pub to: SocketAddr,
    /// What is sent.
    pub message: Message,
}

impl Node {
    /// Has a message sent to one host.
    pub(super) fn write_letter(&self, letter: Letter) {
        self.letters.borrow_mut().push(letter);
        self.letters_written.notify_one();
    }

    /// Gives the messages for single hosts that have not been sent yet.
    pub fn take_letters(&self) -> Vec<Letter> {
        std::mem::take(&mut *self.letters.borrow_mut())
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
        self.pass_on(Message::Config(patch));
    }

    /// Puts a message into the outbox, if it fits a packet.
    fn pass_on(&self, message: Message) {
        let length = postcard::to_stdvec(&message).map(|bytes| bytes.len());
        match length {
            Ok(length) if length <= LARGEST => self.state.borrow_mut().outbox.push(message),
            Ok(length) => log::debug!("{length} bytes have changed; hosts ask the store"),
            Err(error) => log::warn!("a change can't be written: {error}"),
        }
    }

    /// Has changes of backend servers passed on to the hosts of the own domain, if this host watches.
    pub(super) fn tell_changes(&self, after: Position, position: Position, changes: &[Change]) {
        let doubt_ms = {
            let state = self.state.borrow();
            if changes.is_empty() || !state.watches_store() {
                return;
            }
            state.doubt_ms(clock::now())
        };
        self.pass_on(Message::Servers(Servers {
            after,
            position,
            doubt_ms,
            changes: changes.to_vec(),
        }));
    }

    /// Gives the messages for the hosts of the own failure domain that have not been sent yet.
    pub fn take_outbox(&self) -> Vec<Message> {
        std::mem::take(&mut self.state.borrow_mut().outbox)
    }

    /// Gives the ways by which notices go to all other hosts, after so many heartbeats.
    pub fn ways(&self, beat: u64) -> Ways {
        let now = clock::now();
        let own = &self.settings.host;
        let state = self.state.borrow();
        let heard = state.book.heard(&self.settings.domain, now);
        let route = spread::route(own, beat, heard);
        let left_out = |name: &Name| name == own || route.reached.contains(name);
        let through = route.through.iter();
        Ways {
            direct: state.hosts.addresses_but(left_out),
            through: through.filter_map(|name| state.hosts.get(name)).collect(),
        }
    }

    /// Gives the addresses of the hosts of the own failure domain that were heard of lately.
    pub fn near_hosts(&self) -> Vec<SocketAddr> {
        let now = clock::now();
        let state = self.state.borrow();
        let heard = state.book.heard(&self.settings.domain, now);
        let near = heard.filter(|host| host.near);
        near.filter_map(|host| state.hosts.get(host.name)).collect()
    }

    /// Takes changes of backend servers from a peer that watches the store, unless some before them are
    /// missing here; the store is asked for these.
    pub fn take_servers(&self, servers: &Servers) {
        let mut state = self.state.borrow_mut();
        let Servers {
            after, position, ..
        } = *servers;
        if !state.directory.lacks(after, position) {
            return;
        }
        state.take_doubt(servers.doubt_ms);
        let changes = &servers.changes;
        state
            .directory
            .take_changes(after, changes, position, clock::now());
        drop(state);
        self.tell_servers();
        self.book_changed.notify_one();
    }

    /// Takes a newer configuration from a peer that watches the store. One that applies to another version
    /// is passed over; the store is asked for the newest.
    pub fn take_patch(&self, patch: &Patch) {
        let known = self.state.borrow().config.clone();
        if let Some(config) = known.and_then(|config| config.patched(patch)) {
            self.learn(News::Config(config));
        }
    }
}
