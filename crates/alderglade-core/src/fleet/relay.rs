//! Decides which hosts query the store: a few hosts of each failure domain watch it, the others rely on these watchers.
//!
//! Calls to the store are limited and priced, and nearly all of them would return the same to every host.
//! Correctness doesn't depend on the watchers alone: a host that hears from too few of them becomes one, and a
//! host whose state differs from theirs or grows stale queries the store itself.

use super::group::Division;
use crate::Name;
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Hosts per failure domain that watch the store. With two of them, one may fail without a gap.
pub const WATCHERS_PER_DOMAIN: usize = 2;
/// How long a new host listens for others before it takes a role: two heartbeats of watchers, which are sent every
/// 250 ms, and time for the store to list the hosts.
pub const ROLE_DELAY: Duration = Duration::from_millis(700);
/// How long a host waits for the store's list of hosts before it starts to listen without one.
const HOST_LIST_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Delay between hosts that step in one after the other while there are too few watchers; one heartbeat.
const STEP_IN_DELAY: Duration = Duration::from_millis(250);
/// Hosts that step in at the short delay. If they get no answer either, the store is probably unavailable to all
/// hosts, and more calls don't help.
const MAX_EARLY_HOSTS: usize = 2;
/// Delay between the hosts that step in after [`MAX_EARLY_HOSTS`] others.
const LATE_STEP_IN_DELAY: Duration = Duration::from_millis(1_500);
/// How long the known servers may differ from a watcher's before the store is queried. The watcher's own
/// message about the change arrives first.
const SERVER_MISMATCH_DELAY: Duration = Duration::from_millis(150);
/// Minimum time between two calls of a follower about servers.
const SERVERS_FETCH_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time between two calls of a follower about the same version of the configuration.
const CONFIG_FETCH_INTERVAL: Duration = Duration::from_millis(1_000);
/// Minimum time between two calls of a follower whose state is stale. An update from the watchers arrives sooner
/// if they have one.
const STALE_FETCH_INTERVAL: Duration = Duration::from_millis(2_500);
/// Fraction of the bound for revoked keys after which the store's state counts as stale.
const STALE_FRACTION: f64 = 0.72;
/// Bound for revoked keys if the deployment sets none.
const DEFAULT_KEY_BOUND: Duration = Duration::from_millis(5_000);

/// What a host reports of the store in each of its notices.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreStatus {
    /// Whether it watches the store, and the store answers.
    pub in_contact: bool,
    /// The version of its configuration, or `0` if it has none.
    pub config: u64,
    /// The digest of the backend servers that it knows.
    pub servers: u64,
    /// The latest era of the store that it knows.
    pub era: u64,
    /// How much longer entries may be missing from the store although their servers are alive, in
    /// milliseconds.
    pub grace_ms: u32,
    /// The number of hosts that it knows.
    pub hosts: u32,
}

/// A host from which a notice was received recently.
#[derive(Debug, Clone, Copy)]
pub struct Neighbour<'a> {
    /// Its name.
    pub name: &'a Name,
    /// Its failure domain.
    pub domain: &'a Name,
    /// Whether it is in the deciding host's failure domain.
    pub same_domain: bool,
    /// The store status that it reports.
    pub store: StoreStatus,
}

/// The deciding host's own state, which is compared with the reports of its neighbours.
#[derive(Debug, Clone, Copy)]
pub struct LocalStatus<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its failure domain.
    pub domain: &'a str,
    /// The division of the hosts into groups.
    pub division: Division,
    /// The version of its configuration, or `0` if it has none.
    pub config: u64,
    /// The digest of the backend servers that it knows.
    pub servers: u64,
    /// The age of its store state, if it has one.
    pub store_age: Option<Duration>,
    /// The time within which a revoked key must be refused.
    pub revocation_bound: Option<Duration>,
    /// Whether its last call to the store failed.
    pub last_call_failed: bool,
    /// Whether the store has listed the hosts. From then on they receive this host's notices.
    pub hosts_listed: bool,
    /// Whether the host has the proxy keys of all live hosts.
    pub knows_proxy_keys: bool,
}

