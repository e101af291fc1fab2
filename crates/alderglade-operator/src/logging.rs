//! Sets `log4rs` up: lines on standard error, the hosts have no disks.

use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Logger, Root};
use log4rs::encode::pattern::PatternEncoder;
use snafu::{ResultExt, Snafu};

/// Why logging can't be set up.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The configuration doesn't fit together.
    #[snafu(display("can't set the log up"))]
    Config {
        /// The cause.
        source: log4rs::config::runtime::ConfigErrors,
    },
    /// Another logger is there already.
    #[snafu(display("a log is set up already"))]
    Taken {
        /// The cause.
        source: log::SetLoggerError,
    },
}

/// Libraries whose own lines say nothing that a numbered event doesn't.
const TALKATIVE: [&str; 2] = ["tarpc", "hyper"];

/// Starts logging under a host's name.
///
/// # Errors
///
/// Where a logger is there already.
pub fn start(host: &str, level: LevelFilter) -> Result<(), Error> {
    let pattern = format!("{{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)}} {{l}} {host} {{m}}{{n}}");
    let appender = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(Box::new(PatternEncoder::new(&pattern)))
        .build();
    let mut config =
        Config::builder().appender(Appender::builder().build("console", Box::new(appender)));
    for library in TALKATIVE {
        config = config.logger(Logger::builder().build(library, LevelFilter::Off));
    }
    let config = config
        .build(Root::builder().appender("console").build(level))
        .context(ConfigSnafu)?;
    log4rs::init_config(config).context(TakenSnafu)?;
    Ok(())
}
