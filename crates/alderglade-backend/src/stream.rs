//! Reads a streamed response line by line and delivers its tokens in order.

use crate::engine::{Client, Error, Limits};
use crate::wire::{Completion, Line, Reason};
use alderglade_core::stream::{Assembler, Frame};
use std::io::{BufRead, BufReader};

/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The response is complete; it has this many tokens.
    Finished(u64),
    /// The engine doesn't have enough free memory or a free slot, and didn't start.
    NoRoom,
    /// The engine is leaving and didn't start.
    Leaving,
    /// The connection failed, so the engine didn't start.
    Unreached,
    /// The connection broke, a line was invalid, or the stream ended with tokens missing.
    Broke,
    /// The engine refused or failed the request for another reason.
    Failed,
    /// `deliver` returned false.
    Stopped,
}

/// Runs one attempt and passes each token to `deliver`, in order and exactly once.
///
/// `deliver` returns whether to continue.
pub fn run(
    client: &Client,
    body: &Completion,
    limits: Limits,
    assembler: &mut Assembler,
    mut deliver: impl FnMut(Frame) -> bool,
) -> End {
    let response = match client.complete(body, limits) {
        Ok(response) => response,
        Err(error) => return refused(&error),
    };
    let mut total = None;
    for line in BufReader::new(response.into_reader()).lines() {
        let Ok(line) = line else {
            return End::Broke;
        };
        let Ok(line) = serde_json::from_str::<Line>(&line) else {
            return End::Broke;
        };
        if !process_line(line, body, assembler, &mut total, &mut deliver) {
            return End::Stopped;
        }
        if total == Some(assembler.next()) {
            return End::Finished(assembler.next());
        }
    }
    End::Broke
}

/// Processes one line; returns whether `deliver` wants to continue.
fn process_line(
    line: Line,
    body: &Completion,
    assembler: &mut Assembler,
    total: &mut Option<u64>,
    deliver: &mut impl FnMut(Frame) -> bool,
) -> bool {
    match line {
        Line::Token {
            request,
            attempt,
            sequence,
            text,
        } => {
            let frame = Frame {
                request,
                attempt,
                sequence,
                text,
            };
            assembler.push(frame).into_iter().all(deliver)
        }
        Line::End {
            request,
            attempt,
            tokens,
        } => {
            if request == body.request && attempt == body.attempt {
                *total = Some(tokens);
            }
            true
        }
    }
}

/// Returns how an attempt ended that failed before the response was streamed.
pub fn refused(error: &Error) -> End {
    match error {
        Error::Unreached { .. } => End::Unreached,
        Error::Lost { .. } => End::Broke,
        Error::Refused { reason, .. } => match reason {
            Reason::NoRoom => End::NoRoom,
            Reason::Leaving => End::Leaving,
            Reason::Fenced | Reason::Failed => End::Failed,
        },
    }
}
