//! Backend servers that restart under the same id, and entries that can't be parsed: the life of a single server, and
//! seeded schedules of several hosts whose knowledge differs in age.

use super::{empty_notice, key, profile, reservation};
use crate::each_seed;
use alderglade_core::fleet::directory::{Change, Directory, Listing, Server};
use alderglade_core::fleet::faults::Fault;
use alderglade_core::fleet::health::{Health, Outcome};
use alderglade_core::fleet::incarnation::{Incarnation, Key};
use alderglade_core::fleet::load_table::{LoadTable, Notice};
use alderglade_core::time::Time;
use arbtest::arbitrary::{Result, Unstructured};
use std::collections::BTreeMap;
use std::time::Duration;

fn born(id: &str, born: u64) -> Incarnation {
    Incarnation::new(id, Some(born))
}

fn server(incarnation: Incarnation, leaving: bool) -> Server {
    Server {
        incarnation,
        service: "llm".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        domain: "north".into(),
        slots: 16,
        leaving,
        cold_ms: 0,
    }
}

fn ready(incarnation: &Incarnation) -> Change {
    Change::Known(server(incarnation.clone(), false))
}

fn leaving(incarnation: &Incarnation) -> Change {
    Change::Known(server(incarnation.clone(), true))
}

fn fault(id: &str) -> Fault {
    Fault {
        name: id.into(),
        problem: "no entry".into(),
    }
}

fn unreadable(id: &str) -> Change {
    Change::Unreadable(fault(id))
}

/// Creates a directory and applies the changes to it.
fn after(changes: &[Change]) -> Directory {
    let mut directory = Directory::default();
    for change in changes {
        directory.apply(change.clone(), Time(0));
    }
    directory
}

fn active(directory: &Directory) -> Vec<Incarnation> {
    let servers = directory.of_service("llm");
    servers.map(|server| server.incarnation.clone()).collect()
}

#[test]
fn a_server_that_left_and_restarted_is_used_again() {
    let (first, second) = (born("a", 1), born("a", 2));
    let directory = after(&[ready(&first), leaving(&first), ready(&second)]);
    assert_eq!(active(&directory), [second]);
}

#[test]
fn a_peers_report_of_leaving_applies_to_one_incarnation() {
    let (first, second) = (born("a", 1), born("a", 2));
    let mut directory = after(&[ready(&second)]);
    directory.mark_leaving(first.key(), Time(0));
    assert_eq!(active(&directory), std::slice::from_ref(&second));
    directory.mark_leaving(second.key(), Time(0));
    assert!(active(&directory).is_empty());
    assert_eq!(directory.leaving(), [second.key()]);
}

#[test]
fn late_changes_of_a_former_incarnation_are_ignored() {
    let (first, second) = (born("a", 1), born("a", 2));
    let directory = after(&[ready(&second), leaving(&first), ready(&first)]);
    assert_eq!(active(&directory), [second]);
}

#[test]
fn different_incarnations_have_different_digests() {
    let (first, second) = (born("a", 1), born("a", 2));
    let digest = |changes: &[Change]| after(changes).digest();
    assert_ne!(digest(&[ready(&first)]), digest(&[ready(&second)]));
    assert_eq!(
        digest(&[ready(&first), ready(&second)]),
        digest(&[ready(&second)])
    );
}

#[test]
fn an_entry_without_a_birth_time_belongs_to_the_known_incarnation() {
    let first = born("a", 1);
    let silent = Incarnation::new("a", None);
    let mut directory = after(&[ready(&first), ready(&silent)]);
    assert_eq!(active(&directory), std::slice::from_ref(&first));
    directory.apply(leaving(&silent), Time(0));
    directory.apply(ready(&silent), Time(0));
    assert!(
        active(&directory).is_empty(),
        "it has announced that it is leaving"
    );
    directory.apply(ready(&born("a", 2)), Time(0));
    assert_eq!(active(&directory), [born("a", 2)]);
}

/// A host may start between an entry without a birth time and the next one that has it. It must not abort the requests
/// that it has sent.
#[test]
fn a_birth_time_that_becomes_known_is_no_restart() {
    let silent = Incarnation::new("a", None);
    let mut directory = after(&[ready(&silent), ready(&born("a", 1))]);
    assert!(!directory.is_superseded(&silent));
    assert!(directory.take_restarts().is_empty());
}

