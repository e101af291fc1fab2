//! The timing of a model engine, computed from the profile that its service states.
//!
//! An engine works in passes. A pass with running answers performs `stride` token steps and reads all waiting prompts,
//! up to `chunk` tokens per step; every answer pauses for the duration of the pass. If several engines read a prompt in
//! parts, each of them spends time on its share of the tokens and of the token pairs.

use serde::{Deserialize, Serialize};

/// The timing and capacity of a model engine. Times are in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EngineProfile {
    /// The number of requests whose answers are written at the same time.
    pub slots: u32,
    /// The memory of the engine, in tokens.
    pub memory_tokens: u64,
    /// The base time of one token step.
    pub step: f64,
    /// The time that each running request adds to a step.
    pub step_per_request: f64,
    /// The time that a thousand tokens of context add to a step.
    pub step_per_thousand: f64,
    /// The number of prompt tokens read per millisecond.
    pub read_per_ms: f64,
    /// The time for a million pairs of a prompt token and an earlier one.
    pub pairs_per_million: f64,
    /// The maximum number of prompt tokens read per step.
    pub chunk: u64,
    /// The number of token steps in a pass.
    pub stride: u32,
}

impl EngineProfile {
    /// Returns the time that one engine takes to read a full prompt of this many tokens, in milliseconds.
    pub fn read_ms(&self, prompt: u64) -> f64 {
        let tokens = prompt as f64;
        let pairs = tokens * tokens / 2.0 / 1e6;
        tokens / self.read_per_ms + pairs * self.pairs_per_million
    }

    /// Returns the length of a pass that reads no prompt, in milliseconds.
    pub fn idle_pass(&self, running: u32, context_tokens: u64) -> f64 {
        let requests = f64::from(running) * self.step_per_request;
        let context = context_tokens as f64 / 1_000.0 * self.step_per_thousand;
        f64::from(self.stride) * (self.step + requests + context)
    }
}
