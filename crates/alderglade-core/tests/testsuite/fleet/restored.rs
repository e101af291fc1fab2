//! A store that is restored from a copy, followed by hosts at different paces. Revisions go back and are assigned
//! again, and messages between hosts about a former era arrive late, twice, out of order, or never.

use super::{active_ids, empty_notice, id_set, server};
use crate::each_seed;
use alderglade_core::fleet::directory::{
    Change, Directory, Listing, STALE_ENTRY_HOLD, STORE_RETURN_GRACE,
};
use alderglade_core::fleet::fingerprint::{Content, Fingerprint};
use alderglade_core::fleet::incarnation::Incarnation;
use alderglade_core::fleet::load_table::LoadTable;
use alderglade_core::fleet::position::Position;
use alderglade_core::fleet::quarantine::{BAR_DURATION, Decision, Quarantine};
use alderglade_core::time::Time;
use arbtest::arbitrary::{Result, Unstructured};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

fn listing(ids: &[&str]) -> Listing {
    Listing {
        servers: ids.iter().map(|id| server(id, false)).collect(),
        unreadable: Vec::new(),
    }
}

/// Creates a directory that has listed the given servers in the first era.
fn listed(ids: &[&str]) -> Directory {
    let mut directory = Directory::default();
    assert!(directory.apply_listing(listing(ids), Position::new(1, 100), Time(0)));
    directory
}

#[test]
fn a_later_era_is_later_at_any_revision() {
    assert!(Position::new(2, 1) > Position::new(1, 900));
    assert!(Position::new(1, 901) > Position::new(1, 900));
    assert!(!Position::new(2, 1).joins(Position::new(1, 900)));
    assert!(!Position::new(1, 1).joins(Position::new(2, 900)));
    assert!(Position::new(2, 1).joins(Position::new(2, 900)));
}

#[test]
fn a_list_of_a_former_era_is_ignored() {
    let mut directory = listed(&["a"]);
    assert!(directory.apply_listing(listing(&["b"]), Position::new(2, 7), Time(0)));
    assert!(!directory.apply_listing(listing(&["a"]), Position::new(1, 800), Time(0)));
    assert_eq!(directory.position(), Position::new(2, 7));
}

#[test]
fn changes_of_another_history_are_rejected() {
    let mut directory = listed(&["a"]);
    let gone = [Change::Gone("a".into())];
    let (now, known) = (Time(0), Position::new(1, 100));
    let wrong = [
        (Position::new(2, 100), Position::new(2, 101)),
        (known, Position::new(2, 101)),
        (Position::new(0, 1), Position::new(0, 101)),
        (Position::new(1, 101), Position::new(1, 102)),
        (Position::new(1, 90), Position::new(1, 100)),
    ];
    for (after, position) in wrong {
        assert!(!directory.apply_changes(after, &gone, position, now));
    }
    assert_eq!(active_ids(&directory), id_set(&["a"]));
    assert!(directory.apply_changes(known, &gone, Position::new(1, 101), now));
}

#[test]
fn a_position_of_another_era_is_not_adopted_from_a_peer() {
    let mut directory = listed(&["a"]);
    let digest = directory.digest();
    directory.confirm(digest, Position::new(2, 4));
    assert_eq!(directory.position(), Position::new(1, 100));
    directory.confirm(digest, Position::new(1, 104));
    assert_eq!(directory.position(), Position::new(1, 104));
}

#[test]
fn a_server_missing_from_the_copy_is_kept_for_the_grace_period() {
    let mut directory = listed(&["a", "b", "c"]);
    let now = Time::from_millis(5_000);
    directory.apply_listing(listing(&["a"]), Position::new(2, 40), now);
    let restored = directory.take_restored().expect("a new era");
    assert_eq!((restored.missing, restored.held_back), (2, 0));
    assert_eq!(directory.take_restored(), None);
    assert_eq!(active_ids(&directory), id_set(&["a", "b", "c"]));
    directory.apply(
        Change::Known(server("b", false)),
        now + STORE_RETURN_GRACE / 2,
    );
    directory.expire(now + STORE_RETURN_GRACE);
    assert_eq!(active_ids(&directory), id_set(&["a", "b"]));
}

