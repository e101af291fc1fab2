//! Puts an answer together from frames that may come late, twice or out of order.
//!
//! Each frame names its request, attempt and sequence number. Frames of another request or of an
//! earlier attempt are dropped; the rest leave in order, each once.

use crate::request::Id;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One token of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The request it answers.
    pub request: Id,
    /// The attempt it belongs to.
    pub attempt: u32,
    /// Its position in the answer, from `0`.
    pub sequence: u64,
    /// The token's text.
    pub text: String,
}

/// Frames further ahead than this are dropped, so that a faulty engine can't fill memory.
pub const WINDOW: u64 = 1_024;

/// Puts one answer together.
#[derive(Debug)]
pub struct Assembler {
    request: Id,
    attempt: u32,
    next: u64,
    early: BTreeMap<u64, String>,
    dropped: u64,
}

impl Assembler {
    /// Starts an answer to `request`.
    pub fn new(request: Id, attempt: u32) -> Assembler {
        Assembler {
            request,
            attempt,
            next: 0,
            early: BTreeMap::new(),
            dropped: 0,
        }
    }

    /// Goes on with a new attempt, from the first token not yet delivered.
    pub fn resume(&mut self, attempt: u32) {
        self.attempt = attempt;
        self.early.clear();
    }

    /// Gives the sequence number of the first token not yet delivered.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Gives how many frames were dropped.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Says whether tokens wait for an earlier one.
    pub fn has_gap(&self) -> bool {
        !self.early.is_empty()
    }

    /// Takes a frame and gives the tokens that can now be delivered, in order.
    pub fn push(&mut self, frame: Frame) -> Vec<Frame> {
        let ours = frame.request == self.request && frame.attempt == self.attempt;
        let wanted = frame.sequence >= self.next && frame.sequence < self.next + WINDOW;
        if !ours || !wanted || self.early.contains_key(&frame.sequence) {
            self.dropped += 1;
            return Vec::new();
        }
        self.early.insert(frame.sequence, frame.text);
        let mut ready = Vec::new();
        while let Some(text) = self.early.remove(&self.next) {
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
