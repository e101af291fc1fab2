//! Structured log lines on standard output: one JSON object for each decision.
//!
//! Lines are numbered events; `docs/LOG-EVENTS.md` is their catalogue. Writing never blocks traffic:
//! lines go through a bounded queue to a thread of their own, and lines over the budget of a second
//! are counted and told instead of written.

use crate::daemon::Addresses;
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Root};
use serde::Serialize;
use snafu::{ResultExt, Snafu};
use std::io::Write;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

/// Lines that wait to be written; about a second of a busy host.
const QUEUE: usize = 1_024;
/// Lines that are written in a second; three lines for each of a busy host's requests.
const LINES_PER_SECOND: u64 = 300;

/// One log line.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Record<'a> {
    /// The process serves.
    Started {
        /// The host.
        host: &'a str,
        /// Its failure domain.
        domain: &'a str,
        /// Where it listens.
        #[serde(flatten)]
        addresses: Addresses,
    },
    /// The process was asked to stop.
    Stopping {
        /// Requests that are still answered.
        in_flight: usize,
    },
    /// The process ends.
    Stopped {
        /// Requests that were cut off.
        cut_off: usize,
    },
    /// The settings were read again.
    Reloaded {
        /// What came of it.
        outcome: &'a str,
    },
    /// A newer configuration is in force.
    ConfigInForce {
        /// Its version.
        version: u64,
        /// The version before.
        before: Option<u64>,
    },
    /// A configuration could not be read and is passed over.
    ConfigUnreadable {
        /// What is wrong.
        problem: &'a str,
    },
    /// The list of backend servers changed.
    ServersChanged {
        /// Servers known now.
        known: usize,
        /// Servers among them that are leaving.
        leaving: usize,
    },
    /// The store gives no answer.
    StoreLost {
        /// What was seen.
        problem: &'a str,
    },
    /// The store answers again.
    StoreBack {
        /// How old the last word of the store was, in milliseconds.
        age_ms: u64,
    },
    /// Another entry host came, or came back.
    PeerJoined {
        /// The host.
        peer: &'a str,
        /// Its lifetime.
        incarnation: u64,
    },
    /// Another entry host is silent; what it held lapses.
    PeerLost {
        /// The host.
        peer: &'a str,
    },
    /// A request goes to a backend server.
    Placed {
        /// The request.
        id: &'a str,
        /// The server.
        server: &'a str,
        /// Which try it is, from `1`.
        attempt: u32,
        /// The length of its prompt in tokens; `0` where it is no generation.
        prompt: u64,
        /// Servers that read a part of the prompt.
        helpers: usize,
        /// Servers that hold a part of its memory.
        shares: usize,
        /// How long it has waited, in milliseconds.
        waited_ms: u64,
        /// When its first event is expected, in milliseconds.
        expected_ms: u64,
        /// The configuration's version.
        config: u64,
    },
    /// A try failed.
    AttemptFailed {
        /// The request.
        id: &'a str,
        /// The server.
        server: &'a str,
        /// Which try it was.
        attempt: u32,
        /// What was seen.
        problem: &'a str,
    },
    /// A request was answered by a backend server.
    Answered {
        /// The request.
        id: &'a str,
        /// The status.
        status: u16,
        /// The time from its arrival to the end of the answer, in milliseconds.
        took_ms: u64,
        /// The time to the first event or the whole answer, in milliseconds.
        first_ms: u64,
        /// The longest pause between two events, in milliseconds.
        longest_pause_ms: u64,
    },
    /// A request was answered with an error kind of the product.
    Refused {
        /// The request.
        id: &'a str,
        /// The error kind.
        kind: &'a str,
        /// The number of the kind's event.
        number: u16,
        /// Whether it ran.
        ran: &'a str,
        /// How long it took, in milliseconds.
        took_ms: u64,
        /// The age of the host's word of the store, in milliseconds.
        store_age_ms: Option<u64>,
    },
    /// A stream was broken off before its end.
    BrokenOff {
        /// The request.
        id: &'a str,
        /// Why.
        problem: &'a str,
        /// How long it took, in milliseconds.
        took_ms: u64,
    },
    /// The caller left before its answer was whole.
    CallerLeft {
        /// The request.
        id: &'a str,
    },
    /// Memory could not be set aside for a prompt.
    MemoryRefused {
        /// The request.
        id: &'a str,
        /// The server that refused.
        server: &'a str,
        /// What was seen.
        problem: &'a str,
    },
    /// Memory was not given back; it lapses by itself.
    MemoryNotReleased {
        /// The server.
        server: &'a str,
        /// What was seen.
        problem: &'a str,
    },
    /// Something could not be sent or read between hosts.
    PeerFault {
        /// What was seen.
        problem: &'a str,
    },
    /// A listener could not take a connection.
    ListenFault {
        /// What was seen.
        problem: &'a str,
    },
    /// Lines were left out.
    LinesDropped {
        /// How many.
        count: u64,
    },
}