#[test]
fn a_short_outage_after_a_restore_does_not_shorten_the_grace_period() {
    let mut directory = listed(&["a"]);
    directory.apply_listing(listing(&["a", "b"]), Position::new(2, 40), Time(0));
    directory.store_lost(Time(0));
    directory.store_returned(Time::from_millis(300));
    directory.apply(Change::Gone("a".into()), Time::from_millis(400));
    assert_eq!(active_ids(&directory), id_set(&["a", "b"]));
    directory.expire(Time::from_millis(2_000));
    assert_eq!(active_ids(&directory), id_set(&["b"]));
}

#[test]
fn a_departed_server_in_the_copy_is_held_back_until_it_writes() {
    let mut directory = listed(&["a", "b"]);
    directory.apply(Change::Gone("b".into()), Time(0));
    let now = Time::from_millis(3_000);
    directory.apply_listing(listing(&["a", "b"]), Position::new(2, 40), now);
    assert_eq!(
        directory.take_restored().map(|restored| restored.held_back),
        Some(1)
    );
    assert_eq!(active_ids(&directory), id_set(&["a"]));
    // Another list of the same era, as after the store has dropped its history, doesn't admit it.
    directory.apply_listing(listing(&["a", "b"]), Position::new(2, 44), now);
    assert_eq!(active_ids(&directory), id_set(&["a"]));
    directory.apply(Change::Known(server("b", false)), now);
    assert_eq!(active_ids(&directory), id_set(&["a", "b"]));
}

#[test]
fn a_departed_server_whose_entry_outlasts_its_heartbeats_is_admitted() {
    let mut directory = listed(&["a", "b"]);
    directory.apply(Change::Gone("b".into()), Time(0));
    let now = Time::from_millis(3_000);
    directory.apply_listing(listing(&["a", "b"]), Position::new(2, 40), now);
    assert!(!directory.expire(now + STALE_ENTRY_HOLD - Duration::from_millis(1)));
    assert!(directory.expire(now + STALE_ENTRY_HOLD));
    assert_eq!(active_ids(&directory), id_set(&["a", "b"]));
}

#[test]
fn a_host_started_in_a_later_era_is_a_newer_incarnation() {
    let mut loads = LoadTable::default();
    let mut notice = empty_notice("h", 0, 900);
    notice.incarnation = Position::new(1, 700);
    assert!(loads.apply_notice(&notice, Time(0)));
    notice.incarnation = Position::new(2, 500);
    notice.sequence = 1;
    assert!(loads.apply_notice(&notice, Time(1)), "a newer incarnation");
    notice.incarnation = Position::new(1, 700);
    notice.sequence = 901;
    notice.multi_engine_prompts = 3;
    assert!(
        !loads.apply_notice(&notice, Time(2)),
        "a late notice of the former incarnation"
    );
    assert_eq!(loads.multi_engine_prompts(), 0);
}

fn fingerprint(body: &str) -> Fingerprint {
    let content = Content {
        workspace: None,
        method: "POST",
        host: "one.example",
        target: "/x/",
        body: body.as_bytes(),
    };
    content.fingerprint()
}

