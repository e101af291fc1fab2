//! Bodies of the calls to model engines, JSON over HTTP.

use alderglade_core::Name;
use alderglade_core::request::{Id, Prefix};
use serde::{Deserialize, Serialize};

/// Asks for tokens: `POST /v1/completions`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    /// The request.
    pub request: Id,
    /// Its try; frames carry it.
    pub attempt: u32,
    /// The entry host that reads the answer.
    pub holder: Name,
    /// The model.
    pub model: Name,
    /// The prompt.
    pub prompt: String,
    /// Its length in tokens.
    pub prompt_tokens: u64,
    /// The most tokens of the answer.
    pub max_tokens: u64,
    /// The first token wanted, for an answer that broke off.
    pub resume_from: u64,
    /// Priority, `0` being served first.
    pub priority: u8,
    /// The shared beginning of the prompt.
    pub prefix: Option<Prefix>,
    /// KV memory is reserved already.
    pub reserved: bool,
    /// KV cache to import: the last member's export, for the last member of a gang.
    pub import: Option<String>,
    /// How long the request may take, in milliseconds.
    pub time_left_ms: u64,
}

/// One line of an answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Line {
    /// A token.
    Token {
        /// The request.
        request: Id,
        /// The try.
        attempt: u32,
        /// Its position in the answer.
        sequence: u64,
        /// Its text.
        text: String,
    },
    /// The end of the answer: it has this many tokens.
    End {
        /// The request.
        request: Id,
        /// The try.
        attempt: u32,
        /// Tokens in the whole answer, those before `resume_from` included.
        tokens: u64,
    },
}

/// Why an engine refuses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// No memory or no slot; it did not start.
    NoRoom,
    /// Leaving; it did not start.
    Leaving,
    /// The order's epoch is older than one seen.
    Fenced,
    /// Something else.
    Failed,
}

/// An engine's refusal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
}

/// Reserves memory: `POST /v1/reserve`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reserve {
    /// The request.
    pub request: Id,
    /// The entry host that asks.
    pub holder: Name,
    /// Memory in tokens.
    pub tokens: u64,
    /// How long it is held unless renewed, in milliseconds.
    pub lease_ms: u64,
}

/// Names requests, to renew (`POST /v1/renew`) or to free (`POST /v1/cancel`) what they hold.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Requests {
    /// The requests.
    pub requests: Vec<Id>,
    /// How long they are held unless renewed again, in milliseconds.
    pub lease_ms: u64,
}

/// Confirms a call on several requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Confirmed {
    /// Requests that hold something now.
    pub held: Vec<Id>,
}

/// Prefills a part of a prompt: `POST /v1/prefill`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Prefill {
    /// The request.
    pub request: Id,
    /// The entry host that asks.
    pub holder: Name,
    /// Tokens of this part.
    pub tokens: u64,
    /// KV cache of the parts before, to import.
    pub import: Option<String>,
}

/// KV cache that another engine may import.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Export {
    /// Names it.
    pub handle: String,
}

/// An order: the state that the engine shall have, `POST /v1/orders`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing epoch; an engine that checks refuses one older than it has seen.
    pub epoch: u64,
    /// The model that it shall serve.
    pub model: Name,
    /// The version of the weights.
    pub version: Name,
}
