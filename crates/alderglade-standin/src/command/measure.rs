//! Measures the slopes that the capacity page rests on.

use super::{Failure, Options};
use crate::measure::{self, Figure};

pub(super) fn run(options: &Options) -> Result<(), Failure> {
    let mut figures = measure::run();
    if options.text("processes", "no") == "yes" {
        let own = std::env::current_exe().map_err(|cause| cause.to_string())?;
        let entry = own.with_file_name("alderglade-entry");
        if !entry.exists() {
            return Err(format!("no {}; build the workspace first", entry.display()).into());
        }
        figures.extend(measure::idle::run(&entry));
    }
    if options.json {
        println!("{}", serde_json::to_string(&figures).unwrap_or_default());
        return Ok(());
    }
    for Figure {
        what,
        size,
        value,
        unit,
    } in figures
    {
        println!("{what:<42} {size:<44} {value:>14.3} {unit}");
    }
    Ok(())
}
