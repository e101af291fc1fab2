//! The load book under lost, doubled and reordered notices, and under the death of hosts.

use super::{empty_notice, hold, key, profile};
use crate::each_seed;
use alderglade_core::Name;
use alderglade_core::fleet::heartbeat;
use alderglade_core::fleet::load_table::{
    DOMAIN_SILENCE_TIMEOUT, Load, LoadTable, Notice, PauseClass, Pauses, Reservation,
};
use alderglade_core::time::Time;
use std::time::Duration;

/// After this time without a notice nothing is held by a host whose heartbeats come every 250 ms.
const LAPSE: Duration = Duration::from_millis(1_250);

fn notice(
    host: &str,
    incarnation: u64,
    sequence: u64,
    whole: bool,
    loads: &mut LoadTable,
) -> Notice {
    Notice {
        full: whole,
        multi_engine_prompts: loads.own_multi_engine_prompts(),
        waiting: loads.waiting(Time(0)),
        holdings: if whole {
            loads.all_holdings(Time(0))
        } else {
            loads.take_changes()
        },
        ..empty_notice(host, incarnation, sequence)
    }
}

fn memory(loads: &LoadTable, server: &str) -> i64 {
    loads.total(key(server)).memory
}

fn nothing_held(loads: &LoadTable, server: &str) -> bool {
    loads.total(key(server)).holds_nothing()
}

/// A book that knows the timing of some engines.
fn book_of(engines: &[&str]) -> LoadTable {
    let mut loads = LoadTable::default();
    let engines = engines.iter().map(|name| (key(name), profile()));
    loads.set_engines(engines.collect());
    loads
}

#[test]
fn a_request_counts_from_its_placement_to_its_end() {
    let mut loads = book_of(&["e1"]);
    let id = loads.reserve(hold("e1", 30_000, 6_000), Time(0));
    assert_eq!(loads.total(key("e1")).running, 1);
    assert_eq!(memory(&loads, "e1"), 6_000);
    assert!(loads.backlog(key("e1"), Time(0)).total() >= 30.0);
    loads.mark_read(id, Time(0));
    assert_eq!(memory(&loads, "e1"), 6_000);
    loads.release(id, Time(0));
    assert!(nothing_held(&loads, "e1"));
}

/// From a soak: prompts at silent servers were set aside and taken back, and each time their reading counted once more, so
/// that idle engines seemed busy for seconds.
#[test]
fn a_placement_that_is_taken_back_brings_no_reading_again() {
    let mut loads = book_of(&["e1"]);
    let id = loads.reserve(hold("e1", 30_000, 6_000), Time(0));
    let backlog = loads.backlog(key("e1"), Time(0)).total();
    let aside = loads.release(id, Time(0)).expect("it is held");
    assert!(nothing_held(&loads, "e1"));
    loads.reserve(aside, Time(0));
    assert_eq!(memory(&loads, "e1"), 6_000);
    assert_eq!(loads.backlog(key("e1"), Time(0)).total(), backlog);
    let told = loads.take_changes();
    assert_eq!(told[0].added, 30_000, "peers hear of it once");
}

#[test]
fn reading_twice_or_releasing_twice_changes_nothing() {
    let mut loads = LoadTable::default();
    let id = loads.reserve(hold("e1", 30_000, 6_000), Time(0));
    loads.mark_read(id, Time(0));
    loads.mark_read(id, Time(0));
    loads.release(id, Time(0));
    loads.release(id, Time(0));
    loads.mark_read(id, Time(0));
    assert!(nothing_held(&loads, "e1"));
    assert!(loads.all_holdings(Time::from_millis(60_000)).is_empty());
}

#[test]
fn a_multi_engine_prompt_counts_until_its_first_token() {
    let mut loads = LoadTable::default();
    let multi_engine = Reservation {
        multi_engine: true,
        ..hold("e1", 50_000, 90_000)
    };
    let id = loads.reserve(multi_engine, Time(0));
    assert_eq!(loads.multi_engine_prompts(), 1);
    assert!(loads.mark_read(id, Time(0)), "peers may read another one");
    assert!(!loads.mark_read(id, Time(0)), "once is enough");
    assert_eq!(loads.multi_engine_prompts(), 0);
    loads.release(id, Time(0));
    assert_eq!(loads.multi_engine_prompts(), 0);
}

#[test]
fn peers_add_up_and_changes_are_told_once() {
    let mut sender = LoadTable::default();
    let mut receiver = LoadTable::default();
    receiver.reserve(hold("e1", 1_000, 10), Time(0));
    let id = sender.reserve(hold("e1", 2_000, 20), Time(0));
    receiver.apply_notice(&notice("a", 1, 1, false, &mut sender), Time(0));
    assert_eq!(memory(&receiver, "e1"), 30);
    assert!(!sender.has_changes());
    sender.release(id, Time(0));
    receiver.apply_notice(&notice("a", 1, 2, false, &mut sender), Time(0));
    assert_eq!(memory(&receiver, "e1"), 10);
    assert_eq!(receiver.host_count(), 2);
}

