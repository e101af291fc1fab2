//! JSON bodies of the HTTP calls to model engines.

use alderglade_core::Name;
use alderglade_core::request::{Id, Prefix};
use serde::{Deserialize, Serialize};

/// Request for a completion: `POST /v1/completions`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    /// Id of the request.
    pub request: Id,
    /// Number of the attempt, repeated in each line of the response.
    pub attempt: u32,
    /// Entry host that reads the response.
    pub holder: Name,
    /// Name of the model.
    pub model: Name,
    /// Text of the prompt.
    pub prompt: String,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Maximum number of tokens to generate.
    pub max_tokens: u64,
    /// Position of the first token to send, to resume a response that broke off.
    pub resume_from: u64,
    /// Priority; `0` is served first.
    pub priority: u8,
    /// Beginning of the prompt that other prompts share, if any.
    pub prefix: Option<Prefix>,
    /// Whether KV memory is already reserved.
    pub reserved: bool,
    /// Handle of the KV cache to import, for the last member of a gang: the previous member's export.
    pub import: Option<String>,
    /// Remaining time of the request in milliseconds.
    pub time_left_ms: u64,
}

/// One line of a streamed response.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Line {
    /// One token.
    Token {
        /// Id of the request.
        request: Id,
        /// Number of the attempt.
        attempt: u32,
        /// Position of the token in the response.
        sequence: u64,
        /// Text of the token.
        text: String,
    },
    /// End of the response, with its length.
    End {
        /// Id of the request.
        request: Id,
        /// Number of the attempt.
        attempt: u32,
        /// Number of tokens in the whole response, including those before `resume_from`.
        tokens: u64,
    },
}

/// Why an engine refused a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// Not enough free memory or no free slot; the engine didn't start.
    NoRoom,
    /// The engine is leaving and didn't start.
    Leaving,
    /// The order's epoch is older than one that the engine has seen.
    Fenced,
    /// Any other reason.
    Failed,
}

/// Response of an engine that refuses a call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why the engine refused.
    pub reason: Reason,
}

/// Request to reserve KV memory: `POST /v1/reserve`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reserve {
    /// Id of the request.
    pub request: Id,
    /// Entry host that runs the request.
    pub holder: Name,
    /// Size of the reservation in tokens.
    pub tokens: u64,
    /// Time after which the reservation expires unless renewed, in milliseconds.
    pub lease_ms: u64,
}

/// Requests whose memory to renew (`POST /v1/renew`) or to free (`POST /v1/cancel`).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Requests {
    /// Ids of the requests.
    pub requests: Vec<Id>,
    /// Time after which their memory is freed unless renewed again, in milliseconds.
    pub lease_ms: u64,
}

/// Response to a call on several requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Confirmed {
    /// Requests that hold memory after the call.
    pub held: Vec<Id>,
}

/// Request to prefill one part of a prompt: `POST /v1/prefill`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Prefill {
    /// Id of the request.
    pub request: Id,
    /// Entry host that runs the request.
    pub holder: Name,
    /// Number of tokens in this part.
    pub tokens: u64,
    /// Handle of the KV cache of the earlier parts, to import.
    pub import: Option<String>,
}

/// An exported KV cache that another engine may import.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Export {
    /// Handle by which the cache is imported.
    pub handle: String,
}

/// An order that sets the engine's target state: `POST /v1/orders`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing epoch; an engine that checks orders refuses an epoch older than one it has seen.
    pub epoch: u64,
    /// Model to serve.
    pub model: Name,
    /// Version of the model's weights.
    pub version: Name,
}
