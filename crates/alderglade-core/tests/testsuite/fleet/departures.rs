//! Several hosts that watch the store or follow those that do, while servers leave, entries lapse, and hosts and the store
//! are disturbed: departed servers are dropped within their bound, and sound ones are kept.

mod host;
mod world;

use world::{Disturbance, Scenario, Verdict, World};

/// Plays seeds of a scenario and returns the violations of each seed that has some.
fn violations(scenario: &Scenario, seeds: std::ops::Range<u64>) -> Vec<(u64, Vec<String>)> {
    let verdicts = seeds.map(|seed| (seed, World::new(scenario, seed).play()));
    let broken = verdicts.filter(|(_, verdict)| !verdict.violations.is_empty());
    broken
        .map(|(seed, verdict)| (seed, verdict.violations))
        .collect()
}

/// Returns the sum of a count over the seeds of a scenario.
fn total(scenario: &Scenario, seeds: std::ops::Range<u64>, count: fn(&Verdict) -> usize) -> usize {
    let verdicts = seeds.map(|seed| World::new(scenario, seed).play());
    verdicts.map(|verdict| count(&verdict)).sum()
}

fn scenario(disturbances: &[Disturbance]) -> Scenario {
    Scenario {
        disturbances: disturbances.to_vec(),
    }
}

/// Guards against a departed server that hosts in contact keep because a host that was cut off by itself took that for an
/// outage of the store, and told them of a grace period.
#[test]
fn a_cut_of_one_host_keeps_no_departed_server_at_others() {
    let scenario = scenario(&[Disturbance::CutOne]);
    assert_eq!(violations(&scenario, 0..40), []);
    assert!(total(&scenario, 0..10, |verdict| verdict.departures_judged) > 100);
}

/// Guards against the same when several hosts, or all of them, are cut off from a store that is available.
#[test]
fn cuts_of_several_hosts_keep_no_departed_server() {
    let scenario = scenario(&[
        Disturbance::CutOne,
        Disturbance::CutSome,
        Disturbance::CutAll,
    ]);
    assert_eq!(violations(&scenario, 0..40), []);
}

/// Guards against a departed server that a follower keeps because updates and notices of its watchers were lost.
#[test]
fn lost_messages_delay_no_departure_beyond_its_bound() {
    let scenario = scenario(&[Disturbance::LoseMessages]);
    assert_eq!(violations(&scenario, 0..40), []);
}

/// Guards against a host that drops sound servers whose entries lapsed while the store was unavailable, and against one that
/// keeps departed ones for longer than that justifies.
#[test]
fn outages_of_the_store_cost_no_sound_server() {
    let scenario = scenario(&[Disturbance::StopStore]);
    assert_eq!(violations(&scenario, 0..40), []);
    assert!(total(&scenario, 0..10, |verdict| verdict.lapses) > 50);
}

/// Guards against the same at hosts that stand still during an outage, and go on with answers and messages of before.
#[test]
fn hosts_that_stand_still_during_an_outage_drop_no_sound_server() {
    let scenario = scenario(&[Disturbance::StopStore, Disturbance::FreezeOne]);
    assert_eq!(violations(&scenario, 0..40), []);
}

/// Guards against both in any mixture of disturbances.
#[test]
fn departures_are_judged_alike_in_any_mixture_of_disturbances() {
    let scenario = scenario(&[
        Disturbance::CutOne,
        Disturbance::CutSome,
        Disturbance::CutAll,
        Disturbance::LoseMessages,
        Disturbance::StopStore,
        Disturbance::FreezeOne,
        Disturbance::StartOne,
    ]);
    assert_eq!(violations(&scenario, 0..60), []);
}
