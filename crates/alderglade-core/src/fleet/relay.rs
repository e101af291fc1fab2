//! Who asks the store: a few hosts of each failure domain watch it, the others go by what these tell.
//!
//! Calls to the store are limited and priced, and nearly all of them would tell every host the same.
//! Nothing rests on the watchers alone: a host that hears too few of them becomes one, and a host
//! whose knowledge differs or grows old asks the store itself.

use super::group::Division;
use crate::Name;
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Hosts of a failure domain that watch the store, so that one may be lost unnoticed.
pub const WATCHERS_PER_DOMAIN: usize = 2;
/// How long a new host listens for others before it takes a role: two heartbeats of watchers, which come every
/// 250 ms, and time for the store to list the hosts.
pub const ROLE_DELAY: Duration = Duration::from_millis(700);
/// How long a host that the store gives no list of hosts waits for it before it listens without.
const UNLISTED: Duration = Duration::from_millis(2_000);
/// How much later the next host steps in while there are too few watchers; a heartbeat.
const STEP_IN: Duration = Duration::from_millis(250);
/// Hosts that step in so soon. Where they get no answer either, the store is probably away for all, and
/// more calls help nobody.
const SOON: usize = 2;
/// How much later each of the others steps in.
const STEP_IN_LATE: Duration = Duration::from_millis(1_500);
/// How long servers may differ from a watcher's before the store is asked; the watcher's own message
/// about the change comes first.
const DIFFERENT: Duration = Duration::from_millis(300);
/// The time between two calls about servers of a host that doesn't watch.
const AGAIN: Duration = Duration::from_millis(1_000);
/// The time between two calls of a host that doesn't watch and whose word is old; the watchers' word
/// comes sooner where they have one.
const AGAIN_OLD: Duration = Duration::from_millis(2_500);
/// The part of the bound for keys after which the store's word counts as old.
const OLD: f64 = 0.72;
/// The bound where the deployment sets none.
const NO_BOUND: Duration = Duration::from_millis(5_000);

/// What a host tells of the store in each of its notices.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreStatus {
    /// Whether it watches the store, and the store answers.
    pub in_contact: bool,
    /// The version of its configuration; `0` where it has none.
    pub config: u64,
    /// The digest of the backend servers that it knows.
    pub servers: u64,
    /// The store's latest era that it knows of.
    pub era: u64,
    /// How much longer entries may be missing in the store although their servers live, in
    /// milliseconds.
    pub grace_ms: u32,
    /// How many hosts it knows that there are.
    pub hosts: u32,
}

/// A host that was heard of lately.
#[derive(Debug, Clone, Copy)]
pub struct Neighbour<'a> {
    /// Its name.
    pub name: &'a Name,
    /// Its failure domain.
    pub domain: &'a Name,
    /// Whether it is of the own failure domain.
    pub same_domain: bool,
    /// What it tells.
    pub store: StoreStatus,
}

/// What the deciding host knows itself, to be held against what its neighbours tell.
#[derive(Debug, Clone, Copy)]
pub struct LocalStatus<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its failure domain.
    pub domain: &'a str,
    /// Into how many groups the hosts are divided.
    pub division: Division,
    /// The version of its configuration; `0` where it has none.
    pub config: u64,
    /// The digest of the backend servers that it knows.
    pub servers: u64,
    /// How old its word of the store is.
    pub age: Option<Duration>,
    /// Within which time a key that was taken away must be refused.
    pub bound: Option<Duration>,
    /// Whether its last call to the store failed.
    pub lost: bool,
    /// Whether the store has listed the hosts, which hear of this one then.
    pub listed: bool,
}

impl LocalStatus<'_> {
    /// Gives the place of a host in the order in which the hosts of its failure domain watch the store: those of one group after
    /// those of another, and by their names in each.
    fn place<'a>(&self, host: &'a str) -> (u32, &'a str) {
        (self.division.precedence(self.domain, host), host)
    }

    /// Lists the hosts one of which is asked at a heartbeat how old its word of the store is: the watchers of the own failure
    /// domain, where one of them is of the own group. Else two hosts of the group ask them, and the others ask these two, so that
    /// a watcher isn't asked by all hosts of a large domain.
    pub fn confirmation_sources<'a>(&self, heard: &[Neighbour<'a>], beat: u64) -> Vec<&'a Name> {
        /// Heartbeats between two questions to a watcher of the own group.
        const WATCHER_EVERY: u64 = 3;
        /// Heartbeats between two questions to a host that asks a watcher at each of its own.
        const SENIOR_EVERY: u64 = 2;
        let (turn, name) = self.place(self.name);
        let near = heard.iter().filter(|host| host.same_domain);
        let (group, others): (Vec<&Neighbour<'a>>, Vec<_>) =
            near.partition(|host| self.place(host.name).0 == turn);
        let watchers = |hosts: &[&Neighbour<'a>]| -> Vec<&'a Name> {
            let watchers = hosts.iter().filter(|host| host.store.in_contact);
            watchers.map(|host| host.name).collect()
        };
        let of_group = watchers(&group);
        let seniors = group.iter().map(|host| host.name);
        let mut seniors: Vec<&'a Name> = seniors.filter(|host| ***host < *name).collect();
        seniors.sort_unstable();
        let (mut sources, every) = if !of_group.is_empty() || self.division.is_single() {
            (of_group, WATCHER_EVERY)
        } else if seniors.len() < WATCHERS_PER_DOMAIN {
            (watchers(&others), 1)
        } else {
            seniors.truncate(WATCHERS_PER_DOMAIN);
            (seniors, SENIOR_EVERY)
        };
        if !beat.is_multiple_of(every) {
            sources.clear();
        }
        sources
    }

    /// Says whether the host can't go by the watchers' word: it is old, or the store gave no answer.
    fn is_in_doubt(&self) -> bool {
        self.lost || is_older(self.age, self.bound, OLD)
    }
}