#[test]
fn bars_missing_from_the_copy_are_stored_again_and_released_ones_removed_again() {
    let mut quarantine = Quarantine::default();
    let [held, released, new] = ["held", "released", "new"].map(fingerprint);
    let now = Time::from_millis(1_000);
    quarantine.apply_stored_bar(held, BAR_DURATION, now);
    quarantine.apply_stored_bar(released, BAR_DURATION, now);
    quarantine.apply_stored_release(released, now);
    quarantine.take_verdicts();
    quarantine.restore(&[(released, BAR_DURATION), (new, BAR_DURATION)], now);
    let verdicts = quarantine.take_verdicts();
    let verdict_on = |fingerprint| {
        verdicts
            .iter()
            .find(move |verdict| verdict.fingerprint == fingerprint)
    };
    assert!(
        matches!(verdict_on(held), Some(v) if v.decision != Decision::Released && v.first_hand)
    );
    assert!(
        matches!(verdict_on(released), Some(v) if v.decision == Decision::Released && v.first_hand)
    );
    assert!(quarantine.barred_for(new, now).is_some());
    assert!(quarantine.barred_for(released, now).is_none());
}

/// A model of the store: its entries, and the changes of the current era.
#[derive(Clone, Default)]
struct Store {
    era: u64,
    revision: u64,
    /// Listed servers, with whether their entry marks them as leaving.
    entries: BTreeMap<String, bool>,
    changes: Vec<(u64, Change)>,
}

impl Store {
    fn position(&self) -> Position {
        Position::new(self.era, self.revision)
    }

    fn write(&mut self, id: &str, leaving: bool) {
        if self.entries.insert(id.into(), leaving) != Some(leaving) {
            self.revision += 1;
            let change = Change::Known(server(id, leaving));
            self.changes.push((self.revision, change));
        }
    }

    fn remove(&mut self, id: &str) {
        if self.entries.remove(id).is_some() {
            self.revision += 1;
            self.changes.push((self.revision, Change::Gone(id.into())));
        }
    }

    fn listing(&self) -> Listing {
        let servers = self.entries.iter();
        Listing {
            servers: servers.map(|(id, leaving)| server(id, *leaving)).collect(),
            unreadable: Vec::new(),
        }
    }

    fn since(&self, revision: u64) -> Vec<Change> {
        let later = self.changes.iter().filter(|(at, _)| *at > revision);
        later.map(|(_, change)| change.clone()).collect()
    }
}

/// A message from a host to its peers.
#[derive(Clone)]
enum Message {
    Changes(Position, Vec<Change>, Position),
    Digest(u64, Position),
}

/// Live servers, a store, and hosts that follow it.
struct World {
    store: Store,
    /// Copies that the store may be restored from.
    copies: Vec<Store>,
    /// Live servers, with whether they are leaving.
    live: BTreeMap<String, bool>,
    /// Number of servers started so far.
    started: u64,
    hosts: Vec<Directory>,
    /// The servers that each host has ever known to be leaving.
    known_to_leave: Vec<BTreeSet<String>>,
    /// All messages sent so far, any of which may arrive at any time.
    messages: Vec<Message>,
}

impl World {
    fn new(hosts: usize) -> World {
        World {
            store: Store {
                era: 1,
                ..Store::default()
            },
            copies: vec![Store::default()],
            live: BTreeMap::new(),
            started: 0,
            hosts: (0..hosts).map(|_| Directory::default()).collect(),
            known_to_leave: vec![BTreeSet::new(); hosts],
            messages: Vec::new(),
        }
    }

    /// Applies a random event to the servers or the store.
    fn random_event(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let ids: Vec<String> = self.live.keys().cloned().collect();
        let any = if ids.is_empty() {
            None
        } else {
            Some(u.choose(&ids)?.clone())
        };
        match (u.int_in_range(0..=6)?, any) {
            (0 | 1, _) | (_, None) => {
                self.started += 1;
                let id = format!("s{}", self.started);
                self.store.write(&id, false);
                self.live.insert(id, false);
            }
            (2, Some(id)) => {
                self.store.write(&id, true);
                self.live.insert(id, true);
            }
            (3, Some(id)) => {
                self.store.remove(&id);
                self.live.remove(&id);
            }
            (4, _) => self.copies.push(self.store.clone()),
            (5, _) => {
                let copy = u.choose(&self.copies)?.clone();
                self.store = Store {
                    era: self.store.era + 1,
                    ..copy
                };
            }
            (_, Some(id)) => self.store.write(&id, self.live[&id]),
        }
        Ok(())
    }

