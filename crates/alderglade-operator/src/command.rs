//! The `alderglade` command line: one file for each command.

mod apply;
mod check;
mod drain;
pub mod explain;
mod plan;
mod report;
mod show;
mod status;

use crate::files;
use crate::shell::{Format, Shell};
use alderglade_platform::Client;
use lexopt::prelude::*;
use snafu::Snafu;
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

/// Everything went as asked.
pub const DONE: u8 = 0;
/// The command failed.
pub const FAILED: u8 = 1;
/// The command line can't be understood.
pub const USAGE: u8 = 2;
/// Settings are wrong, or another operator was first.
pub const REJECTED: u8 = 3;

const HELP: &str = "\
alderglade: run a serving layer by settings kept in version control

Usage: alderglade COMMAND [OPTIONS]

Commands:
  check FOLDER          check the settings in FOLDER
  plan FOLDER           show what applying FOLDER would change
  apply FOLDER          put the settings of FOLDER in force
  show                  show the settings in force
  status                show each entry host and its settings revision
  drain HOST            have an entry host finish its work and stop
  explain ID [LOG...]   tell the story of a request from hosts' logs
  explain --summary     tell from them where worth was lost
  report                show how fast service-level budgets burn

Options:
  --platform ADDRESS    the platform, IP number and port
                        (default: the environment's ALDERGLADE_PLATFORM)
  --json                write results for programs
  -h, --help            show this help; after a command, its own
  -V, --version         show the version

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 settings rejected or outrun
";

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The command line can't be understood.
    #[snafu(display("{detail}"))]
    Usage {
        /// What is wrong.
        detail: String,
    },
    /// The settings files are wrong.
    #[snafu(transparent)]
    Files {
        /// What is wrong with them.
        source: files::Error,
    },
    /// The platform doesn't do what is asked.
    #[snafu(display("can't {action}"))]
    Platform {
        /// What was tried.
        action: &'static str,
        /// The cause.
        source: alderglade_platform::Error,
    },
    /// Another operator was first.
    #[snafu(display(
        "not applied: revision {newer} came first (this change was made for revision {base}){changes}"
    ))]
    Outrun {
        /// The revision that the change was made for.
        base: u64,
        /// The revision that is in force.
        newer: u64,
        /// What differs.
        changes: String,
    },
    /// A host can't be asked.
    #[snafu(display("host {host} can't be reached: {cause}"))]
    Host {
        /// The host.
        host: String,
        /// What the HTTP library said.
        cause: String,
    },
    /// Waiting took too long.
    #[snafu(display("{detail}"))]
    Waited {
        /// What was waited for.
        detail: String,
    },
    /// No log speaks of a request.
    #[snafu(display("no line speaks of request `{id}`"))]
    NotFound {
        /// The request.
        id: String,
    },
    /// A log can't be read.
    #[snafu(display("can't read the log {file}: {cause}"))]
    Log {
        /// The file.
        file: String,
        /// What the system said.
        cause: String,
    },
    /// A picture can't be drawn.
    #[snafu(transparent)]
    Plot {
        /// What went wrong.
        source: crate::plot::Error,
    },
}

impl Error {
    fn code(&self) -> u8 {
        match self {
            Error::Usage { .. } => USAGE,
            Error::Files { .. } | Error::Outrun { .. } => REJECTED,
            Error::Platform { .. }
            | Error::Host { .. }
            | Error::Waited { .. }
            | Error::NotFound { .. }
            | Error::Log { .. }
            | Error::Plot { .. } => FAILED,
        }
    }

    fn hint(&self) -> Option<&'static str> {
        match self {
            Error::Usage { .. } => Some("see `alderglade --help`"),
            Error::Files { .. } => Some("docs/OPERATING.md lists all fields with their units"),
            Error::Platform { .. } => Some("is --platform right, and is the platform in service?"),
            Error::Outrun { .. } => Some("run `alderglade plan` again and look at what changed"),
            Error::Host { .. } => Some("`alderglade status` shows which hosts answer"),
            Error::NotFound { .. } => Some("is the id whole, and are these the logs of its hosts?"),
            Error::Log { .. } => Some("logs are files of entry hosts' standard output"),
            Error::Waited { .. } | Error::Plot { .. } => None,
        }
    }
}

/// What the command line says, as far as commands share it.
#[derive(Debug, Default)]
pub(crate) struct Arguments {
    command: String,
    operands: Vec<String>,
    platform: Option<String>,
    json: bool,
    summary: bool,
    help: bool,
    version: bool,
    explain: Option<String>,
    wait: Option<u64>,
    token: Option<String>,
    base: Option<u64>,
    plot: Option<PathBuf>,
}

