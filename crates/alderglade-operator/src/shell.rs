//! The one place through which commands talk to the person at the terminal.

use serde::Serialize;
use std::fmt::Display;
use std::io::{IsTerminal, Write};

/// How results are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// For people.
    Text,
    /// For programs.
    Json,
}

/// Writes results to standard output, everything else to standard error.
#[derive(Debug, Clone, Copy)]
pub struct Shell {
    format: Format,
}

impl Shell {
    /// Makes a shell that writes results in a format.
    pub fn new(format: Format) -> Shell {
        Shell { format }
    }

    /// Gives the format.
    pub fn format(&self) -> Format {
        self.format
    }

    /// Writes a result: the value for programs, the text for people.
    pub fn result(&self, value: &impl Serialize, text: &impl Display) {
        let line = match self.format {
            Format::Json => serde_json::to_string(value).unwrap_or_default(),
            Format::Text => text.to_string(),
        };
        // Who closes standard output wants no more.
        let _ = writeln!(std::io::stdout(), "{}", line.trim_end_matches('\n'));
    }

    /// Writes a note that isn't part of the result.
    pub fn note(&self, text: impl Display) {
        let _ = writeln!(std::io::stderr(), "{text}");
    }

    /// Writes an error, its causes and a hint, a line each.
    pub fn error(&self, error: &dyn std::error::Error, hint: Option<&str>) {
        let mut causes = String::new();
        let mut next = error.source();
        while let Some(cause) = next {
            causes.push_str(&format!("\n  cause: {cause}"));
            next = cause.source();
        }
        let hint = hint
            .map(|hint| format!("\n  hint: {hint}"))
            .unwrap_or_default();
        self.note(format!("error: {error}{causes}{hint}"));
    }

    /// Shows how far long work has come, on a terminal only.
    pub fn progress(&self, text: impl Display) {
        if std::io::stderr().is_terminal() {
            let _ = write!(std::io::stderr(), "\r\x1b[K{text}");
        }
    }

    /// Ends the progress line.
    pub fn progress_done(&self) {
        if std::io::stderr().is_terminal() {
            let _ = write!(std::io::stderr(), "\r\x1b[K");
        }
    }
}
