//! Who is there, and who is home.

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
                .for_each(|other| view.hear(card(other, "d", 1), now));
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
        view.hear(card(name, "d", 1), now);
    }
    let before: Vec<_> = (0..200)
        .map(|key| view.home(&format!("k{key}"), now))
        .collect();
    let later = now + Duration::from_secs(10);
    for name in ["h1", "h2"] {
        view.hear(card(name, "d", 1), later);
    }
    for (key, old) in before.iter().enumerate() {
        let home = view.home(&format!("k{key}"), later);
        assert!(&**old == "h3" || home == *old);
        assert_ne!(&*home, "h3");
    }
}

#[test]
fn an_older_incarnation_is_not_heard() {
    let now = Time::from_millis(1_000);
    let mut view = View::new(card("h0", "d", 1), now);
    let mut leaving = card("h1", "d", 2);
    leaving.leaving = true;
    view.hear(leaving, now);
    view.hear(card("h1", "d", 1), now);
    assert!(view.card(&"h1".into()).expect("a known host").leaving);
    // Leaving is sticky for the incarnation and over with the next.
    view.hear(card("h1", "d", 2), now);
    assert!(view.card(&"h1".into()).expect("a known host").leaving);
    view.hear(card("h1", "d", 3), now);
    assert!(!view.card(&"h1".into()).expect("a known host").leaving);
}

#[test]
fn a_host_that_was_stopped_blames_nobody() {
    let now = Time::from_millis(1_000);
    let mut view = View::new(card("h0", "d", 1), now);
    view.hear(card("h1", "d", 1), now);
    assert_eq!(view.tick(now), [Change::Joined("h1".into())]);
    let woken = now + Duration::from_secs(30);
    assert_eq!(view.tick(woken), []);
    assert_eq!(view.live_count(woken), 2);
    let mut at = woken;
    while at < woken + Duration::from_secs(4) {
        at = at + Duration::from_millis(20);
        view.tick(at);
    }
    assert_eq!(view.live_count(at), 1);
}

#[test]
fn a_fresh_host_has_joined_once_it_has_heard_all_or_waited() {
    let now = Time::from_millis(1_000);
    let mut view = View::new(card("h0", "d", 1), now);
    assert!(!view.has_joined(now));
    view.seed(vec![card("h1", "d", 0), card("far", "e", 0)]);
    assert!(!view.has_joined(now));
    view.hear(card("h1", "d", 1), now);
    assert!(view.has_joined(now));
    let alone = View::new(card("h0", "d", 1), now);
    assert!(alone.has_joined(now + Duration::from_secs(3)));
}

#[test]
fn a_revision_that_a_peer_has_reported_is_never_forgotten() {
    each_seed(50, |u| {
        let now = Time::from_millis(1_000);
        let mut view = View::new(card("h0", "d", 1), now);
        let mut highest = 0;
        for _ in 0..50 {
            let mut heard = card("h1", "d", 1);
            heard.revision = u.int_in_range(0..=100)?;
            highest = highest.max(heard.revision);
            view.hear(heard, now);
            assert_eq!(view.highest_revision(), highest);
        }
        Ok(())
    });
}

#[test]
fn heartbeats_slow_down_as_the_domain_grows() {
    let now = Time(0);
    let view_of = |hosts: usize| {
        let mut view = View::new(card("h0", "d", 1), now);
        (1..hosts).for_each(|n| view.hear(card(&format!("h{n}"), "d", 1), now));
        view.interval()
    };
    assert_eq!(view_of(3), Duration::from_millis(250));
    assert_eq!(view_of(36), Duration::from_millis(1_008));
}

/// From a test of processes under load: a host that was ready answered "no settings yet" when the list
/// came to name another host that it had not heard of.
#[test]
fn a_host_that_has_joined_stays_so_when_others_are_listed() {
    let start = Time::from_millis(1_000);
    let mut view = View::new(card("h0", "d", 1), start);
    view.seed(vec![card("h1", "d", 1)]);
    assert!(!view.has_joined(start));
    view.hear(card("h1", "d", 1), start);
    view.tick(start);
    assert!(view.has_joined(start));
    view.seed(vec![card("h1", "d", 1), card("h2", "d", 1)]);
    view.tick(start);
    assert!(view.has_joined(start));
}
