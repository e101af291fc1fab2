//! Evacuated failure domains: all hosts reach the same state, however late, often and in which order messages arrive.

use super::rng::SeededRng;
use alderglade_core::Name;
use alderglade_core::fleet::directory::{Change, Directory};
use alderglade_core::fleet::evacuation::{self, Evacuations, RESTORED_GRACE, Snapshot};
use alderglade_core::fleet::position::Position;
use alderglade_core::time::Time;
use std::collections::BTreeSet;
use std::time::Duration;

const NOW: Time = Time(1_000_000);

fn at(revision: u64) -> Position {
    Position::new(1, revision)
}

/// A position after the store was restored from a copy.
fn restored_at(revision: u64) -> Position {
    Position::new(2, revision)
}

fn domains(names: &[&str]) -> BTreeSet<Name> {
    names.iter().map(|name| Name::from(*name)).collect()
}

fn change(domain: &str, evacuated: bool) -> evacuation::Change {
    evacuation::Change {
        domain: domain.into(),
        evacuated,
    }
}

fn evacuations_at(names: &[&str], position: Position) -> Evacuations {
    let mut evacuations = Evacuations::default();
    assert!(!evacuations.is_known());
    evacuations.replace(domains(names), position, NOW);
    assert!(evacuations.is_known());
    evacuations
}

fn snapshot(names: &[&str], position: Position) -> Snapshot {
    evacuations_at(names, position).snapshot(NOW)
}

#[test]
fn only_later_positions_count() {
    let mut known = evacuations_at(&[], at(10));
    assert!(known.apply_snapshot(&snapshot(&["north"], at(20)), NOW));
    assert!(!known.apply_snapshot(&snapshot(&[], at(15)), NOW));
    assert!(!known.apply_changes(&[change("north", false)], at(20)));
    assert_eq!(known.in_force(), domains(&["north"]));
    assert!(known.apply_changes(&[change("north", false)], at(25)));
    assert!(!known.apply_snapshot(&snapshot(&["north"], at(20)), NOW));
    assert_eq!(known.in_force(), domains(&[]));
}

#[test]
fn of_several_changes_of_a_domain_the_last_counts() {
    let mut known = evacuations_at(&["south"], at(10));
    let changes = [
        change("north", true),
        change("south", false),
        change("north", false),
        change("north", true),
    ];
    assert!(known.apply_changes(&changes, at(14)));
    assert_eq!(known.in_force(), domains(&["north"]));
}

/// A host that doesn't know the evacuations must not end them elsewhere.
#[test]
fn the_snapshot_of_a_host_without_knowledge_changes_nothing() {
    let mut known = evacuations_at(&["north"], at(10));
    assert!(!known.apply_snapshot(&Evacuations::default().snapshot(NOW), NOW));
    assert_eq!(known.in_force(), domains(&["north"]));
}

#[test]
fn an_evacuation_missing_from_a_restored_copy_holds_for_the_grace_period() {
    let mut known = evacuations_at(&["north"], at(100));
    assert!(!known.replace(domains(&[]), restored_at(50), NOW));
    assert_eq!(known.in_force(), domains(&["north"]));
    // A host that starts now reads only what the copy holds. It gets the rest from others, but for no longer than
    // they hold it.
    let later = NOW + RESTORED_GRACE / 2;
    let mut fresh = evacuations_at(&[], restored_at(60));
    assert!(fresh.apply_snapshot(&known.snapshot(later), later));
    assert!(!known.apply_snapshot(&fresh.snapshot(later), later));
    assert_eq!(known.in_force(), domains(&["north"]));
    assert!(!known.expire(later));
    assert!(known.expire(NOW + RESTORED_GRACE));
    assert!(fresh.expire(NOW + RESTORED_GRACE));
    assert_eq!(known.in_force(), domains(&[]));
    assert_eq!(fresh.in_force(), domains(&[]));
}

