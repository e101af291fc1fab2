//! Backend servers that start, leave, crash, or whose entries lapse while the store is unavailable.

use super::{key, server};
use crate::each_seed;
use alderglade_core::fleet::directory::{Change, Directory, Listing, STORE_RETURN_GRACE, Server};
use alderglade_core::fleet::faults::Fault;
use alderglade_core::time::Time;
use std::time::Duration;

fn listing(servers: Vec<Server>) -> Listing {
    Listing {
        servers,
        unreadable: Vec::new(),
    }
}

fn known(ids: &[&str]) -> Directory {
    let mut directory = Directory::default();
    let servers = ids.iter().map(|id| server(id, false)).collect();
    directory.replace(listing(servers), Time(0));
    directory
}

fn usable(directory: &Directory) -> Vec<&str> {
    directory
        .of_service("llm")
        .map(|server| &**server.id())
        .collect()
}

#[test]
fn a_leaving_server_gets_no_new_work_and_stays_leaving() {
    let mut directory = known(&["a", "b"]);
    directory.apply(Change::Known(server("a", true)), Time(1));
    assert_eq!(usable(&directory), ["b"]);
    assert!(directory.get(key("a")).is_none());
    directory.apply(Change::Known(server("a", false)), Time(2));
    assert_eq!(usable(&directory), ["b"]);
}

#[test]
fn a_peers_report_stops_the_use_of_a_leaving_server() {
    let mut directory = known(&["a", "b"]);
    assert!(directory.mark_leaving(key("a"), Time(1)));
    assert!(!directory.mark_leaving(key("a"), Time(2)), "already known");
    assert!(!directory.mark_leaving(key("unknown"), Time(1)));
    assert_eq!(usable(&directory), ["b"]);
    assert_eq!(directory.leaving(), [key("a")]);
}

/// The store is unavailable for so long that a leaving server's entry lapses, and the server, which is still serving,
/// writes it again.
#[test]
fn a_server_stays_leaving_after_its_entry_has_lapsed() {
    let mut directory = known(&["a", "b"]);
    directory.mark_leaving(key("a"), Time(1));
    directory.apply(Change::Gone("a".into()), Time(2));
    directory.apply(Change::Known(server("a", false)), Time(3));
    assert_eq!(usable(&directory), ["b"]);
    // A report that arrives before the entry is known counts as well.
    directory.mark_leaving(key("c"), Time(4));
    directory.expire(Time(5));
    directory.apply(Change::Known(server("c", false)), Time(6));
    assert_eq!(usable(&directory), ["b"]);
}

#[test]
fn an_entry_removed_while_the_store_responds_is_dropped_at_once() {
    let mut directory = known(&["a", "b"]);
    directory.apply(Change::Gone("a".into()), Time(1));
    assert_eq!(usable(&directory), ["b"]);
    directory.replace(Listing::default(), Time(2));
    assert!(directory.is_empty());
}

#[test]
fn an_entry_that_lapsed_during_an_outage_is_kept_for_the_grace_period() {
    let mut directory = known(&["a", "b", "c"]);
    directory.store_lost(Time(0));
    let returned = Time::from_millis(9_000);
    directory.store_returned(returned);
    directory.replace(listing(vec![server("c", false)]), returned);
    assert_eq!(usable(&directory), ["a", "b", "c"]);
    directory.apply(
        Change::Known(server("a", false)),
        returned + STORE_RETURN_GRACE / 2,
    );
    assert!(!directory.expire(returned + STORE_RETURN_GRACE - Duration::from_millis(1)));
    assert!(directory.expire(returned + STORE_RETURN_GRACE));
    assert_eq!(usable(&directory), ["a", "c"]);
}

/// The second of two watches reported the store's return three seconds after the first, and a server that had left in
/// between was kept for two more seconds.
#[test]
fn an_entry_removed_after_the_grace_period_is_dropped_at_once() {
    let mut directory = known(&["a", "b"]);
    directory.store_lost(Time(0));
    let returned = Time::from_millis(3_000);
    directory.store_returned(returned);
    let later = returned + STORE_RETURN_GRACE;
    directory.apply(Change::Gone("a".into()), later);
    assert_eq!(usable(&directory), ["b"]);
}