impl LocalStatus<'_> {
    /// Returns the position of a host in the order in which the hosts of its failure domain watch the store. Groups are
    /// ordered first, then the names in each group.
    fn rank<'a>(&self, host: &'a str) -> (u32, &'a str) {
        (self.division.precedence(self.domain, host), host)
    }

    /// Returns the hosts of which one is asked at this heartbeat for the age of its store state: the watchers of the
    /// own failure domain if one of them is in the own group. Otherwise the first two hosts of the group ask the
    /// watchers, and the others ask these two, so that a watcher isn't asked by all hosts of a large domain.
    pub fn confirmation_sources<'a>(
        &self,
        neighbours: &[Neighbour<'a>],
        beat: u64,
    ) -> Vec<&'a Name> {
        /// Heartbeats from one request to a watcher of the own group to the next.
        const WATCHER_INTERVAL_BEATS: u64 = 3;
        /// Heartbeats from one request to a senior host, which itself asks a watcher at each heartbeat, to the next.
        const SENIOR_INTERVAL_BEATS: u64 = 2;
        let (precedence, name) = self.rank(self.name);
        let same_domain = neighbours.iter().filter(|host| host.same_domain);
        let (own_group, other_groups): (Vec<&Neighbour<'a>>, Vec<_>) =
            same_domain.partition(|host| self.rank(host.name).0 == precedence);
        let watchers = |hosts: &[&Neighbour<'a>]| -> Vec<&'a Name> {
            let watchers = hosts.iter().filter(|host| host.store.in_contact);
            watchers.map(|host| host.name).collect()
        };
        let group_watchers = watchers(&own_group);
        let seniors = own_group.iter().map(|host| host.name);
        let mut seniors: Vec<&'a Name> = seniors.filter(|host| ***host < *name).collect();
        seniors.sort_unstable();
        let (mut sources, interval_beats) =
            if !group_watchers.is_empty() || self.division.is_single() {
                (group_watchers, WATCHER_INTERVAL_BEATS)
            } else if seniors.len() < WATCHERS_PER_DOMAIN {
                (watchers(&other_groups), 1)
            } else {
                seniors.truncate(WATCHERS_PER_DOMAIN);
                (seniors, SENIOR_INTERVAL_BEATS)
            };
        if !beat.is_multiple_of(interval_beats) {
            sources.clear();
        }
        sources
    }

    /// Returns whether the host can't rely on the watchers: its state is stale, or its last call to the store failed.
    fn needs_store(&self) -> bool {
        self.last_call_failed
            || exceeds_bound(self.store_age, self.revocation_bound, STALE_FRACTION)
    }
}

/// A part of the store's state that is queried on its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Topic {
    /// The configuration.
    Config,
    /// The backend servers.
    Servers,
    /// The entry hosts.
    Hosts,
    /// The requests that are no longer sent to any server.
    Quarantine,
    /// The failure domains whose servers get nothing new.
    Evacuations,
}

/// How the store is queried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreQuery {
    /// With a watch that waits for the next change.
    Watch,
    /// With a call that is answered at once, after this delay.
    Fetch(Duration),
}

/// Whether a host watches the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Role {
    /// Not decided yet.
    #[default]
    Unsettled,
    /// It watches the store.
    Watcher,
    /// It relies on the watchers' reports.
    Follower,
}

impl Role {
    /// Returns the name of the role in logs.
    pub fn label(self) -> &'static str {
        match self {
            Role::Unsettled => "unsettled",
            Role::Watcher => "watcher",
            Role::Follower => "follower",
        }
    }
}

