//! Reads an answer line by line and puts its tokens in order.

use crate::engine::{Client, Error, Limits};
use crate::wire::{Completion, Line, Reason};
use alderglade_core::stream::{Assembler, Frame};
use std::io::{BufRead, BufReader};

/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The whole answer came; it has this many tokens.
    Finished(u64),
    /// The engine has no room and didn't start.
    NoRoom,
    /// The engine is leaving and didn't start.
    Leaving,
    /// The engine was not reached.
    Unreached,
    /// Contact was lost, or the stream ended with tokens missing.
    Broke,
    /// The engine failed the request.
    Failed,
    /// The reader wanted no more.
    Stopped,
}

/// Runs one try and hands each token to `deliver`, in order and once.
///
/// `deliver` says whether it wants more.
pub fn run(
    client: &Client,
    body: &Completion,
    limits: Limits,
    assembler: &mut Assembler,
    mut deliver: impl FnMut(Frame) -> bool,
) -> End {
    let answer = match client.complete(body, limits) {
        Ok(answer) => answer,
        Err(error) => return refused(&error),
    };
    let mut total = None;
    for line in BufReader::new(answer.into_reader()).lines() {
        let Ok(line) = line else {
            return End::Broke;
        };
        let Ok(line) = serde_json::from_str::<Line>(&line) else {
            return End::Broke;
        };
        if !take(line, body, assembler, &mut total, &mut deliver) {
            return End::Stopped;
        }
        if total == Some(assembler.next()) {
            return End::Finished(assembler.next());
        }
    }
    End::Broke
}

/// Takes one line; says whether the reader wants more.
fn take(
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

/// Says how a try ended that never became a stream.
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
