//! Runs an experiment file and shows what it gave.

use super::{Failure, Options};
use crate::experiment::{self, Experiment};
use std::path::Path;

pub(super) fn run(options: &Options) -> Result<(), Failure> {
    let path = options.text("file", "");
    let text =
        std::fs::read_to_string(&path).map_err(|cause| format!("can't read `{path}`: {cause}"))?;
    let experiment: Experiment =
        serde_json::from_str(&text).map_err(|cause| format!("{path}: {cause}"))?;
    let outcome = experiment::run(&experiment);
    if options.json {
        println!(
            "{}",
            serde_json::to_string_pretty(&outcome).unwrap_or_default()
        );
    } else {
        print!("{}", experiment::table(&outcome));
    }
    let plot = options.text("plot", "");
    if !plot.is_empty() {
        experiment::plot::draw(Path::new(&plot), &outcome)
            .map_err(|cause| format!("can't draw {plot}: {cause}"))?;
    }
    Ok(())
}