#[test]
fn a_restart_is_reported_once_and_supersedes_the_former_incarnation() {
    let (first, second) = (born("a", 1), born("a", 2));
    let mut directory = after(&[ready(&first)]);
    assert!(directory.take_restarts().is_empty());
    directory.apply(ready(&second), Time(0));
    let restarts = directory.take_restarts();
    assert_eq!(restarts.len(), 1);
    assert_eq!(restarts[0].former.incarnation, first);
    assert_eq!(restarts[0].now, second);
    assert!(directory.take_restarts().is_empty());
    assert!(directory.is_superseded(&first));
    assert!(!directory.is_superseded(&second));
    assert!(
        !directory.is_superseded(&born("b", 0)),
        "the server is unknown"
    );
}

#[test]
fn a_birth_time_reported_by_the_server_supersedes_the_former_incarnation() {
    let (first, second) = (born("a", 1), born("a", 2));
    let mut directory = after(&[ready(&first)]);
    directory.observe_birth("a", 2);
    assert!(directory.is_superseded(&first));
    assert_eq!(
        active(&directory),
        std::slice::from_ref(&second),
        "it responds, and the store may be unavailable"
    );
    // Its former entry remains in the store for a while.
    directory.apply(leaving(&first), Time(0));
    assert_eq!(active(&directory), [second]);
    directory.observe_birth("a", 1);
    directory.observe_birth("unknown", 7);
    assert_eq!(directory.len(), 1);
}

/// The server may have been out of use for a reason that its entry gives.
#[test]
fn a_restarted_server_that_was_out_of_use_waits_for_its_entry() {
    let (first, second) = (born("a", 1), born("a", 2));
    let mut directory = after(&[ready(&first), leaving(&first)]);
    directory.observe_birth("a", 2);
    assert!(active(&directory).is_empty());
    directory.apply(ready(&second), Time(0));
    assert_eq!(active(&directory), [second]);
}

#[test]
fn a_server_is_out_of_use_while_its_entry_is_unreadable() {
    let first = born("a", 1);
    let mut directory = after(&[ready(&first), ready(&born("b", 1))]);
    directory.apply(unreadable("a"), Time(0));
    directory.apply(unreadable("unknown"), Time(0));
    assert_eq!(active(&directory), [born("b", 1)]);
    assert_eq!(directory.len(), 1);
    assert_eq!(directory.digest(), after(&[ready(&born("b", 1))]).digest());
    directory.apply(ready(&first), Time(0));
    assert_eq!(active(&directory), [first.clone(), born("b", 1)]);
    assert!(
        directory.take_restarts().is_empty(),
        "it is the same incarnation"
    );
}

#[test]
fn an_unreadable_entry_in_a_list_affects_only_its_server() {
    let first = born("a", 1);
    let mut directory = after(&[ready(&first), ready(&born("b", 1))]);
    // A grace period applies to missing entries, but not to unreadable ones.
    directory.store_lost(Time(0));
    let listing = Listing {
        servers: vec![server(born("b", 1), false)],
        unreadable: vec![fault("a"), fault("unknown")],
    };
    directory.replace(listing, Time(0));
    assert_eq!(active(&directory), [born("b", 1)]);
}

#[test]
fn a_leaving_server_stays_leaving_after_its_entry_was_unreadable() {
    let first = born("a", 1);
    let directory = after(&[leaving(&first), unreadable("a"), ready(&first)]);
    assert!(active(&directory).is_empty());
}

#[test]
fn load_health_and_backlog_of_a_former_incarnation_do_not_carry_over() {
    let (first, second) = (born("a", 1).key(), born("a", 2).key());
    let mut health = Health::default();
    for _ in 0..9 {
        health.record(first, Outcome::Unreachable, Time(0));
    }
    health.eject(first, Time(0));
    assert!(health.is_suspect(first, "north", Time(1)));
    assert!(!health.is_suspect(second, "north", Time(1)));
    assert_eq!(health.failure_rate(second), 0.0);

    let mut loads = LoadTable::default();
    loads.set_engines([(first, profile())].into());
    let reservation = reservation("a", 900_000, 90_000);
    let reservation = alderglade_core::fleet::load_table::Reservation {
        primary: first,
        ..reservation
    };
    let id = loads.reserve(reservation, Time(0));
    loads.set_engines([(second, profile())].into());
    assert!(loads.total(second).holds_nothing());
    assert_eq!(loads.backlog(second, Time(0)).total(), 0.0);
    loads.release(id, Time(0));
    assert!(loads.total(second).holds_nothing(), "nor after the release");
}