#[test]
fn what_peers_place_is_ahead_until_the_engine_has_read_it() {
    let mut sender = LoadTable::default();
    let mut receiver = book_of(&["e1"]);
    receiver.apply_notice(&notice("a", 1, 1, true, &mut sender), Time(0));
    sender.reserve(hold("e1", 200_000, 20), Time(0));
    let told = notice("a", 1, 2, false, &mut sender);
    receiver.apply_notice(&told, Time(0));
    receiver.apply_notice(&told, Time(0));
    let backlog = receiver.backlog(key("e1"), Time(0)).total();
    assert!((200.0..260.0).contains(&backlog), "{backlog}");
    // Told again in full, it isn't placed again.
    receiver.apply_notice(
        &notice("a", 1, 3, true, &mut sender),
        Time::from_millis(100),
    );
    let backlog = receiver.backlog(key("e1"), Time::from_millis(100)).total();
    assert!((140.0..190.0).contains(&backlog), "{backlog}");
}

#[test]
fn what_a_lost_notice_told_is_made_good_by_the_next() {
    let mut sender = LoadTable::default();
    let mut receiver = book_of(&["e1"]);
    sender.reserve(hold("e1", 1_000, 20), Time(0));
    receiver.apply_notice(&notice("a", 1, 1, false, &mut sender), Time(0));
    sender.reserve(hold("e1", 100_000, 20), Time(0));
    notice("a", 1, 2, false, &mut sender);
    sender.reserve(hold("e1", 150_000, 20), Time(0));
    receiver.apply_notice(&notice("a", 1, 3, false, &mut sender), Time(0));
    let backlog = receiver.backlog(key("e1"), Time(0)).total();
    assert!((251.0..310.0).contains(&backlog), "{backlog}");
}

#[test]
fn a_host_that_is_new_here_has_placed_what_it_tells_long_ago() {
    let mut sender = LoadTable::default();
    let mut receiver = book_of(&["e1"]);
    sender.reserve(hold("e1", 900_000, 20), Time(0));
    sender.take_changes();
    receiver.apply_notice(&notice("a", 1, 1, true, &mut sender), Time(0));
    assert!(receiver.backlog(key("e1"), Time(0)).total() < 100.0);
}

/// A host that was restarted hears of a server for the first time when something is added there.
#[test]
fn of_a_server_that_is_new_here_only_what_was_added_is_ahead() {
    let mut sender = LoadTable::default();
    let mut receiver = book_of(&["e1"]);
    sender.reserve(hold("e1", 900_000, 20), Time(0));
    sender.take_changes();
    sender.reserve(hold("e1", 200_000, 20), Time(0));
    receiver.apply_notice(&notice("a", 1, 1, false, &mut sender), Time(0));
    let backlog = receiver.backlog(key("e1"), Time(0)).total();
    assert!((200.0..260.0).contains(&backlog), "{backlog}");
}

#[test]
fn an_older_notice_is_dropped() {
    let mut sender = LoadTable::default();
    let mut receiver = LoadTable::default();
    let id = sender.reserve(hold("e1", 2_000, 20), Time(0));
    let old = notice("a", 1, 1, true, &mut sender);
    sender.release(id, Time(0));
    receiver.apply_notice(&notice("a", 1, 2, true, &mut sender), Time(0));
    assert!(!receiver.apply_notice(&old, Time(0)));
    assert!(nothing_held(&receiver, "e1"));
}

#[test]
fn a_new_lifetime_replaces_all_that_the_old_one_held() {
    let mut receiver = LoadTable::default();
    let mut first = LoadTable::default();
    first.reserve(hold("e1", 2_000, 20), Time(0));
    assert!(receiver.apply_notice(&notice("a", 1, 9, true, &mut first), Time(0)));
    let mut second = LoadTable::default();
    second.reserve(hold("e2", 500, 5), Time(0));
    assert!(receiver.apply_notice(&notice("a", 2, 1, false, &mut second), Time(0)));
    assert!(nothing_held(&receiver, "e1"));
    assert_eq!(memory(&receiver, "e2"), 5);
    assert!(!receiver.apply_notice(&notice("a", 1, 10, true, &mut first), Time(0)));
    assert!(nothing_held(&receiver, "e1"));
}

#[test]
fn what_a_silent_host_held_lapses() {
    let mut receiver = LoadTable::default();
    let mut sender = LoadTable::default();
    sender.reserve(hold("e1", 2_000, 20), Time(0));
    receiver.apply_notice(&notice("a", 1, 1, true, &mut sender), Time(0));
    assert!(receiver.expire(Time(0) + LAPSE).is_empty());
    let late = Time(0) + LAPSE + Duration::from_millis(1);
    assert_eq!(receiver.expire(late), [Name::from("a")]);
    assert!(nothing_held(&receiver, "e1"));
    assert_eq!(receiver.host_count(), 1);
}

