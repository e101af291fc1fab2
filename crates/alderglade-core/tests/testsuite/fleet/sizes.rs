//! Prompts of very unlike lengths in overload, of several hosts in virtual time: the longest ones of a kind are served at
//! least half as often as the kind, and short replies are not starved by them.

mod model;

use model::{CASE, Caller, Case, Kind, Model};

/// The numbers of served callers and of all of them.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    served: usize,
    all: usize,
}

impl Count {
    fn of<'a>(callers: impl IntoIterator<Item = &'a Caller>) -> Count {
        let mut count = Count::default();
        for caller in callers {
            count.all += 1;
            count.served += usize::from(caller.answered.is_some());
        }
        count
    }

    fn share(self) -> f64 {
        self.served as f64 / self.all.max(1) as f64
    }

    fn add(&mut self, other: Count) {
        self.served += other.served;
        self.all += other.all;
    }
}

/// What became of the long prompts of several runs by their length, and of the short replies.
#[derive(Debug, Default)]
struct Outcome {
    kind: Count,
    largest_tenth: Count,
    next_fifth: Count,
    short: Count,
}

impl Outcome {
    /// Plays a case with several seeds.
    fn of(case: Case) -> Outcome {
        let mut outcome = Outcome::default();
        for seed in 0..6 {
            let model = Model::run(case, seed);
            let long = model.long_callers();
            let (below, tenth) = long.split_at(long.len() - long.len() / 10);
            let (_, fifth) = below.split_at(below.len() - long.len() / 5);
            outcome.kind.add(Count::of(long.iter().copied()));
            outcome.largest_tenth.add(Count::of(tenth.iter().copied()));
            outcome.next_fifth.add(Count::of(fifth.iter().copied()));
            let short = model.callers.iter().filter(|caller| !caller.is_long);
            outcome.short.add(Count::of(short));
        }
        outcome
    }

    /// Checks that the largest tenth of the long prompts and the fifth below it are each served at least half as often as
    /// all of them, and that short replies are served at least as often.
    fn check(&self) {
        let least = self.kind.share() / 2.0;
        assert!(self.kind.served > 0, "{self:?}");
        assert!(self.largest_tenth.share() >= least, "{self:?}");
        assert!(self.next_fifth.share() >= least, "{self:?}");
        assert!(self.short.share() >= self.kind.share(), "{self:?}");
    }
}

/// The longest prompts waited behind all shorter ones until they were given up, at the first attempt and at the retry.
#[test]
fn the_longest_prompts_are_served_in_a_burst_of_long_prompts() {
    Outcome::of(CASE).check();
}

/// In a burst of several times what the engines can read, most prompts must be refused, and of all lengths alike.
#[test]
fn the_longest_prompts_are_served_in_a_burst_far_beyond_the_capacity() {
    let beyond = Case {
        burst: 16.0,
        ..CASE
    };
    Outcome::of(beyond).check();
}

/// Engines that write answers all the time made each long prompt too costly to read.
#[test]
fn the_longest_prompts_are_served_while_engines_are_full_of_answers() {
    let full = Case {
        short_per_second: 110.0,
        output: 1_400,
        burst: 5.0,
        ..CASE
    };
    Outcome::of(full).check();
}

/// With few engines each long prompt occupies all of them.
#[test]
fn the_longest_prompts_are_served_by_the_few_engines_that_are_left() {
    let few = Case {
        engines: 12,
        long_per_second: 1.0,
        burst: 8.0,
        short_per_second: 15.0,
        ..CASE
    };
    Outcome::of(few).check();
}

/// With many hosts, each knows only one or two of the prompts itself.
#[test]
fn the_longest_prompts_are_served_by_many_hosts() {
    Outcome::of(Case { hosts: 24, ..CASE }).check();
}

#[test]
fn the_longest_prompts_are_served_in_both_halves_of_a_cut() {
    let halves = Case {
        halves: true,
        burst: 8.0,
        ..CASE
    };
    Outcome::of(halves).check();
}

/// Retries must not wait from the beginning again, whenever the caller returns.
#[test]
fn the_longest_prompts_are_served_to_callers_that_return_at_once() {
    let returning = Case {
        retry_after: Some(200),
        burst: 8.0,
        ..CASE
    };
    Outcome::of(returning).check();
}

/// The rule holds within each kind, and not only for the longest prompts of all.
#[test]
fn the_longest_prompts_of_a_kind_of_medium_length_are_served() {
    let digests = Case {
        long: Kind {
            mean: 45_000.0,
            spread: 0.47,
            max: 110_000.0,
            objective: 1_500,
            longest_pause: 600,
            time_limit: 10_000,
        },
        engines: 12,
        long_per_second: 6.0,
        burst: 9.0,
        short_per_second: 15.0,
        ..CASE
    };
    Outcome::of(digests).check();
}
