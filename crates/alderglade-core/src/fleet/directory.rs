//! The directory of known backend servers: which are alive, which are leaving, and which may only appear to be gone.
//!
//! The platform drops entries that are not renewed, including while the store itself is unavailable. An entry that is
//! missing right after such an outage is kept for [`STORE_RETURN_GRACE`]; if it has not been written again by then, the
//! server is gone. Whether entries may have lapsed is what the host's own calls to the store show; a host that makes none
//! relies on those that do, and one of them that was in contact throughout suffices to show that they have not.
//!
//! A server may restart under the same id. Only the newest known incarnation counts: facts about an older one change
//! nothing, and an older one that was leaving does not make the new one leave.
//!
//! The store may be restored from a copy that is some seconds old. Entries written since the copy are missing for up to
//! [`STORE_RETURN_GRACE`], and servers that have gone since are listed again. The latter are held back until they write
//! their entry or their entry has outlasted [`STALE_ENTRY_HOLD`].
//!
//! No new work goes to servers in an evacuated failure domain. Evacuation is not a property of a server, so the digest
//! that hosts compare to check that they know the same servers leaves it out.

mod departed;
pub mod departure;
mod grace;
mod leavers;
mod removal;
mod server;
mod store_sync;

pub use server::{Change, Cold, Listing, Restart, Server};
pub use store_sync::Restored;

use super::faults::{self, Fault, Faults};
use super::incarnation::{Incarnation, Key};
use super::position::Position;
use crate::Name;
use crate::time::Time;
use departed::Departed;
use departure::Departures;
use grace::{Grace, Missing};
use leavers::Leavers;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// How long an entry that lapsed while the store was unavailable may take to be written again. The platform
/// states about two seconds.
pub const STORE_RETURN_GRACE: Duration = Duration::from_millis(2_000);

/// How long a departed server that a restored copy of the store lists again is held back. The platform drops the entry
/// of a silent server after three heartbeats of 1.2 s, so a server whose entry remains after five of them is writing
/// it.
pub const STALE_ENTRY_HOLD: Duration = Duration::from_millis(6_000);

/// A known server and the state of its store entry.
#[derive(Debug, Clone)]
struct Entry {
    server: Server,
    /// Whether the store lists the server for use: its entry is readable and belongs to this incarnation.
    is_listed: bool,
    /// What the entry's absence means, if it is missing from the store.
    missing: Option<Missing>,
    /// Until when the server is held back, if it had gone and was listed again by a copy of the store.
    held_until: Option<Time>,
}

impl Entry {
    /// Returns whether new work may go to the server.
    fn accepts_work(&self) -> bool {
        self.is_listed && !self.server.leaving && self.held_until.is_none()
    }

    /// Returns the entry's part of the directory's digest: zero if the server accepts no new work. A server that is used
    /// although its entry is missing counts differently from a listed one, because hosts with equal digests adopt each
    /// other's positions.
    fn digest(&self) -> u64 {
        let number = self.server.key().number();
        match (self.accepts_work(), self.missing) {
            (false, _) => 0,
            (true, None) => number,
            (true, Some(_)) => !number,
        }
    }
}

/// How the store reported a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// The entry is listed; when it was written is unknown.
    List,
    /// The entry was just written.
    Write,
}

/// The servers known to one host.
#[derive(Debug, Default)]
pub struct Directory {
    entries: BTreeMap<Name, Entry>,
    /// Server ids by the keys of the known incarnations.
    ids: HashMap<Key, Name>,
    /// Store position up to which changes have been applied.
    position: Position,
    /// When the store first listed the servers.
    listed_at: Option<Time>,
    /// Until when entries may be missing from the store although their servers are alive.
    grace: Grace,
    /// Sum of the entries' digests, updated with each change because every notice carries it.
    digest: u64,
    /// Servers that have restarted since the last [`Directory::take_restarts`].
    restarts: Vec<Restart>,
    /// Entries that can't be parsed.
    faults: Faults,
    /// Known servers whose address a server that started later has taken over.
    replaced: BTreeSet<Key>,
    /// Servers that have recently gone.
    departed: Departed,
    /// Servers that have recently announced that they are leaving.
    leavers: Leavers,
    /// Findings from the first list of the latest era, until [`Directory::take_restored`] returns them.
    restored: Option<Restored>,
    /// Failure domains whose servers receive no new work.
    evacuated: BTreeSet<Name>,
    /// Servers that have reported being cold since the last [`Directory::take_cold`].
    cold_servers: Vec<Cold>,
    /// How servers depart, for the log.
    departures: Departures,
}

