//! The entry hosts' addresses, from the store and from messages of the hosts.
//!
//! The store lists this host too, so its own address may be among them.

use alderglade_core::Name;
use alderglade_core::fleet::message::Host;
use std::collections::HashMap;
use std::net::SocketAddr;

/// All known entry hosts, including this one if the store has listed it.
#[derive(Debug, Default)]
pub struct Hosts {
    by_name: HashMap<Name, Location>,
}

/// A host's address and failure domain.
#[derive(Debug)]
struct Location {
    address: SocketAddr,
    domain: Option<Name>,
    /// The key with which requests are sent through the host, if known.
    proxy_key: Option<Name>,
}

impl Hosts {
    /// Adds a host or replaces its address. Its key is kept if the new one isn't known.
    pub fn insert(&mut self, host: Host) {
        let Host {
            name,
            address,
            domain,
            proxy_key,
        } = host;
        let known_key = self.proxy_key(&name).cloned();
        let location = Location {
            address,
            domain,
            proxy_key: proxy_key.or(known_key),
        };
        self.by_name.insert(name, location);
    }

    /// Adds a host unless it is known: an address that the host itself has sent is newer.
    pub fn insert_if_absent(&mut self, host: Host) {
        if !self.by_name.contains_key(&host.name) {
            self.insert(host);
        }
    }

    /// Replaces the key of a host, if the host is known.
    pub fn set_proxy_key(&mut self, host: &str, key: Name) {
        if let Some(location) = self.by_name.get_mut(host) {
            location.proxy_key = Some(key);
        }
    }

    /// Returns the key with which requests are sent through a host, if known.
    pub fn proxy_key(&self, name: &str) -> Option<&Name> {
        self.by_name.get(name)?.proxy_key.as_ref()
    }

    /// Removes a host.
    pub fn remove(&mut self, name: &str) {
        self.by_name.remove(name);
    }

    /// Returns a host's address.
    pub fn get(&self, name: &str) -> Option<SocketAddr> {
        self.by_name.get(name).map(|location| location.address)
    }

    /// Returns the name of the host at an address.
    pub fn name_of(&self, address: SocketAddr) -> Option<&Name> {
        let mut hosts = self.by_name.iter();
        let host = hosts.find(|(_, location)| location.address == address);
        host.map(|(name, _)| name)
    }

    /// Returns the addresses of all hosts except those that `is_excluded` selects.
    pub fn addresses_except(&self, is_excluded: impl Fn(&Name) -> bool) -> Vec<SocketAddr> {
        let others = self.by_name.iter().filter(|(name, _)| !is_excluded(name));
        others.map(|(_, location)| location.address).collect()
    }

    /// Returns the names and failure domains of the hosts whose domain is known.
    pub fn domains(&self) -> impl Iterator<Item = (&Name, &Name)> {
        let hosts = self.by_name.iter();
        hosts.filter_map(|(name, location)| Some((name, location.domain.as_ref()?)))
    }

    /// Returns all hosts.
    pub fn all(&self) -> Vec<Host> {
        let host = |(name, location): (&Name, &Location)| Host {
            name: name.clone(),
            address: location.address,
            domain: location.domain.clone(),
            proxy_key: location.proxy_key.clone(),
        };
        self.by_name.iter().map(host).collect()
    }

    /// Returns the names of all hosts.
    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.by_name.keys()
    }

    /// Returns the number of hosts.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Returns whether no host is known.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}
