//! `alderglade show`: the settings in force, and where a value comes from.

use super::{Arguments, Error, PlatformSnafu, usage};
use crate::shell::Shell;
use alderglade_core::settings::policy::Origin;
use alderglade_platform::settings::{self, Cache};
use snafu::ResultExt;

pub(super) const HELP: &str = "\
Show the settings in force.

Usage: alderglade show --platform ADDRESS [--explain WORKSPACE/CLASS/MODEL] [--json]

With --explain: each value that such a request gets, and the branch that set it.
";

pub(super) fn run(arguments: &Arguments, shell: &Shell) -> Result<(), Error> {
    let client = arguments.client()?;
    let action = "read the settings in force";
    let root = settings::root(&client).context(PlatformSnafu { action })?;
    let tree = settings::tree(&client, &root.spec, &mut Cache::default())
        .context(PlatformSnafu { action })?;
    let Some(wanted) = &arguments.explain else {
        let text = serde_json::to_string_pretty(&tree).unwrap_or_default();
        shell.result(&tree, &text);
        return Ok(());
    };
    let parts: Vec<&str> = wanted.split('/').collect();
    let [workspace, class, model] = parts[..] else {
        return Err(usage(format!(
            "--explain is `{wanted}`; expected WORKSPACE/CLASS/MODEL"
        )));
    };
    let origins = tree.explain(workspace, class, model);
    let line = |origin: &Origin| {
        format!(
            "{:<22} {:<10} {}\n",
            origin.field, origin.value, origin.branch
        )
    };
    let text: String = origins.iter().map(line).collect();
    shell.result(&origins, &text);
    Ok(())
}
