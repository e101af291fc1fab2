//! Backend servers that start again under their id, and entries that can't be read: over the life of one server, and
//! over seeded schedules of several hosts whose knowledge is of different age.

use super::{empty_notice, hold, key, profile};
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

fn bad(id: &str) -> Change {
    Change::Unreadable(fault(id))
}

/// A directory that has taken these changes.
fn after(changes: &[Change]) -> Directory {
    let mut directory = Directory::default();
    for change in changes {
        directory.apply(change.clone(), Time(0));
    }
    directory
}

fn open(directory: &Directory) -> Vec<Incarnation> {
    let servers = directory.of_service("llm");
    servers.map(|server| server.incarnation.clone()).collect()
}

#[test]
fn a_server_that_has_left_and_started_again_is_used_again() {
    let (first, second) = (born("a", 1), born("a", 2));
    let directory = after(&[ready(&first), leaving(&first), ready(&second)]);
    assert_eq!(open(&directory), [second]);
}

#[test]
fn a_peers_word_that_it_leaves_is_of_one_lifetime() {
    let (first, second) = (born("a", 1), born("a", 2));
    let mut directory = after(&[ready(&second)]);
    directory.mark_leaving(first.key(), Time(0));
    assert_eq!(open(&directory), std::slice::from_ref(&second));
    directory.mark_leaving(second.key(), Time(0));
    assert!(open(&directory).is_empty());
    assert_eq!(directory.leaving(), [second.key()]);
}

#[test]
fn what_comes_late_of_a_former_lifetime_changes_nothing() {
    let (first, second) = (born("a", 1), born("a", 2));
    let directory = after(&[ready(&second), leaving(&first), ready(&first)]);
    assert_eq!(open(&directory), [second]);
}

#[test]
fn hosts_that_know_different_lifetimes_see_that_they_differ() {
    let (first, second) = (born("a", 1), born("a", 2));
    let digest = |changes: &[Change]| after(changes).digest();
    assert_ne!(digest(&[ready(&first)]), digest(&[ready(&second)]));
    assert_eq!(
        digest(&[ready(&first), ready(&second)]),
        digest(&[ready(&second)])
    );
}

#[test]
fn an_entry_without_a_birth_is_of_the_lifetime_that_is_known() {
    let first = born("a", 1);
    let silent = Incarnation::new("a", None);
    let mut directory = after(&[ready(&first), ready(&silent)]);
    assert_eq!(open(&directory), std::slice::from_ref(&first));
    directory.apply(leaving(&silent), Time(0));
    directory.apply(ready(&silent), Time(0));
    assert!(open(&directory).is_empty(), "it has said that it leaves");
    directory.apply(ready(&born("a", 2)), Time(0));
    assert_eq!(open(&directory), [born("a", 2)]);
}

/// A host that starts between an entry without a birth and the next one with it must not break off what it has sent.
#[test]
fn a_birth_that_becomes_known_ends_nothing() {
    let silent = Incarnation::new("a", None);
    let mut directory = after(&[ready(&silent), ready(&born("a", 1))]);
    assert!(!directory.is_superseded(&silent));
    assert!(directory.take_restarts().is_empty());
}

#[test]
fn a_restart_is_told_once_and_ends_what_was_sent_before() {
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
        "nothing is known of it"
    );
}

#[test]
fn a_servers_own_word_of_its_birth_ends_the_former_lifetime() {
    let (first, second) = (born("a", 1), born("a", 2));
    let mut directory = after(&[ready(&first)]);
    directory.observe_birth("a", 2);
    assert!(directory.is_superseded(&first));
    assert_eq!(
        open(&directory),
        std::slice::from_ref(&second),
        "it answers, the store may be away"
    );
    // Its former entry stands in the store for a while.
    directory.apply(leaving(&first), Time(0));
    assert_eq!(open(&directory), [second]);
    directory.observe_birth("a", 1);
    directory.observe_birth("unknown", 7);
    assert_eq!(directory.len(), 1);
}

/// It may have been out of use for a reason that its entry tells.
#[test]
fn a_server_out_of_use_that_has_started_again_waits_for_its_entry() {
    let (first, second) = (born("a", 1), born("a", 2));
    let mut directory = after(&[ready(&first), leaving(&first)]);
    directory.observe_birth("a", 2);
    assert!(open(&directory).is_empty());
    directory.apply(ready(&second), Time(0));
    assert_eq!(open(&directory), [second]);
}

