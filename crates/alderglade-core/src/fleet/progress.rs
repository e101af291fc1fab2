//! Estimates an engine's position in its passes from the placements there.
//!
//! An engine reads in passes. Each pass reads all prompts that wait when it begins, whichever host placed them, and
//! every answer there pauses until the pass ends. Engines don't report when passes end, and hosts can't query them all
//! the time. But every host knows of every placement, and the length of a pass follows from the placements.

use super::pass::EngineProfile;
use crate::time::{Time, from_millis, to_millis};
use std::time::Duration;

/// The work that an engine finishes before it starts on a prompt placed now, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Backlog {
    /// The remaining time of the current pass; `0.0` if the engine is idle.
    pub pass_remaining: f64,
    /// The reading time of prompts that wait for the next pass.
    pub queued: f64,
}

impl Backlog {
    /// Returns the sum of both.
    pub fn total(&self) -> f64 {
        self.pass_remaining + self.queued
    }
}

/// The conditions at an engine that determine the length of its passes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// The length of a pass that reads no prompt, in milliseconds.
    pub idle_pass: f64,
    /// Whether answers are being written, so that passes follow each other without a gap.
    pub has_answers: bool,
}

impl Pace {
    /// Returns the pace of an engine with `running` answers and `context` tokens in its memory.
    pub fn of(profile: &EngineProfile, running: i64, context: i64) -> Pace {
        let running = u32::try_from(running).unwrap_or(0);
        let context = u64::try_from(context).unwrap_or(0);
        Pace {
            idle_pass: profile.idle_pass(running, context),
            has_answers: running > 0,
        }
    }
}

/// The estimated passes of one engine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Progress {
    /// The end of the current pass, or of the last one if the engine is idle.
    pass_ends: Time,
    /// The reading time of prompts that wait for the next pass, in milliseconds.
    queued: f64,
}

impl Progress {
    /// Adds the reading of a placement, in milliseconds.
    pub fn add_reading(&mut self, reading: f64, pace: Pace, now: Time) {
        self.advance(pace, now);
        self.queued += reading;
        if self.pass_ends <= now {
            // The engine is idle and begins at once.
            self.begin_pass(now, pace);
        }
    }

    /// Records that a pass has just ended, as the first event of an answer shows.
    pub fn end_pass(&mut self, pace: Pace, now: Time) {
        self.advance(pace, now);
        if self.pass_ends > now {
            self.begin_pass(now, pace);
        }
    }

    /// Returns the work that the engine finishes before it starts on a prompt placed now.
    pub fn backlog(&mut self, pace: Pace, now: Time) -> Backlog {
        self.advance(pace, now);
        Backlog {
            pass_remaining: to_millis(self.pass_ends.left(now)),
            queued: self.queued,
        }
    }

    /// Advances to the pass that is current at `now`.
    fn advance(&mut self, pace: Pace, now: Time) {
        while self.pass_ends <= now {
            if self.queued > 0.0 {
                self.begin_pass(self.pass_ends, pace);
            } else if pace.has_answers {
                self.skip_idle_passes(now, pace);
            } else {
                return;
            }
        }
    }

    /// Begins a pass that reads all queued prompts.
    fn begin_pass(&mut self, at: Time, pace: Pace) {
        let token_steps = if pace.has_answers {
            pace.idle_pass
        } else {
            0.0
        };
        let reading = std::mem::take(&mut self.queued);
        self.pass_ends = at + from_millis(token_steps + reading);
    }

    /// Skips passes that read no prompt. The current pass may have begun at any time within its length; this is an
    /// estimate.
    fn skip_idle_passes(&mut self, now: Time, pace: Pace) {
        let idle = from_millis(pace.idle_pass.max(1.0)).as_micros() as u64;
        let elapsed = now.since(self.pass_ends).as_micros() as u64;
        let passes = elapsed / idle + 1;
        self.pass_ends = self.pass_ends + Duration::from_micros(passes * idle);
    }
}