/// What the store is asked about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Topic {
    /// The configuration.
    Config,
    /// The backend servers.
    Servers,
    /// The entry hosts.
    Hosts,
    /// The requests that are sent to no server any more.
    Quarantine,
    /// The failure domains to whose servers nothing new is sent.
    Evacuations,
}

/// How the store is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreQuery {
    /// By a watch that waits for the next change.
    Watch,
    /// By a call that is answered at once, after this time.
    Fetch(Duration),
}

/// Whether a host watches the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Role {
    /// Not decided yet.
    #[default]
    Unsettled,
    /// It watches.
    Watcher,
    /// It goes by the watchers' word.
    Follower,
}

impl Role {
    /// Gives the name of the role in logs.
    pub fn label(self) -> &'static str {
        match self {
            Role::Unsettled => "unsettled",
            Role::Watcher => "watcher",
            Role::Follower => "follower",
        }
    }
}

/// The role of one host, and what it has asked.
#[derive(Debug, Default)]
pub struct Relay {
    /// When it first looked for others.
    first: Option<Time>,
    /// When it began to listen for them.
    began: Option<Time>,
    /// Whether the host watches the store.
    role: Role,
    /// Since when there have been too few watchers.
    lacking_since: Option<Time>,
    /// Since when the servers have differed from a watcher's.
    different_since: Option<Time>,
    /// When the store was last asked outside of watches.
    fetched: Option<Time>,
    /// When it was last asked so for the evacuations.
    fetched_evacuations: Option<Time>,
    /// The newer version of the configuration for which it was last asked, and when.
    fetched_config: Option<(u64, Time)>,
}

