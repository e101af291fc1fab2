//! The bounded queue between logging code and the writer thread.
//!
//! Logging never waits. A line that exceeds the limit per second, or that finds the queue full, is dropped and
//! counted. The count is logged before the next line that is accepted.

use super::Record;
use log4rs::append::Append;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Capacity of the queue, in lines: about a second of a busy host.
const QUEUE_CAPACITY: usize = 1_024;
/// Maximum number of lines per second: three lines for each request of a busy host.
const LINES_PER_SECOND: u64 = 300;

/// Counts the lines of the current second to limit their rate.
#[derive(Debug, Default)]
struct RateLimit {
    second: u64,
    lines: u64,
}

impl RateLimit {
    /// Counts a line; returns whether it may be written in this second.
    fn allow(&mut self, second: u64) -> bool {
        if self.second != second {
            *self = RateLimit { second, lines: 0 };
        }
        self.lines += 1;
        self.lines <= LINES_PER_SECOND
    }
}

/// Counts the lines that were accepted and are not written yet.
#[derive(Debug, Clone, Default)]
pub struct Pending {
    lines: Arc<AtomicUsize>,
}

impl Pending {
    /// Interval at which [`Pending::wait`] checks the count.
    const POLL_INTERVAL: Duration = Duration::from_millis(5);

    /// Records that a line was written, or could not be.
    pub fn mark_written(&self) {
        self.lines.fetch_sub(1, Ordering::AcqRel);
    }

    /// Waits until all lines are written, or until the timeout; returns whether they are.
    pub fn wait(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while self.lines.load(Ordering::Acquire) > 0 {
            if Instant::now() >= deadline {
                return false;
            }
            std::thread::sleep(Pending::POLL_INTERVAL);
        }
        true
    }
}

/// Sends lines to the writer thread and drops those that exceed the limit.
#[derive(Debug)]
pub struct Queue {
    lines: SyncSender<String>,
    rate_limit: Mutex<RateLimit>,
    dropped: AtomicU64,
    pending: Pending,
}

impl Queue {
    /// Creates a queue and the receiver of its lines.
    pub fn new() -> (Queue, Receiver<String>) {
        let (lines, receiver) = sync_channel(QUEUE_CAPACITY);
        let queue = Queue {
            lines,
            rate_limit: Mutex::default(),
            dropped: AtomicU64::new(0),
            pending: Pending::default(),
        };
        (queue, receiver)
    }

    /// Returns the count of lines that are not written yet.
    pub fn pending(&self) -> Pending {
        self.pending.clone()
    }

    /// Enqueues a line in the given second of the process, or counts it as dropped.
    pub fn push(&self, line: String, second: u64) {
        let allowed = self
            .rate_limit
            .lock()
            .map(|mut rate_limit| rate_limit.allow(second))
            .unwrap_or(false);
        if !allowed {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            self.log_dropped(dropped, second);
        }
        if !self.send(line) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Sends a line to the writer thread; returns whether the queue had room.
    fn send(&self, line: String) -> bool {
        self.pending.lines.fetch_add(1, Ordering::AcqRel);
        let sent = self.lines.try_send(line).is_ok();
        if !sent {
            self.pending.mark_written();
        }
        sent
    }

    fn log_dropped(&self, count: u64, second: u64) {
        let line = super::line(&Record::LinesDropped { count }, second * 1_000);
        let sent = line.is_ok_and(|line| self.send(line));
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
