//! The backend servers known: who lives, who leaves, who may only seem gone.
//!
//! The platform drops entries that weren't renewed, also while it was away itself. An entry missing
//! right after such a time is kept for [`GRACE`]; if it isn't back by then, the server is gone.
//!
//! A server may start again under its id. The newest incarnation known counts: what is said of an older one changes
//! nothing, and that an older one was leaving doesn't concern the new one.
//!
//! The store may come back from a copy some seconds old. What servers have written since is missing for [`GRACE`], and
//! servers that have gone stand there again: these are held back until they write, or have outlasted [`STALE_ENTRY_HOLD`].
//!
//! New work goes to no server of a failure domain that is evacuated. That is no property of the server: the digest by which
//! hosts compare what they know of the servers leaves it out.

mod departed;
mod followed;
mod leavers;
mod server;

pub use followed::Restored;
pub use server::{Change, Cold, Listing, Restart, Server};

use super::faults::{self, Fault, Faults};
use super::incarnation::{Incarnation, Key};
use super::position::Position;
use crate::Name;
use crate::time::Time;
use departed::Departed;
use leavers::Leavers;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// How long an entry that lapsed while the store was away may take to come back; the users say
/// about two seconds.
pub const STORE_RETURN_GRACE: Duration = Duration::from_millis(2_000);

/// How long a server that has gone is held back where it stands in a copy of the store: the platform drops the entry of
/// one that is silent after three heartbeats of 1.2 s, so that whose entry still stands after five of them writes it.
pub const STALE_ENTRY_HOLD: Duration = Duration::from_millis(6_000);

/// A server that is known.
#[derive(Debug, Clone)]
struct Entry {
    server: Server,
    /// Whether the store names the server as one to use: its entry can be read, and is of this incarnation.
    named: bool,
    /// By when an entry that is missing in the store must be back.
    missing_until: Option<Time>,
    /// Until when a server is held back that had gone and stands in a copy of the store.
    held_until: Option<Time>,
}

impl Entry {
    /// Says whether new work may go to the server.
    fn is_open(&self) -> bool {
        self.named && !self.server.leaving && self.held_until.is_none()
    }

    /// Gives what the entry adds to the directory's digest: nothing where no new work may go there.
    fn digest(&self) -> u64 {
        if self.is_open() {
            self.server.key().number()
        } else {
            0
        }
    }
}

/// How the store told of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// Its entry stands there, whoever wrote it when.
    List,
    /// Its entry was written.
    Write,
}

/// The servers, as one host knows them.
#[derive(Debug, Default)]
pub struct Directory {
    entries: BTreeMap<Name, Entry>,
    /// The ids of the incarnations that are known.
    ids: HashMap<Key, Name>,
    /// How far the store is known.
    position: Position,
    /// Whether the store has listed the servers.
    listed: bool,
    /// Until when entries may be missing in the store although their servers live.
    grace_until: Option<Time>,
    /// The same as it was when the store was lost, to go on with if it was away for a moment only.
    grace_before: Option<Time>,
    /// The sum of the entries' digests, kept with each change: every notice tells it.
    digest: u64,
    /// The servers that have started again since this was last asked.
    restarts: Vec<Restart>,
    /// The entries that can't be read.
    faults: Faults,
    /// The servers that have gone lately.
    departed: Departed,
    /// The servers that have said lately that they leave.
    leavers: Leavers,
    /// What the last list of a new era has shown, until it is asked for.
    restored: Option<Restored>,
    /// The failure domains to whose servers nothing new is sent.
    evacuated: BTreeSet<Name>,
    /// The servers that have said since this was last asked that they are cold.
    cold_servers: Vec<Cold>,
}

impl Directory {
    /// Notes that the store gives no answer: entries that are missing from now on may have lapsed.
    pub fn store_lost(&mut self) {
        self.grace_before = self.grace_until;
        self.grace_until = Some(Time::NEVER);
    }

    /// Notes that the store answers again after a time without contact; `lapsed` says whether it was
    /// away for so long that entries may have lapsed meanwhile.
    pub fn store_returned(&mut self, now: Time, lapsed: bool) {
        if !lapsed {
            self.grace_until = self.grace_before.take();
            return;
        }
        let until = now + STORE_RETURN_GRACE;
        self.grace_until = Some(until);
        for entry in self.entries.values_mut() {
            entry.missing_until = entry.missing_until.map(|_| until);
        }
    }

    /// Notes on a peer's word that entries may be missing for a while although their servers live.
    pub fn extend_grace(&mut self, until: Time) {
        self.grace_until = self.grace_until.max(Some(until));
    }

    /// Gives how much longer entries may be missing although their servers live.
    pub fn grace_left(&self, now: Time) -> Duration {
        let until = self.grace_until.filter(|until| *until != Time::NEVER);
        until.map_or(Duration::ZERO, |until| until.left(now))
    }

