//! Membership: heartbeats within a failure domain, and the platform's list for other domains.
//!
//! Every entry host sends its [`Card`] to the other hosts of its domain. The platform's list lags
//! and therefore only seeds the view. Homes are assigned by rendezvous hashing over the hosts that
//! seem to be live. Two hosts may disagree about a home for a while, which is safe.

use crate::Name;
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A host whose last heartbeat is this many intervals old doesn't count as live.
const MAX_MISSED_HEARTBEATS: u32 = 6;
/// Lower bound for the interval between heartbeats.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Interval per host of the domain, which bounds the heartbeat traffic of a host in large domains.
const HEARTBEAT_INTERVAL_PER_HOST: Duration = Duration::from_millis(28);
/// A host of another domain that didn't answer is skipped for this time.
const SILENT_HOST_BACKOFF: Duration = Duration::from_secs(2);
/// A longer gap between two clock readings means that this process was stopped.
const MIN_PAUSE: Duration = Duration::from_secs(1);

/// A host's description of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Card {
    /// The host's name.
    pub name: Name,
    /// The host's failure domain.
    pub domain: Name,
    /// Address for other entry hosts: IP number and port.
    pub address: Name,
    /// Identifies one start of the process; grows with each start.
    pub incarnation: u64,
    /// Whether the host is about to stop.
    pub leaving: bool,
    /// The revision of the host's settings.
    pub revision: u64,
}

/// Another host in the view.
#[derive(Debug, Clone)]
struct Peer {
    card: Card,
    last_heard: Option<Time>,
    silent_until: Time,
}

/// A change in the view of the own domain.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A host of the domain joined, or restarted as another incarnation.
    Joined(Name),
    /// A host of the domain has stopped sending heartbeats.
    Died(Name),
}

/// One host's view of the other hosts.
#[derive(Debug)]
pub struct View {
    own: Card,
    peers: BTreeMap<Name, Peer>,
    known_live: BTreeMap<Name, u64>,
    last_clock_read: Time,
    started_at: Time,
    seeded: bool,
    joined: bool,
}

impl View {
    /// Creates a view that contains only the host itself.
    pub fn new(own: Card, now: Time) -> View {
        View {
            own,
            peers: BTreeMap::new(),
            known_live: BTreeMap::new(),
            last_clock_read: now,
            started_at: now,
            seeded: false,
            joined: false,
        }
    }

    /// Returns the host's own card.
    pub fn own(&self) -> &Card {
        &self.own
    }

    /// Returns the host's own card for modification.
    pub fn own_mut(&mut self) -> &mut Card {
        &mut self.own
    }

    /// Returns the card of a host, if the host is known.
    pub fn card(&self, name: &Name) -> Option<&Card> {
        if *name == self.own.name {
            return Some(&self.own);
        }
        self.peers.get(name).map(|peer| &peer.card)
    }

    /// Applies the platform's list. It doesn't overwrite cards received in heartbeats.
    pub fn apply_host_list(&mut self, cards: Vec<Card>) {
        self.seeded = true;
        self.peers.retain(|name, peer| {
            peer.last_heard.is_some() || cards.iter().any(|c| c.name == *name)
        });
        for card in cards {
            if card.name == self.own.name {
                continue;
            }
            match self.peers.get_mut(&card.name) {
                Some(peer) if peer.last_heard.is_some() => peer.card.leaving |= card.leaving,
                Some(peer) => peer.card = card,
                None => {
                    let name = card.name.clone();
                    let peer = Peer {
                        card,
                        last_heard: None,
                        silent_until: Time(0),
                    };
                    self.peers.insert(name, peer);
                }
            }
        }
    }

    /// Applies a heartbeat. A heartbeat of an older incarnation is dropped.
    pub fn apply_heartbeat(&mut self, card: Card, now: Time) {
        if card.name == self.own.name {
            return;
        }
        // A seed is identified by its address until the host at that address reports its name.
        self.peers
            .retain(|name, peer| *name == card.name || peer.card.address != card.address);
        let peer = self.peers.entry(card.name.clone()).or_insert_with(|| Peer {
            card: card.clone(),
            last_heard: None,
            silent_until: Time(0),
        });
        let is_heard = peer.last_heard.is_some();
        if is_heard && card.incarnation < peer.card.incarnation {
            return;
        }
        let is_same = card.incarnation == peer.card.incarnation;
        let leaving = card.leaving || (is_heard && is_same && peer.card.leaving);
        let revision = card
            .revision
            .max(if is_same { peer.card.revision } else { 0 });
        peer.card = Card {
            leaving,
            revision,
            ..card
        };
        peer.last_heard = Some(now);
        peer.silent_until = Time(0);
    }