    /// A host queries the store and forwards the changes.
    fn follow(&mut self, host: usize, now: Time) {
        let (directory, store) = (&mut self.hosts[host], &self.store);
        let (known, position) = (directory.position(), store.position());
        if !directory.is_listed() || known.era != store.era {
            directory.apply_listing(store.listing(), position, now);
        } else {
            let changes = store.since(known.revision);
            directory.apply_changes(known, &changes, position, now);
            self.messages
                .push(Message::Changes(known, changes, position));
        }
        let message = Message::Digest(directory.digest(), directory.position());
        self.messages.push(message);
    }

    /// A host receives any message sent so far.
    fn receive(&mut self, u: &mut Unstructured<'_>, host: usize, now: Time) -> Result<()> {
        if self.messages.is_empty() {
            return Ok(());
        }
        match u.choose(&self.messages)?.clone() {
            Message::Changes(after, changes, position) => {
                self.hosts[host].apply_changes(after, &changes, position, now);
            }
            Message::Digest(digest, position) => self.hosts[host].confirm(digest, position),
        }
        Ok(())
    }

    /// Checks that no host uses a server that it has known to be leaving, and that no host's position goes back.
    fn check(&mut self, before: &[Position]) {
        for (host, directory) in self.hosts.iter().enumerate() {
            assert!(directory.position() >= before[host]);
            let active = active_ids(directory);
            let known = &mut self.known_to_leave[host];
            assert!(active.is_disjoint(known), "{active:?} {known:?}");
            let leaving = directory.leaving();
            let ids = (1..=self.started).map(|number| format!("s{number}"));
            let is_leaving = |id: &String| leaving.contains(&Incarnation::new(&**id, None).key());
            known.extend(ids.filter(is_leaving));
        }
    }

    /// Lets all live servers write their entries again, the entries of the others lapse, and each host catch up.
    fn settle(&mut self, now: Time) -> Time {
        for (id, leaving) in self.live.clone() {
            self.store.write(&id, leaving);
        }
        let listed: Vec<String> = self.store.entries.keys().cloned().collect();
        for id in listed.iter().filter(|id| !self.live.contains_key(*id)) {
            self.store.remove(id);
        }
        let later = now + STALE_ENTRY_HOLD + STORE_RETURN_GRACE;
        for host in 0..self.hosts.len() {
            self.follow(host, now);
            self.hosts[host].expire(later);
            self.follow(host, later);
            self.hosts[host].expire(later + STORE_RETURN_GRACE);
        }
        later + STORE_RETURN_GRACE
    }
}

#[test]
fn hosts_agree_with_the_store_whatever_arrives_from_former_eras() {
    each_seed(600, |u| {
        let hosts = u.int_in_range(2..=5)?;
        let mut world = World::new(hosts);
        let mut now = Time(0);
        for _ in 0..u.int_in_range(1..=90)? {
            now = now + Duration::from_millis(u.int_in_range(1..=900)?);
            let host = u.int_in_range(0..=hosts - 1)?;
            let before: Vec<Position> = world.hosts.iter().map(Directory::position).collect();
            match u.int_in_range(0..=6)? {
                0..=2 => world.random_event(u)?,
                3 | 4 => world.follow(host, now),
                5 => world.receive(u, host, now)?,
                _ => drop(world.hosts[host].expire(now)),
            }
            world.check(&before);
        }
        world.settle(now);
        let ready = world.live.iter().filter(|(_, leaving)| !**leaving);
        let ready: BTreeSet<String> = ready.map(|(id, _)| id.clone()).collect();
        for (host, directory) in world.hosts.iter().enumerate() {
            assert_eq!(active_ids(directory), ready, "host {host}");
            assert_eq!(directory.digest(), world.hosts[0].digest());
        }
        Ok(())
    });
}
