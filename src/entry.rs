//! The daemon of an entry host.
//!
//! One thread owns the decisions ([`control`]); the others carry traffic or talk to the outside
//! and only send it events. What traffic threads have to know they read from an immutable
//! [`snapshot`] that the control thread publishes.

mod control;
mod engines;
mod host;
mod orders;
mod outside;
mod pool;
mod snapshot;
mod start;
mod traffic;

use host::Host;
use snafu::Snafu;
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

const HELP: &str = "\
alderglade-entry: the daemon of an entry host

Usage: alderglade-entry --settings FILE

FILE is this host's own settings in JSON: name, domain, callers, peers, operators, platform
(addresses as IP number and port), and optionally max_requests, log_level, drain_limit_ms.
SIGTERM, SIGINT or SIGHUP begins a planned stop: nothing in flight is cut off.

Exit codes: 0 stopped as planned, 1 failed, 2 wrong usage
";

/// Why the daemon doesn't start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The command line can't be understood.
    #[snafu(display("{detail}"))]
    Usage {
        /// What is wrong.
        detail: String,
    },
    /// The host's own settings can't be read.
    #[snafu(display("can't read {}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The host's own settings are wrong.
    #[snafu(display("{}: {detail}", path.display()))]
    Settings {
        /// The file.
        path: PathBuf,
        /// What is wrong, and where.
        detail: String,
    },
    /// The log can't be set up.
    #[snafu(transparent)]
    Log {
        /// The cause.
        source: alderglade_operator::logging::Error,
    },
    /// The callers' address can't be listened on.
    #[snafu(transparent)]
    Callers {
        /// The cause.
        source: alderglade_caller::listen::Error,
    },
    /// The peers' address can't be listened on.
    #[snafu(transparent)]
    Peers {
        /// The cause.
        source: alderglade_peer::Error,
    },
    /// The operators' address can't be listened on.
    #[snafu(transparent)]
    Pages {
        /// The cause.
        source: alderglade_operator::pages::Error,
    },
    /// A signal can't be handled.
    #[snafu(display("can't handle signals"))]
    Signal {
        /// The cause.
        source: std::io::Error,
    },
}

/// Runs the daemon and gives the exit code.
pub fn main(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    match run(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let shell =
                alderglade_operator::shell::Shell::new(alderglade_operator::shell::Format::Text);
            shell.error(&error, Some("see `alderglade-entry --help`"));
            ExitCode::from(if matches!(error, Error::Usage { .. }) {
                2
            } else {
                1
            })
        }
    }
}

fn run(arguments: impl IntoIterator<Item = OsString>) -> Result<(), Error> {
    let Some(path) = arguments_of(arguments)? else {
        print!("{HELP}");
        return Ok(());
    };
    start::run(Host::read(&path)?)
}

/// Reads the command line; nothing means that help is wanted.
fn arguments_of(arguments: impl IntoIterator<Item = OsString>) -> Result<Option<PathBuf>, Error> {
    use lexopt::prelude::*;
    let wrong = |error: lexopt::Error| Error::Usage {
        detail: error.to_string(),
    };
    let mut parser = lexopt::Parser::from_args(arguments);
    let mut path = None;
    while let Some(argument) = parser.next().map_err(wrong)? {
        match argument {
            Short('h') | Long("help") => return Ok(None),
            Long("settings") => path = Some(PathBuf::from(parser.value().map_err(wrong)?)),
            other => return Err(wrong(other.unexpected())),
        }
    }
    match path {
        Some(path) => Ok(Some(path)),
        None => UsageSnafu {
            detail: "--settings FILE is missing",
        }
        .fail(),
    }
}
