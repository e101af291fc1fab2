//! Settings as files under version control: `fleet.json` and `workspaces/NAME.json`.

use alderglade_core::settings::check::{Fault, check, read};
use alderglade_core::settings::tree::{Fleet, Tree, Workspace};
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};
use std::path::{Path, PathBuf};

/// The fleet's file.
const FLEET: &str = "fleet.json";
/// The folder with a file for each workspace.
const WORKSPACES: &str = "workspaces";

/// Why files can't be taken as settings.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A file or folder can't be read.
    #[snafu(display("can't read {}", path.display()))]
    Read {
        /// The path.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// Something in a file is wrong.
    #[snafu(display("{}: {fault}", path.display()))]
    Fault {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        fault: Fault,
    },
    /// Several things don't fit together.
    #[snafu(display("{} faults in {}:{}", faults.len(), path.display(), list(faults)))]
    Faults {
        /// The folder.
        path: PathBuf,
        /// What is wrong.
        faults: Vec<Fault>,
    },
}

fn list(faults: &[Fault]) -> String {
    faults.iter().map(|fault| format!("\n  {fault}")).collect()
}

/// Reads and checks the settings in a folder.
///
/// # Errors
///
/// Where a file can't be read, or anything in it is wrong; the error names file, path and what
/// was expected.
pub fn load(folder: &Path) -> Result<Tree, Error> {
    let mut tree = Tree {
        fleet: file::<Fleet>(&folder.join(FLEET))?,
        ..Tree::default()
    };
    let workspaces = folder.join(WORKSPACES);
    let listing = std::fs::read_dir(&workspaces).context(ReadSnafu { path: &workspaces })?;
    for item in listing {
        let path = item.context(ReadSnafu { path: &workspaces })?.path();
        let json = path
            .extension()
            .is_some_and(|extension| extension == "json");
        let Some(name) = path
            .file_stem()
            .and_then(|stem| stem.to_str())
            .filter(|_| json)
        else {
            continue;
        };
        tree.workspaces
            .insert(name.into(), file::<Workspace>(&path)?);
    }
    let faults = check(&tree);
    if faults.is_empty() {
        return Ok(tree);
    }
    let path = folder.to_path_buf();
    Err(Error::Faults { path, faults })
}

fn file<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
    read(&text).map_err(|fault| Error::Fault {
        path: path.to_path_buf(),
        fault,
    })
}
