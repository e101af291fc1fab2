//! Backend servers that come, leave, crash and lapse while the store is away.

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
fn a_server_that_leaves_gets_nothing_more_and_never_comes_back() {
    let mut directory = known(&["a", "b"]);
    directory.apply(Change::Known(server("a", true)), Time(1));
    assert_eq!(usable(&directory), ["b"]);
    assert!(directory.get(key("a")).is_none());
    directory.apply(Change::Known(server("a", false)), Time(2));
    assert_eq!(usable(&directory), ["b"]);
}

#[test]
fn a_peers_word_is_enough_to_stop_using_a_server() {
    let mut directory = known(&["a", "b"]);
    assert!(directory.mark_leaving(key("a"), Time(1)));
    assert!(!directory.mark_leaving(key("a"), Time(2)), "it is known");
    assert!(!directory.mark_leaving(key("unknown"), Time(1)));
    assert_eq!(usable(&directory), ["b"]);
    assert_eq!(directory.leaving(), [key("a")]);
}

/// The store is away for so long that a leaving server's entry lapses, and the server, which serves on, writes it again.
#[test]
fn a_server_that_leaves_does_so_after_its_entry_has_lapsed() {
    let mut directory = known(&["a", "b"]);
    directory.mark_leaving(key("a"), Time(1));
    directory.apply(Change::Gone("a".into()), Time(2));
    directory.apply(Change::Known(server("a", false)), Time(3));
    assert_eq!(usable(&directory), ["b"]);
    // What was told of a server before its entry is known counts as well.
    directory.mark_leaving(key("c"), Time(4));
    directory.expire(Time(5));
    directory.apply(Change::Known(server("c", false)), Time(6));
    assert_eq!(usable(&directory), ["b"]);
}

#[test]
fn an_entry_that_goes_while_the_store_answers_is_gone_at_once() {
    let mut directory = known(&["a", "b"]);
    directory.apply(Change::Gone("a".into()), Time(1));
    assert_eq!(usable(&directory), ["b"]);
    directory.replace(Listing::default(), Time(2));
    assert!(directory.is_empty());
}

#[test]
fn an_entry_that_lapsed_with_the_store_away_has_two_seconds_to_come_back() {
    let mut directory = known(&["a", "b", "c"]);
    directory.store_lost();
    let back = Time::from_millis(9_000);
    directory.store_returned(back, true);
    directory.replace(listing(vec![server("c", false)]), back);
    assert_eq!(usable(&directory), ["a", "b", "c"]);
    directory.apply(
        Change::Known(server("a", false)),
        back + STORE_RETURN_GRACE / 2,
    );
    assert!(!directory.expire(back + STORE_RETURN_GRACE - Duration::from_millis(1)));
    assert!(directory.expire(back + STORE_RETURN_GRACE));
    assert_eq!(usable(&directory), ["a", "c"]);
}

/// From a hunt: the second of two watches told the store's return three seconds after the first, and a
/// server that had left meanwhile was kept two seconds more.
#[test]
fn an_entry_that_goes_after_the_time_to_come_back_is_gone_at_once() {
    let mut directory = known(&["a", "b"]);
    directory.store_lost();
    directory.store_returned(Time::from_millis(1_000), true);
    let later = Time::from_millis(1_000) + STORE_RETURN_GRACE;
    directory.apply(Change::Gone("a".into()), later);
    assert_eq!(usable(&directory), ["b"]);
}

#[test]
fn a_moment_without_the_store_raises_no_doubt() {
    let mut directory = known(&["a", "b"]);
    directory.store_lost();
    directory.store_returned(Time(5), false);
    directory.apply(Change::Gone("a".into()), Time(6));
    assert_eq!(usable(&directory), ["b"]);
}

#[test]
fn with_the_store_away_again_the_time_to_come_back_starts_anew() {
    let mut directory = known(&["a"]);
    directory.store_lost();
    directory.store_returned(Time(0), true);
    directory.apply(Change::Gone("a".into()), Time(1));
    directory.store_lost();
    let back = Time(0) + STORE_RETURN_GRACE * 3;
    directory.store_returned(back, true);
    assert!(!directory.expire(back + STORE_RETURN_GRACE / 2));
    assert!(directory.expire(back + STORE_RETURN_GRACE));
}

/// However a host has come to know its servers, its digest is that of one that has just listed them.
#[test]
fn the_digest_is_that_of_the_servers_that_are_open() {
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
                2 => directory.store_lost(),
                3 => directory.store_returned(now, u.arbitrary()?),
                4 => drop(directory.expire(now)),
                5 => {
                    let servers = vec![server(&id, false), server("s9", true)];
                    directory.replace(listing(servers), now);
                }
                _ => directory.apply(Change::Known(server(&id, u.ratio(1, 4)?)), now),
            }
            assert_eq!(directory.digest(), known(&usable(&directory)).digest());
        }
        Ok(())
    });
}
