//! This host's own paths to the backend servers, and the hosts that it reaches them through.

use super::{Node, State};
use crate::clock;
use crate::event::{self, Record};
use crate::proxy::Purpose;
use alderglade_core::Name;
use alderglade_core::fleet::directory::Server;
use alderglade_core::fleet::homes::Homes;
use alderglade_core::fleet::incarnation::Key;
use alderglade_core::fleet::proxy::Candidate;
use alderglade_core::fleet::reachability::{Change, Failure, Finding, Path};
use alderglade_core::time::Time;
use rand::RngExt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use subtle::ConstantTimeEq;

/// Maximum number of requests that a host carries for others at the same time.
const MAX_PROXIED: i64 = 256;

/// A host through which a request can be sent.
#[derive(Debug, Clone)]
pub struct Proxy {
    /// Its name.
    pub host: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Where it takes requests of other hosts.
    pub address: SocketAddr,
    /// Its key, which only hosts know.
    pub key: Name,
}

/// Counts a request that is open through another host.
pub struct ProxyUse {
    node: Rc<Node>,
    host: Name,
}

impl Drop for ProxyUse {
    fn drop(&mut self) {
        self.node.state.borrow_mut().proxies.end(&self.host);
    }
}

/// Counts a request that this host carries for another one.
pub struct ProxiedGuard {
    node: Rc<Node>,
}

impl Drop for ProxiedGuard {
    fn drop(&mut self) {
        self.node.metrics.proxied.dec();
    }
}

impl Node {
    /// Returns how requests reach a server now.
    pub fn path_to(&self, server: Key) -> Path {
        self.state.borrow().reachability.path(server)
    }

    /// Records that a connection to a server was opened.
    pub fn record_connection(&self, server: &Server) {
        let change = {
            let mut state = self.state.borrow_mut();
            let reachability = &mut state.reachability;
            reachability.record_connection(server.key(), clock::now())
        };
        self.on_path_changed(change);
    }

    /// Records that a server has answered over a connection of this host.
    pub fn record_direct_answer(&self) {
        self.state.borrow_mut().reachability.record_answer();
    }

    /// Records that no connection to a server could be opened. Returns whether other hosts should be asked about it.
    pub fn record_connect_failure(&self, server: &Server, failure: Failure) -> bool {
        let mut state = self.state.borrow_mut();
        let reachability = &mut state.reachability;
        reachability.record_failure(server.key(), failure, clock::now())
    }

    /// Records that a server was silent on a connection of this host. Returns whether to find out by a new connection
    /// whether the path to it is cut.
    pub fn record_direct_silence(&self, server: Key) -> bool {
        let reachability = &mut self.state.borrow_mut().reachability;
        reachability.path(server) == Path::Direct
            && reachability.record_silence(server, clock::now())
    }

    /// Applies what other hosts say of a server that this host can't connect to.
    pub fn finish_check(&self, server: &Server, finding: Finding) {
        let change = {
            let state = &mut *self.state.borrow_mut();
            let reachability = &mut state.reachability;
            let change = reachability.finish_check(server.key(), finding, clock::now());
            if reachability.path(server.key()) == Path::Proxied {
                state.health.retract(server.key());
                // Idle connections are of no use: their path is cut, too, or the server is reached otherwise.
                self.client.forget(server.address);
            }
            change
        };
        self.on_path_changed(change);
        self.path_checked.notify_waiters();
    }

    /// Waits until other hosts are no longer being asked about a server.
    pub async fn wait_until_checked(&self, server: Key) {
        loop {
            let path_checked = self.path_checked.notified();
            if !self.state.borrow().reachability.is_checking(server) {
                return;
            }
            path_checked.await;
        }
    }

    /// Waits until a request that was sent to a server directly at a time has probably lost its connection, because the
    /// path is cut.
    pub async fn wait_until_path_lost(&self, server: Key, sent: Time) {
        loop {
            let path_checked = self.path_checked.notified();
            let has_lost = {
                let state = self.state.borrow();
                state.reachability.has_lost_connection(server, sent)
            };
            if has_lost {
                return;
            }
            path_checked.await;
        }
    }

    /// Returns whether this host's path to any server is cut.
    pub fn is_path_cut(&self) -> bool {
        self.state.borrow().reachability.blocked_count() > 0
    }

    /// Returns the server whose path should be probed now, if any.
    pub fn next_probe(&self) -> Option<Server> {
        let state = &mut *self.state.borrow_mut();
        let directory = &state.directory;
        let all = directory.all().map(Server::key);
        let probe = state.reachability.next_probe(all, clock::now())?;
        directory.known(probe).cloned()
    }

    /// Drops the paths to servers that are no longer listed.
    pub(super) fn retain_paths(&self) {
        let change = {
            let State {
                directory,
                reachability,
                ..
            } = &mut *self.state.borrow_mut();
            reachability.retain(|server| directory.knows(server), clock::now())
        };
        self.on_path_changed(change);
    }

    /// Logs that the path to the servers was lost or regained.
    fn on_path_changed(&self, change: Option<Change>) {
        let state = &mut *self.state.borrow_mut();
        let blocked = state.reachability.blocked_count();
        self.metrics.blocked.set(blocked as i64);
        let Some(change) = change else {
            return;
        };
        event::write(&match change {
            Change::Lost => {
                for server in state.directory.all() {
                    self.client.forget(server.address);
                    state.health.retract(server.key());
                }
                let now = clock::now();
                let live = state.loads.live_hosts(&self.settings.domain, now);
                Record::PathLost {
                    blocked,
                    live_hosts: live.count(),
                }
            }
            Change::Regained { after } => Record::PathRegained {
                after_ms: after.as_millis() as u64,
            },
        });
    }

