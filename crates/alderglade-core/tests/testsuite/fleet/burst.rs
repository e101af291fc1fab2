//! Short prompts of several hosts in a burst beyond the slots of all engines, in virtual time with delayed notices.

mod model;

use model::{Attempt, CASE, Case, Model, OBJECTIVE};

/// Runs a case and checks what holds in all of them: a prompt is refused within a tenth of its objective and isn't held
/// beyond 0.9 of it, a caller that waits as asked is refused once, and no more wait in an engine than its queue has room for.
fn run(case: Case, seed: u64) -> Model {
    let model = Model::run(case, seed);
    for attempt in &model.attempts {
        let within = |at: Option<u64>, limit| at.is_none_or(|at| at - attempt.arrived <= limit);
        assert!(within(attempt.refused, OBJECTIVE / 10), "seed {seed}");
        assert!(within(attempt.sent, OBJECTIVE * 9 / 10), "seed {seed}");
        let is_asked_retry = !attempt.is_first() && !attempt.early;
        assert!(
            !(is_asked_retry && attempt.refused.is_some()),
            "seed {seed}"
        );
    }
    assert!(
        model.longest_queue <= 24,
        "seed {seed}: {}",
        model.longest_queue
    );
    model
}

fn is_accepted(attempt: &Attempt) -> bool {
    attempt.is_first() && attempt.refused.is_none()
}

/// In a burst beyond the slots half of the first events were late, and engines were filled while others had free slots.
#[test]
fn in_a_burst_what_is_accepted_is_in_time_and_no_engine_is_filled_while_others_are_free() {
    for seed in 0..6 {
        for case in [CASE, Case { hosts: 24, ..CASE }] {
            let model = run(case, seed);
            let (accepted, in_time) = model.in_time(is_accepted);
            assert!(
                accepted > 700 && in_time > 80,
                "seed {seed}: {in_time}% of {accepted}"
            );
            let (retries, retries_in_time) = model.in_time(|attempt| !attempt.is_first());
            let (_, first_in_time) = model.in_time(Attempt::is_first);
            assert!(
                retries < 30 || retries_in_time > first_in_time,
                "seed {seed}"
            );
            assert!(model.overfilled <= 2, "seed {seed}: {}", model.overfilled);
        }
    }
}

/// A tenth of the slots and more is free: nothing is refused, and no engine is filled beyond its slots.
#[test]
fn below_the_capacity_nothing_is_refused_and_all_is_in_time() {
    for seed in 0..6 {
        let model = run(Case { load: 85, ..CASE }, seed);
        let (_, in_time) = model.in_time(is_accepted);
        assert!(in_time >= 98, "seed {seed}: {in_time}%");
        assert!(model.attempts.iter().all(Attempt::is_first), "seed {seed}");
        assert!(model.overfilled <= 2, "seed {seed}: {}", model.overfilled);
    }
}

/// What a killed host held stays in the table for more than a second, so free slots look taken.
#[test]
fn the_holdings_of_killed_hosts_delay_no_prompt_beyond_its_objective() {
    for seed in 0..6 {
        let model = run(
            Case {
                load: 100,
                kill_at: Some(5_000),
                ..CASE
            },
            seed,
        );
        let (_, in_time) = model.in_time(is_accepted);
        assert!(in_time > 80, "seed {seed}: {in_time}%");
    }
}

/// Each half decides by what it sees. If only the hosts are cut off from each other, twice as many prompts are sent as
/// slots become free; they wait in the engines.
#[test]
fn halves_that_do_not_hear_each_other_keep_all_bounds() {
    for seed in 0..6 {
        let model = run(
            Case {
                halves: true,
                split_engines: true,
                ..CASE
            },
            seed,
        );
        let (_, in_time) = model.in_time(is_accepted);
        assert!(in_time > 80, "seed {seed}: {in_time}%");
        run(
            Case {
                halves: true,
                ..CASE
            },
            seed,
        );
    }
}

/// With notices late and out of order the count of slots is wrong, and nothing but that.
#[test]
fn late_and_reordered_notices_leave_the_bounds_in_place() {
    for seed in 0..6 {
        run(
            Case {
                delay: 1_000,
                reordered: true,
                ..CASE
            },
            seed,
        );
    }
}

/// A caller that retries at once must not have a better chance than a first attempt.
#[test]
fn an_early_retry_has_no_better_chance_than_a_first_attempt() {
    let (mut early, mut first) = ((0, 0), (0, 0));
    for seed in 0..6 {
        let model = run(Case { early: 20, ..CASE }, seed);
        let is_early =
            |attempt: &Attempt| !attempt.is_first() && attempt.arrived - attempt.first < 900;
        let add = |sum: &mut (usize, usize), (count, in_time): (usize, usize)| {
            *sum = (sum.0 + count, sum.1 + count * in_time);
        };
        add(&mut early, model.in_time(is_early));
        add(&mut first, model.in_time(Attempt::is_first));
    }
    let share = |(count, in_time): (usize, usize)| in_time / count.max(1);
    assert!(early.0 > 100, "{early:?}");
    assert!(
        share(early) <= share(first),
        "{} {}",
        share(early),
        share(first)
    );
}
