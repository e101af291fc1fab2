//! The timing of a model engine, computed from the figures that its service states.
//!
//! An engine works in passes over everything that waits. A pass with running answers plays `stride`
//! token steps and reads the prompts that wait, up to `chunk` tokens a step; every answer pauses for
//! as long as the pass takes. A prompt read in parts costs each engine its part of the tokens and
//! of the pairs of tokens.

use serde::{Deserialize, Serialize};

/// Figures of a model engine. Times are in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EngineProfile {
    /// Requests that write at once.
    pub slots: u32,
    /// Tokens that the engine's memory holds.
    pub memory_tokens: u64,
    /// One token step.
    pub step: f64,
    /// What each writing request adds to a step.
    pub step_per_request: f64,
    /// What a thousand tokens of context add to a step.
    pub step_per_thousand: f64,
    /// Prompt tokens read in a millisecond.
    pub read_per_ms: f64,
    /// A million pairs of a token and one before it.
    pub pairs_per_million: f64,
    /// Prompt tokens read at most in a step.
    pub chunk: u64,
    /// Token steps in a pass.
    pub stride: u32,
}

impl EngineProfile {
    /// Gives the time that reading a whole prompt takes, in milliseconds.
    pub fn read(&self, prompt: u64) -> f64 {
        let tokens = prompt as f64;
        let pairs = tokens * tokens / 2.0 / 1e6;
        tokens / self.read_per_ms + pairs * self.pairs_per_million
    }

    /// Gives the length of a pass that reads nothing, in milliseconds.
    pub fn idle_pass(&self, running: u32, context_tokens: u64) -> f64 {
        let writers = f64::from(running) * self.step_per_request;
        let context = context_tokens as f64 / 1_000.0 * self.step_per_thousand;
        f64::from(self.stride) * (self.step + writers + context)
    }
}