    /// Takes the whole list, as of `now`.
    pub fn replace(&mut self, listing: Listing, now: Time) {
        let listed = listing.servers.iter().map(|server| server.id());
        let unreadable = listing.unreadable.iter().map(|fault| &fault.name);
        let listed: BTreeSet<Name> = listed.chain(unreadable).cloned().collect();
        let known = self.entries.keys();
        let missing: Vec<Name> = known.filter(|id| !listed.contains(*id)).cloned().collect();
        for id in &missing {
            self.lose(id, now);
        }
        self.faults.retain(&listing.unreadable);
        for fault in &listing.unreadable {
            self.close(fault);
        }
        for server in listing.servers {
            self.learn(server, Source::List);
        }
    }

    /// Takes one change.
    pub fn apply(&mut self, change: Change, now: Time) {
        match change {
            Change::Known(server) => self.learn(server, Source::Write),
            Change::Unreadable(fault) => self.close(&fault),
            Change::Gone(id) => {
                self.faults.clear(&id);
                self.lose(&id, now);
            }
        }
    }

    /// Takes a server's own word that it was born then. One that has started again is used on, if it was used before: it
    /// answers where it did, and the store may be away.
    pub fn observe_birth(&mut self, id: &str, born: u64) {
        let Some(entry) = self.entries.get(id) else {
            return;
        };
        let now = Incarnation::new(id, Some(born));
        if !now.supersedes(&entry.server.incarnation) {
            return;
        }
        self.insert(Entry {
            named: entry.is_open(),
            server: Server {
                incarnation: now,
                leaving: false,
                ..entry.server.clone()
            },
            missing_until: entry.missing_until,
            held_until: None,
        });
    }

    /// Says whether a server has started again after an incarnation.
    pub fn is_superseded(&self, incarnation: &Incarnation) -> bool {
        let entry = self.entries.get(&incarnation.id);
        entry.is_some_and(|entry| entry.server.incarnation.supersedes(incarnation))
    }

    /// Gives the servers that have started again since the last call.
    pub fn take_restarts(&mut self) -> Vec<Restart> {
        std::mem::take(&mut self.restarts)
    }

    /// Gives what is new of entries that can't be read since the last call.
    pub fn take_fault_news(&mut self) -> faults::News {
        self.faults.take_news()
    }

    /// Drops the servers whose time to come back has passed, and takes up those that were held back for long enough; says
    /// whether there was any.
    pub fn expire(&mut self, now: Time) -> bool {
        self.departed.expire(now);
        let entries = &self.ids;
        self.leavers.expire(|key| entries.contains_key(&key), now);
        let is_over = |until: Option<Time>| until.is_some_and(|until| until <= now);
        let missing = self.ids_where(|entry| is_over(entry.missing_until));
        for id in &missing {
            self.depart(id, now);
        }
        let held = self.ids_where(|entry| is_over(entry.held_until));
        for id in &held {
            self.departed.clear(id);
            self.hold(id, None);
        }
        !missing.is_empty() || !held.is_empty()
    }

    fn ids_where(&self, holds: impl Fn(&Entry) -> bool) -> Vec<Name> {
        let entries = self.entries.iter().filter(|(_, entry)| holds(entry));
        entries.map(|(id, _)| id.clone()).collect()
    }

    /// Holds a server back until a time, or no longer.
    fn hold(&mut self, id: &str, until: Option<Time>) {
        if let Some(mut entry) = self.remove(id) {
            entry.held_until = until;
            self.insert(entry);
        }
    }

    /// Marks an incarnation of a server as leaving, on its own word or a peer's; says whether that is news. It stays so
    /// when its entry lapses and comes back.
    pub fn mark_leaving(&mut self, key: Key, now: Time) -> bool {
        self.leavers.note(key, now);
        let Some(entry) = self.entry_mut(key) else {
            return false;
        };
        let before = entry.digest();
        let news = !std::mem::replace(&mut entry.server.leaving, true);
        self.digest = self.digest.wrapping_sub(before);
        news
    }

    /// Lists the servers that are leaving.
    pub fn leaving(&self) -> Vec<Key> {
        let leaving = self.entries.values().filter(|e| e.server.leaving);
        leaving.map(|entry| entry.server.key()).collect()
    }

    /// Gives a digest of the servers that new work may go to; the same for every host that knows the same.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Takes the failure domains to whose servers nothing new is sent; gives those before.
    pub fn evacuate(&mut self, domains: BTreeSet<Name>) -> BTreeSet<Name> {
        std::mem::replace(&mut self.evacuated, domains)
    }

    /// Gives the servers that have said since the last call that they are cold.
    pub fn take_cold(&mut self) -> Vec<Cold> {
        std::mem::take(&mut self.cold_servers)
    }

    /// Gives a server that new work may go to.
    pub fn get(&self, key: Key) -> Option<&Server> {
        let server = self.active(key)?;
        self.is_reachable(server).then_some(server)
    }

    /// Gives a server that is known, listed and not leaving, whether its failure domain is evacuated or not.
    pub fn active(&self, key: Key) -> Option<&Server> {
        let entry = self.entries.get(self.ids.get(&key)?)?;
        entry.is_open().then_some(&entry.server)
    }

