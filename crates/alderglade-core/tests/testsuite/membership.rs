//! Membership: liveness, seeds, home assignment and reported revisions.

use crate::each_seed;
use alderglade_core::membership::{Card, Change, View};
use alderglade_core::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

fn card(name: &str, domain: &str, incarnation: u64) -> Card {
    Card {
        name: name.into(),
        domain: domain.into(),
        address: format!("{name}:1").into(),
        incarnation,
        leaving: false,
        revision: 1,
    }
}

#[test]
fn hosts_with_the_same_view_agree_on_every_home() {
    let names: Vec<String> = (0..8).map(|n| format!("h{n}")).collect();
    let now = Time::from_millis(1_000);
    let views: Vec<View> = names
        .iter()
        .map(|own| {
            let mut view = View::new(card(own, "d", 1), now);
            names
                .iter()
                .for_each(|other| view.apply_heartbeat(card(other, "d", 1), now));
            view
        })
        .collect();
    let mut homes: BTreeMap<String, usize> = BTreeMap::new();
    for key in 0..400 {
        let key = format!("cell/{key}");
        let home = views[0].home(&key, now);
        assert!(views.iter().all(|view| view.home(&key, now) == home));
        *homes.entry(home.to_string()).or_default() += 1;
    }
    assert_eq!(homes.len(), names.len());
    assert!(
        homes.values().all(|count| (20..=90).contains(count)),
        "{homes:?}"
    );
}

#[test]
fn only_keys_of_a_lost_host_move() {
    let now = Time::from_millis(1_000);
    let mut view = View::new(card("h0", "d", 1), now);
    for name in ["h1", "h2", "h3"] {
        view.apply_heartbeat(card(name, "d", 1), now);
    }
    let before: Vec<_> = (0..200)
        .map(|key| view.home(&format!("k{key}"), now))
        .collect();
    let later = now + Duration::from_secs(10);
    for name in ["h1", "h2"] {
        view.apply_heartbeat(card(name, "d", 1), later);
    }
    for (key, old) in before.iter().enumerate() {
        let home = view.home(&format!("k{key}"), later);
        assert!(&**old == "h3" || home == *old);
        assert_ne!(&*home, "h3");
    }
}

#[test]
fn heartbeats_of_an_older_incarnation_are_dropped() {
    let now = Time::from_millis(1_000);
    let mut view = View::new(card("h0", "d", 1), now);
    let mut leaving = card("h1", "d", 2);
    leaving.leaving = true;
    view.apply_heartbeat(leaving, now);
    view.apply_heartbeat(card("h1", "d", 1), now);
    assert!(view.card(&"h1".into()).expect("a known host").leaving);
    // Leaving stays set for the incarnation and is cleared by the next one.
    view.apply_heartbeat(card("h1", "d", 2), now);
    assert!(view.card(&"h1".into()).expect("a known host").leaving);
    view.apply_heartbeat(card("h1", "d", 3), now);
    assert!(!view.card(&"h1".into()).expect("a known host").leaving);
}

#[test]
fn a_stopped_process_does_not_declare_its_peers_dead() {
    let now = Time::from_millis(1_000);
    let mut view = View::new(card("h0", "d", 1), now);
    view.apply_heartbeat(card("h1", "d", 1), now);
    assert_eq!(view.tick(now), [Change::Joined("h1".into())]);
    let resumed = now + Duration::from_secs(30);
    assert_eq!(view.tick(resumed), []);
    assert_eq!(view.live_count(resumed), 2);
    let mut at = resumed;
    while at < resumed + Duration::from_secs(4) {
        at = at + Duration::from_millis(20);
        view.tick(at);
    }
    assert_eq!(view.live_count(at), 1);
}

#[test]
fn a_new_host_has_joined_after_hearing_all_peers_or_a_timeout() {
    let now = Time::from_millis(1_000);
    let mut view = View::new(card("h0", "d", 1), now);
    assert!(!view.has_joined(now));
    view.apply_host_list(vec![card("h1", "d", 0), card("far", "e", 0)]);
    assert!(!view.has_joined(now));
    view.apply_heartbeat(card("h1", "d", 1), now);
    assert!(view.has_joined(now));
    let alone = View::new(card("h0", "d", 1), now);
    assert!(alone.has_joined(now + Duration::from_secs(3)));
}

#[test]
fn the_highest_reported_revision_is_kept() {
    each_seed(50, |u| {
        let now = Time::from_millis(1_000);
        let mut view = View::new(card("h0", "d", 1), now);
        let mut highest = 0;
        for _ in 0..50 {
            let mut heartbeat = card("h1", "d", 1);
            heartbeat.revision = u.int_in_range(0..=100)?;
            highest = highest.max(heartbeat.revision);
            view.apply_heartbeat(heartbeat, now);
            assert_eq!(view.highest_revision(), highest);
        }
        Ok(())
    });
}

#[test]
fn the_heartbeat_interval_grows_with_the_domain() {
    let now = Time(0);
    let view_of = |hosts: usize| {
        let mut view = View::new(card("h0", "d", 1), now);
        (1..hosts).for_each(|n| view.apply_heartbeat(card(&format!("h{n}"), "d", 1), now));
        view.interval()
    };
    assert_eq!(view_of(3), Duration::from_millis(250));
    assert_eq!(view_of(36), Duration::from_millis(1_008));
}

/// Regression test: under load, a ready host answered "no settings yet" after the list had added another
/// host from which it had not received a heartbeat.
#[test]
fn a_joined_host_stays_joined_when_the_list_grows() {
    let start = Time::from_millis(1_000);
    let mut view = View::new(card("h0", "d", 1), start);
    view.apply_host_list(vec![card("h1", "d", 1)]);
    assert!(!view.has_joined(start));
    view.apply_heartbeat(card("h1", "d", 1), start);
    view.tick(start);
    assert!(view.has_joined(start));
    view.apply_host_list(vec![card("h1", "d", 1), card("h2", "d", 1)]);
    view.tick(start);
    assert!(view.has_joined(start));
}
