//! The backend servers known: who lives, who leaves, who may only seem gone.
//!
//! The platform drops entries that weren't renewed, also while it was away itself. An entry missing
//! right after such a time is kept for [`GRACE`]; if it isn't back by then, the server is gone.

use crate::Name;
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// How long an entry that lapsed while the store was away may take to come back; the users say
/// about two seconds.
pub const GRACE: Duration = Duration::from_millis(2_000);

/// One backend server in one of its lifetimes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// Its identity, new with each start.
    pub id: Name,
    /// The service that it serves.
    pub service: Name,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Name,
    /// The requests that it works on at once.
    pub slots: u32,
    /// Whether it has said that it leaves.
    pub leaving: bool,
}

/// What changed about a server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// It is new or its entry says something else.
    Known(Server),
    /// Its entry is gone.
    Gone(Name),
}

/// A server that is known.
#[derive(Debug, Clone)]
struct Entry {
    server: Server,
    /// By when an entry that is missing in the store must be back.
    missing_until: Option<Time>,
}

impl Entry {
    /// Gives what the entry adds to the directory's digest: nothing where the server is leaving.
    fn digest(&self) -> u64 {
        if self.server.leaving {
            return 0;
        }
        xxh3_64(self.server.id.as_bytes())
    }
}

/// The servers, as one host knows them.
#[derive(Debug, Default)]
pub struct Directory {
    entries: BTreeMap<Name, Entry>,
    /// Until when entries may be missing in the store although their servers live.
    doubtful_until: Option<Time>,
    /// The sum of the entries' digests, kept with each change: every notice tells it.
    digest: u64,
}

impl Directory {
    /// Notes that the store gives no answer: entries that are missing from now on may have lapsed.
    pub fn store_lost(&mut self) {
        self.doubtful_until = Some(Time::NEVER);
    }

    /// Notes that the store answers again after a time without contact; `lapsed` says whether it was
    /// away for so long that entries may have lapsed meanwhile.
    pub fn store_returned(&mut self, now: Time, lapsed: bool) {
        if !lapsed {
            self.doubtful_until = None;
            return;
        }
        let until = now + GRACE;
        self.doubtful_until = Some(until);
        for entry in self.entries.values_mut() {
            entry.missing_until = entry.missing_until.map(|_| until);
        }
    }

    /// Notes on a peer's word that entries may be missing for a while although their servers live.
    pub fn doubt(&mut self, until: Time) {
        self.doubtful_until = self.doubtful_until.max(Some(until));
    }

    /// Gives how much longer entries may be missing although their servers live.
    pub fn doubt_left(&self, now: Time) -> Duration {
        let until = self.doubtful_until.filter(|until| *until != Time::NEVER);
        until.map_or(Duration::ZERO, |until| until.left(now))
    }

    /// Takes the whole list, as of `now`.
    pub fn replace(&mut self, servers: Vec<Server>, now: Time) {
        let fresh: BTreeMap<Name, Server> =
            servers.into_iter().map(|s| (s.id.clone(), s)).collect();
        let missing: Vec<Name> = self
            .entries
            .keys()
            .filter(|id| !fresh.contains_key(*id))
            .cloned()
            .collect();
        for id in missing {
            self.lose(&id, now);
        }
        for server in fresh.into_values() {
            self.learn(server);
        }
    }

    /// Takes one change.
    pub fn apply(&mut self, change: Change, now: Time) {
        match change {
            Change::Known(server) => self.learn(server),
            Change::Gone(id) => self.lose(&id, now),
        }
    }

    /// Drops the servers whose time to come back has passed; says whether any was dropped.
    pub fn expire(&mut self, now: Time) -> bool {
        let is_over = |entry: &Entry| entry.missing_until.is_some_and(|until| until <= now);
        let over = self.entries.values().filter(|entry| is_over(entry));
        let over: Vec<Name> = over.map(|entry| entry.server.id.clone()).collect();
        over.iter().for_each(|id| self.remove(id));
        !over.is_empty()
    }

    /// Marks a server as leaving on a peer's word.
    pub fn mark_leaving(&mut self, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            let before = entry.digest();
            entry.server.leaving = true;
            self.digest = self.digest.wrapping_sub(before);
        }
    }

    /// Lists the ids of the servers that are leaving.
    pub fn leaving(&self) -> Vec<Name> {
        let leaving = self.entries.values().filter(|e| e.server.leaving);
        leaving.map(|entry| entry.server.id.clone()).collect()
    }

    /// Gives a digest of the servers that new work may go to; the same for every host that knows the same.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Gives a server that new work may go to.
    pub fn get(&self, id: &str) -> Option<&Server> {
        let entry = self.entries.get(id)?;
        (!entry.server.leaving).then_some(&entry.server)
    }

    /// Gives the server that is reached at an address; of several, one that isn't leaving.
    pub fn at(&self, address: SocketAddr) -> Option<&Server> {
        let servers = self.entries.values().map(|entry| &entry.server);
        servers
            .filter(|server| server.address == address)
            .min_by_key(|server| server.leaving)
    }

    /// Lists the servers of a service that new work may go to, in the order of their ids.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Server> {
        self.entries
            .values()
            .map(|entry| &entry.server)
            .filter(move |server| !server.leaving && &*server.service == service)
    }

    /// Gives the number of servers known.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Says whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Takes a server's entry.
    fn learn(&mut self, server: Server) {
        // A server that once said that it leaves doesn't come back under the same identity.
        let left = self
            .entries
            .get(&server.id)
            .is_some_and(|old| old.server.leaving);
        let server = Server {
            leaving: server.leaving || left,
            ..server
        };
        let entry = Entry {
            server,
            missing_until: None,
        };
        self.remove(&entry.server.id);
        self.digest = self.digest.wrapping_add(entry.digest());
        self.entries.insert(entry.server.id.clone(), entry);
    }

    fn remove(&mut self, id: &str) {
        if let Some(entry) = self.entries.remove(id) {
            self.digest = self.digest.wrapping_sub(entry.digest());
        }
    }

    /// Takes that a server's entry is gone; the server is kept for a while where the entry may come back.
    fn lose(&mut self, id: &str, now: Time) {
        let doubtful_until = self.doubtful_until.filter(|until| *until > now);
        match doubtful_until {
            None => self.remove(id),
            Some(until) => {
                if let Some(entry) = self.entries.get_mut(id) {
                    entry.missing_until.get_or_insert(until);
                }
            }
        }
    }
}