#[test]
fn an_entry_that_turns_bad_takes_its_server_out_of_use_until_it_is_good_again() {
    let first = born("a", 1);
    let mut directory = after(&[ready(&first), ready(&born("b", 1))]);
    directory.apply(bad("a"), Time(0));
    directory.apply(bad("unknown"), Time(0));
    assert_eq!(open(&directory), [born("b", 1)]);
    assert_eq!(directory.len(), 1);
    assert_eq!(directory.digest(), after(&[ready(&born("b", 1))]).digest());
    directory.apply(ready(&first), Time(0));
    assert_eq!(open(&directory), [first.clone(), born("b", 1)]);
    assert!(
        directory.take_restarts().is_empty(),
        "it is the same lifetime"
    );
}

#[test]
fn a_list_with_a_bad_entry_takes_just_that_server_out_of_use() {
    let first = born("a", 1);
    let mut directory = after(&[ready(&first), ready(&born("b", 1))]);
    // In doubt, an entry that is missing is kept for a while; one that is there and bad isn't.
    directory.store_lost();
    let listing = Listing {
        servers: vec![server(born("b", 1), false)],
        unreadable: vec![fault("a"), fault("unknown")],
    };
    directory.replace(listing, Time(0));
    assert_eq!(open(&directory), [born("b", 1)]);
}

#[test]
fn one_that_was_leaving_and_turns_bad_is_leaving_when_it_is_good_again() {
    let first = born("a", 1);
    let directory = after(&[leaving(&first), bad("a"), ready(&first)]);
    assert!(open(&directory).is_empty());
}

#[test]
fn load_health_and_reading_of_a_former_lifetime_say_nothing_of_the_new_one() {
    let (first, second) = (born("a", 1).key(), born("a", 2).key());
    let mut health = Health::default();
    for _ in 0..9 {
        health.record(first, Outcome::Silent, Time(0));
    }
    health.eject(first, Time(0));
    assert!(health.is_suspect(first, "north", Time(1)));
    assert!(!health.is_suspect(second, "north", Time(1)));
    assert_eq!(health.failing(second), 0.0);

    let mut loads = LoadTable::default();
    loads.set_engines([(first, profile())].into());
    let placed = hold("a", 900_000, 90_000);
    let placed = alderglade_core::fleet::load_table::Reservation {
        primary: first,
        ..placed
    };
    let id = loads.reserve(placed, Time(0));
    loads.set_engines([(second, profile())].into());
    assert!(loads.total(second).holds_nothing());
    assert_eq!(loads.backlog(second, Time(0)).total(), 0.0);
    loads.release(id, Time(0));
    assert!(
        loads.total(second).holds_nothing(),
        "nor when it is given back"
    );
}

/// What the platform's store says over time, and the servers behind it.
#[derive(Default)]
struct Store {
    changes: Vec<Change>,
    /// What each entry says now.
    entries: BTreeMap<String, Change>,
    births: u64,
}

impl Store {
    /// Lets one of three servers start (again), leave, go, or have its entry spoilt.
    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let id = format!("s{}", u.int_in_range(0..=2)?);
        let known = self.entries.get(&id);
        let change = match (u.int_in_range(0..=5)?, known) {
            (0, Some(Change::Known(server))) => leaving(&server.incarnation),
            (1, Some(_)) => Change::Gone(id.as_str().into()),
            (2, Some(_)) => bad(&id),
            _ => {
                self.births += 1;
                ready(&born(&id, self.births))
            }
        };
        self.entries.insert(id, change.clone());
        self.changes.push(change);
        Ok(())
    }

    /// What a host that has just listed everything knows.
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

    /// The servers that new work may go to.
    fn open(&self) -> Vec<Incarnation> {
        let servers = self.listing().servers.into_iter();
        let open = servers.filter(|server| !server.leaving);
        open.map(|server| server.incarnation).collect()
    }
}

/// A host that follows the store at its own pace.
#[derive(Default)]
struct Host {
    directory: Directory,
    /// Changes that it has taken.
    position: usize,
    /// The latest birth that it has heard of, by id, of entries that haven't gone since.
    newest: BTreeMap<String, u64>,
}

impl Host {
    /// Takes the next change, if there is one.
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

    /// Lists everything.
    fn list(&mut self, store: &Store, now: Time) {
        self.directory.replace(store.listing(), now);
        self.position = store.changes.len();
        self.newest.clear();
        for server in store.listing().servers {
            let birth = server.incarnation.born.unwrap_or(0);
            self.newest.insert(server.id().to_string(), birth);
        }
    }

    /// Checks that no server is used in a lifetime before the newest one that was heard of.
    fn check(&self) {
        for incarnation in open(&self.directory) {
            let newest = self.newest.get(&*incarnation.id).copied();
            assert!(incarnation.born >= newest, "{incarnation:?} {newest:?}");
        }
    }
}

