//! The load table under lost, duplicated and reordered notices, and when hosts die.

use super::{empty_notice, key, profile, reservation};
use crate::each_seed;
use alderglade_core::Name;
use alderglade_core::fleet::heartbeat;
use alderglade_core::fleet::load_table::{
    DOMAIN_SILENCE_TIMEOUT, Load, LoadTable, Notice, PauseClass, Pauses, Reservation,
};
use alderglade_core::time::Time;
use std::time::Duration;

/// The time without a notice after which the holdings of a host with heartbeats every 250 ms expire.
const EXPIRY: Duration = Duration::from_millis(1_250);

fn notice(
    host: &str,
    incarnation: u64,
    sequence: u64,
    full: bool,
    loads: &mut LoadTable,
) -> Notice {
    Notice {
        full,
        multi_engine_prompts: loads.own_multi_engine_prompts(),
        queued: loads.queued_demands(Time(0)),
        holdings: if full {
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

fn is_empty_at(loads: &LoadTable, server: &str) -> bool {
    loads.total(key(server)).holds_nothing()
}

/// Creates a load table that knows the timing of some engines.
fn table_with_engines(engines: &[&str]) -> LoadTable {
    let mut loads = LoadTable::default();
    let engines = engines.iter().map(|name| (key(name), profile()));
    loads.set_engines(engines.collect());
    loads
}

#[test]
fn a_request_counts_from_its_placement_to_its_end() {
    let mut loads = table_with_engines(&["e1"]);
    let id = loads.reserve(reservation("e1", 30_000, 6_000), Time(0));
    assert_eq!(loads.total(key("e1")).running, 1);
    assert_eq!(memory(&loads, "e1"), 6_000);
    assert!(loads.backlog(key("e1"), Time(0)).total() >= 30.0);
    loads.mark_read(id, Time(0));
    assert_eq!(memory(&loads, "e1"), 6_000);
    loads.release(id, Time(0));
    assert!(is_empty_at(&loads, "e1"));
}

/// Requests at silent servers are suspended and resumed. If their reading counted again each time, idle engines would
/// seem busy for seconds.
#[test]
fn a_released_and_renewed_reservation_counts_its_reading_once() {
    let mut loads = table_with_engines(&["e1"]);
    let id = loads.reserve(reservation("e1", 30_000, 6_000), Time(0));
    let backlog = loads.backlog(key("e1"), Time(0)).total();
    let suspended = loads.release(id, Time(0)).expect("a known reservation");
    assert!(is_empty_at(&loads, "e1"));
    loads.reserve(suspended, Time(0));
    assert_eq!(memory(&loads, "e1"), 6_000);
    assert_eq!(loads.backlog(key("e1"), Time(0)).total(), backlog);
    let changes = loads.take_changes();
    assert_eq!(changes[0].added, 30_000, "the reading is reported once");
}

#[test]
fn marking_read_or_releasing_twice_changes_nothing() {
    let mut loads = LoadTable::default();
    let id = loads.reserve(reservation("e1", 30_000, 6_000), Time(0));
    loads.mark_read(id, Time(0));
    loads.mark_read(id, Time(0));
    loads.release(id, Time(0));
    loads.release(id, Time(0));
    loads.mark_read(id, Time(0));
    assert!(is_empty_at(&loads, "e1"));
    assert!(loads.all_holdings(Time::from_millis(60_000)).is_empty());
}

#[test]
fn a_multi_engine_prompt_counts_until_its_first_token() {
    let mut loads = LoadTable::default();
    let multi_engine = Reservation {
        multi_engine: true,
        ..reservation("e1", 50_000, 90_000)
    };
    let id = loads.reserve(multi_engine, Time(0));
    assert_eq!(loads.multi_engine_prompts(), 1);
    assert!(
        loads.mark_read(id, Time(0)),
        "another one may start at once"
    );
    assert!(!loads.mark_read(id, Time(0)), "reported once");
    assert_eq!(loads.multi_engine_prompts(), 0);
    loads.release(id, Time(0));
    assert_eq!(loads.multi_engine_prompts(), 0);
}

#[test]
fn loads_of_peers_add_up_and_changes_are_reported_once() {
    let mut sender = LoadTable::default();
    let mut receiver = LoadTable::default();
    receiver.reserve(reservation("e1", 1_000, 10), Time(0));
    let id = sender.reserve(reservation("e1", 2_000, 20), Time(0));
    receiver.apply_notice(&notice("a", 1, 1, false, &mut sender), Time(0));
    assert_eq!(memory(&receiver, "e1"), 30);
    assert!(!sender.has_changes());
    sender.release(id, Time(0));
    receiver.apply_notice(&notice("a", 1, 2, false, &mut sender), Time(0));
    assert_eq!(memory(&receiver, "e1"), 10);
    assert_eq!(receiver.host_count(), 2);
}

#[test]
fn a_peers_placement_is_backlog_until_the_engine_has_read_it() {
    let mut sender = LoadTable::default();
    let mut receiver = table_with_engines(&["e1"]);
    receiver.apply_notice(&notice("a", 1, 1, true, &mut sender), Time(0));
    sender.reserve(reservation("e1", 200_000, 20), Time(0));
    let changes = notice("a", 1, 2, false, &mut sender);
    receiver.apply_notice(&changes, Time(0));
    receiver.apply_notice(&changes, Time(0));
    let backlog = receiver.backlog(key("e1"), Time(0)).total();
    assert!((200.0..260.0).contains(&backlog), "{backlog}");
    // A full notice reports it again, which must not add it again.
    receiver.apply_notice(
        &notice("a", 1, 3, true, &mut sender),
        Time::from_millis(100),
    );
    let backlog = receiver.backlog(key("e1"), Time::from_millis(100)).total();
    assert!((140.0..190.0).contains(&backlog), "{backlog}");
}

#[test]
fn the_next_notice_corrects_a_lost_one() {
    let mut sender = LoadTable::default();
    let mut receiver = table_with_engines(&["e1"]);
    sender.reserve(reservation("e1", 1_000, 20), Time(0));
    receiver.apply_notice(&notice("a", 1, 1, false, &mut sender), Time(0));
    sender.reserve(reservation("e1", 100_000, 20), Time(0));
    notice("a", 1, 2, false, &mut sender);
    sender.reserve(reservation("e1", 150_000, 20), Time(0));
    receiver.apply_notice(&notice("a", 1, 3, false, &mut sender), Time(0));
    let backlog = receiver.backlog(key("e1"), Time(0)).total();
    assert!((251.0..310.0).contains(&backlog), "{backlog}");
}

#[test]
fn the_first_notice_of_a_host_adds_no_old_reading() {
    let mut sender = LoadTable::default();
    let mut receiver = table_with_engines(&["e1"]);
    sender.reserve(reservation("e1", 900_000, 20), Time(0));
    sender.take_changes();
    receiver.apply_notice(&notice("a", 1, 1, true, &mut sender), Time(0));
    assert!(receiver.backlog(key("e1"), Time(0)).total() < 100.0);
}

/// A restarted host learns of a server only when a peer adds load there. Reading that the peer placed there earlier
/// must not count as backlog.
#[test]
fn the_first_notice_about_a_server_adds_only_the_increase() {
    let mut sender = LoadTable::default();
    let mut receiver = table_with_engines(&["e1"]);
    sender.reserve(reservation("e1", 900_000, 20), Time(0));
    sender.take_changes();
    sender.reserve(reservation("e1", 200_000, 20), Time(0));
    receiver.apply_notice(&notice("a", 1, 1, false, &mut sender), Time(0));
    let backlog = receiver.backlog(key("e1"), Time(0)).total();
    assert!((200.0..260.0).contains(&backlog), "{backlog}");
}

#[test]
fn an_older_notice_is_dropped() {
    let mut sender = LoadTable::default();
    let mut receiver = LoadTable::default();
    let id = sender.reserve(reservation("e1", 2_000, 20), Time(0));
    let old = notice("a", 1, 1, true, &mut sender);
    sender.release(id, Time(0));
    receiver.apply_notice(&notice("a", 1, 2, true, &mut sender), Time(0));
    assert!(!receiver.apply_notice(&old, Time(0)));
    assert!(is_empty_at(&receiver, "e1"));
}

#[test]
fn a_new_incarnation_replaces_all_holdings_of_the_old_one() {
    let mut receiver = LoadTable::default();
    let mut first = LoadTable::default();
    first.reserve(reservation("e1", 2_000, 20), Time(0));
    assert!(receiver.apply_notice(&notice("a", 1, 9, true, &mut first), Time(0)));
    let mut second = LoadTable::default();
    second.reserve(reservation("e2", 500, 5), Time(0));
    assert!(receiver.apply_notice(&notice("a", 2, 1, false, &mut second), Time(0)));
    assert!(is_empty_at(&receiver, "e1"));
    assert_eq!(memory(&receiver, "e2"), 5);
    assert!(!receiver.apply_notice(&notice("a", 1, 10, true, &mut first), Time(0)));
    assert!(is_empty_at(&receiver, "e1"));
}

#[test]
fn holdings_of_a_silent_host_expire() {
    let mut receiver = LoadTable::default();
    let mut sender = LoadTable::default();
    sender.reserve(reservation("e1", 2_000, 20), Time(0));
    receiver.apply_notice(&notice("a", 1, 1, true, &mut sender), Time(0));
    assert!(receiver.expire(Time(0) + EXPIRY).is_empty());
    let late = Time(0) + EXPIRY + Duration::from_millis(1);
    assert_eq!(receiver.expire(late), [Name::from("a")]);
    assert!(is_empty_at(&receiver, "e1"));
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
    let live = |loads: &LoadTable, at| loads.live_hosts(&domain, at).count();
    assert_eq!(live(&receiver, Time::from_millis(2_600)), 1);
    assert_eq!(live(&receiver, Time::from_millis(2_601)), 0);
    let expiry = heartbeat::expiry(Duration::from_millis(1_000));
    assert!(receiver.expire(Time(0) + expiry).is_empty());
    assert_eq!(receiver.expire(Time(1) + expiry).len(), 1);
}

#[test]
fn a_domain_whose_hosts_are_all_silent_seems_disconnected() {
    let mut receiver = LoadTable::default();
    let mut sender = LoadTable::default();
    assert!(!receiver.is_domain_silent("north", Time::from_millis(60_000)));
    receiver.apply_notice(&notice("a", 1, 1, true, &mut sender), Time(0));
    receiver.apply_notice(
        &notice("b", 1, 1, true, &mut sender),
        Time::from_millis(400),
    );
    let last_heard = Time::from_millis(400);
    assert!(!receiver.is_domain_silent("north", last_heard + DOMAIN_SILENCE_TIMEOUT));
    assert!(receiver.is_domain_silent(
        "north",
        last_heard + DOMAIN_SILENCE_TIMEOUT + Duration::from_millis(1)
    ));
    assert!(!receiver.is_domain_silent("south", last_heard + DOMAIN_SILENCE_TIMEOUT * 9));
}

#[test]
fn a_host_is_isolated_if_all_other_domains_have_become_silent() {
    let mut receiver = LoadTable::default();
    let mut sender = LoadTable::default();
    let late = Time(0) + DOMAIN_SILENCE_TIMEOUT * 2;
    assert!(
        !receiver.is_isolated("south", late),
        "no notice has arrived yet"
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
        "a notice from another domain has arrived"
    );
}

/// However notices are lost, duplicated and reordered, one full notice makes the view exact.
#[test]
fn one_full_notice_corrects_all_lost_ones() {
    each_seed(60, |u| {
        let mut sender = LoadTable::default();
        let mut receiver = LoadTable::default();
        let mut reserved = Vec::new();
        let mut sent = Vec::new();
        for sequence in 1..=u.int_in_range(1..=60)? {
            let server = format!("e{}", u.int_in_range(0..=4)?);
            match u.int_in_range(0..=2)? {
                0 if !reserved.is_empty() => {
                    let index = u.int_in_range(0..=reserved.len() - 1)?;
                    sender.release(reserved.swap_remove(index), Time(0));
                }
                1 if !reserved.is_empty() => {
                    let index = u.int_in_range(0..=reserved.len() - 1)?;
                    sender.mark_read(reserved[index], Time(0));
                }
                _ => {
                    let reservation = reservation(&server, u.int_in_range(0..=90_000)?, 7_000);
                    reserved.push(sender.reserve(reservation, Time(0)));
                }
            }
            let full = u.ratio(1, 8)?;
            sent.push(notice("a", 1, sequence, full, &mut sender));
            let index = u.int_in_range(0..=sent.len() - 1)?;
            if u.ratio(2, 3)? {
                receiver.apply_notice(&sent[index], Time(0));
            }
        }
        receiver.apply_notice(&notice("a", 1, 1_000, true, &mut sender), Time(0));
        for number in 0..=4 {
            let server = format!("e{number}");
            let held = |loads: &LoadTable| Load {
                placed_micros: 0,
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
        PauseClass::Medium
    );
    assert_eq!(
        PauseClass::of(Duration::from_millis(1_000)),
        PauseClass::Long
    );
    for class in PauseClass::ALL {
        let tolerated = Duration::from_secs_f64(Pauses::default().tolerated_ms(class) / 1_000.0);
        assert_eq!(PauseClass::of(tolerated), class);
    }
}

#[test]
fn answers_tolerate_the_shortest_pause_that_routes_of_their_class_allow() {
    let allowed = [350, 200, 500, 900].map(Duration::from_millis);
    let pauses = Pauses::of(allowed.into_iter());
    let tolerated = PauseClass::ALL.map(|class| pauses.tolerated_ms(class));
    assert_eq!(tolerated, [200.0, 500.0, 900.0]);
    let unstated = Pauses::of(std::iter::empty());
    assert_eq!(unstated, Pauses::default());
}
