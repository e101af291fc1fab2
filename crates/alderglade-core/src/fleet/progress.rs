//! Where an engine is in its passes, worked out from what was placed there.
//!
//! An engine reads in passes: what waits when a pass begins is read in it, whoever placed it, and every
//! answer there pauses until the pass ends. No engine says when that is, and hosts can't ask all the
//! time; but every host hears of every placement, and the length of a pass follows from these.

use super::pass::EngineProfile;
use crate::time::Time;
use std::time::Duration;

/// What an engine still has to do before it turns to a prompt that is placed now, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Backlog {
    /// The rest of the pass under way; `0.0` where the engine is at rest.
    pub rest: f64,
    /// The reading of prompts that the next pass begins with.
    pub queued: f64,
}

impl Backlog {
    /// Gives all of it together.
    pub fn total(&self) -> f64 {
        self.rest + self.queued
    }
}

/// What decides how long the passes of an engine are.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// A pass that reads nothing, in milliseconds.
    pub idle: f64,
    /// Whether answers are written, so that one pass follows on the other.
    pub writes: bool,
}

impl Pace {
    /// Gives the pace of an engine with this many answers and tokens of context.
    pub fn of(profile: &EngineProfile, running: i64, context: i64) -> Pace {
        let running = u32::try_from(running).unwrap_or(0);
        let context = u64::try_from(context).unwrap_or(0);
        Pace {
            idle: profile.idle_pass(running, context),
            writes: running > 0,
        }
    }
}

/// An engine's passes.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Progress {
    /// When the pass under way ends, or the last one ended.
    ends: Time,
    /// The reading that waits for the next pass, in milliseconds.
    queued: f64,
}

impl Progress {
    /// Notes a placement: this much reading, in milliseconds.
    pub fn place(&mut self, reading: f64, pace: Pace, now: Time) {
        self.roll(pace, now);
        self.queued += reading;
        if self.ends <= now {
            // The engine is at rest and begins at once.
            self.begin(now, pace);
        }
    }

    /// Notes that a pass has ended just now, as the first event of an answer shows.
    pub fn ended(&mut self, pace: Pace, now: Time) {
        self.roll(pace, now);
        if self.ends > now {
            self.begin(now, pace);
        }
    }

    /// Gives what is ahead of a prompt that is placed now.
    pub fn backlog(&mut self, pace: Pace, now: Time) -> Backlog {
        self.roll(pace, now);
        Backlog {
            rest: self.ends.left(now).as_secs_f64() * 1_000.0,
            queued: self.queued,
        }
    }

    /// Lets passes follow on each other until now.
    fn roll(&mut self, pace: Pace, now: Time) {
        while self.ends <= now {
            if self.queued > 0.0 {
                self.begin(self.ends, pace);
            } else if pace.writes {
                self.skip_to(now, pace);
            } else {
                return;
            }
        }
    }

    /// Begins a pass that reads what waits.
    fn begin(&mut self, at: Time, pace: Pace) {
        let steps = if pace.writes { pace.idle } else { 0.0 };
        let reading = std::mem::take(&mut self.queued);
        self.ends = at + span(steps + reading);
    }

    /// Passes over passes that read nothing; the one under way may have begun at any time within it.
    fn skip_to(&mut self, now: Time, pace: Pace) {
        let idle = span(pace.idle.max(1.0)).as_micros() as u64;
        let passed = now.since(self.ends).as_micros() as u64;
        let passes = passed / idle + 1;
        self.ends = self.ends + Duration::from_micros(passes * idle);
    }
}

fn span(millis: f64) -> Duration {
    Duration::from_secs_f64(millis / 1_000.0)
}
