//! When requests reach a server through another host.

use alderglade_core::fleet::incarnation::{Incarnation, Key};
use alderglade_core::fleet::reachability::{Change, Failure, Finding, Path, Reachability};
use alderglade_core::time::Time;
use std::time::Duration;

const NOW: Time = Time(1_000_000_000);
const SECOND: Duration = Duration::from_secs(1);

fn server(id: &str) -> Key {
    Incarnation::new(id, None).key()
}

fn servers() -> Vec<Key> {
    ["a", "b", "c", "d", "e"].map(server).into()
}

/// Records that no connection to a server can be opened, and applies what other hosts say of it.
fn fail(reachability: &mut Reachability, id: &str, finding: Finding, now: Time) -> Option<Change> {
    let asks = reachability.record_failure(server(id), Failure::Silent, now);
    assert!(asks, "other hosts are asked");
    reachability.finish_check(server(id), finding, now)
}

/// Returns the state of a host that has lost its path to all servers.
fn without_path() -> Reachability {
    let mut reachability = Reachability::default();
    assert_eq!(fail(&mut reachability, "a", Finding::Reached, NOW), None);
    let change = fail(&mut reachability, "b", Finding::Reached, NOW);
    assert_eq!(change, Some(Change::Lost));
    reachability
}

/// Guards against requests through other hosts to servers that have crashed.
#[test]
fn servers_that_nobody_reaches_are_not_asked_for_through_others() {
    let mut reachability = Reachability::default();
    for (id, finding) in [("a", Finding::Down), ("b", Finding::Unknown)] {
        let later = NOW + SECOND.saturating_mul(if id == "a" { 0 } else { 1 });
        assert_eq!(fail(&mut reachability, id, finding, later), None);
        assert_eq!(reachability.path(server(id)), Path::Direct);
    }
    assert_eq!(reachability.blocked_count(), 0);
}

#[test]
fn one_blocked_server_is_no_loss_of_the_path() {
    let mut reachability = Reachability::default();
    fail(&mut reachability, "a", Finding::Reached, NOW);
    assert_eq!(reachability.path(server("a")), Path::Proxied);
    assert_eq!(reachability.path(server("b")), Path::Direct);
}

#[test]
fn a_host_without_a_path_uses_others_for_servers_that_it_has_not_tried() {
    let reachability = without_path();
    assert!(
        servers()
            .iter()
            .all(|server| reachability.path(*server) == Path::Proxied)
    );
}

/// Guards against a host that has lost its path to most servers and forces others to carry what it can send itself.
#[test]
fn a_host_without_a_path_sends_directly_where_it_connects() {
    let mut reachability = without_path();
    assert_eq!(reachability.record_connection(server("c"), NOW), None);
    assert_eq!(reachability.path(server("c")), Path::Direct);
    assert_eq!(reachability.path(server("d")), Path::Proxied);
    // The path to that server is cut as well.
    assert!(!reachability.record_failure(server("c"), Failure::Silent, NOW + SECOND));
    assert_eq!(reachability.path(server("c")), Path::Proxied);
}

#[test]
fn the_path_is_back_when_all_blocked_servers_are_connected_to() {
    let mut reachability = without_path();
    let later = NOW + SECOND;
    assert_eq!(reachability.record_connection(server("a"), later), None);
    assert_eq!(reachability.path(server("d")), Path::Proxied);
    let change = reachability.record_connection(server("b"), later);
    assert_eq!(change, Some(Change::Regained { after: SECOND }));
    assert!(
        servers()
            .iter()
            .all(|server| reachability.path(*server) == Path::Direct)
    );
}

/// Guards against a path that counts as lost as long as a blocked server that has crashed meanwhile.
#[test]
fn the_path_is_back_when_the_blocked_servers_are_gone() {
    let mut reachability = without_path();
    let change = reachability.retain(|key| key != server("a") && key != server("b"), NOW);
    assert!(matches!(change, Some(Change::Regained { .. })));
}

/// Guards against hosts that ask each other about every request while all servers are down.
#[test]
fn checks_are_bounded_while_all_servers_are_down() {
    let mut reachability = Reachability::default();
    let mut checks = 0;
    for step in 0..2_000 {
        let now = NOW + Duration::from_millis(step);
        for id in ["a", "b", "c", "d", "e"] {
            if reachability.record_failure(server(id), Failure::Refused, now) {
                checks += 1;
                reachability.finish_check(server(id), Finding::Down, now);
            }
        }
    }
    assert!(checks <= 10, "{checks} checks in two seconds");
}

#[test]
fn few_checks_run_at_the_same_time() {
    let mut reachability = Reachability::default();
    let ids = (0..50).map(|number| format!("s{number}"));
    let asked = ids.filter(|id| reachability.record_failure(server(id), Failure::Silent, NOW));
    assert_eq!(asked.count(), 4);
}

#[test]
fn a_connection_counts_for_more_than_a_check_that_began_before() {
    let mut reachability = Reachability::default();
    reachability.record_failure(server("a"), Failure::Silent, NOW);
    reachability.record_connection(server("a"), NOW);
    let change = reachability.finish_check(server("a"), Finding::Reached, NOW);
    assert_eq!(change, None);
    assert_eq!(reachability.path(server("a")), Path::Direct);
}

#[test]
fn probes_are_rare_and_reach_each_server_in_turn() {
    let mut reachability = without_path();
    let mut probed = Vec::new();
    for step in 0..2_000 {
        let now = NOW + Duration::from_millis(step);
        probed.extend(reachability.next_probe(servers().into_iter(), now));
    }
    assert_eq!(probed.len(), 8, "one in 250 ms");
    assert!(servers().iter().all(|server| probed.contains(server)));
}

/// Guards against hosts that use others for seconds after their path is back.
#[test]
fn after_a_successful_probe_the_next_one_follows_at_once() {
    let mut reachability = without_path();
    let mut now = NOW + SECOND;
    let began = now;
    while reachability.blocked_count() > 0 {
        match reachability.next_probe(servers().into_iter(), now) {
            Some(probe) => {
                reachability.record_connection(probe, now);
            }
            None => now = now + Duration::from_millis(1),
        }
    }
    assert!(now.since(began) <= SECOND, "{:?}", now.since(began));
}

/// Guards against checks because a server stands still for a second.
#[test]
fn the_silence_of_one_server_is_no_reason_to_test_the_path() {
    let mut reachability = Reachability::default();
    assert!(!reachability.record_silence(server("a"), NOW));
    assert!(!reachability.record_silence(server("a"), NOW));
    reachability.record_answer();
    assert!(!reachability.record_silence(server("b"), NOW));
    assert!(reachability.record_silence(server("a"), NOW));
}

/// Guards against requests that wait on connections that the cut has silenced, and against sending again what goes on
/// over connections that live on.
#[test]
fn only_silent_connections_from_before_the_cut_are_lost() {
    let before = NOW - SECOND;
    let reachability = without_path();
    assert!(reachability.has_lost_connection(server("a"), before));
    assert!(reachability.has_lost_connection(server("d"), before));
    assert!(!reachability.has_lost_connection(server("d"), NOW + SECOND));
    let mut refused = Reachability::default();
    for id in ["a", "b"] {
        refused.record_failure(server(id), Failure::Refused, NOW);
        refused.finish_check(server(id), Finding::Reached, NOW);
    }
    assert_eq!(refused.path(server("d")), Path::Proxied);
    assert!(!refused.has_lost_connection(server("d"), before));
}
