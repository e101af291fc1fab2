//! Which hosts ask the store, and when.

use alderglade_core::Name;
use alderglade_core::fleet::group::Division;
use alderglade_core::fleet::relay::{
    LocalStatus, Neighbour, ROLE_DELAY, Relay, Role, StoreQuery, StoreStatus, Topic,
};
use alderglade_core::time::Time;
use std::time::Duration;

const BOUND: Duration = Duration::from_secs(5);

fn own(name: &str) -> LocalStatus<'_> {
    LocalStatus {
        name,
        domain: "north",
        division: Division::default(),
        config: 7,
        servers: 70,
        age: Some(Duration::from_secs(1)),
        bound: Some(BOUND),
        lost: false,
        listed: true,
    }
}

fn status(in_contact: bool) -> StoreStatus {
    StoreStatus {
        in_contact,
        config: 7,
        servers: 70,
        era: 1,
        grace_ms: 0,
        hosts: 0,
    }
}

/// Hosts `h0`, `h1`, … of the own failure domain with what each tells.
struct Heard {
    domain: Name,
    names: Vec<Name>,
    words: Vec<StoreStatus>,
}

impl Heard {
    fn telling(words: &[StoreStatus]) -> Heard {
        let name = |number: usize| format!("h{number}").into();
        Heard {
            domain: "north".into(),
            names: (0..words.len()).map(name).collect(),
            words: words.to_vec(),
        }
    }

    fn list(&self) -> Vec<Neighbour<'_>> {
        let both = self.names.iter().zip(&self.words);
        both.map(|(name, status)| Neighbour {
            name,
            domain: &self.domain,
            same_domain: true,
            store: *status,
        })
        .collect()
    }
}

/// A relay that has listened for long enough, at the time given back.
fn settled(own: &LocalStatus<'_>, heard: &Heard) -> (Relay, Time) {
    let mut relay = Relay::default();
    let began = Time::from_millis(1_000);
    assert_eq!(
        relay.decide_role(own, &heard.list(), began),
        Role::Unsettled
    );
    let now = began + ROLE_DELAY;
    relay.decide_role(own, &heard.list(), now);
    (relay, now)
}

fn query(
    relay: &mut Relay,
    topic: Topic,
    own: &LocalStatus<'_>,
    heard: &Heard,
    now: Time,
) -> Option<StoreQuery> {
    relay.next_query(topic, own, &heard.list(), 0.5, now)
}

#[test]
fn a_host_that_hears_nobody_watches() {
    let (mut relay, now) = settled(&own("h5"), &Heard::telling(&[]));
    assert_eq!(relay.role(), Role::Watcher);
    for topic in [Topic::Config, Topic::Servers, Topic::Hosts] {
        let query = query(&mut relay, topic, &own("h5"), &Heard::telling(&[]), now);
        assert_eq!(query, Some(StoreQuery::Watch));
    }
}

#[test]
fn two_watchers_are_enough() {
    let heard = Heard::telling(&[status(true), status(true)]);
    let (mut relay, now) = settled(&own("h5"), &heard);
    assert_eq!(relay.role(), Role::Follower);
    for topic in [Topic::Config, Topic::Servers, Topic::Hosts] {
        assert_eq!(
            query(&mut relay, topic, &own("h5"), &heard, now),
            None,
            "{topic:?}"
        );
    }
}

#[test]
fn hosts_of_other_domains_dont_count_as_watchers() {
    let heard = Heard::telling(&[status(true), status(true)]);
    let mut list = heard.list();
    list.iter_mut().for_each(|host| host.same_domain = false);
    let mut relay = Relay::default();
    relay.decide_role(&own("h5"), &list, Time::from_millis(0));
    let role = relay.decide_role(&own("h5"), &list, Time::from_millis(700));
    assert_eq!(role, Role::Watcher);
}

#[test]
fn a_lost_watcher_is_replaced_and_steps_back_in() {
    let both = Heard::telling(&[status(true), status(true)]);
    let (mut relay, now) = settled(&own("h2"), &both);
    let one = Heard::telling(&[status(true)]);
    assert_eq!(
        relay.decide_role(&own("h2"), &one.list(), now),
        Role::Watcher
    );
    assert_eq!(
        relay.decide_role(&own("h2"), &both.list(), now),
        Role::Follower
    );
}

/// The tenth of a second after both watchers were lost in which a host with so many hosts before it steps in.
fn steps_in(before: usize) -> Option<u32> {
    let name = format!("h{before}");
    let calm = Heard::telling(&vec![status(true); before]);
    let outage = Heard::telling(&vec![status(false); before]);
    let (mut relay, now) = settled(&own(&name), &calm);
    (0..200u32).find(|tenth| {
        let now = now + Duration::from_millis(100) * *tenth;
        relay.decide_role(&own(&name), &outage.list(), now) == Role::Watcher
    })
}

#[test]
fn in_an_outage_hosts_step_in_one_after_the_other() {
    assert_eq!([2, 3].map(steps_in), [Some(3), Some(5)]);
    assert_eq!([4, 5, 9].map(steps_in), [Some(20), Some(35), Some(95)]);
}

#[test]
fn a_newer_configuration_is_fetched_at_once() {
    let newer = StoreStatus {
        config: 9,
        ..status(true)
    };
    let heard = Heard::telling(&[status(true), newer]);
    let (mut relay, now) = settled(&own("h5"), &heard);
    let found = query(&mut relay, Topic::Config, &own("h5"), &heard, now);
    assert!(
        matches!(found, Some(StoreQuery::Fetch(pause)) if pause < Duration::from_millis(100)),
        "{found:?}"
    );
}

#[test]
fn servers_that_differ_for_long_are_fetched_now_and_then() {
    let other = StoreStatus {
        servers: 71,
        ..status(true)
    };
    let heard = Heard::telling(&[status(true), other]);
    let (mut relay, now) = settled(&own("h5"), &heard);
    let mut fetched = Vec::new();
    for tenth in 0..30u32 {
        let now = now + Duration::from_millis(100) * tenth;
        if query(&mut relay, Topic::Servers, &own("h5"), &heard, now).is_some() {
            fetched.push(tenth);
        }
    }
    assert_eq!(fetched, [3, 13, 23]);
}

#[test]
fn a_host_whose_word_is_old_asks_the_store_itself() {
    let heard = Heard::telling(&[status(true), status(true)]);
    let (mut relay, now) = settled(&own("h5"), &heard);
    let old = LocalStatus {
        age: Some(Duration::from_millis(3_700)),
        ..own("h5")
    };
    let first = query(&mut relay, Topic::Config, &old, &heard, now);
    assert!(matches!(first, Some(StoreQuery::Fetch(_))), "{first:?}");
    assert_eq!(
        query(&mut relay, Topic::Config, &old, &heard, now),
        None,
        "not twice"
    );
    let later = now + Duration::from_millis(2_500);
    assert!(query(&mut relay, Topic::Config, &old, &heard, later).is_some());
}
