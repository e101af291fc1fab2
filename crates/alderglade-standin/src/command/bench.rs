//! Measures what one decision costs, and how it grows.

use super::{Failure, Options};
use crate::bench::{self, Cost, Size};

const ROUNDS: f64 = 20_000.0;

pub(super) fn run(options: &Options) -> Result<(), Failure> {
    let rounds = options.number("rounds", ROUNDS)? as usize;
    let costs: Vec<Cost> = sizes()
        .into_iter()
        .map(|size| bench::run(size, rounds))
        .collect();
    if options.json {
        println!("{}", serde_json::to_string(&costs).unwrap_or_default());
        return Ok(());
    }
    println!("nanoseconds a decision, p50 / p99 over {rounds} of each");
    println!(
        "{:>8} {:>8} {:>10} {:>16} {:>16} {:>16} {:>16}",
        "ENGINES", "WAITING", "WORKSPACES", "ENQUEUE", "FIRST TOKEN", "DONE", "TICK"
    );
    for cost in costs {
        let pair = |nanos: bench::Nanos| format!("{} / {}", nanos.p50, nanos.p99);
        println!(
            "{:>8} {:>8} {:>10} {:>16} {:>16} {:>16} {:>16}",
            cost.size.engines,
            cost.size.waiting,
            cost.size.workspaces,
            pair(cost.enqueue),
            pair(cost.first_token),
            pair(cost.done),
            pair(cost.tick)
        );
    }
    Ok(())
}

/// One size at which the whole domain is one cell, and a row for each slope.
fn sizes() -> Vec<Size> {
    let size = |engines, waiting, workspaces| Size {
        engines,
        waiting,
        workspaces,
    };
    vec![
        size(16, 10_000, 340),
        size(55, 10_000, 340),
        size(110, 10_000, 340),
        size(110, 1_000, 340),
        size(110, 100, 340),
        size(110, 10_000, 34),
        size(110, 10_000, 3_700),
    ]
}