impl Record<'_> {
    /// Gives the number of the event, never used for another one.
    pub fn number(&self) -> u16 {
        match self {
            Record::Started { .. } => 3001,
            Record::Stopping { .. } => 3002,
            Record::Stopped { .. } => 3003,
            Record::Reloaded { .. } => 3004,
            Record::LinesDropped { .. } => 3005,
            Record::ConfigInForce { .. } => 3101,
            Record::ConfigUnreadable { .. } => 3102,
            Record::ServersChanged { .. } => 3103,
            Record::StoreLost { .. } => 3201,
            Record::StoreBack { .. } => 3202,
            Record::PeerJoined { .. } => 3301,
            Record::PeerLost { .. } => 3302,
            Record::PeerFault { .. } => 3303,
            Record::ListenFault { .. } => 3304,
            Record::Placed { .. } => 3401,
            Record::AttemptFailed { .. } => 3402,
            Record::Answered { .. } => 3403,
            Record::Refused { .. } => 3404,
            Record::BrokenOff { .. } => 3405,
            Record::CallerLeft { .. } => 3406,
            Record::MemoryRefused { .. } => 3501,
            Record::MemoryNotReleased { .. } => 3502,
        }
    }

    /// Gives how grave it is.
    pub fn level(&self) -> log::Level {
        match self {
            Record::ConfigUnreadable { .. }
            | Record::StoreLost { .. }
            | Record::PeerLost { .. }
            | Record::PeerFault { .. }
            | Record::ListenFault { .. }
            | Record::AttemptFailed { .. }
            | Record::BrokenOff { .. }
            | Record::MemoryNotReleased { .. }
            | Record::LinesDropped { .. } => log::Level::Warn,
            _ => log::Level::Info,
        }
    }
}

#[derive(Serialize)]
struct Line<'a> {
    at_ms: u64,
    n: u16,
    level: &'a str,
    #[serde(flatten)]
    record: &'a Record<'a>,
}

/// Writes a record. Its time is that of the process's steady clock.
pub fn write(record: &Record<'_>) {
    let level = record.level();
    if !log::log_enabled!(level) {
        return;
    }
    let line = Line {
        at_ms: crate::clock::now().as_millis(),
        n: record.number(),
        level: level.as_str(),
        record,
    };
    match serde_json::to_string(&line) {
        Ok(text) => log::log!(level, "{text}"),
        Err(error) => log::error!("a log line can't be written: {error}"),
    }
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

/// Lines by second, to keep the volume bounded.
#[derive(Debug, Default)]
struct Budget {
    second: u64,
    lines: u64,
}

impl Budget {
    /// Says whether one more line may be written in this second.
    fn take(&mut self, second: u64) -> bool {
        if self.second != second {
            *self = Budget { second, lines: 0 };
        }
        self.lines += 1;
        self.lines <= LINES_PER_SECOND
    }
}

/// Hands lines to the writing thread and drops what is over the budget.
#[derive(Debug)]
pub struct Queue {
    lines: SyncSender<String>,
    budget: Mutex<Budget>,
    dropped: AtomicU64,
}

impl Queue {
    /// Makes a queue; the receiver gets the lines.
    pub fn new() -> (Queue, Receiver<String>) {
        let (lines, receiver) = sync_channel(QUEUE);
        let queue = Queue {
            lines,
            budget: Mutex::default(),
            dropped: AtomicU64::new(0),
        };
        (queue, receiver)
    }

    /// Takes a line in the given second of the process, or counts it as dropped.
    pub fn push(&self, line: String, second: u64) {
        let within = self
            .budget
            .lock()
            .map(|mut budget| budget.take(second))
            .unwrap_or(false);
        if !within {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            self.tell_dropped(dropped, second);
        }
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn tell_dropped(&self, count: u64, second: u64) {
        let record = Record::LinesDropped { count };
        let line = Line {
            at_ms: second * 1_000,
            n: record.number(),
            level: record.level().as_str(),
            record: &record,
        };
        let sent = serde_json::to_string(&line)
            .ok()
            .is_some_and(|text| self.lines.try_send(text).is_ok());
        if !sent {
            self.dropped.fetch_add(count, Ordering::Relaxed);
        }
    }
}

impl Append for Queue {
    fn append(&self, record: &log::Record<'_>) -> anyhow::Result<()> {
        let second = crate::clock::now().as_millis() / 1_000;
        self.push(record.args().to_string(), second);
        Ok(())
    }

    fn flush(&self) {}
}

/// Starts logging to standard output.
///
/// # Errors
///
/// Where a logger is there already or the writing thread can't be started.
pub fn start(level: log::LevelFilter) -> Result<(), Error> {
    let (queue, lines) = Queue::new();
    std::thread::Builder::new()
        .name("log".to_string())
        .stack_size(128 * 1024)
        .spawn(move || write_lines(&lines))
        .context(ThreadSnafu)?;
    let config = Config::builder()
        .appender(Appender::builder().build("queue", Box::new(queue)))
        .build(Root::builder().appender("queue").build(level))
        .context(ConfigSnafu)?;
    log4rs::init_config(config).context(TakenSnafu)?;
    Ok(())
}

/// Writes lines until the queue is closed. A line that can't be written is lost: there is no other
/// place to tell it.
fn write_lines(lines: &Receiver<String>) {
    let mut out = std::io::stdout();
    while let Ok(line) = lines.recv() {
        let _ = writeln!(out, "{line}");
    }
}