impl Arguments {
    fn read(arguments: impl IntoIterator<Item = OsString>) -> Result<Arguments, Error> {
        let mut found = Arguments::default();
        let mut parser = lexopt::Parser::from_args(arguments);
        while let Some(argument) = parser.next().map_err(usage)? {
            match argument {
                Short('h') | Long("help") => found.help = true,
                Short('V') | Long("version") => found.version = true,
                Long("json") => found.json = true,
                Long("summary") => found.summary = true,
                Long("platform") => found.platform = Some(text(&mut parser)?),
                Long("explain") => found.explain = Some(text(&mut parser)?),
                Long("token") => found.token = Some(text(&mut parser)?),
                Long("wait") => found.wait = Some(number(&mut parser)?),
                Long("base") => found.base = Some(number(&mut parser)?),
                Long("plot") => found.plot = Some(text(&mut parser)?.into()),
                Value(value) if found.command.is_empty() => {
                    found.command = value.string().map_err(usage)?;
                }
                Value(value) => found.operands.push(value.string().map_err(usage)?),
                other => return Err(usage(other.unexpected())),
            }
        }
        Ok(found)
    }

    fn operand(&self, what: &str) -> Result<&str, Error> {
        match self.operands.as_slice() {
            [single] => Ok(single),
            [] => Err(usage(format!("`alderglade {}` needs {what}", self.command))),
            [_, extra, ..] => Err(usage(format!("`{extra}` is one operand too many"))),
        }
    }

    fn client(&self) -> Result<Client, Error> {
        let environment = std::env::var("ALDERGLADE_PLATFORM").ok();
        let address = self.platform.clone().or(environment);
        let address = address.ok_or_else(|| usage("no platform given: use --platform ADDRESS"))?;
        if address.parse::<std::net::SocketAddr>().is_err() {
            let detail = format!("--platform is `{address}`; expected an IP number and port");
            return Err(usage(detail));
        }
        Ok(Client::new(&address))
    }
}

fn text(parser: &mut lexopt::Parser) -> Result<String, Error> {
    let value = parser.value().map_err(usage)?;
    value.string().map_err(usage)
}

fn number(parser: &mut lexopt::Parser) -> Result<u64, Error> {
    let value = parser.value().map_err(usage)?;
    value.parse().map_err(usage)
}

fn usage(detail: impl ToString) -> Error {
    Error::Usage {
        detail: detail.to_string(),
    }
}

/// Runs the command line and gives the exit code.
pub fn main(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let arguments = match Arguments::read(arguments) {
        Ok(arguments) => arguments,
        Err(error) => return fail(&Shell::new(Format::Text), &error),
    };
    let format = if arguments.json {
        Format::Json
    } else {
        Format::Text
    };
    let shell = Shell::new(format);
    match run(&arguments, &shell) {
        Ok(()) => ExitCode::from(DONE),
        Err(error) => fail(&shell, &error),
    }
}

fn fail(shell: &Shell, error: &Error) -> ExitCode {
    shell.error(error, error.hint());
    ExitCode::from(error.code())
}

fn run(arguments: &Arguments, shell: &Shell) -> Result<(), Error> {
    if arguments.version {
        shell.result(
            &env!("CARGO_PKG_VERSION"),
            &concat!("alderglade ", env!("CARGO_PKG_VERSION")),
        );
        return Ok(());
    }
    let command = match arguments.command.as_str() {
        "" => {
            shell.result(&HELP, &HELP);
            return if arguments.help {
                Ok(())
            } else {
                Err(usage("no command given"))
            };
        }
        "check" => Command::new(check::HELP, check::run),
        "plan" => Command::new(plan::HELP, plan::run),
        "apply" => Command::new(apply::HELP, apply::run),
        "show" => Command::new(show::HELP, show::run),
        "status" => Command::new(status::HELP, status::run),
        "drain" => Command::new(drain::HELP, drain::run),
        "explain" => Command::new(explain::HELP, explain::run),
        "report" => Command::new(report::HELP, report::run),
        other => return Err(usage(format!("no command `{other}`"))),
    };
    if arguments.help {
        shell.result(&command.help, &command.help);
        return Ok(());
    }
    (command.run)(arguments, shell)
}

struct Command {
    help: &'static str,
    run: fn(&Arguments, &Shell) -> Result<(), Error>,
}

impl Command {
    fn new(help: &'static str, run: fn(&Arguments, &Shell) -> Result<(), Error>) -> Command {
        Command { help, run }
    }
}
