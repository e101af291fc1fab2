//! Who is there: heartbeats within a failure domain, a lagging list for the rest.
//!
//! Every entry host of a domain sends its [`Card`] to the others. The platform's list only seeds
//! the view, because it lags. A host's home role follows by rendezvous hashing from whoever
//! seems live; two hosts may see that differently for a while, and nothing unsafe follows.

use crate::Name;
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A host not heard of for this many heartbeat intervals doesn't count as live.
const MISSED: u32 = 6;
/// Heartbeats come at least this far apart.
const SHORTEST_INTERVAL: Duration = Duration::from_millis(250);
/// Each host of the domain adds this much, so that a host's traffic stays bounded.
const INTERVAL_PER_HOST: Duration = Duration::from_millis(28);
/// A host of another domain that didn't answer is passed over for this long.
const SILENCE: Duration = Duration::from_secs(2);
/// A gap between two looks at the clock that means this process was stopped.
const FROZEN: Duration = Duration::from_secs(1);

/// What a host says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Card {
    /// Its name.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Where other entry hosts reach it: IP number and port.
    pub address: Name,
    /// Grows with each start of the process.
    pub incarnation: u64,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// The revision of its settings.
    pub revision: u64,
}

#[derive(Debug, Clone)]
struct Seen {
    card: Card,
    heard: Option<Time>,
    silent_until: Time,
}

/// What changed in the view.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A host of the domain came, or came back as another incarnation.
    Joined(Name),
    /// A host of the domain is not heard of any more.
    Died(Name),
}

/// One host's view of the others.
#[derive(Debug)]
pub struct View {
    own: Card,
    others: BTreeMap<Name, Seen>,
    live: BTreeMap<Name, u64>,
    looked: Time,
    began: Time,
    seeded: bool,
    joined: bool,
}

impl View {
    /// Starts with only the host itself.
    pub fn new(own: Card, now: Time) -> View {
        View {
            own,
            others: BTreeMap::new(),
            live: BTreeMap::new(),
            looked: now,
            began: now,
            seeded: false,
            joined: false,
        }
    }

    /// Gives the host's own card.
    pub fn own(&self) -> &Card {
        &self.own
    }

    /// Changes the host's own card.
    pub fn own_mut(&mut self) -> &mut Card {
        &mut self.own
    }

    /// Gives the card of a host, if anything is known of it.
    pub fn card(&self, name: &Name) -> Option<&Card> {
        if *name == self.own.name {
            return Some(&self.own);
        }
        self.others.get(name).map(|seen| &seen.card)
    }

    /// Takes the platform's list; what peers said themselves is not overwritten.
    pub fn seed(&mut self, cards: Vec<Card>) {
        self.seeded = true;
        self.others
            .retain(|name, seen| seen.heard.is_some() || cards.iter().any(|c| c.name == *name));
        for card in cards {
            if card.name == self.own.name {
                continue;
            }
            match self.others.get_mut(&card.name) {
                Some(seen) if seen.heard.is_some() => seen.card.leaving |= card.leaving,
                Some(seen) => seen.card = card,
                None => {
                    let name = card.name.clone();
                    let seen = Seen {
                        card,
                        heard: None,
                        silent_until: Time(0),
                    };
                    self.others.insert(name, seen);
                }
            }
        }
    }

    /// Takes a heartbeat. One of an older incarnation is dropped.
    pub fn hear(&mut self, card: Card, now: Time) {
        if card.name == self.own.name {
            return;
        }
        // A seed is known by its address only, until the host there tells its name.
        self.others
            .retain(|name, seen| *name == card.name || seen.card.address != card.address);
        let seen = self
            .others
            .entry(card.name.clone())
            .or_insert_with(|| Seen {
                card: card.clone(),
                heard: None,
                silent_until: Time(0),
            });
        let direct = seen.heard.is_some();
        if direct && card.incarnation < seen.card.incarnation {
            return;
        }
        let same = card.incarnation == seen.card.incarnation;
        let leaving = card.leaving || (direct && same && seen.card.leaving);
        let revision = card.revision.max(if same { seen.card.revision } else { 0 });
        seen.card = Card {
            leaving,
            revision,
            ..card
        };
        seen.heard = Some(now);
        seen.silent_until = Time(0);
    }

    /// Notes that a host didn't answer.
    pub fn note_silent(&mut self, name: &Name, now: Time) {
        if let Some(seen) = self.others.get_mut(name) {
            seen.silent_until = now + SILENCE;
        }
    }

    /// Looks at the clock; gives the time for which this process itself was stopped, if it was.
    ///
    /// No host is blamed for its silence in that time.
    pub fn look(&mut self, now: Time) -> Option<Duration> {
        let gap = now.since(self.looked);
        self.looked = now;
        if gap <= FROZEN {
            return None;
        }
        self.forgive(gap);
        Some(gap)
    }

    /// Lets time pass and tells what changed in the own domain.
    pub fn tick(&mut self, now: Time) -> Vec<Change> {
        self.look(now);
        self.joined = self.has_joined(now);
        let present: BTreeMap<Name, u64> = self
            .live_peers(now)
            .map(|card| (card.name.clone(), card.incarnation))
            .collect();
        let mut changes = Vec::new();
        for (name, incarnation) in &present {
            if self.live.get(name) != Some(incarnation) {
                changes.push(Change::Joined(name.clone()));
            }
        }
        for name in self.live.keys().filter(|name| !present.contains_key(*name)) {
            changes.push(Change::Died(name.clone()));
        }
        self.live = present;
        changes
    }

