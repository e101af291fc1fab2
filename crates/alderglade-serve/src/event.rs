//! Structured log lines on standard output: one JSON object for each decision.
//!
//! Lines are numbered events; `docs/LOG-EVENTS.md` is their catalogue. Logging never blocks traffic: lines pass
//! through a bounded queue to a separate thread. Lines beyond the limit per second are counted, and the count is
//! logged in their place.

mod departure;
mod kind;
mod part;
mod queue;
mod record;
mod requester;
mod response_end;
mod server_break;
mod store_reach;

pub use departure::{ServerDeparting, ServerDropped, ServerReturned, ServersKept};
pub use kind::{ALL, Kind};
pub use part::PartBar;
pub use queue::{Pending, Queue};
pub use record::Record;
pub use requester::Requester;
pub use response_end::ResponseEnd;
pub use server_break::ServerBreak;
pub use store_reach::StoreReach;

use log4rs::config::{Appender, Config, Root};
use serde::Serialize;
use snafu::{ResultExt, Snafu};
use std::io::Write;
use std::sync::mpsc::Receiver;
use std::time::Duration;

/// A record with the fields that each line begins with.
#[derive(Serialize)]
struct Line<'a> {
    at_ms: u64,
    n: u16,
    level: &'a str,
    event: &'a str,
    #[serde(flatten)]
    record: &'a Record<'a>,
}

/// Logs a record with the time of the process's monotonic clock.
pub fn write(record: &Record<'_>) {
    let level = record.kind().level;
    if !log::log_enabled!(level) {
        return;
    }
    match line(record, crate::clock::now().as_millis()) {
        Ok(line) => log::log!(level, "{line}"),
        Err(error) => log::error!("cannot serialize a log line: {error}"),
    }
}

/// Returns the line of a record as JSON.
fn line(record: &Record<'_>, at_ms: u64) -> serde_json::Result<String> {
    let kind = record.kind();
    serde_json::to_string(&Line {
        at_ms,
        n: kind.number,
        level: kind.level.as_str(),
        event: kind.name,
        record,
    })
}

/// Why logging cannot be set up.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The logging configuration is inconsistent.
    #[snafu(display("can't set the log up"))]
    Config {
        /// The cause.
        source: log4rs::config::runtime::ConfigErrors,
    },
    /// Another logger is already installed.
    #[snafu(display("a log is set up already"))]
    Taken {
        /// The cause.
        source: log::SetLoggerError,
    },
    /// The writer thread cannot be started.
    #[snafu(display("can't start the thread that writes the log"))]
    Thread {
        /// The cause.
        source: std::io::Error,
    },
}

/// The log of the process. Dropping it waits until the last lines are written.
#[must_use = "dropped at once, it waits for nothing"]
pub struct Log {
    pending: Pending,
}

impl Drop for Log {
    fn drop(&mut self) {
        /// How long the exit of the process may wait for its last lines. A reader that stopped reading must not delay
        /// it.
        const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
        self.pending.wait(FLUSH_TIMEOUT);
    }
}

/// Starts logging to standard output.
///
/// # Errors
///
/// Returns an error if a logger is already installed or the writer thread cannot be started.
pub fn start(level: log::LevelFilter) -> Result<Log, Error> {
    let (queue, lines) = Queue::new();
    let pending = queue.pending();
    let written = pending.clone();
    std::thread::Builder::new()
        .name("log".to_string())
        .stack_size(128 * 1024)
        .spawn(move || write_lines(&lines, &written))
        .context(ThreadSnafu)?;
    let config = Config::builder()
        .appender(Appender::builder().build("queue", Box::new(queue)))
        .build(Root::builder().appender("queue").build(level))
        .context(ConfigSnafu)?;
    log4rs::init_config(config).context(TakenSnafu)?;
    Ok(Log { pending })
}

/// Writes lines until the queue is closed. A line that cannot be written is lost: there is no other place to report
/// it.
fn write_lines(lines: &Receiver<String>, pending: &Pending) {
    let mut out = std::io::stdout();
    while let Ok(line) = lines.recv() {
        let _ = writeln!(out, "{line}");
        pending.mark_written();
    }
}
