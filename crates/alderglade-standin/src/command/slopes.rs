//! Measures how the load book and placement grow with hosts and engines.

use super::{Failure, Options};
use crate::slope::{self, Row, Size};

const ROUNDS: f64 = 2_000.0;
/// Entry hosts and engines: the users' deployments of today, once grown, and a domain and a region of
/// the size to design for.
const SIZES: [Size; 6] = [
    size(6, 18),
    size(8, 18),
    size(36, 110),
    size(76, 60),
    size(133, 400),
    size(300, 60),
];

const fn size(hosts: usize, engines: usize) -> Size {
    Size { hosts, engines }
}

pub(super) fn run(options: &Options) -> Result<(), Failure> {
    let rounds = options.number("rounds", ROUNDS)? as usize;
    let rows: Vec<Row> = SIZES
        .into_iter()
        .map(|size| slope::measure(size, rounds))
        .collect();
    if options.json {
        println!("{}", serde_json::to_string(&rows).unwrap_or_default());
        return Ok(());
    }
    println!("means over {rounds} calls; times in nanoseconds");
    println!(
        "{:>6} {:>8} {:>13} {:>12} {:>8} {:>12} {:>12} {:>8}",
        "HOSTS",
        "ENGINES",
        "CHANGE BYTES",
        "WHOLE BYTES",
        "HEAR",
        "PLACE SHORT",
        "PLACE LONG",
        "ENTRIES"
    );
    for row in rows {
        println!(
            "{:>6} {:>8} {:>13} {:>12} {:>8} {:>12} {:>12} {:>8}",
            row.size.hosts,
            row.size.engines,
            row.change_bytes,
            row.whole_bytes,
            row.hear,
            row.place_short,
            row.place_long,
            row.entries
        );
    }
    Ok(())
}