#[test]
fn a_short_outage_starts_no_grace_period() {
    let mut directory = known(&["a", "b"]);
    directory.store_lost(Time(0));
    directory.store_returned(Time(5));
    directory.apply(Change::Gone("a".into()), Time(6));
    assert_eq!(usable(&directory), ["b"]);
}

#[test]
fn another_outage_restarts_the_grace_period() {
    let mut directory = known(&["a"]);
    directory.store_lost(Time(0));
    let returned = Time::from_millis(3_000);
    directory.store_returned(returned);
    directory.apply(Change::Gone("a".into()), returned);
    directory.store_lost(returned);
    let returned = returned + STORE_RETURN_GRACE * 3;
    directory.store_returned(returned);
    assert!(!directory.expire(returned + STORE_RETURN_GRACE / 2));
    assert!(directory.expire(returned + STORE_RETURN_GRACE));
}

/// Returns a directory that has listed the given servers, and where some of them have gone missing since.
fn known_with_missing(servers: &[&str], missing: &[Server]) -> Directory {
    let mut directory = known(servers);
    directory.store_lost(Time(0));
    for server in missing {
        directory.apply(Change::Gone(server.id().clone()), Time(0));
    }
    directory
}

/// However a host has learnt of its servers, its digest equals that of a host that has just listed them and found the same
/// entries missing. Guards against a host that adopts the position of another one, where an entry is missing that it has
/// listed, and so never learns that the entry was removed.
#[test]
fn the_digest_covers_the_servers_that_accept_work() {
    each_seed(120, |u| {
        let mut directory = Directory::default();
        for step in 0..u.int_in_range(1..=60)? {
            let now = Time::from_millis(step * 300);
            let id = format!("s{}", u.int_in_range(0..=5)?);
            match u.int_in_range(0..=7)? {
                7 => {
                    let (name, problem) = (id.into(), "no entry".into());
                    directory.apply(Change::Unreadable(Fault { name, problem }), now);
                }
                0 => directory.apply(Change::Gone(id.into()), now),
                1 => drop(directory.mark_leaving(key(&id), now)),
                2 => directory.store_lost(now),
                3 => directory.store_returned(now),
                4 => drop(directory.expire(now)),
                5 => {
                    let servers = vec![server(&id, false), server("s9", true)];
                    directory.replace(listing(servers), now);
                }
                _ => directory.apply(Change::Known(server(&id, u.ratio(1, 4)?)), now),
            }
            let kept: Vec<Server> = directory.kept().cloned().collect();
            let same = known_with_missing(&usable(&directory), &kept);
            assert_eq!(directory.digest(), same.digest());
            let listed = known(&usable(&directory)).digest();
            assert_eq!(directory.digest() == listed, kept.is_empty());
        }
        Ok(())
    });
}

/// A server has crashed and another one has started at its address before the entry of the former has lapsed.
#[test]
fn a_server_whose_address_a_later_one_has_is_replaced() {
    let at_port = |id: &str, port: u16| Server {
        address: ([10, 0, 0, 1], port).into(),
        ..server(id, false)
    };
    let mut directory = Directory::default();
    directory.replace(listing(vec![at_port("a", 1), at_port("b", 2)]), Time(0));
    directory.apply(Change::Known(at_port("c", 1)), Time(1));
    assert!(directory.is_replaced(key("a")));
    assert!(!directory.is_replaced(key("b")) && !directory.is_replaced(key("c")));
    // A heartbeat of a server that is known already shows nothing new.
    directory.apply(Change::Known(at_port("a", 1)), Time(2));
    assert!(!directory.is_replaced(key("c")));
    directory.apply(Change::Gone("a".into()), Time(3));
    assert!(!directory.is_replaced(key("a")));
}