/// A model of the platform's store and the servers that write to it.
#[derive(Default)]
struct Store {
    /// All changes so far.
    changes: Vec<Change>,
    /// The latest change of each entry.
    entries: BTreeMap<String, Change>,
    /// Number of server starts so far; also used as birth time.
    births: u64,
}

impl Store {
    /// Lets one of three servers start or restart, leave, or go, or makes its entry unreadable.
    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let id = format!("s{}", u.int_in_range(0..=2)?);
        let known = self.entries.get(&id);
        let change = match (u.int_in_range(0..=5)?, known) {
            (0, Some(Change::Known(server))) => leaving(&server.incarnation),
            (1, Some(_)) => Change::Gone(id.as_str().into()),
            (2, Some(_)) => unreadable(&id),
            _ => {
                self.births += 1;
                ready(&born(&id, self.births))
            }
        };
        self.entries.insert(id, change.clone());
        self.changes.push(change);
        Ok(())
    }

    /// Returns a full list of the store.
    fn listing(&self) -> Listing {
        let mut listing = Listing::default();
        for change in self.entries.values() {
            match change {
                Change::Known(server) => listing.servers.push(server.clone()),
                Change::Unreadable(fault) => listing.unreadable.push(fault.clone()),
                Change::Gone(_) => {}
            }
        }
        listing
    }

    /// Returns the servers that new work may go to.
    fn active(&self) -> Vec<Incarnation> {
        let servers = self.listing().servers.into_iter();
        let active = servers.filter(|server| !server.leaving);
        active.map(|server| server.incarnation).collect()
    }
}

/// A host that follows the store at its own pace.
#[derive(Default)]
struct Host {
    directory: Directory,
    /// Number of changes that it has applied.
    position: usize,
    /// The latest birth time it has learnt for each id whose entry hasn't been removed since.
    newest: BTreeMap<String, u64>,
}

impl Host {
    /// Applies the next change, if there is one.
    fn follow(&mut self, store: &Store, now: Time) {
        let Some(change) = store.changes.get(self.position) else {
            return;
        };
        self.position += 1;
        match change {
            Change::Known(server) => {
                let birth = server.incarnation.born.unwrap_or(0);
                let newest = self.newest.entry(server.id().to_string()).or_default();
                *newest = birth.max(*newest);
            }
            Change::Gone(id) => drop(self.newest.remove(&**id)),
            Change::Unreadable(_) => {}
        }
        self.directory.apply(change.clone(), now);
    }

    /// Applies a full list of the store.
    fn list(&mut self, store: &Store, now: Time) {
        self.directory.replace(store.listing(), now);
        self.position = store.changes.len();
        self.newest.clear();
        for server in store.listing().servers {
            let birth = server.incarnation.born.unwrap_or(0);
            self.newest.insert(server.id().to_string(), birth);
        }
    }

    /// Checks that no server is used in an incarnation older than the newest one known.
    fn check(&self) {
        for incarnation in active(&self.directory) {
            let newest = self.newest.get(&*incarnation.id).copied();
            assert!(incarnation.born >= newest, "{incarnation:?} {newest:?}");
        }
    }
}

/// Three hosts follow the store at different paces and report to each other which servers are leaving, late and
/// repeatedly. None uses an incarnation that it knows to be superseded, and once all have caught up, all use the
/// servers that the store lists, regardless of the reports they received on the way.
#[test]
fn hosts_at_different_positions_agree_once_they_have_caught_up() {
    each_seed(400, |u| {
        let mut store = Store::default();
        let mut hosts: [Host; 3] = Default::default();
        let mut reports: Vec<Vec<Key>> = Vec::new();
        for step in 0..u.int_in_range(1..=80)? {
            let now = Time::from_millis(step * 100);
            let host = u.int_in_range(0..=2)?;
            let host = &mut hosts[host];
            match u.int_in_range(0..=7)? {
                0 | 1 => store.step(u)?,
                2 => reports.push(host.directory.leaving()),
                3 if !reports.is_empty() => {
                    let report = &reports[u.int_in_range(0..=reports.len() - 1)?];
                    for key in report {
                        host.directory.mark_leaving(*key, now);
                    }
                }
                4 => host.list(&store, now),
                5 => {
                    let id = format!("s{}", u.int_in_range(0..=2)?);
                    // Only a live server reports its birth time.
                    let live = store
                        .active()
                        .into_iter()
                        .find(|incarnation| *incarnation.id == *id);
                    let birth = live.and_then(|incarnation| incarnation.born);
                    if let (Some(birth), Some(newest)) = (birth, host.newest.get_mut(&id)) {
                        host.directory.observe_birth(&id, birth);
                        *newest = birth.max(*newest);
                    }
                }
                _ => host.follow(&store, now),
            }
            hosts.iter().for_each(Host::check);
        }
        let later = Time::from_millis(100_000);
        for host in &mut hosts {
            while host.position < store.changes.len() {
                host.follow(&store, later);
            }
            assert_eq!(active(&host.directory), store.active());
        }
        assert_eq!(hosts[0].directory.digest(), hosts[1].directory.digest());
        assert_eq!(hosts[0].directory.digest(), hosts[2].directory.digest());
        Ok(())
    });
}