impl Directory {
    /// Replaces the known servers by a full list from the store.
    pub fn replace(&mut self, listing: Listing, now: Time) {
        self.replace_told(listing, Duration::ZERO, now);
    }

    fn replace_told(&mut self, listing: Listing, told: Duration, now: Time) {
        let listed = listing.servers.iter().map(|server| server.id());
        let unreadable = listing.unreadable.iter().map(|fault| &fault.name);
        let listed: BTreeSet<Name> = listed.chain(unreadable).cloned().collect();
        let known = self.entries.keys();
        let missing: Vec<Name> = known.filter(|id| !listed.contains(*id)).cloned().collect();
        for id in &missing {
            self.handle_missing(id, told, now);
        }
        self.faults.retain(&listing.unreadable);
        for fault in &listing.unreadable {
            self.mark_unreadable(fault);
        }
        for server in listing.servers {
            self.upsert(server, Source::List, now);
        }
    }

    /// Applies one change from the store.
    pub fn apply(&mut self, change: Change, now: Time) {
        self.apply_told(change, Duration::ZERO, now);
    }

    fn apply_told(&mut self, change: Change, told: Duration, now: Time) {
        match change {
            Change::Known(server) => self.upsert(server, Source::Write, now),
            Change::Unreadable(fault) => self.mark_unreadable(&fault),
            Change::Gone(id) => {
                self.faults.clear(&id);
                self.handle_missing(&id, told, now);
            }
        }
    }

    /// Applies a birth time that the server itself reported. A restarted server that was in use stays in use: it
    /// responds at the same address, and the store may be unavailable.
    pub fn observe_birth(&mut self, id: &str, born: u64) {
        let Some(entry) = self.entries.get(id) else {
            return;
        };
        let now = Incarnation::new(id, Some(born));
        if !now.supersedes(&entry.server.incarnation) {
            return;
        }
        self.insert(Entry {
            is_listed: entry.accepts_work(),
            server: Server {
                incarnation: now,
                leaving: false,
                ..entry.server.clone()
            },
            missing: entry.missing,
            held_until: None,
        });
    }

    /// Returns whether a newer incarnation of the same server is known.
    pub fn is_superseded(&self, incarnation: &Incarnation) -> bool {
        let entry = self.entries.get(&incarnation.id);
        entry.is_some_and(|entry| entry.server.incarnation.supersedes(incarnation))
    }

    /// Returns the servers that have restarted since the last call.
    pub fn take_restarts(&mut self) -> Vec<Restart> {
        std::mem::take(&mut self.restarts)
    }

    /// Returns the changes to the set of unreadable entries since the last call.
    pub fn take_fault_news(&mut self) -> faults::News {
        self.faults.take_news()
    }

    /// Returns the servers that are leaving.
    pub fn leaving(&self) -> Vec<Key> {
        let leaving = self.entries.values().filter(|entry| entry.server.leaving);
        leaving.map(|entry| entry.server.key()).collect()
    }

    /// Returns a digest of the servers that accept new work, and of which of these have missing entries. Hosts that know the
    /// same servers have the same digest.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Sets the failure domains whose servers receive no new work. Returns the previous ones.
    pub fn evacuate(&mut self, domains: BTreeSet<Name>) -> BTreeSet<Name> {
        std::mem::replace(&mut self.evacuated, domains)
    }

    /// Returns the servers that have reported being cold since the last call.
    pub fn take_cold(&mut self) -> Vec<Cold> {
        std::mem::take(&mut self.cold_servers)
    }

    /// Returns a server if new work may go to it.
    pub fn get(&self, key: Key) -> Option<&Server> {
        let server = self.active(key)?;
        self.is_domain_open(server).then_some(server)
    }

    /// Returns a server if it is listed and not leaving, whether or not its failure domain is evacuated.
    pub fn active(&self, key: Key) -> Option<&Server> {
        let entry = self.entry(key)?;
        entry.accepts_work().then_some(&entry.server)
    }

    /// Returns a server if this incarnation is known and current, whether or not it accepts new work.
    pub fn known(&self, key: Key) -> Option<&Server> {
        Some(&self.entry(key)?.server)
    }

    /// Returns whether the server's failure domain is not evacuated.
    fn is_domain_open(&self, server: &Server) -> bool {
        !self.evacuated.contains(&server.domain)
    }

    /// Returns whether an incarnation of a server is known and current, whether or not it accepts new work.
    pub fn knows(&self, key: Key) -> bool {
        self.ids.contains_key(&key)
    }

    /// Returns whether a server that started later listens at the address of a known server, whose entry has not lapsed yet.
    pub fn is_replaced(&self, key: Key) -> bool {
        self.replaced.contains(&key)
    }

