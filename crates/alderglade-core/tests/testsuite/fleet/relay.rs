//! Which hosts query the store, and when.

use alderglade_core::Name;
use alderglade_core::fleet::group::Division;
use alderglade_core::fleet::relay::{
    self, LocalStatus, Neighbour, ROLE_DELAY, Relay, Role, StoreQuery, StoreStatus, Topic,
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
        store_age: Some(Duration::from_secs(1)),
        revocation_bound: Some(BOUND),
        last_call_failed: false,
        hosts_listed: true,
        knows_proxy_keys: true,
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

/// Hosts `h0`, `h1`, … of the own failure domain with the store status that each reports.
struct Neighbours {
    domain: Name,
    names: Vec<Name>,
    statuses: Vec<StoreStatus>,
}

impl Neighbours {
    fn reporting(statuses: &[StoreStatus]) -> Neighbours {
        let name = |number: usize| format!("h{number}").into();
        Neighbours {
            domain: "north".into(),
            names: (0..statuses.len()).map(name).collect(),
            statuses: statuses.to_vec(),
        }
    }

    fn list(&self) -> Vec<Neighbour<'_>> {
        let both = self.names.iter().zip(&self.statuses);
        both.map(|(name, status)| Neighbour {
            name,
            domain: &self.domain,
            same_domain: true,
            store: *status,
        })
        .collect()
    }
}

/// Returns a relay that has listened long enough to take a role, and the time at which it did.
fn relay_with_role(own: &LocalStatus<'_>, neighbours: &Neighbours) -> (Relay, Time) {
    let mut relay = Relay::default();
    let start = Time::from_millis(1_000);
    assert_eq!(
        relay.decide_role(own, &neighbours.list(), start),
        Role::Unsettled
    );
    let now = start + ROLE_DELAY;
    relay.decide_role(own, &neighbours.list(), now);
    (relay, now)
}

fn query(
    relay: &mut Relay,
    topic: Topic,
    own: &LocalStatus<'_>,
    neighbours: &Neighbours,
    now: Time,
) -> Option<StoreQuery> {
    relay.next_query(topic, own, &neighbours.list(), 0.5, now)
}

#[test]
fn a_host_that_hears_no_other_watches() {
    let (mut relay, now) = relay_with_role(&own("h5"), &Neighbours::reporting(&[]));
    assert_eq!(relay.role(), Role::Watcher);
    for topic in [Topic::Config, Topic::Servers, Topic::Hosts] {
        let query = query(
            &mut relay,
            topic,
            &own("h5"),
            &Neighbours::reporting(&[]),
            now,
        );
        assert_eq!(query, Some(StoreQuery::Watch));
    }
}

#[test]
fn two_watchers_are_enough() {
    let neighbours = Neighbours::reporting(&[status(true), status(true)]);
    let (mut relay, now) = relay_with_role(&own("h5"), &neighbours);
    assert_eq!(relay.role(), Role::Follower);
    for topic in [Topic::Config, Topic::Servers, Topic::Hosts] {
        assert_eq!(
            query(&mut relay, topic, &own("h5"), &neighbours, now),
            None,
            "{topic:?}"
        );
    }
}

/// Guards against hosts that can't send requests through others because the watchers' message with the keys was lost.
#[test]
fn a_follower_that_lacks_keys_of_hosts_queries_the_store_now_and_then() {
    let neighbours = Neighbours::reporting(&[status(true), status(true)]);
    let (mut relay, now) = relay_with_role(&own("h5"), &neighbours);
    let lacking = LocalStatus {
        knows_proxy_keys: false,
        ..own("h5")
    };
    let ticks = (0..400).map(|tick| now + Duration::from_millis(250 * tick));
    let queries: Vec<Time> = ticks
        .filter(|at| query(&mut relay, Topic::Hosts, &lacking, &neighbours, *at).is_some())
        .collect();
    assert_eq!(queries.len(), 4, "in 100 seconds: {queries:?}");
    assert!(queries[0].since(now) >= Duration::from_secs(3));
    let later = now + Duration::from_secs(200);
    let known = query(&mut relay, Topic::Hosts, &own("h5"), &neighbours, later);
    assert_eq!(known, None);
}

