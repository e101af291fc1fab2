//! Structured log lines on standard output: one JSON object for each decision.
//!
//! Lines are numbered events; `docs/LOG-EVENTS.md` is their catalogue. Writing never blocks traffic:
//! lines go through a bounded queue to a thread of their own, and lines over the budget of a second
//! are counted and told instead of written.

mod kind;
mod queue;
mod record;

pub use kind::{ALL, Kind};
pub use queue::{Pending, Queue};
pub use record::Record;

use log4rs::config::{Appender, Config, Root};
use serde::Serialize;
use snafu::{ResultExt, Snafu};
use std::io::Write;
use std::sync::mpsc::Receiver;
use std::time::Duration;

/// A record with what each line begins with.
#[derive(Serialize)]
struct Line<'a> {
    at_ms: u64,
    n: u16,
    level: &'a str,
    event: &'a str,
    #[serde(flatten)]
    record: &'a Record<'a>,
}

/// Writes a record. Its time is that of the process's steady clock.
pub fn write(record: &Record<'_>) {
    let level = record.kind().level;
    if !log::log_enabled!(level) {
        return;
    }
    match line(record, crate::clock::now().as_millis()) {
        Ok(line) => log::log!(level, "{line}"),
        Err(error) => log::error!("a log line can't be written: {error}"),
    }
}

/// Gives the text of a record's line.
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
    /// The thread that writes can't be started.
    #[snafu(display("can't start the thread that writes the log"))]
    Thread {
        /// The cause.
        source: std::io::Error,
    },
}

/// The log of the process; dropped at its end, when the last lines are written.
#[must_use = "dropped at once, it waits for nothing"]
pub struct Log {
    pending: Pending,
}

impl Drop for Log {
    fn drop(&mut self) {
        /// How long the end of the process may wait for its last lines. A reader that takes none must not
        /// hold it up.
        const LAST_LINES: Duration = Duration::from_millis(200);
        self.pending.wait(LAST_LINES);
    }
}

/// Starts logging to standard output.
///
/// # Errors
///
/// Where a logger is there already or the writing thread can't be started.
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

/// Writes lines until the queue is closed. A line that can't be written is lost: there is no other
/// place to tell it.
fn write_lines(lines: &Receiver<String>, pending: &Pending) {
    let mut out = std::io::stdout();
    while let Ok(line) = lines.recv() {
        let _ = writeln!(out, "{line}");
        pending.written();
    }
}