    /// Chooses a host through which a request reaches a server. One that is restricted to some regions doesn't leave
    /// them on its way, apart from the region that this host is in.
    pub fn choose_proxy(&self, server: &Server, homes: &Homes, tried: &[Proxy]) -> Option<Proxy> {
        let now = clock::now();
        let own_domain = &self.settings.domain;
        let state = self.state.borrow();
        let regions = &self.settings.regions;
        let may_pass = |domain: &Name| {
            homes.is_unrestricted()
                || homes.allow(regions.get(domain))
                || regions.get(domain) == regions.get(own_domain)
        };
        let live = state.loads.live_hosts(own_domain, now);
        let candidates = live.filter_map(|host| {
            let usable = tried.iter().all(|proxy| proxy.host != *host.name)
                && may_pass(host.domain)
                && state.hosts.proxy_key(host.name).is_some();
            usable.then_some(Candidate {
                host: host.name,
                domain: host.domain,
            })
        });
        // The hosts of one failure domain are likely to be cut off together.
        let candidates: Vec<Candidate<'_>> = candidates.collect();
        let elsewhere = |candidate: &Candidate<'_>| {
            let mut domains = tried.iter().map(|proxy| &proxy.domain);
            domains.all(|domain| domain != candidate.domain)
        };
        let others = candidates.iter().copied().filter(elsewhere);
        let near = [own_domain, &server.domain];
        let mut rng = rand::rng();
        let mut random = || rng.random::<f64>();
        let proxies = &state.proxies;
        let chosen = proxies
            .choose(others, near, now, &mut random)
            .or_else(|| proxies.choose(candidates.iter().copied(), near, now, &mut random))?;
        Some(Proxy {
            host: chosen.host.clone(),
            domain: chosen.domain.clone(),
            address: state.hosts.get(chosen.host)?,
            key: state.hosts.proxy_key(chosen.host)?.clone(),
        })
    }

    /// Counts a request that is open through another host until the guard is dropped.
    pub fn use_proxy(self: &Rc<Node>, host: &Name) -> ProxyUse {
        self.state.borrow_mut().proxies.begin(host);
        ProxyUse {
            node: self.clone(),
            host: host.clone(),
        }
    }

    /// Returns whether a host has helped to reach servers lately.
    pub fn has_proxy_helped(&self, host: &Name) -> bool {
        let state = self.state.borrow();
        state.proxies.has_helped(host, clock::now())
    }

    /// Records whether a host helped to reach a server; `None` if that says nothing of the host.
    pub fn record_proxy(&self, host: &Name, helped: Option<bool>) {
        let now = clock::now();
        let proxies = &mut self.state.borrow_mut().proxies;
        let outcome = match helped {
            Some(true) => {
                proxies.record_success(host, now);
                "helped"
            }
            Some(false) => {
                proxies.record_failure(host, now);
                "failed"
            }
            None => "undecided",
        };
        let sent = &self.metrics.proxied_sent;
        sent.with_label_values(&[outcome]).inc();
    }

    /// Counts a request that this host carries for another one until the guard is dropped. Returns `None` if it carries
    /// too many already or is about to stop.
    pub fn track_proxied(self: &Rc<Node>) -> Option<ProxiedGuard> {
        if self.is_stopping() || self.metrics.proxied.get() >= MAX_PROXIED {
            return None;
        }
        self.metrics.proxied.inc();
        Some(ProxiedGuard { node: self.clone() })
    }

    /// Returns the server that another host's request is for, if this host may send that to it now: not while the server
    /// has asked this host to back off.
    pub fn proxy_target(&self, key: Key, purpose: Purpose) -> Option<Server> {
        let state = self.state.borrow();
        let directory = &state.directory;
        match purpose {
            Purpose::Request => {
                let backoff = state.backoffs.remaining(&key, clock::now());
                directory.get(key).filter(|_| backoff == Duration::ZERO)
            }
            Purpose::Order | Purpose::Check => directory.known(key),
        }
        .cloned()
    }

    /// Returns whether a text is this host's own key, which only hosts know.
    pub fn is_proxy_key(&self, text: &str) -> bool {
        let own = self.proxy_key.borrow();
        own.as_ref()
            .is_some_and(|own| own.as_bytes().ct_eq(text.as_bytes()).into())
    }

    /// Returns the size of the buffers of a connection of another host, in bytes: they hold the longest head of a caller
    /// with what a host adds to it.
    pub fn peer_buffer_bytes(&self) -> usize {
        /// The longest head of a caller before the configuration is known.
        const DEFAULT_HEADER_BYTES: usize = 16 * 1024;
        const ADDED_BYTES: usize = 4 * 1024;
        let state = self.state.borrow();
        let config = state.config.as_ref();
        let stated = config.map_or(0, |config| config.limits.max_header_bytes);
        stated.max(DEFAULT_HEADER_BYTES) + ADDED_BYTES
    }

    /// Returns the longest request body that is accepted, in bytes.
    pub fn max_body_bytes(&self) -> usize {
        let state = self.state.borrow();
        let config = state.config.as_ref();
        config.map_or(0, |config| config.limits.max_body_bytes)
    }
}
