//! The record of a run: what was sent, answered and run, with milliseconds since the start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines to a file.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(BufWriter::new(file))),
        }
    }

    /// Returns the milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Writes a line, and returns its time.
    pub fn line(&self, text: &str) -> u64 {
        let mut file = self.file.lock().expect("no writer panicked");
        let now = self.now();
        let _ = writeln!(file, "{now:>7} {text}");
        now
    }

    /// Writes a line to the file and to standard output.
    pub fn say(&self, text: &str) {
        let now = self.line(text);
        println!("{now:>7} {text}");
    }

    pub fn flush(&self) {
        let _ = self.file.lock().expect("no writer panicked").flush();
    }
}
