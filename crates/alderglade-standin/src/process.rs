//! Child processes of tests and the demo: started, read for their addresses, ended by pid.

use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// The line that an entry host prints when it listens.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Addresses {
    /// For callers.
    pub callers: String,
    /// For other entry hosts.
    pub peers: String,
    /// For operators.
    pub operators: String,
}

/// The line that a stand-in prints when it listens.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Listens {
    /// Its address.
    pub address: String,
}

/// A child process that is killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program and reads the JSON line that it prints first.
    ///
    /// # Panics
    ///
    /// Where the program can't be started or prints something else.
    pub fn start<T: DeserializeOwned>(
        program: &Path,
        arguments: &[&str],
        quiet: bool,
    ) -> (Process, T) {
        let errors = if quiet {
            Stdio::null()
        } else {
            Stdio::inherit()
        };
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(errors)
            .spawn()
            .unwrap_or_else(|cause| panic!("can't start {}: {cause}", program.display()));
        let output = child.stdout.take().expect("a piped output");
        let mut line = String::new();
        let read = BufReader::new(output).read_line(&mut line);
        let process = Process { child };
        let parsed = read.ok().and_then(|_| serde_json::from_str(&line).ok());
        let parsed = parsed.unwrap_or_else(|| panic!("{} printed `{line}`", program.display()));
        (process, parsed)
    }

    /// Gives the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        // A process that has ended by itself can't be killed.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal by its name, such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) {
        let pid = self.pid().to_string();
        let _ = Command::new("kill").args(["-s", name, &pid]).status();
    }

    /// Waits for the process to end.
    pub fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
