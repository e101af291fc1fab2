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

/// One kind of log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Kind {
    /// The number, never used for another kind.
    pub number: u16,
    /// How grave it is.
    pub level: log::Level,
    /// The name in the log.
    pub name: &'static str,
}

const fn info(number: u16, name: &'static str) -> Kind {
    Kind {
        number,
        level: log::Level::Info,
        name,
    }
}

const fn warn(number: u16, name: &'static str) -> Kind {
    Kind {
        number,
        level: log::Level::Warn,
        name,
    }
}

/// The process serves.
pub const STARTED: Kind = info(3001, "started");
/// The process was asked to stop.
pub const STOPPING: Kind = info(3002, "stopping");
/// The process ends.
pub const STOPPED: Kind = info(3003, "stopped");
/// The settings were read again.
pub const RELOADED: Kind = info(3004, "reloaded");
/// Lines were left out.
pub const LINES_DROPPED: Kind = warn(3005, "lines_dropped");
/// A newer configuration is in force.
pub const CONFIG_IN_FORCE: Kind = info(3101, "config_in_force");
/// A configuration could not be read and is passed over.
pub const CONFIG_UNREADABLE: Kind = warn(3102, "config_unreadable");
/// The list of backend servers changed.
pub const SERVERS_CHANGED: Kind = info(3103, "servers_changed");
/// The store gives no answer.
pub const STORE_LOST: Kind = warn(3201, "store_lost");
/// The store answers again.
pub const STORE_BACK: Kind = info(3202, "store_back");
/// Another entry host came, or came back.
pub const PEER_JOINED: Kind = info(3301, "peer_joined");
/// Another entry host is silent; what it held lapses.
pub const PEER_LOST: Kind = warn(3302, "peer_lost");
/// Something could not be sent or read between hosts.
pub const PEER_FAULT: Kind = warn(3303, "peer_fault");
/// A listener could not take a connection.
pub const LISTEN_FAULT: Kind = warn(3304, "listen_fault");
/// A request goes to a backend server.
pub const PLACED: Kind = info(3401, "placed");
/// A try failed.
pub const ATTEMPT_FAILED: Kind = warn(3402, "attempt_failed");
/// A request was answered by a backend server.
pub const ANSWERED: Kind = info(3403, "answered");
/// A request was answered with an error kind of the product.
pub const REFUSED: Kind = info(3404, "refused");
/// A stream was broken off before its end.
pub const BROKEN_OFF: Kind = warn(3405, "broken_off");
/// The caller left before its answer was whole.
pub const CALLER_LEFT: Kind = info(3406, "caller_left");
/// Memory could not be set aside for a prompt.
pub const MEMORY_REFUSED: Kind = info(3501, "memory_refused");
/// Memory was not given back; it lapses by itself.
pub const MEMORY_NOT_RELEASED: Kind = warn(3502, "memory_not_released");

/// All kinds, in the order of their numbers.
pub const ALL: [Kind; 22] = [
    STARTED,
    STOPPING,
    STOPPED,
    RELOADED,
    LINES_DROPPED,
    CONFIG_IN_FORCE,
    CONFIG_UNREADABLE,
    SERVERS_CHANGED,
    STORE_LOST,
    STORE_BACK,
    PEER_JOINED,
    PEER_LOST,
    PEER_FAULT,
    LISTEN_FAULT,
    PLACED,
    ATTEMPT_FAILED,
    ANSWERED,
    REFUSED,
    BROKEN_OFF,
    CALLER_LEFT,
    MEMORY_REFUSED,
    MEMORY_NOT_RELEASED,
];

/// One log line.
#[derive(Debug, Serialize)]
#[serde(untagged)]
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
    /// Gives the kind of the line.
    pub fn kind(&self) -> &'static Kind {
        match self {
            Record::Started { .. } => &STARTED,
            Record::Stopping { .. } => &STOPPING,
            Record::Stopped { .. } => &STOPPED,
            Record::Reloaded { .. } => &RELOADED,
            Record::LinesDropped { .. } => &LINES_DROPPED,
            Record::ConfigInForce { .. } => &CONFIG_IN_FORCE,
            Record::ConfigUnreadable { .. } => &CONFIG_UNREADABLE,
            Record::ServersChanged { .. } => &SERVERS_CHANGED,
            Record::StoreLost { .. } => &STORE_LOST,
            Record::StoreBack { .. } => &STORE_BACK,
            Record::PeerJoined { .. } => &PEER_JOINED,
            Record::PeerLost { .. } => &PEER_LOST,
            Record::PeerFault { .. } => &PEER_FAULT,
            Record::ListenFault { .. } => &LISTEN_FAULT,
            Record::Placed { .. } => &PLACED,
            Record::AttemptFailed { .. } => &ATTEMPT_FAILED,
            Record::Answered { .. } => &ANSWERED,
            Record::Refused { .. } => &REFUSED,
            Record::BrokenOff { .. } => &BROKEN_OFF,
            Record::CallerLeft { .. } => &CALLER_LEFT,
            Record::MemoryRefused { .. } => &MEMORY_REFUSED,
            Record::MemoryNotReleased { .. } => &MEMORY_NOT_RELEASED,
        }
    }
}

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
    let kind = record.kind();
    let level = kind.level;
    if !log::log_enabled!(level) {
        return;
    }
    let line = Line {
        at_ms: crate::clock::now().as_millis(),
        n: kind.number,
        level: level.as_str(),
        event: kind.name,
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
        let kind = record.kind();
        let line = Line {
            at_ms: second * 1_000,
            n: kind.number,
            level: kind.level.as_str(),
            event: kind.name,
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