    /// Says whether nothing forbids work in a server's failure domain.
    fn is_reachable(&self, server: &Server) -> bool {
        !self.evacuated.contains(&server.domain)
    }

    /// Says whether an incarnation of a server is known and not over, whether it takes new work or not.
    pub fn knows(&self, key: Key) -> bool {
        self.ids.contains_key(&key)
    }

    /// Gives the server that is reached at an address; of several, one that new work may go to.
    pub fn at(&self, address: SocketAddr) -> Option<&Server> {
        let entries = self.entries.values();
        entries
            .filter(|entry| entry.server.address == address)
            .min_by_key(|entry| !entry.is_open())
            .map(|entry| &entry.server)
    }

    /// Lists the servers of a service that new work may go to, in the order of their ids.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Server> {
        self.active_of(service)
            .filter(|server| self.is_reachable(server))
    }

    /// Lists the servers of a service that are listed and not leaving, those of evacuated failure domains among them.
    pub fn active_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Server> {
        self.all_active()
            .filter(move |server| &*server.service == service)
    }

    /// Lists all servers that are known, in the order of their ids, whether they take new work or not.
    pub fn all(&self) -> impl Iterator<Item = &Server> {
        self.entries.values().map(|entry| &entry.server)
    }

    /// Lists all servers that are listed and not leaving, in the order of their ids.
    fn all_active(&self) -> impl Iterator<Item = &Server> {
        let open = self.entries.values().filter(|entry| entry.is_open());
        open.map(|entry| &entry.server)
    }

    /// Lists the servers of a failure domain that are listed and not leaving.
    pub fn active_in<'a>(&'a self, domain: &'a str) -> impl Iterator<Item = &'a Server> {
        self.all_active()
            .filter(move |server| &*server.domain == domain)
    }

    /// Gives the number of servers known whose entries can be read.
    pub fn len(&self) -> usize {
        self.entries.values().filter(|entry| entry.named).count()
    }

    /// Says whether no such server is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes a server's entry, unless it is of an incarnation before the one that is known. An incarnation that once
    /// said that it leaves doesn't come back.
    fn learn(&mut self, mut server: Server, source: Source) {
        self.faults.clear(server.id());
        let mut held_until = None;
        if let Some(known) = self.entries.get(server.id()) {
            server.incarnation = server.incarnation.or_known(&known.server.incarnation);
            if known.server.incarnation.supersedes(&server.incarnation) {
                return;
            }
            let same = known.server.incarnation == server.incarnation;
            server.leaving |= same && known.server.leaving;
            held_until = known.held_until.filter(|_| same && source == Source::List);
        }
        server.leaving |= self.leavers.has(server.key());
        if source == Source::Write {
            self.departed.clear(server.id());
        }
        if server.cold_ms > 0 {
            self.cold_servers.push(Cold {
                server: server.key(),
                service: server.service.clone(),
                span: Duration::from_millis(u64::from(server.cold_ms)),
            });
        }
        self.insert(Entry {
            server,
            named: true,
            missing_until: None,
            held_until,
        });
    }

    /// Takes that a server's entry can't be read.
    fn close(&mut self, fault: &Fault) {
        self.faults.note(fault);
        let Some(entry) = self.entries.get_mut(&fault.name) else {
            return;
        };
        let before = entry.digest();
        entry.named = false;
        entry.missing_until = None;
        self.digest = self.digest.wrapping_sub(before);
    }

    /// Puts an entry in the place of the one with its id, and notes where that ends a lifetime.
    fn insert(&mut self, entry: Entry) {
        let id = entry.server.id().clone();
        if let Some(former) = self.remove(&id) {
            let now = &entry.server.incarnation;
            if now.supersedes(&former.server.incarnation) {
                let now = now.clone();
                let former = former.server;
                self.restarts.push(Restart { former, now });
            }
        }
        self.digest = self.digest.wrapping_add(entry.digest());
        self.ids.insert(entry.server.key(), id.clone());
        self.entries.insert(id, entry);
    }

    /// Drops a server, and gives what was known of it.
    fn remove(&mut self, id: &str) -> Option<Entry> {
        let entry = self.entries.remove(id)?;
        self.digest = self.digest.wrapping_sub(entry.digest());
        self.ids.remove(&entry.server.key());
        Some(entry)
    }

    /// Drops a server that has gone.
    fn depart(&mut self, id: &str, now: Time) {
        if let Some(entry) = self.remove(id) {
            self.departed.note(entry.server.incarnation, now);
        }
    }

    fn entry_mut(&mut self, key: Key) -> Option<&mut Entry> {
        self.entries.get_mut(self.ids.get(&key)?)
    }

    /// Takes that a server's entry is gone; the server is kept for a while where the entry may come back.
    fn lose(&mut self, id: &str, now: Time) {
        let doubtful_until = self.grace_until.filter(|until| *until > now);
        match doubtful_until {
            None => self.depart(id, now),
            Some(until) => {
                if let Some(entry) = self.entries.get_mut(id) {
                    entry.missing_until.get_or_insert(until);
                }
            }
        }
    }
}