/// Three hosts follow the store at different paces and tell each other which servers leave, late and more than once.
/// None uses a server in a lifetime that it knows to be over, and when all have caught up, all use the servers that the
/// store names, whatever they heard on the way.
#[test]
fn hosts_of_old_and_new_knowledge_agree_when_they_have_caught_up() {
    each_seed(400, |u| {
        let mut store = Store::default();
        let mut hosts: [Host; 3] = Default::default();
        let mut told: Vec<Vec<Key>> = Vec::new();
        for step in 0..u.int_in_range(1..=80)? {
            let now = Time::from_millis(step * 100);
            let host = u.int_in_range(0..=2)?;
            let host = &mut hosts[host];
            match u.int_in_range(0..=7)? {
                0 | 1 => store.step(u)?,
                2 => told.push(host.directory.leaving()),
                3 if !told.is_empty() => {
                    let notice = &told[u.int_in_range(0..=told.len() - 1)?];
                    for key in notice {
                        host.directory.mark_leaving(*key, now);
                    }
                }
                4 => host.list(&store, now),
                5 => {
                    let id = format!("s{}", u.int_in_range(0..=2)?);
                    // Only a server that lives tells when it was born.
                    let living = store.open().into_iter().find(|one| *one.id == *id);
                    let birth = living.and_then(|one| one.born);
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
            assert_eq!(open(&host.directory), store.open());
        }
        assert_eq!(hosts[0].directory.digest(), hosts[1].directory.digest());
        assert_eq!(hosts[0].directory.digest(), hosts[2].directory.digest());
        Ok(())
    });
}

/// With the store away, entries lapse and come back; a server that has started again meanwhile is used as soon as its
/// new entry is there, and its former one is not waited for.
#[test]
fn a_server_that_started_again_while_the_store_was_away_is_used_in_its_new_lifetime() {
    each_seed(200, |u| {
        let (first, second) = (born("a", 1), born("a", 2));
        let mut directory = after(&[ready(&first), ready(&born("b", 1))]);
        directory.store_lost();
        if u.arbitrary()? {
            directory.apply(Change::Gone("a".into()), Time(1));
        }
        if u.arbitrary()? {
            directory.observe_birth("a", 2);
        }
        if u.arbitrary()? {
            directory.mark_leaving(first.key(), Time(0));
        }
        let back = Time::from_millis(9_000);
        directory.store_returned(back, true);
        let mut changes = vec![ready(&second), leaving(&first), ready(&first)];
        while !changes.is_empty() {
            let next = u.int_in_range(0..=changes.len() - 1)?;
            let change = changes.swap_remove(next);
            let is_new = change == ready(&second);
            directory.apply(change, back);
            if is_new {
                break;
            }
        }
        let rest: Vec<Change> = changes;
        for change in rest {
            directory.apply(change, back + Duration::from_millis(10));
        }
        assert!(!directory.expire(back + Duration::from_secs(60)));
        assert_eq!(open(&directory), [second, born("b", 1)]);
        Ok(())
    });
}

/// Whatever is lost, doubled or late of what hosts tell of a former lifetime, the load of the new one is what was placed
/// there.
#[test]
fn the_load_of_a_lifetime_is_what_was_placed_in_it() {
    each_seed(120, |u| {
        let lives: Vec<Key> = (1..=4).map(|birth| born("a", birth).key()).collect();
        let mut sender = LoadTable::default();
        let mut receiver = LoadTable::default();
        let mut sent: Vec<Notice> = Vec::new();
        let mut held = Vec::new();
        let mut running = [0; 4];
        for sequence in 1..=u.int_in_range(1..=60)? {
            if !held.is_empty() && u.ratio(1, 3)? {
                let index = u.int_in_range(0..=held.len() - 1)?;
                let (life, id): (usize, _) = held.swap_remove(index);
                sender.release(id, Time(0));
                running[life] -= 1;
            } else {
                let life = u.int_in_range(0..=3)?;
                let mut placed = hold("a", 1_000, 10);
                placed.primary = lives[life];
                held.push((life, sender.reserve(placed, Time(0))));
                running[life] += 1;
            }
            let whole = u.ratio(1, 4)?;
            let holdings = if whole {
                sender.all_holdings(Time(0))
            } else {
                sender.take_changes()
            };
            sent.push(Notice {
                full: whole,
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
        for (life, running) in lives.iter().zip(running) {
            assert_eq!(sender.total(*life).running, running);
            assert_eq!(receiver.total(*life).running, running);
        }
        Ok(())
    });
}

#[test]
fn keys_of_all_servers_and_lifetimes_differ() {
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
