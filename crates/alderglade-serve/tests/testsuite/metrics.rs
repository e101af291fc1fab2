//! The labels of workspaces in the metrics: bounded in number, and never withdrawn.

use alderglade_core::Name;
use alderglade_serve::event::Requester;
use alderglade_serve::metrics::Metrics;
use alderglade_serve::metrics::labels::{Labels, MAX_NAMED, NONE, OTHERS};

fn workspace(number: usize) -> Name {
    format!("workspace-{number}").into()
}

/// Observes requests of these workspaces in turn, each with its weight in tokens.
fn observe(labels: &mut Labels, weights: &[(usize, u64)], rounds: usize) {
    for _ in 0..rounds {
        for (number, weight) in weights {
            labels.observe(&workspace(*number), *weight);
        }
    }
}

/// Returns the numbers of the workspaces that are named.
fn named(labels: &Labels, workspaces: usize) -> Vec<usize> {
    let is_named = |number: &usize| labels.label(Some(&workspace(*number))) != OTHERS;
    (0..workspaces).filter(is_named).collect()
}

/// Guards against hiding a small workspace of a small installation, which asks whether others are favoured.
#[test]
fn all_of_a_few_workspaces_are_named() {
    let mut labels = Labels::default();
    observe(&mut labels, &[(0, 100_000), (1, 5_000), (2, 10)], 1);
    assert!(named(&labels, 3).is_empty(), "too few requests to compare");
    observe(&mut labels, &[(0, 100_000), (1, 5_000), (2, 10)], 100);
    assert_eq!(named(&labels, 3), [0, 1, 2]);
    assert_eq!(labels.label(None), NONE);
}

/// Guards against labels that the order of arrival decides: with 3,700 workspaces, the first eight to arrive are
/// nearly always small ones.
#[test]
fn heavy_workspaces_are_named_among_thousands_of_small_ones() {
    let mut labels = Labels::default();
    for number in 0..3_700 {
        labels.observe(&workspace(number), 1_000);
        labels.observe(&workspace(9_000 + number % 3), 5_000);
    }
    assert!(named(&labels, 3_700).is_empty());
    assert_eq!(named(&labels, 9_003), [9_000, 9_001, 9_002]);
}

/// Guards against counters that decrease: a label that is withdrawn ends a time series, and one that is given again
/// continues it.
#[test]
fn labels_are_kept_and_the_ninth_heavy_workspace_is_counted_with_others() {
    let mut labels = Labels::default();
    let first: Vec<(usize, u64)> = (0..8).map(|number| (number, 5_000)).collect();
    observe(&mut labels, &first, 100);
    assert_eq!(named(&labels, 20), [0, 1, 2, 3, 4, 5, 6, 7]);
    observe(&mut labels, &[(10, 600_000)], 10_000);
    assert_eq!(named(&labels, 20).len(), MAX_NAMED);
    assert_eq!(labels.label(Some(&workspace(10))), OTHERS);
}

/// Guards against a host that names only the workspaces of its first hour: weights are halved now and then.
#[test]
fn a_workspace_that_becomes_heavy_later_gets_a_free_label() {
    let mut labels = Labels::default();
    for number in 0..20_000 {
        labels.observe(&workspace(number % 1_000), 5_000);
    }
    assert!(named(&labels, 1_000).is_empty());
    observe(&mut labels, &[(5_000, 5_000), (1, 5_000)], 1_000);
    assert!(named(&labels, 5_001).contains(&5_000));
}

/// Guards against more time series than the bound, whatever names and ranks requests have.
#[test]
fn the_number_of_time_series_is_bounded() {
    let metrics = Metrics::new().expect("metrics");
    for number in 0..50_000 {
        let requester = Requester {
            workspace: Some(workspace(number % if number < 400 { 12 } else { 3_700 })),
            rank: (number % 256) as u8,
            route: None,
        };
        metrics.by_requester.observe(&requester, 5_000);
        metrics.by_requester.count_late(&requester);
    }
    let text = String::from_utf8(metrics.encode()).expect("text");
    let series = text
        .lines()
        .filter(|line| line.starts_with("alderglade_late_total{"));
    let values: Vec<u64> = series
        .map(|line| {
            line.rsplit(' ')
                .next()
                .expect("a value")
                .parse()
                .expect("a number")
        })
        .collect();
    assert!(values.len() <= (MAX_NAMED + 1) * 10, "{}", values.len());
    assert_eq!(
        values.iter().sum::<u64>(),
        50_000,
        "each request is counted once"
    );
}