    /// Records that a host didn't answer.
    pub fn mark_silent(&mut self, name: &Name, now: Time) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.silent_until = now + SILENT_HOST_BACKOFF;
        }
    }

    /// Detects whether this process was stopped since the last call, and returns for how long.
    ///
    /// The liveness of all peers is extended by that time, because their heartbeats couldn't be
    /// processed.
    pub fn detect_pause(&mut self, now: Time) -> Option<Duration> {
        let gap = now.since(self.last_clock_read);
        self.last_clock_read = now;
        if gap <= MIN_PAUSE {
            return None;
        }
        self.extend_liveness(gap);
        Some(gap)
    }

    /// Advances to `now` and returns the changes in the own domain.
    pub fn tick(&mut self, now: Time) -> Vec<Change> {
        self.detect_pause(now);
        self.joined = self.has_joined(now);
        let live: BTreeMap<Name, u64> = self
            .live_peers(now)
            .map(|card| (card.name.clone(), card.incarnation))
            .collect();
        let mut changes = Vec::new();
        for (name, incarnation) in &live {
            if self.known_live.get(name) != Some(incarnation) {
                changes.push(Change::Joined(name.clone()));
            }
        }
        for name in self
            .known_live
            .keys()
            .filter(|name| !live.contains_key(*name))
        {
            changes.push(Change::Died(name.clone()));
        }
        self.known_live = live;
        changes
    }

    fn extend_liveness(&mut self, gap: Duration) {
        for peer in self.peers.values_mut() {
            peer.last_heard = peer.last_heard.map(|at| at + gap);
        }
    }

    /// Returns whether the host has received a heartbeat of every listed host of its domain, or has
    /// waited long enough for those that can't be reached.
    ///
    /// Before that the host can't know whose settings are the newest. Hosts that are listed later
    /// don't change the result.
    pub fn has_joined(&self, now: Time) -> bool {
        let has_waited = now.since(self.started_at) >= self.interval() * MAX_MISSED_HEARTBEATS;
        let own_domain = &self.own.domain;
        let mut same_domain = self
            .peers
            .values()
            .filter(|peer| peer.card.domain == *own_domain);
        self.joined
            || has_waited
            || (self.seeded && same_domain.all(|peer| peer.last_heard.is_some()))
    }

    /// Returns the heartbeat interval for the current size of the domain.
    pub fn interval(&self) -> Duration {
        let hosts = self.domain_hosts() as u32;
        MIN_HEARTBEAT_INTERVAL.max(HEARTBEAT_INTERVAL_PER_HOST * hosts)
    }

    fn domain_hosts(&self) -> usize {
        let own_domain = &self.own.domain;
        1 + self
            .peers
            .values()
            .filter(|peer| peer.card.domain == *own_domain)
            .count()
    }

    /// Returns all other hosts that are known, of any domain.
    pub fn all_peers(&self) -> impl Iterator<Item = &Card> {
        self.peers.values().map(|peer| &peer.card)
    }

    /// Returns the other live hosts of the own domain.
    pub fn live_peers(&self, now: Time) -> impl Iterator<Item = &Card> {
        let timeout = self.interval() * MAX_MISSED_HEARTBEATS;
        self.peers
            .values()
            .filter(|peer| peer.card.domain == self.own.domain)
            .filter(move |peer| peer.last_heard.is_some_and(|at| now.since(at) < timeout))
            .map(|peer| &peer.card)
    }

    /// Returns the number of live hosts in the own domain, this one included.
    pub fn live_count(&self, now: Time) -> usize {
        1 + self.live_peers(now).count()
    }

    /// Returns all other hosts of the own domain, live or not. Heartbeats go to all of them.
    pub fn domain_peers(&self) -> impl Iterator<Item = &Card> {
        let own_domain = &self.own.domain;
        self.peers
            .values()
            .map(|peer| &peer.card)
            .filter(move |card| card.domain == *own_domain)
    }

    /// Returns the names of the other failure domains that have hosts.
    pub fn other_domains(&self) -> Vec<Name> {
        let mut domains: Vec<Name> = self
            .peers
            .values()
            .map(|peer| peer.card.domain.clone())
            .filter(|domain| *domain != self.own.domain)
            .collect();
        domains.sort();
        domains.dedup();
        domains
    }

    /// Returns the home of `key` among the live hosts of the own domain that are not leaving.
    ///
    /// If there is no such host, this host is the home even while it is leaving.
    pub fn home(&self, key: &str, now: Time) -> Name {
        let peers = self.live_peers(now).filter(|card| !card.leaving);
        let own = (!self.own.leaving).then_some(&self.own);
        let best = peers.chain(own).max_by_key(|card| rank(&card.name, key));
        best.unwrap_or(&self.own).name.clone()
    }

    /// Returns the home of `key` among the hosts of another domain, without those that recently
    /// didn't answer.
    pub fn remote_home(&self, domain: &Name, key: &str, now: Time) -> Option<Name> {
        self.peers
            .values()
            .filter(|peer| peer.card.domain == *domain && !peer.card.leaving)
            .filter(|peer| peer.silent_until <= now)
            .max_by_key(|peer| rank(&peer.card.name, key))
            .map(|peer| peer.card.name.clone())
    }

    /// Returns the home of `key` among the hosts of all domains.
    ///
    /// Hosts of the own domain count while they are live, hosts of other domains unless they recently
    /// didn't answer.
    pub fn fleet_home(&self, key: &str, now: Time) -> Name {
        let same_domain = self.live_peers(now).filter(|card| !card.leaving);
        let other_domains = self
            .peers
            .values()
            .filter(|peer| peer.card.domain != self.own.domain && peer.silent_until <= now)
            .map(|peer| &peer.card)
            .filter(|card| !card.leaving);
        let own = (!self.own.leaving).then_some(&self.own);
        let best = same_domain
            .chain(other_domains)
            .chain(own)
            .max_by_key(|card| rank(&card.name, key));
        best.unwrap_or(&self.own).name.clone()
    }

    /// Returns whether this host would be the home of `key` even if all hosts of other domains
    /// answered. Otherwise it is only a substitute for a host that can't be reached.
    pub fn is_first_home(&self, key: &str, now: Time) -> bool {
        let same_domain = self.live_peers(now).filter(|card| !card.leaving);
        let other_domains = self.peers.values().map(|peer| &peer.card);
        let other_domains =
            other_domains.filter(|card| card.domain != self.own.domain && !card.leaving);
        let own_rank = rank(&self.own.name, key);
        same_domain
            .chain(other_domains)
            .all(|card| rank(&card.name, key) <= own_rank)
    }

    /// Returns the share of the fleet's hosts that belong to the own domain, in thousandths.
    pub fn domain_per_mille(&self) -> u64 {
        (self.domain_hosts() * 1_000 / self.fleet_count()) as u64
    }

    /// Returns the number of known entry hosts in the fleet, this one included.
    pub fn fleet_count(&self) -> usize {
        1 + self.peers.len()
    }

    /// Returns the highest settings revision that a peer has reported in a heartbeat.
    pub fn highest_revision(&self) -> u64 {
        let peers = self.peers.values().filter(|peer| peer.last_heard.is_some());
        peers.map(|peer| peer.card.revision).max().unwrap_or(0)
    }

    /// Returns the live peer of the own domain with the newest settings, if they are newer than
    /// `revision`.
    pub fn newer_peer(&self, revision: u64, now: Time) -> Option<Name> {
        self.live_peers(now)
            .filter(|card| card.revision > revision)
            .max_by_key(|card| card.revision)
            .map(|card| card.name.clone())
    }
}

/// Rendezvous hash of a host for `key`; the host with the highest rank is the home.
fn rank(host: &str, key: &str) -> u64 {
    xxh3_64_with_seed(host.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}