impl Relay {
    /// Gives the role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Decides the role anew from the hosts heard of. Some of the own failure domain come before this one: it watches where fewer
    /// than [`WATCHERS_PER_DOMAIN`] of them do, and steps in the later the more they are. Of another group, only hosts that watch are heard;
    /// as many of each are taken to be there.
    pub fn decide_role(
        &mut self,
        own: &LocalStatus<'_>,
        heard: &[Neighbour<'_>],
        now: Time,
    ) -> Role {
        let first = *self.first.get_or_insert(now);
        if !own.listed && now.since(first) < UNLISTED {
            return self.role;
        }
        let began = *self.began.get_or_insert(now);
        if now.since(began) < ROLE_DELAY {
            return self.role;
        }
        let (turn, name) = own.place(own.name);
        let near = heard.iter().filter(|host| host.same_domain);
        let places = near.map(|host| (own.place(host.name), host.store.in_contact));
        let senior = places.filter(|(place, _)| *place < (turn, name));
        let watchers = senior.clone().filter(|(_, watches)| *watches).count();
        let of_group = senior.filter(|((other, _), _)| *other == turn).count();
        let before = of_group + WATCHERS_PER_DOMAIN * turn as usize;
        if watchers >= WATCHERS_PER_DOMAIN {
            self.lacking_since = None;
            self.role = Role::Follower;
            return self.role;
        }
        let since = *self.lacking_since.get_or_insert(now);
        if before < WATCHERS_PER_DOMAIN || now.since(since) >= step_in(before) {
            self.role = Role::Watcher;
        } else if self.role == Role::Unsettled {
            self.role = Role::Follower;
        }
        self.role
    }

    /// Says whether and how the store should be asked about a topic now. `chance`, from `0.0` to `1.0`,
    /// spreads the calls of many hosts.
    pub fn next_query(
        &mut self,
        topic: Topic,
        own: &LocalStatus<'_>,
        heard: &[Neighbour<'_>],
        chance: f64,
        now: Time,
    ) -> Option<StoreQuery> {
        match self.decide_role(own, heard, now) {
            Role::Unsettled => return None,
            Role::Watcher => return Some(StoreQuery::Watch),
            Role::Follower => {}
        }
        let spread = match topic {
            Topic::Config => self.config_due(own, heard, now),
            Topic::Servers => self.servers_due(own, heard, now),
            Topic::Evacuations => self.evacuations_due(own, now),
            Topic::Hosts | Topic::Quarantine => None,
        };
        spread.map(|spread| StoreQuery::Fetch(spread.mul_f64(chance)))
    }

    /// Gives the time over which the hosts' calls for the configuration are spread, if one is due.
    fn config_due(
        &mut self,
        own: &LocalStatus<'_>,
        heard: &[Neighbour<'_>],
        now: Time,
    ) -> Option<Duration> {
        /// Small beside the seconds within which a configuration must be in force; long enough for the
        /// watchers' message about what has changed to come first.
        const SPREAD: Duration = Duration::from_millis(150);
        let newest = newest_config(heard).filter(|version| *version > own.config);
        if let Some(version) = newest
            && self.may_fetch_config(version, now)
        {
            return Some(SPREAD);
        }
        let due = own.is_in_doubt() && may_fetch(&mut self.fetched, AGAIN_OLD, now);
        due.then_some(SPREAD)
    }

    /// Gives the time over which the hosts' calls for the evacuations are spread, if one is due: watchers tell of each, so that
    /// only a host that doesn't hear of them asks.
    fn evacuations_due(&mut self, own: &LocalStatus<'_>, now: Time) -> Option<Duration> {
        /// Small beside the seconds within which an evacuation must be in force.
        const SPREAD: Duration = Duration::from_millis(200);
        let due = own.is_in_doubt() && may_fetch(&mut self.fetched_evacuations, AGAIN_OLD, now);
        due.then_some(SPREAD)
    }

    /// Gives the time over which the hosts' calls for the servers are spread, if one is due.
    fn servers_due(
        &mut self,
        own: &LocalStatus<'_>,
        heard: &[Neighbour<'_>],
        now: Time,
    ) -> Option<Duration> {
        /// Small beside the seconds within which a leaving server must get nothing more.
        const SPREAD: Duration = Duration::from_millis(200);
        let mut watchers = heard
            .iter()
            .filter(|host| host.same_domain && host.store.in_contact);
        if !watchers.any(|host| host.store.servers != own.servers) {
            self.different_since = None;
            return None;
        }
        let since = *self.different_since.get_or_insert(now);
        let due = now.since(since) >= DIFFERENT && may_fetch(&mut self.fetched, AGAIN, now);
        due.then_some(SPREAD)
    }

    /// Takes the right to one call for a configuration that a watcher has: the store may not have it, where it has come back
    /// from a copy of before.
    fn may_fetch_config(&mut self, version: u64, now: Time) -> bool {
        let lately = self
            .fetched_config
            .is_some_and(|(fetched, at)| fetched == version && now.since(at) < AGAIN);
        if !lately {
            self.fetched_config = Some((version, now));
        }
        !lately
    }

    /// Says whether the host's word of the store is so old that it should ask every watcher.
    pub fn is_stale(age: Option<Duration>, bound: Option<Duration>) -> bool {
        /// Below the age at which the store itself is asked.
        const EARLIER: f64 = 0.75;
        is_older(age, bound, OLD * EARLIER)
    }
}

/// Takes the right to one call outside of watches, if the last one is long enough ago.
fn may_fetch(last: &mut Option<Time>, pause: Duration, now: Time) -> bool {
    let may = last.is_none_or(|at| now.since(at) >= pause);
    if may {
        *last = Some(now);
    }
    may
}

/// Says whether a word of the store is older than a part of the bound for keys, or there is none.
fn is_older(age: Option<Duration>, bound: Option<Duration>, part: f64) -> bool {
    let bound = bound.unwrap_or(NO_BOUND);
    age.is_none_or(|age| age > bound.mul_f64(part))
}

/// Says whether a watcher has a newer configuration.
pub fn is_behind(own: &LocalStatus<'_>, heard: &[Neighbour<'_>]) -> bool {
    newest_config(heard).is_some_and(|version| version > own.config)
}

/// Gives the version of the newest configuration that a watcher has.
fn newest_config(heard: &[Neighbour<'_>]) -> Option<u64> {
    let watchers = heard.iter().filter(|host| host.store.in_contact);
    watchers.map(|host| host.store.config).max()
}

/// Gives how long there must have been too few watchers before a host steps in that has so many hosts
/// before it.
fn step_in(before: usize) -> Duration {
    let place = (before + 1).saturating_sub(WATCHERS_PER_DOMAIN);
    let soon = place.min(SOON) as u32;
    let late = place.saturating_sub(SOON) as u32;
    STEP_IN * soon + STEP_IN_LATE * late
}