#[test]
fn hosts_of_other_domains_dont_count_as_watchers() {
    let neighbours = Neighbours::reporting(&[status(true), status(true)]);
    let mut list = neighbours.list();
    list.iter_mut().for_each(|host| host.same_domain = false);
    let mut relay = Relay::default();
    relay.decide_role(&own("h5"), &list, Time::from_millis(0));
    let role = relay.decide_role(&own("h5"), &list, Time::from_millis(700));
    assert_eq!(role, Role::Watcher);
}

#[test]
fn a_lost_watcher_is_replaced_until_it_returns() {
    let both = Neighbours::reporting(&[status(true), status(true)]);
    let (mut relay, now) = relay_with_role(&own("h2"), &both);
    let only_one = Neighbours::reporting(&[status(true)]);
    assert_eq!(
        relay.decide_role(&own("h2"), &only_one.list(), now),
        Role::Watcher
    );
    assert_eq!(
        relay.decide_role(&own("h2"), &both.list(), now),
        Role::Follower
    );
}

/// Returns how long after the loss of both watchers a host steps in that `before` hosts precede, in tenths of a second.
fn tenths_until_step_in(before: usize) -> Option<u32> {
    let name = format!("h{before}");
    let calm = Neighbours::reporting(&vec![status(true); before]);
    let outage = Neighbours::reporting(&vec![status(false); before]);
    let (mut relay, now) = relay_with_role(&own(&name), &calm);
    (0..200u32).find(|tenth| {
        let now = now + Duration::from_millis(100) * *tenth;
        relay.decide_role(&own(&name), &outage.list(), now) == Role::Watcher
    })
}

#[test]
fn in_an_outage_hosts_step_in_one_after_the_other() {
    assert_eq!([2, 3].map(tenths_until_step_in), [Some(3), Some(5)]);
    assert_eq!(
        [4, 5, 9].map(tenths_until_step_in),
        [Some(20), Some(35), Some(95)]
    );
}

#[test]
fn a_newer_configuration_is_fetched_at_once() {
    let newer = StoreStatus {
        config: 9,
        ..status(true)
    };
    let neighbours = Neighbours::reporting(&[status(true), newer]);
    let (mut relay, now) = relay_with_role(&own("h5"), &neighbours);
    let fetch = query(&mut relay, Topic::Config, &own("h5"), &neighbours, now);
    assert!(
        matches!(fetch, Some(StoreQuery::Fetch(pause)) if pause < Duration::from_millis(100)),
        "{fetch:?}"
    );
}

#[test]
fn servers_that_keep_differing_are_fetched_at_intervals() {
    let other = StoreStatus {
        servers: 71,
        ..status(true)
    };
    let neighbours = Neighbours::reporting(&[status(true), other]);
    let (mut relay, now) = relay_with_role(&own("h5"), &neighbours);
    let mut fetched = Vec::new();
    for tenth in 0..30u32 {
        let now = now + Duration::from_millis(100) * tenth;
        if query(&mut relay, Topic::Servers, &own("h5"), &neighbours, now).is_some() {
            fetched.push(tenth);
        }
    }
    assert_eq!(fetched, [2, 7, 12, 17, 22, 27]);
}

/// Returns neighbours, the first of which is of the own failure domain, whose servers have these digests.
fn watchers_of_two_domains(servers: &[u64]) -> Neighbours {
    let statuses = servers.iter().map(|servers| StoreStatus {
        servers: *servers,
        ..status(true)
    });
    Neighbours::reporting(&statuses.collect::<Vec<_>>())
}