#[test]
fn a_host_with_rare_heartbeats_may_be_silent_for_longer() {
    let mut receiver = LoadTable::default();
    let mut sender = LoadTable::default();
    let mut rare = notice("a", 1, 1, true, &mut sender);
    rare.interval_ms = 1_000;
    receiver.apply_notice(&rare, Time(0));
    let domain = Name::from("north");
    let heard = |loads: &LoadTable, at| loads.live_hosts(&domain, at).count();
    assert_eq!(heard(&receiver, Time::from_millis(2_600)), 1);
    assert_eq!(heard(&receiver, Time::from_millis(2_601)), 0);
    let lapse = heartbeat::expiry(Duration::from_millis(1_000));
    assert!(receiver.expire(Time(0) + lapse).is_empty());
    assert_eq!(receiver.expire(Time(1) + lapse).len(), 1);
}

#[test]
fn a_domain_whose_hosts_are_all_silent_seems_cut_off() {
    let mut receiver = LoadTable::default();
    let mut sender = LoadTable::default();
    assert!(!receiver.is_domain_silent("north", Time::from_millis(60_000)));
    receiver.apply_notice(&notice("a", 1, 1, true, &mut sender), Time(0));
    receiver.apply_notice(
        &notice("b", 1, 1, true, &mut sender),
        Time::from_millis(400),
    );
    let heard = Time::from_millis(400);
    assert!(!receiver.is_domain_silent("north", heard + DOMAIN_SILENCE_TIMEOUT));
    assert!(receiver.is_domain_silent(
        "north",
        heard + DOMAIN_SILENCE_TIMEOUT + Duration::from_millis(1)
    ));
    assert!(!receiver.is_domain_silent("south", heard + DOMAIN_SILENCE_TIMEOUT * 9));
}

#[test]
fn a_host_is_isolated_where_it_hears_no_other_domain_any_more() {
    let mut receiver = LoadTable::default();
    let mut sender = LoadTable::default();
    let late = Time(0) + DOMAIN_SILENCE_TIMEOUT * 2;
    assert!(
        !receiver.is_isolated("south", late),
        "nobody was ever heard"
    );
    receiver.apply_notice(&notice("a", 1, 1, true, &mut sender), Time(0));
    assert!(!receiver.is_isolated("south", Time(0) + DOMAIN_SILENCE_TIMEOUT));
    assert!(receiver.is_isolated("south", late));
    assert!(
        !receiver.is_isolated("north", late),
        "its own domain is silent"
    );
    let mut other = notice("b", 1, 1, true, &mut sender);
    other.domain = "west".into();
    receiver.apply_notice(&other, late);
    assert!(
        !receiver.is_isolated("south", late),
        "another domain is heard"
    );
}

/// However notices are lost, doubled and reordered, one whole notice makes the view exact.
#[test]
fn one_whole_notice_makes_good_all_that_was_lost() {
    each_seed(60, |u| {
        let mut sender = LoadTable::default();
        let mut receiver = LoadTable::default();
        let mut held = Vec::new();
        let mut sent = Vec::new();
        for sequence in 1..=u.int_in_range(1..=60)? {
            let server = format!("e{}", u.int_in_range(0..=4)?);
            match u.int_in_range(0..=2)? {
                0 if !held.is_empty() => {
                    let index = u.int_in_range(0..=held.len() - 1)?;
                    sender.release(held.swap_remove(index), Time(0));
                }
                1 if !held.is_empty() => {
                    let index = u.int_in_range(0..=held.len() - 1)?;
                    sender.mark_read(held[index], Time(0));
                }
                _ => {
                    let hold = hold(&server, u.int_in_range(0..=90_000)?, 7_000);
                    held.push(sender.reserve(hold, Time(0)));
                }
            }
            let whole = u.ratio(1, 8)?;
            sent.push(notice("a", 1, sequence, whole, &mut sender));
            let index = u.int_in_range(0..=sent.len() - 1)?;
            if u.ratio(2, 3)? {
                receiver.apply_notice(&sent[index], Time(0));
            }
        }
        receiver.apply_notice(&notice("a", 1, 1_000, true, &mut sender), Time(0));
        for number in 0..=4 {
            let server = format!("e{number}");
            let held = |loads: &LoadTable| Load {
                placed: 0,
                ..loads.total(key(&server))
            };
            assert_eq!(held(&receiver), held(&sender));
        }
        Ok(())
    });
}

#[test]
fn pauses_fall_into_their_classes() {
    assert_eq!(
        PauseClass::of(Duration::from_millis(250)),
        PauseClass::Short
    );
    assert_eq!(
        PauseClass::of(Duration::from_millis(600)),
        PauseClass::Middle
    );
    assert_eq!(
        PauseClass::of(Duration::from_millis(1_000)),
        PauseClass::Long
    );
    for class in PauseClass::ALL {
        let bears = Duration::from_secs_f64(Pauses::default().tolerated_ms(class) / 1_000.0);
        assert_eq!(PauseClass::of(bears), class);
    }
}

#[test]
fn answers_bear_the_shortest_pause_that_the_routes_of_their_class_allow() {
    let allowed = [350, 200, 500, 900].map(Duration::from_millis);
    let pauses = Pauses::of(allowed.into_iter());
    let bears = PauseClass::ALL.map(|class| pauses.tolerated_ms(class));
    assert_eq!(bears, [200.0, 500.0, 900.0]);
    let none = Pauses::of(std::iter::empty());
    assert_eq!(none, Pauses::default());
}