#[test]
fn an_evacuation_that_is_written_again_stays_until_it_is_ended() {
    let mut known = evacuations_at(&["north"], at(100));
    known.replace(domains(&[]), restored_at(50), NOW);
    assert!(!known.apply_changes(&[change("north", true)], restored_at(60)));
    assert!(!known.expire(NOW + RESTORED_GRACE * 2));
    assert_eq!(known.in_force(), domains(&["north"]));
    assert!(known.apply_changes(&[change("north", false)], restored_at(61)));
    assert_eq!(known.in_force(), domains(&[]));
}

/// The copy may contain an evacuation that had ended. The store's state is in force, and only the operator can end it.
#[test]
fn what_a_restored_copy_contains_is_in_force() {
    let mut known = evacuations_at(&[], at(100));
    assert!(known.replace(domains(&["north"]), restored_at(50), NOW));
    assert!(!known.apply_snapshot(&snapshot(&[], at(100)), NOW));
    assert_eq!(known.in_force(), domains(&["north"]));
}

/// Up to a thousand hosts, of which one at a time queries the store. Messages are lost, duplicated and late, and
/// hosts restart and are disconnected.
#[test]
fn all_hosts_converge_to_the_stores_state() {
    for seed in 0..12_u64 {
        let mut rng = SeededRng(seed);
        let count = [3, 60, 1_000][rng.next_host(3)];
        let mut store = domains(&[]);
        let mut hosts: Vec<Evacuations> = (0..count).map(|_| Evacuations::default()).collect();
        let mut envelopes: Vec<(usize, Snapshot)> = Vec::new();
        let mut revision = 1;
        for _ in 0..60 {
            revision += 1 + rng.next_below(3);
            let domain = ["north", "south", "east"][rng.next_host(3)];
            if !store.remove(domain) {
                store.insert(domain.into());
            }
            hosts[rng.next_host(count)].replace(store.clone(), at(revision), NOW);
            for _ in 0..count.min(40) {
                let from = rng.next_host(count);
                envelopes.push((rng.next_host(count), hosts[from].snapshot(NOW)));
            }
            if rng.next_below(4) == 0 {
                hosts[rng.next_host(count)] = Evacuations::default();
            }
            for _ in 0..rng.next_host(envelopes.len() + 1) {
                let (to, snapshot) = envelopes.swap_remove(rng.next_host(envelopes.len()));
                hosts[to].apply_snapshot(&snapshot, NOW);
            }
        }
        hosts[0].replace(store.clone(), at(revision), NOW);
        let snapshot = hosts[0].snapshot(NOW);
        for (number, host) in hosts.iter_mut().enumerate() {
            host.apply_snapshot(&snapshot, NOW);
            assert_eq!(host.in_force(), store, "seed {seed}, host {number}");
        }
    }
}

#[test]
fn servers_of_an_evacuated_domain_get_no_new_work_and_stay_known() {
    let mut directory = Directory::default();
    let server = super::server("e1", false);
    let key = server.key();
    directory.apply(Change::Known(server), NOW);
    let digest = directory.digest();
    directory.evacuate(domains(&["north"]));
    assert!(directory.get(key).is_none());
    assert_eq!(directory.of_service("llm").count(), 0);
    assert!(directory.active(key).is_some());
    assert_eq!(directory.active_of("llm").count(), 1);
    assert_eq!(
        directory.digest(),
        digest,
        "hosts compare their servers by the digest"
    );
    assert_eq!(directory.evacuate(domains(&[])), domains(&["north"]));
    assert!(directory.get(key).is_some());
}

#[test]
fn an_entry_reports_a_cold_period_once() {
    let mut directory = Directory::default();
    let mut server = super::server("e1", false);
    server.cold_ms = 1_500;
    let key = server.key();
    directory.apply(Change::Known(server.clone()), NOW);
    let cold_servers = directory.take_cold();
    assert_eq!(cold_servers.len(), 1);
    assert_eq!(cold_servers[0].server, key);
    assert_eq!(cold_servers[0].span, Duration::from_millis(1_500));
    assert!(directory.take_cold().is_empty());
    server.cold_ms = 0;
    directory.apply(Change::Known(server), NOW);
    assert!(directory.take_cold().is_empty());
}