    fn forgive(&mut self, gap: Duration) {
        for seen in self.others.values_mut() {
            seen.heard = seen.heard.map(|heard| heard + gap);
        }
    }

    /// Says whether the host has heard of every listed host of its domain, or has waited for
    /// those that can't be reached. Before that it can't know whose settings are the newest.
    /// Hosts that are listed later change nothing.
    pub fn has_joined(&self, now: Time) -> bool {
        let waited = now.since(self.began) >= self.interval() * MISSED;
        let own = &self.own.domain;
        let mut near = self.others.values().filter(|seen| seen.card.domain == *own);
        self.joined || waited || (self.seeded && near.all(|seen| seen.heard.is_some()))
    }

    /// Gives how far apart heartbeats are in a domain of this size.
    pub fn interval(&self) -> Duration {
        let hosts = self.domain_hosts() as u32;
        SHORTEST_INTERVAL.max(INTERVAL_PER_HOST * hosts)
    }

    fn domain_hosts(&self) -> usize {
        let own = &self.own.domain;
        1 + self
            .others
            .values()
            .filter(|seen| seen.card.domain == *own)
            .count()
    }

    /// Gives the other hosts of the own domain that are heard of.
    pub fn live_peers(&self, now: Time) -> impl Iterator<Item = &Card> {
        let life = self.interval() * MISSED;
        self.others
            .values()
            .filter(|seen| seen.card.domain == self.own.domain)
            .filter(move |seen| seen.heard.is_some_and(|heard| now.since(heard) < life))
            .map(|seen| &seen.card)
    }

    /// Gives how many live hosts the own domain has, this one included.
    pub fn live_count(&self, now: Time) -> usize {
        1 + self.live_peers(now).count()
    }

    /// Gives all hosts of the own domain that a heartbeat should go to, heard of or not.
    pub fn domain_peers(&self) -> impl Iterator<Item = &Card> {
        let own = &self.own.domain;
        self.others
            .values()
            .map(|seen| &seen.card)
            .filter(move |card| card.domain == *own)
    }

    /// Gives the names of the other failure domains that have hosts.
    pub fn far_domains(&self) -> Vec<Name> {
        let mut domains: Vec<Name> = self
            .others
            .values()
            .map(|seen| seen.card.domain.clone())
            .filter(|domain| *domain != self.own.domain)
            .collect();
        domains.sort();
        domains.dedup();
        domains
    }

    /// Picks the home of `key` among the live hosts of the own domain that are not leaving.
    ///
    /// A host that is the only one left is home even while it is leaving.
    pub fn home(&self, key: &str, now: Time) -> Name {
        let peers = self.live_peers(now).filter(|card| !card.leaving);
        let own = (!self.own.leaving).then_some(&self.own);
        let best = peers.chain(own).max_by_key(|card| rank(&card.name, key));
        best.unwrap_or(&self.own).name.clone()
    }

    /// Picks the home of `key` among the hosts of another domain, as far as they answer.
    pub fn far_home(&self, domain: &Name, key: &str, now: Time) -> Option<Name> {
        self.others
            .values()
            .filter(|seen| seen.card.domain == *domain && !seen.card.leaving)
            .filter(|seen| seen.silent_until <= now)
            .max_by_key(|seen| rank(&seen.card.name, key))
            .map(|seen| seen.card.name.clone())
    }

    /// Picks the home of `key` among all hosts of all domains.
    ///
    /// Hosts of the own domain count while they are heard of, others until they fail to answer.
    pub fn fleet_home(&self, key: &str, now: Time) -> Name {
        let near = self.live_peers(now).filter(|card| !card.leaving);
        let far = self
            .others
            .values()
            .filter(|seen| seen.card.domain != self.own.domain && seen.silent_until <= now)
            .map(|seen| &seen.card)
            .filter(|card| !card.leaving);
        let own = (!self.own.leaving).then_some(&self.own);
        let best = near
            .chain(far)
            .chain(own)
            .max_by_key(|card| rank(&card.name, key));
        best.unwrap_or(&self.own).name.clone()
    }

    /// Says whether this host would be home of `key` if all hosts of other domains answered, and is
    /// no mere substitute for one that can't be reached.
    pub fn is_first_home(&self, key: &str, now: Time) -> bool {
        let near = self.live_peers(now).filter(|card| !card.leaving);
        let far = self.others.values().map(|seen| &seen.card);
        let far = far.filter(|card| card.domain != self.own.domain && !card.leaving);
        let own = rank(&self.own.name, key);
        near.chain(far).all(|card| rank(&card.name, key) <= own)
    }

    /// Gives the part of the fleet's hosts that the own domain has, in thousandths.
    pub fn domain_per_mille(&self) -> u64 {
        (self.domain_hosts() * 1_000 / self.fleet_count()) as u64
    }

    /// Gives how many entry hosts the fleet has, as far as is known.
    pub fn fleet_count(&self) -> usize {
        1 + self.others.len()
    }

    /// Gives the highest settings revision that any peer has reported.
    pub fn highest_revision(&self) -> u64 {
        let others = self.others.values().filter(|seen| seen.heard.is_some());
        others.map(|seen| seen.card.revision).max().unwrap_or(0)
    }

    /// Names a live peer of the domain whose settings are newer than `revision`.
    pub fn newer_peer(&self, revision: u64, now: Time) -> Option<Name> {
        self.live_peers(now)
            .filter(|card| card.revision > revision)
            .max_by_key(|card| card.revision)
            .map(|card| card.name.clone())
    }
}

fn rank(host: &str, key: &str) -> u64 {
    xxh3_64_with_seed(host.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}