    /// Returns the server at an address. If there are several, one that accepts new work is preferred.
    pub fn at(&self, address: SocketAddr) -> Option<&Server> {
        let entries = self.entries.values();
        entries
            .filter(|entry| entry.server.address == address)
            .min_by_key(|entry| !entry.accepts_work())
            .map(|entry| &entry.server)
    }

    /// Returns the servers of a service that accept new work, ordered by id.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Server> {
        self.active_of(service)
            .filter(|server| self.is_domain_open(server))
    }

    /// Returns the servers of a service that are listed and not leaving, including those in evacuated failure domains.
    pub fn active_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Server> {
        self.all_active()
            .filter(move |server| &*server.service == service)
    }

    /// Returns all known servers ordered by id, whether or not they accept new work.
    pub fn all(&self) -> impl Iterator<Item = &Server> {
        self.entries.values().map(|entry| &entry.server)
    }

    /// Returns all servers that are listed and not leaving, ordered by id.
    fn all_active(&self) -> impl Iterator<Item = &Server> {
        let active = self.entries.values().filter(|entry| entry.accepts_work());
        active.map(|entry| &entry.server)
    }

    /// Returns the servers of a failure domain that are listed and not leaving.
    pub fn active_in<'a>(&'a self, domain: &'a str) -> impl Iterator<Item = &'a Server> {
        self.all_active()
            .filter(move |server| &*server.domain == domain)
    }

    /// Returns the number of known servers with readable entries.
    pub fn len(&self) -> usize {
        self.entries
            .values()
            .filter(|entry| entry.is_listed)
            .count()
    }

    /// Returns whether no server with a readable entry is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Inserts or updates a server from its store entry, unless a newer incarnation is known. An incarnation that once
    /// announced that it is leaving stays so.
    fn upsert(&mut self, mut server: Server, source: Source, now: Time) {
        self.faults.clear(server.id());
        let mut held_until = None;
        let mut accepted_work = false;
        if let Some(known) = self.entries.get(server.id()) {
            server.incarnation = server.incarnation.or_known(&known.server.incarnation);
            if known.server.incarnation.supersedes(&server.incarnation) {
                return;
            }
            let is_same = known.server.incarnation == server.incarnation;
            server.leaving |= is_same && known.server.leaving;
            accepted_work = is_same && known.accepts_work();
            held_until = known
                .held_until
                .filter(|_| is_same && source == Source::List);
        }
        server.leaving |= self.leavers.contains(server.key());
        if source == Source::Write {
            self.departed.clear(server.id());
            self.mark_replaced(&server);
        }
        if server.cold_ms > 0 {
            self.cold_servers.push(Cold {
                server: server.key(),
                service: server.service.clone(),
                span: Duration::from_millis(u64::from(server.cold_ms)),
            });
        }
        if server.leaving && accepted_work {
            self.record_announced(server.key(), server.id(), now);
        } else if !server.leaving {
            self.departures.restore(server.key(), server.id(), now);
        }
        self.insert(Entry {
            server,
            is_listed: true,
            missing: None,
            held_until,
        });
    }

    /// Marks the known servers whose address a server has that has just started.
    fn mark_replaced(&mut self, server: &Server) {
        if self.entries.contains_key(server.id()) {
            return;
        }
        let others = self.entries.values().map(|entry| &entry.server);
        let replaced = others.filter(|other| other.address == server.address);
        self.replaced.extend(replaced.map(Server::key));
    }

    /// Takes a server out of use because its store entry can't be parsed.
    fn mark_unreadable(&mut self, fault: &Fault) {
        self.faults.record(fault);
        let Some(entry) = self.entries.get_mut(&fault.name) else {
            return;
        };
        let before = entry.digest();
        entry.is_listed = false;
        entry.missing = None;
        self.digest = self.digest.wrapping_sub(before);
    }

    /// Inserts an entry in place of the one with the same id. Records a restart if it is of a newer incarnation.
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

    /// Removes a server and returns its entry.
    fn remove(&mut self, id: &str) -> Option<Entry> {
        let entry = self.entries.remove(id)?;
        self.digest = self.digest.wrapping_sub(entry.digest());
        self.ids.remove(&entry.server.key());
        self.replaced.remove(&entry.server.key());
        Some(entry)
    }

    fn entry(&self, key: Key) -> Option<&Entry> {
        self.entries.get(self.ids.get(&key)?)
    }

    fn entry_mut(&mut self, key: Key) -> Option<&mut Entry> {
        self.entries.get_mut(self.ids.get(&key)?)
    }
}
