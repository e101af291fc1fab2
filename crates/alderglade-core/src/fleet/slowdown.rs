//! Suspects engines of working more slowly than their service states.
//!
//! The pauses between an answer's events are the engine's passes. One long pass is a prompt that is read; several
//! in a row are worth a question to the engine, which knows how slow it is.
//!
//! An engine that only helps to read shows in no pauses: the first event of a prompt is as late as the slowest of
//! its engines, and where it is very late, each of them is asked.

use std::time::Duration;

/// A pause this many times that of a pass without reading is long. Busy engines read for about as long as their
/// token steps take.
const LONG: f64 = 2.2;
/// Long pauses in a row that make a suspicion.
const IN_A_ROW: u32 = 3;
/// An engine that takes this many times the stated times is passed over where others can serve. Less than that is
/// within what the engines of one service differ by.
const SLOW: f64 = 1.5;

/// A first event this many times as late as expected is suspicious: estimates of busy engines are often half too low.
const LATE: f64 = 2.0;
/// The time by which it must be later still: about the pass of a long prompt that wasn't known of.
const LATE_BY: Duration = Duration::from_millis(250);

/// Says whether an engine is slow that takes this many times the stated times.
pub fn is_slow(slowdown: f64) -> bool {
    slowdown >= SLOW
}

/// Says whether a prompt's first event took so much longer than expected that one of its engines may be slow.
pub fn is_late(expected: Duration, took: Duration) -> bool {
    took > expected.mul_f64(LATE) + LATE_BY
}

/// What the pauses of one answer say of its engine.
#[derive(Debug, Default)]
pub struct Suspicion {
    /// Long pauses in a row.
    long: u32,
}

impl Suspicion {
    /// Takes a pause and the length of a pass without reading, in the same unit. Returns whether the engine should
    /// be asked how slow it is.
    pub fn note(&mut self, pause: f64, idle_pass: f64) -> bool {
        if pause < LONG * idle_pass {
            self.long = 0;
            return false;
        }
        self.long += 1;
        self.long.is_multiple_of(IN_A_ROW)
    }
}
