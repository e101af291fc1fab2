//! `alderglade check`: are the settings files right?

use super::{Arguments, Error};
use crate::files;
use crate::shell::Shell;
use serde::Serialize;
use std::path::Path;

pub(super) const HELP: &str = "\
Check the settings in a folder; nothing is sent anywhere.

Usage: alderglade check FOLDER [--json]

FOLDER holds fleet.json and workspaces/NAME.json.
";

#[derive(Debug, Serialize)]
struct Checked {
    workspaces: usize,
    models: usize,
    engines: usize,
    services: usize,
}

pub(super) fn run(arguments: &Arguments, shell: &Shell) -> Result<(), Error> {
    let folder = arguments.operand("a FOLDER")?;
    let tree = files::load(Path::new(folder))?;
    let checked = Checked {
        workspaces: tree.workspaces.len(),
        models: tree.fleet.models.len(),
        engines: tree.fleet.engines.len(),
        services: tree.fleet.services.len(),
    };
    let text = format!(
        "{folder} is right: {} workspaces, {} models, {} engines, {} services",
        checked.workspaces, checked.models, checked.engines, checked.services
    );
    shell.result(&checked, &text);
    Ok(())
}