/// While the store is unavailable, entries lapse and are written again later. A server that has restarted in between is
/// used as soon as its new entry is written, without waiting for its former one.
#[test]
fn a_server_restarted_during_an_outage_is_used_in_its_new_incarnation() {
    each_seed(200, |u| {
        let (first, second) = (born("a", 1), born("a", 2));
        let mut directory = after(&[ready(&first), ready(&born("b", 1))]);
        directory.store_lost(Time(0));
        if u.arbitrary()? {
            directory.apply(Change::Gone("a".into()), Time(1));
        }
        if u.arbitrary()? {
            directory.observe_birth("a", 2);
        }
        if u.arbitrary()? {
            directory.mark_leaving(first.key(), Time(0));
        }
        let returned = Time::from_millis(9_000);
        directory.store_returned(returned);
        let mut changes = vec![ready(&second), leaving(&first), ready(&first)];
        while !changes.is_empty() {
            let next = u.int_in_range(0..=changes.len() - 1)?;
            let change = changes.swap_remove(next);
            let is_new = change == ready(&second);
            directory.apply(change, returned);
            if is_new {
                break;
            }
        }
        let rest: Vec<Change> = changes;
        for change in rest {
            directory.apply(change, returned + Duration::from_millis(10));
        }
        assert!(!directory.expire(returned + Duration::from_secs(60)));
        assert_eq!(active(&directory), [second, born("b", 1)]);
        Ok(())
    });
}

/// Notices about a former incarnation may be lost, duplicated or late. The load of each incarnation is what was
/// reserved there.
#[test]
fn the_load_of_an_incarnation_is_what_was_reserved_there() {
    each_seed(120, |u| {
        let incarnations: Vec<Key> = (1..=4).map(|birth| born("a", birth).key()).collect();
        let mut sender = LoadTable::default();
        let mut receiver = LoadTable::default();
        let mut sent: Vec<Notice> = Vec::new();
        let mut reservations = Vec::new();
        let mut running = [0; 4];
        for sequence in 1..=u.int_in_range(1..=60)? {
            if !reservations.is_empty() && u.ratio(1, 3)? {
                let index = u.int_in_range(0..=reservations.len() - 1)?;
                let (incarnation, id): (usize, _) = reservations.swap_remove(index);
                sender.release(id, Time(0));
                running[incarnation] -= 1;
            } else {
                let incarnation = u.int_in_range(0..=3)?;
                let mut reservation = reservation("a", 1_000, 10);
                reservation.primary = incarnations[incarnation];
                reservations.push((incarnation, sender.reserve(reservation, Time(0))));
                running[incarnation] += 1;
            }
            let full = u.ratio(1, 4)?;
            let holdings = if full {
                sender.all_holdings(Time(0))
            } else {
                sender.take_changes()
            };
            sent.push(Notice {
                full,
                holdings,
                ..empty_notice("h", 1, sequence)
            });
            if u.ratio(2, 3)? {
                let index = u.int_in_range(0..=sent.len() - 1)?;
                receiver.apply_notice(&sent[index], Time(0));
            }
        }
        let last = Notice {
            full: true,
            holdings: sender.all_holdings(Time(0)),
            ..empty_notice("h", 1, 1_000)
        };
        receiver.apply_notice(&last, Time(0));
        for (incarnation, running) in incarnations.iter().zip(running) {
            assert_eq!(sender.total(*incarnation).running, running);
            assert_eq!(receiver.total(*incarnation).running, running);
        }
        Ok(())
    });
}

#[test]
fn keys_of_all_servers_and_incarnations_differ() {
    let mut keys = std::collections::HashSet::new();
    for server in 0..1_200 {
        let id = format!("i-{server:010x}");
        keys.insert(key(&id));
        for birth in 1_796_000_000_000..1_796_000_000_020 {
            keys.insert(born(&id, birth).key());
        }
    }
    assert_eq!(keys.len(), 1_200 * 21);
}