/// Guards against a follower that keeps a departed server because the watchers of its own failure domain are cut off and
/// don't know it yet.
#[test]
fn a_host_that_differs_from_most_watchers_queries_the_store() {
    let neighbours = watchers_of_two_domains(&[70, 70, 71, 71, 71]);
    let (mut relay, now) = relay_with_role(&own("h5"), &neighbours);
    let mut elsewhere = neighbours.list();
    elsewhere[2..]
        .iter_mut()
        .for_each(|host| host.same_domain = false);
    let own = own("h5");
    let later = now + Duration::from_millis(200);
    assert_eq!(
        relay.next_query(Topic::Servers, &own, &elsewhere, 0.0, now),
        None
    );
    let query = relay.next_query(Topic::Servers, &own, &elsewhere, 0.0, later);
    assert_eq!(query, Some(StoreQuery::Fetch(Duration::ZERO)));
    // A minority of other failure domains doesn't count.
    let (mut relay, now) = relay_with_role(&own, &neighbours);
    elsewhere.truncate(3);
    for step in 0..10 {
        let now = now + Duration::from_millis(100) * step;
        assert_eq!(
            relay.next_query(Topic::Servers, &own, &elsewhere, 0.0, now),
            None
        );
    }
}

/// Guards against a watcher that misses changes because the connection of its watch is dead while others live.
#[test]
fn a_watcher_that_differs_from_most_watchers_makes_its_calls_again() {
    let neighbours = watchers_of_two_domains(&[71, 71, 70]);
    let (mut relay, now) = relay_with_role(&own("h0"), &Neighbours::reporting(&[]));
    assert_eq!(relay.role(), Role::Watcher);
    let mut repeated = Vec::new();
    for tenth in 0..25u32 {
        let now = now + Duration::from_millis(100) * tenth;
        if relay.must_watch_again(&own("h0"), &neighbours.list(), now) {
            repeated.push(tenth);
        }
    }
    assert_eq!(repeated, [2, 12, 22]);
    let agreeing = watchers_of_two_domains(&[70, 70, 71]);
    assert!(!relay.must_watch_again(&own("h0"), &agreeing.list(), now + Duration::from_secs(9)));
}

/// Guards against a grace period that a host tells which was cut off by itself: another one in contact knows of none.
#[test]
fn a_grace_period_counts_only_if_all_watchers_in_contact_report_one() {
    let grace = |in_contact, grace_ms| StoreStatus {
        grace_ms,
        ..status(in_contact)
    };
    let told = |reported: Option<u64>, statuses: &[StoreStatus]| {
        let reported = reported.map(Duration::from_millis);
        relay::told_grace(reported, &Neighbours::reporting(statuses).list()).as_millis()
    };
    assert_eq!(told(Some(1_900), &[grace(true, 1_950), grace(true, 0)]), 0);
    assert_eq!(
        told(Some(1_900), &[grace(true, 1_950), grace(false, 0)]),
        1_900
    );
    assert_eq!(told(Some(0), &[grace(true, 1_950)]), 0);
    assert_eq!(told(None, &[grace(true, 1_950), grace(true, 1_200)]), 1_200);
    assert_eq!(told(Some(1_900), &[]), 1_900);
    assert_eq!(told(None, &[]), 0);
}

#[test]
fn a_host_with_stale_state_queries_the_store() {
    let neighbours = Neighbours::reporting(&[status(true), status(true)]);
    let (mut relay, now) = relay_with_role(&own("h5"), &neighbours);
    let stale = LocalStatus {
        store_age: Some(Duration::from_millis(3_700)),
        ..own("h5")
    };
    let first = query(&mut relay, Topic::Config, &stale, &neighbours, now);
    assert!(matches!(first, Some(StoreQuery::Fetch(_))), "{first:?}");
    assert_eq!(
        query(&mut relay, Topic::Config, &stale, &neighbours, now),
        None,
        "a second call at once is not allowed"
    );
    let later = now + Duration::from_millis(2_500);
    assert!(query(&mut relay, Topic::Config, &stale, &neighbours, later).is_some());
}
