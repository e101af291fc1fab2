//! The `alderglade-standin` command line.

mod bench;
mod demo;
mod experiment;
mod fuzz;

mod load;
mod measure;
mod run;
mod slopes;

use lexopt::prelude::*;
use snafu::Snafu;
use std::collections::BTreeMap;
use std::ffi::OsString;
use std::process::ExitCode;

const HELP: &str = "\
alderglade-standin: stand-ins and tools to try alderglade out on loopback

Usage: alderglade-standin COMMAND [OPTIONS]

Commands:
  platform      run a stand-in for the platform   [--address ADDRESS]
  engine        run a stand-in for a model engine [--address ADDRESS] [--name NAME]
                [--kv-tokens N] [--scale X]
  service       run a stand-in for a plain service [--address ADDRESS]
  load          send prompts to entry hosts and print times to first token
                --hosts A,B [--requests N] [--rate PER_SECOND] [--lengths 1000,8000]
                [--workspace NAME] [--seed N] [--json]
  experiment    run an experiment under a virtual clock
                --file FILE.json [--plot FILE.svg] [--json]
  bench         measure what one decision costs  [--rounds N] [--json]
  slopes        measure how the load book grows with hosts and engines  [--rounds N] [--json]
  measure       measure the slopes of docs/CAPACITY.md  [--processes yes] [--json]
  fuzz          run random fault schedules  [--seed FIRST] [--seeds COUNT] [--json]
  demo          start a small fleet of separate processes, send mixed prompts, print times

A stand-in prints its address as a JSON line when it listens.
";

/// The options that commands share: names and values as text.
#[derive(Debug, Default)]
pub(crate) struct Options {
    values: BTreeMap<String, String>,
    json: bool,
}

impl Options {
    fn text(&self, name: &str, default: &str) -> String {
        self.values
            .get(name)
            .cloned()
            .unwrap_or_else(|| default.into())
    }

    fn number(&self, name: &str, default: f64) -> Result<f64, Failure> {
        let Some(value) = self.values.get(name) else {
            return Ok(default);
        };
        let number = value.parse();
        Ok(number.map_err(|_| format!("--{name} is `{value}`; expected a number"))?)
    }
}

const NAMES: [&str; 16] = [
    "processes",
    "rounds",
    "seeds",
    "address",
    "name",
    "kv-tokens",
    "scale",
    "hosts",
    "requests",
    "rate",
    "lengths",
    "workspace",
    "seed",
    "output",
    "file",
    "plot",
];

/// Why a command failed, in words for the person who called it.
#[derive(Debug, Snafu)]
#[snafu(display("{detail}"))]
pub(crate) struct Failure {
    detail: String,
}

impl<T: Into<String>> From<T> for Failure {
    fn from(detail: T) -> Failure {
        Failure {
            detail: detail.into(),
        }
    }
}

/// Runs the command line and gives the exit code.
pub fn main(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    match read(arguments).and_then(|(command, options)| run(&command, &options)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("error: {failure}\n  hint: see `alderglade-standin --help`");
            ExitCode::FAILURE
        }
    }
}

fn read(arguments: impl IntoIterator<Item = OsString>) -> Result<(String, Options), Failure> {
    let wrong = |error: lexopt::Error| error.to_string();
    let mut parser = lexopt::Parser::from_args(arguments);
    let mut command = String::new();
    let mut options = Options::default();
    while let Some(argument) = parser.next().map_err(wrong)? {
        match argument {
            Short('h') | Long("help") => command = "help".into(),
            Long("json") => options.json = true,
            Long(name) if NAMES.contains(&name) => {
                let name = name.to_string();
                let value = parser
                    .value()
                    .and_then(|value| value.string())
                    .map_err(wrong)?;
                options.values.insert(name, value);
            }
            Value(value) if command.is_empty() => command = value.string().map_err(wrong)?,
            other => return Err(wrong(other.unexpected()).into()),
        }
    }
    Ok((command, options))
}

fn run(command: &str, options: &Options) -> Result<(), Failure> {
    match command {
        "platform" => run::platform(options),
        "engine" => run::engine(options),
        "service" => run::service(options),
        "load" => load::run(options),
        "measure" => measure::run(options),
        "bench" => bench::run(options),
        "slopes" => slopes::run(options),
        "demo" => demo::run(),
        "fuzz" => fuzz::run(options),
        "experiment" => experiment::run(options),
        "help" => {
            print!("{HELP}");
            Ok(())
        }
        other => Err(format!("no command `{other}`").into()),
    }
}
