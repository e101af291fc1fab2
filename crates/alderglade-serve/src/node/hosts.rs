//! The entry hosts' addresses, from the store and from what hosts send.
//!
//! The store lists this host too, so its own address may be among them.

use alderglade_core::Name;
use alderglade_core::fleet::message::Host;
use std::collections::HashMap;
use std::net::SocketAddr;

/// All entry hosts that are known, with this one where the store has listed it.
#[derive(Debug, Default)]
pub struct Hosts {
    by_name: HashMap<Name, Place>,
}

/// Where a host is.
#[derive(Debug)]
struct Place {
    address: SocketAddr,
    domain: Option<Name>,
}

impl Hosts {
    /// Takes a host, or its new address.
    pub fn insert(&mut self, host: Host) {
        let Host {
            name,
            address,
            domain,
        } = host;
        self.by_name.insert(name, Place { address, domain });
    }

    /// Takes a host, unless it is known: what it has sent itself is newer.
    pub fn insert_new(&mut self, host: Host) {
        if !self.by_name.contains_key(&host.name) {
            self.insert(host);
        }
    }

    /// Drops a host.
    pub fn remove(&mut self, name: &str) {
        self.by_name.remove(name);
    }

    /// Gives a host's address.
    pub fn get(&self, name: &str) -> Option<SocketAddr> {
        self.by_name.get(name).map(|place| place.address)
    }

    /// Gives the addresses of all hosts but some.
    pub fn addresses_but(&self, left_out: impl Fn(&Name) -> bool) -> Vec<SocketAddr> {
        let others = self.by_name.iter().filter(|(name, _)| !left_out(name));
        others.map(|(_, place)| place.address).collect()
    }

    /// Lists the hosts whose failure domain is known, with that.
    pub fn placed(&self) -> impl Iterator<Item = (&Name, &Name)> {
        let hosts = self.by_name.iter();
        hosts.filter_map(|(name, place)| Some((name, place.domain.as_ref()?)))
    }

    /// Gives all.
    pub fn all(&self) -> Vec<Host> {
        let host = |(name, place): (&Name, &Place)| Host {
            name: name.clone(),
            address: place.address,
            domain: place.domain.clone(),
        };
        self.by_name.iter().map(host).collect()
    }

    /// Lists the names of all.
    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.by_name.keys()
    }

    /// Gives how many are known.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Says whether none is known.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}
