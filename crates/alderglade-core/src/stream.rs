//! Reassembles an answer from frames that may arrive late, twice or out of order.
//!
//! Each frame carries its request, attempt and sequence number. Frames of another request or another
//! attempt are dropped. The others are delivered in order, each of them once.

use crate::request::Id;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One token of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The request that the token answers.
    pub request: Id,
    /// The attempt that produced the token.
    pub attempt: u32,
    /// Position of the token in the answer, starting at `0`.
    pub sequence: u64,
    /// The token's text.
    pub text: String,
}

/// Frames further ahead of the next token than this are dropped, so that a faulty engine can't
/// exhaust memory.
pub const MAX_FRAMES_AHEAD: u64 = 1_024;

/// Reassembles the tokens of one answer.
#[derive(Debug)]
pub struct Assembler {
    request: Id,
    attempt: u32,
    next: u64,
    out_of_order: BTreeMap<u64, String>,
    dropped: u64,
}

impl Assembler {
    /// Creates an assembler for the answer to `request`.
    pub fn new(request: Id, attempt: u32) -> Assembler {
        Assembler {
            request,
            attempt,
            next: 0,
            out_of_order: BTreeMap::new(),
            dropped: 0,
        }
    }

    /// Continues with a new attempt at the first token not yet delivered.
    pub fn resume(&mut self, attempt: u32) {
        self.attempt = attempt;
        self.out_of_order.clear();
    }

    /// Returns the sequence number of the first token not yet delivered.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Returns the number of dropped frames.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns whether buffered tokens wait for an earlier token.
    pub fn has_gap(&self) -> bool {
        !self.out_of_order.is_empty()
    }

    /// Adds a frame and returns the tokens that can now be delivered, in order.
    pub fn push(&mut self, frame: Frame) -> Vec<Frame> {
        let is_current = frame.request == self.request && frame.attempt == self.attempt;
        let in_window =
            frame.sequence >= self.next && frame.sequence < self.next + MAX_FRAMES_AHEAD;
        if !is_current || !in_window || self.out_of_order.contains_key(&frame.sequence) {
            self.dropped += 1;
            return Vec::new();
        }
        self.out_of_order.insert(frame.sequence, frame.text);
        let mut ready = Vec::new();
        while let Some(text) = self.out_of_order.remove(&self.next) {
            ready.push(Frame {
                request: self.request,
                attempt: self.attempt,
                sequence: self.next,
                text,
            });
            self.next += 1;
        }
        ready
    }
}