/// The role of one host, and its recent queries of the store.
#[derive(Debug, Default)]
pub struct Relay {
    /// When the role was first to be decided.
    first_decision: Option<Time>,
    /// When the host began to listen for others.
    listening_since: Option<Time>,
    /// Whether the host watches the store.
    role: Role,
    /// Since when there have been too few watchers.
    too_few_since: Option<Time>,
    /// Since when the servers have differed from a watcher's.
    mismatch_since: Option<Time>,
    /// When the store was last queried outside of watches for the configuration.
    last_fetch: Option<Time>,
    /// When it was last queried outside of watches for the servers.
    last_servers_fetch: Option<Time>,
    /// When it was last queried outside of watches for the evacuations.
    last_evacuations_fetch: Option<Time>,
    /// Since when keys of live hosts are missing.
    keys_missing_since: Option<Time>,
    /// When the store was last queried outside of watches for the entries of hosts.
    last_hosts_fetch: Option<Time>,
    /// The newer configuration version for which the store was last queried, and when.
    last_config_fetch: Option<(u64, Time)>,
}

impl Relay {
    /// Returns the role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Decides the role again from the hosts heard recently. The host watches if fewer than [`WATCHERS_PER_DOMAIN`]
    /// hosts that precede it in its failure domain do, and steps in later the more hosts precede it. Only the
    /// watchers of another group are heard, so that [`WATCHERS_PER_DOMAIN`] hosts are assumed for each group that
    /// precedes the own.
    pub fn decide_role(
        &mut self,
        own: &LocalStatus<'_>,
        neighbours: &[Neighbour<'_>],
        now: Time,
    ) -> Role {
        let first_decision = *self.first_decision.get_or_insert(now);
        if !own.hosts_listed && now.since(first_decision) < HOST_LIST_TIMEOUT {
            return self.role;
        }
        let listening_since = *self.listening_since.get_or_insert(now);
        if now.since(listening_since) < ROLE_DELAY {
            return self.role;
        }
        let (precedence, name) = own.rank(own.name);
        let same_domain = neighbours.iter().filter(|host| host.same_domain);
        let ranked = same_domain.map(|host| (own.rank(host.name), host.store.in_contact));
        let seniors_of_domain = ranked.filter(|(rank, _)| *rank < (precedence, name));
        let watchers = seniors_of_domain
            .clone()
            .filter(|(_, watches)| *watches)
            .count();
        let group_seniors = seniors_of_domain
            .filter(|((group, _), _)| *group == precedence)
            .count();
        let senior_count = group_seniors + WATCHERS_PER_DOMAIN * precedence as usize;
        if watchers >= WATCHERS_PER_DOMAIN {
            self.too_few_since = None;
            self.role = Role::Follower;
            return self.role;
        }
        let since = *self.too_few_since.get_or_insert(now);
        if senior_count < WATCHERS_PER_DOMAIN || now.since(since) >= step_in_delay(senior_count) {
            self.role = Role::Watcher;
        } else if self.role == Role::Unsettled {
            self.role = Role::Follower;
        }
        self.role
    }

    /// Returns whether and how the store should be queried for a topic now. `random`, from `0.0` to `1.0`, spreads the
    /// calls of many hosts.
    pub fn next_query(
        &mut self,
        topic: Topic,
        own: &LocalStatus<'_>,
        neighbours: &[Neighbour<'_>],
        random: f64,
        now: Time,
    ) -> Option<StoreQuery> {
        match self.decide_role(own, neighbours, now) {
            Role::Unsettled => return None,
            Role::Watcher => return Some(StoreQuery::Watch),
            Role::Follower => {}
        }
        let spread = match topic {
            Topic::Config => self.config_due(own, neighbours, now),
            Topic::Servers => self.servers_due(own, neighbours, now),
            Topic::Evacuations => self.evacuations_due(own, now),
            Topic::Hosts => self.hosts_due(own, now),
            Topic::Quarantine => None,
        };
        spread.map(|spread| StoreQuery::Fetch(spread.mul_f64(random)))
    }

    /// Returns the time over which the hosts' calls for the configuration are spread, if one is due.
    fn config_due(
        &mut self,
        own: &LocalStatus<'_>,
        neighbours: &[Neighbour<'_>],
        now: Time,
    ) -> Option<Duration> {
        /// Small compared with the seconds within which a configuration must be in force, but long enough for the
        /// watchers' message with the changes to arrive first.
        const SPREAD: Duration = Duration::from_millis(150);
        let newest = newest_config(neighbours).filter(|version| *version > own.config);
        if let Some(version) = newest
            && self.try_begin_config_fetch(version, now)
        {
            return Some(SPREAD);
        }
        let is_due =
            own.needs_store() && try_begin_fetch(&mut self.last_fetch, STALE_FETCH_INTERVAL, now);
        is_due.then_some(SPREAD)
    }

    /// Returns the time over which the hosts' calls for the evacuations are spread, if one is due. Watchers publish
    /// every evacuation, so that only a host that doesn't receive their notices has to query the store.
    fn evacuations_due(&mut self, own: &LocalStatus<'_>, now: Time) -> Option<Duration> {
        /// Small compared with the seconds within which an evacuation must be in force.
        const SPREAD: Duration = Duration::from_millis(200);
        let is_due = own.needs_store()
            && try_begin_fetch(&mut self.last_evacuations_fetch, STALE_FETCH_INTERVAL, now);
        is_due.then_some(SPREAD)
    }

    /// Returns the time over which the hosts' calls for the entries of hosts are spread, if one is due: keys of live hosts
    /// are missing, and no watcher has sent them.
    fn hosts_due(&mut self, own: &LocalStatus<'_>, now: Time) -> Option<Duration> {
        /// Nothing depends on the keys of single hosts.
        const SPREAD: Duration = Duration::from_millis(2_000);
        /// Long enough for the watchers' message to arrive first.
        const MISSING_TIME: Duration = Duration::from_millis(3_000);
        /// An entry of an earlier version has no key, so that the calls may be in vain.
        const FETCH_INTERVAL: Duration = Duration::from_secs(30);
        if own.knows_proxy_keys {
            self.keys_missing_since = None;
            return None;
        }
        let since = *self.keys_missing_since.get_or_insert(now);
        let is_due = now.since(since) >= MISSING_TIME
            && try_begin_fetch(&mut self.last_hosts_fetch, FETCH_INTERVAL, now);
        is_due.then_some(SPREAD)
    }

    /// Returns the time over which the hosts' calls for the servers are spread, if one is due.
    fn servers_due(
        &mut self,
        own: &LocalStatus<'_>,
        neighbours: &[Neighbour<'_>],
        now: Time,
    ) -> Option<Duration> {
        /// Small compared with the seconds within which a leaving server must stop receiving work.
        const SPREAD: Duration = Duration::from_millis(100);
        let differs = differs_from_watchers(own, neighbours);
        let is_due = self.try_begin_servers_fetch(differs, SERVERS_FETCH_INTERVAL, now);
        is_due.then_some(SPREAD)
    }

    /// Returns whether one call may be made because the known servers differ from those of watchers, and records it.
    fn try_begin_servers_fetch(&mut self, differs: bool, interval: Duration, now: Time) -> bool {
        if !differs {
            self.mismatch_since = None;
            return false;
        }
        let since = *self.mismatch_since.get_or_insert(now);
        now.since(since) >= SERVER_MISMATCH_DELAY
            && try_begin_fetch(&mut self.last_servers_fetch, interval, now)
    }

    /// Returns whether one call may be made for a configuration that a watcher has, and records it. The store itself
    /// may lack this version if it was restored from an older copy, so that the calls have to be limited.
    fn try_begin_config_fetch(&mut self, version: u64, now: Time) -> bool {
        let fetched_recently = self.last_config_fetch.is_some_and(|(fetched, at)| {
            fetched == version && now.since(at) < CONFIG_FETCH_INTERVAL
        });
        if !fetched_recently {
            self.last_config_fetch = Some((version, now));
        }
        !fetched_recently
    }

    /// Returns whether a host that watches the store should make its calls again because it knows other servers than most
    /// watchers, and records that it does.
    pub fn must_watch_again(
        &mut self,
        own: &LocalStatus<'_>,
        neighbours: &[Neighbour<'_>],
        now: Time,
    ) -> bool {
        /// Minimum time between two such repetitions.
        const INTERVAL: Duration = Duration::from_millis(1_000);
        let differs = differs_from_most_watchers(own, neighbours);
        self.role == Role::Watcher && self.try_begin_servers_fetch(differs, INTERVAL, now)
    }

    /// Returns whether the host's store state is so old that it should ask every watcher to confirm it.
    pub fn is_stale(age: Option<Duration>, bound: Option<Duration>) -> bool {
        /// Below `1.0`, so that watchers are asked before the store itself is queried.
        const CONFIRMATION_FACTOR: f64 = 0.75;
        exceeds_bound(age, bound, STALE_FRACTION * CONFIRMATION_FACTOR)
    }
}

/// Returns whether one call outside of watches may be made, and records it if so.
fn try_begin_fetch(last: &mut Option<Time>, interval: Duration, now: Time) -> bool {
    let is_due = last.is_none_or(|at| now.since(at) >= interval);
    if is_due {
        *last = Some(now);
    }
    is_due
}

/// Returns whether a store state is older than a fraction of the bound for revoked keys, or there is none.
fn exceeds_bound(age: Option<Duration>, bound: Option<Duration>, fraction: f64) -> bool {
    let bound = bound.unwrap_or(DEFAULT_KEY_BOUND);
    age.is_none_or(|age| age > bound.mul_f64(fraction))
}

/// Returns the hosts that watch the store and are in contact with it.
fn watchers<'a, 'b>(
    neighbours: &'a [Neighbour<'b>],
) -> impl Iterator<Item = &'a Neighbour<'b>> + Clone {
    neighbours.iter().filter(|host| host.store.in_contact)
}

/// Returns whether a host's servers differ from those of a watcher of its failure domain, or of most watchers. The former may
/// be cut off from the store without knowing yet.
fn differs_from_watchers(own: &LocalStatus<'_>, neighbours: &[Neighbour<'_>]) -> bool {
    let mut same_domain = watchers(neighbours).filter(|host| host.same_domain);
    same_domain.any(|host| host.store.servers != own.servers)
        || differs_from_most_watchers(own, neighbours)
}

/// Returns whether a host's servers differ from those of more than half of the watchers.
fn differs_from_most_watchers(own: &LocalStatus<'_>, neighbours: &[Neighbour<'_>]) -> bool {
    let differing = watchers(neighbours).filter(|host| host.store.servers != own.servers);
    2 * differing.count() > watchers(neighbours).count()
}

/// Returns how much longer entries of servers may be missing from the store although their servers are alive, for a host
/// that doesn't watch the store. `reported` is what a watcher reports with a removal, if one does. All watchers that are
/// in contact must agree, because one that was cut off by itself takes that for an outage of the store.
pub fn told_grace(reported: Option<Duration>, neighbours: &[Neighbour<'_>]) -> Duration {
    let grace =
        watchers(neighbours).map(|host| Duration::from_millis(u64::from(host.store.grace_ms)));
    grace.chain(reported).min().unwrap_or_default()
}

/// Returns whether a watcher has a newer configuration.
pub fn is_behind(own: &LocalStatus<'_>, neighbours: &[Neighbour<'_>]) -> bool {
    newest_config(neighbours).is_some_and(|version| version > own.config)
}

/// Returns the newest configuration version that a watcher has.
fn newest_config(neighbours: &[Neighbour<'_>]) -> Option<u64> {
    watchers(neighbours).map(|host| host.store.config).max()
}

/// Returns how long there must have been too few watchers before a host steps in that `senior_count` hosts precede.
fn step_in_delay(senior_count: usize) -> Duration {
    let position = (senior_count + 1).saturating_sub(WATCHERS_PER_DOMAIN);
    let early = position.min(MAX_EARLY_HOSTS) as u32;
    let late = position.saturating_sub(MAX_EARLY_HOSTS) as u32;
    STEP_IN_DELAY * early + LATE_STEP_IN_DELAY * late
}
