//! `alderglade apply`: puts settings in force.

use super::{Arguments, Error, PlatformSnafu, plan};
use crate::files;
use crate::shell::Shell;
use alderglade_core::settings::Tree;
use alderglade_platform::Client;
use alderglade_platform::object::Object;
use alderglade_platform::settings::{self, Applied, Cache, Root};
use serde::Serialize;
use snafu::ResultExt;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

pub(super) const HELP: &str = "\
Put the settings of a folder in force.

Usage: alderglade apply FOLDER --platform ADDRESS [OPTIONS]

Options:
  --base REVISION   refuse unless this revision is in force
  --token TEXT      marks this write; after a cut-off run, the same token tells
                    whether it took effect
  --json            write the result for programs
";

const READ: &str = "read the settings in force";
const WRITE: &str = "put the settings in force";

#[derive(Debug, Serialize)]
struct Outcome {
    revision: u64,
    changed: bool,
}

pub(super) fn run(arguments: &Arguments, shell: &Shell) -> Result<(), Error> {
    let folder = arguments.operand("a FOLDER")?;
    let tree = files::load(Path::new(folder))?;
    let client = arguments.client()?;
    let root = settings::root(&client).context(PlatformSnafu { action: READ })?;
    if let Some(token) = &arguments.token
        && *token == root.spec.token
    {
        return tell(shell, root.spec.revision, false);
    }
    if let Some(base) = arguments.base
        && base != root.spec.revision
    {
        return Err(outrun(&client, base, &tree));
    }
    let token = arguments.token.clone().unwrap_or_else(new_token);
    apply(&client, &root, &tree, &token, shell)
}

fn apply(
    client: &Client,
    root: &Object<Root>,
    tree: &Tree,
    token: &str,
    shell: &Shell,
) -> Result<(), Error> {
    shell.progress("writing settings ...");
    let applied = settings::apply(client, root, tree, token);
    shell.progress_done();
    match applied.context(PlatformSnafu { action: WRITE })? {
        Applied::Accepted(revision) => tell(shell, revision, true),
        Applied::Unchanged(revision) => tell(shell, revision, false),
        Applied::Conflict(_) => Err(outrun(client, root.spec.revision, tree)),
    }
}

fn tell(shell: &Shell, revision: u64, changed: bool) -> Result<(), Error> {
    let text = if changed {
        format!(
            "revision {revision} is accepted; `alderglade status --wait {revision}` waits for it"
        )
    } else {
        format!("revision {revision} is in force already")
    };
    shell.result(&Outcome { revision, changed }, &text);
    Ok(())
}

/// Describes the newer revision and what differs from what was wanted.
fn outrun(client: &Client, base: u64, wanted: &Tree) -> Error {
    let newest = settings::root(client)
        .map(|root| root.spec)
        .unwrap_or_default();
    let changes = settings::tree(client, &newest, &mut Cache::default())
        .map(|tree| plan::lines(&plan::differences(&tree, wanted)))
        .unwrap_or_default();
    Error::Outrun {
        base,
        newer: newest.revision,
        changes,
    }
}

/// Makes a token that no other run makes: process and time.
fn new_token() -> String {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    format!("{}-{}", std::process::id(), now.as_nanos())
}
