//! `alderglade plan`: what would applying change?

use super::{Arguments, Error, PlatformSnafu};
use crate::files;
use crate::shell::Shell;
use alderglade_core::settings::Tree;
use alderglade_platform::settings::{self, Cache};
use serde::Serialize;
use serde_json::Value;
use snafu::ResultExt;
use std::path::Path;

pub(super) const HELP: &str = "\
Show what applying a folder would change.

Usage: alderglade plan FOLDER --platform ADDRESS [--json]

The revision printed can be given to `alderglade apply --base`.
";

/// One value that differs.
#[derive(Debug, Serialize)]
pub(super) struct Difference {
    path: String,
    old: Value,
    new: Value,
}

#[derive(Debug, Serialize)]
struct Plan {
    revision: u64,
    differences: Vec<Difference>,
}

pub(super) fn run(arguments: &Arguments, shell: &Shell) -> Result<(), Error> {
    let folder = arguments.operand("a FOLDER")?;
    let wanted = files::load(Path::new(folder))?;
    let client = arguments.client()?;
    let action = "read the settings in force";
    let root = settings::root(&client).context(PlatformSnafu { action })?;
    let old = settings::tree(&client, &root.spec, &mut Cache::default())
        .context(PlatformSnafu { action })?;
    let plan = Plan {
        revision: root.spec.revision,
        differences: differences(&old, &wanted),
    };
    let text = format!(
        "revision {} in force{}",
        plan.revision,
        lines(&plan.differences)
    );
    shell.result(&plan, &text);
    Ok(())
}

/// Lists the values in which two trees differ.
pub(super) fn differences(old: &Tree, new: &Tree) -> Vec<Difference> {
    let value = |tree: &Tree| {
        let mut value = serde_json::to_value(tree).unwrap_or_default();
        if let Some(fields) = value.as_object_mut() {
            fields.remove("revision");
        }
        value
    };
    let mut found = Vec::new();
    compare("", &value(old), &value(new), &mut found);
    found
}

/// Writes differences a line each, or says that there are none.
pub(super) fn lines(differences: &[Difference]) -> String {
    if differences.is_empty() {
        return "; nothing would change".into();
    }
    let line = |difference: &Difference| {
        format!(
            "\n  {}: {} -> {}",
            difference.path, difference.old, difference.new
        )
    };
    differences.iter().map(line).collect()
}

fn compare(path: &str, old: &Value, new: &Value, found: &mut Vec<Difference>) {
    if old == new {
        return;
    }
    let (Value::Object(before), Value::Object(after)) = (old, new) else {
        found.push(Difference {
            path: path.into(),
            old: old.clone(),
            new: new.clone(),
        });
        return;
    };
    let mut keys: Vec<&String> = before.keys().chain(after.keys()).collect();
    keys.sort();
    keys.dedup();
    for key in keys {
        let deeper = if path.is_empty() {
            key.clone()
        } else {
            format!("{path}.{key}")
        };
        let side =
            |fields: &serde_json::Map<String, Value>| fields.get(key).cloned().unwrap_or_default();
        compare(&deeper, &side(before), &side(after), found);
    }
}
