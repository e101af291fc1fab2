//! The bounded queue between those who log and the thread that writes.
//!
//! Logging never waits: a line over the budget of its second, or one that finds the queue full, is
//! dropped and counted. The count is told before the next line that gets through.

use super::Record;
use log4rs::append::Append;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Lines that wait to be written; about a second of a busy host.
const QUEUE: usize = 1_024;
/// Lines that are written in a second; three lines for each of a busy host's requests.
const LINES_PER_SECOND: u64 = 300;

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

/// Counts the lines that were taken and are not written yet.
#[derive(Debug, Clone, Default)]
pub struct Pending {
    lines: Arc<AtomicUsize>,
}

impl Pending {
    /// How often it is looked whether all is written.
    const LOOK: Duration = Duration::from_millis(5);

    /// Notes that a line was written, or can't be.
    pub fn written(&self) {
        self.lines.fetch_sub(1, Ordering::AcqRel);
    }

    /// Waits until all lines are written, but no longer than `most`; says whether they are.
    pub fn wait(&self, most: Duration) -> bool {
        let until = Instant::now() + most;
        while self.lines.load(Ordering::Acquire) > 0 {
            if Instant::now() >= until {
                return false;
            }
            std::thread::sleep(Pending::LOOK);
        }
        true
    }
}

/// Hands lines to the writing thread and drops what is over the budget.
#[derive(Debug)]
pub struct Queue {
    lines: SyncSender<String>,
    budget: Mutex<Budget>,
    dropped: AtomicU64,
    pending: Pending,
}

impl Queue {
    /// Makes a queue; the receiver gets the lines.
    pub fn new() -> (Queue, Receiver<String>) {
        let (lines, receiver) = sync_channel(QUEUE);
        let queue = Queue {
            lines,
            budget: Mutex::default(),
            dropped: AtomicU64::new(0),
            pending: Pending::default(),
        };
        (queue, receiver)
    }

    /// Gives the count of lines that are not written yet.
    pub fn pending(&self) -> Pending {
        self.pending.clone()
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
        if !self.send(line) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Hands a line over; says whether there was room.
    fn send(&self, line: String) -> bool {
        self.pending.lines.fetch_add(1, Ordering::AcqRel);
        let sent = self.lines.try_send(line).is_ok();
        if !sent {
            self.pending.written();
        }
        sent
    }

    fn tell_dropped(&self, count: u64, second: u64) {
        let told = super::line(&Record::LinesDropped { count }, second * 1_000);
        let sent = told.is_ok_and(|line| self.send(line));
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
