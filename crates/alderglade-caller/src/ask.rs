//! Parses requests of callers: headers and JSON bodies.

use alderglade_core::error::Kind;
use http::HeaderMap;
use serde::Deserialize;

/// Largest body: a prompt of a million tokens, with some margin.
pub const MAX_BODY_BYTES: usize = 12 << 20;
/// Bytes per token, to estimate the length of a prompt if the caller doesn't send it: a conservative average.
const BYTES_PER_TOKEN: u64 = 4;

/// Why a request is rejected, with a description for the caller.
#[derive(Debug, Clone, PartialEq)]
pub struct Fault {
    /// Error kind, which determines the status of the answer.
    pub kind: Kind,
    /// What is wrong with the request and what was expected.
    pub detail: String,
}

impl Fault {
    /// Creates a fault from its kind and description.
    pub fn new(kind: Kind, detail: impl Into<String>) -> Fault {
        Fault {
            kind,
            detail: detail.into(),
        }
    }
}

/// Beginning of a prompt that other prompts share, as the caller declares it.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Prefix {
    /// Key that identifies the shared text.
    pub key: String,
    /// Length of the shared text in tokens.
    pub tokens: u64,
}

/// Body of `POST /v1/generate`.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Generate {
    /// Name of the model.
    pub model: String,
    /// Text of the prompt.
    pub prompt: String,
    /// Length of the prompt in tokens; estimated from its bytes if omitted.
    #[serde(default)]
    pub prompt_tokens: Option<u64>,
    /// Maximum number of tokens to generate; the largest that the settings allow if omitted.
    #[serde(default)]
    pub max_tokens: Option<u64>,
    /// Caller class; the settings' default values apply if omitted.
    #[serde(default)]
    pub class: String,
    /// Time allowed in milliseconds; the settings' value applies if this is omitted or longer.
    #[serde(default)]
    pub time_allowed_ms: Option<u64>,
    /// Beginning of the prompt that other prompts share.
    #[serde(default)]
    pub prefix: Option<Prefix>,
    /// Whether the request may be retried after it may have run.
    #[serde(default = "yes")]
    pub repeatable: bool,
}

impl Generate {
    /// Returns the prompt's length in tokens, estimated if the caller didn't send it; at least 1.
    pub fn tokens(&self) -> u64 {
        let estimated = (self.prompt.len() as u64).div_ceil(BYTES_PER_TOKEN);
        self.prompt_tokens.unwrap_or(estimated).max(1)
    }
}

fn yes() -> bool {
    true
}

/// Values of the headers that alderglade reads; other headers are ignored.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Headers {
    /// Bearer token.
    pub token: Option<String>,
    /// Caller class, for calls to plain services.
    pub class: Option<String>,
    /// Time allowed in milliseconds, for calls to plain services.
    pub time_allowed_ms: Option<u64>,
    /// Idempotency key of a request that may run at most once.
    pub key: Option<String>,
    /// Time at which the key was issued, in milliseconds since the Unix epoch.
    pub issued_ms: Option<u64>,
}

/// Header with the idempotency key of a request that may run at most once.
pub const KEY: &str = "idempotency-key";
/// Header with the time at which the key was issued.
pub const ISSUED: &str = "idempotency-issued-ms";
/// Header with the caller class.
pub const CLASS: &str = "x-caller-class";
/// Header with the time allowed.
pub const TIME_ALLOWED: &str = "x-time-allowed-ms";
/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 200;

/// Parses the headers.
///
/// # Errors
///
/// Returns a fault if a value isn't visible ASCII text, a number is invalid, or the key is empty or too long.
pub fn headers(headers: &HeaderMap) -> Result<Headers, Fault> {
    let mut parsed = Headers::default();
    for (name, value) in headers {
        let Ok(value) = value.to_str() else {
            let detail = format!("header {name} holds what is no text");
            return Err(Fault::new(Kind::BadRequest, detail));
        };
        match name.as_str() {
            "authorization" => {
                parsed.token = value.strip_prefix("Bearer ").map(str::to_string);
            }
            CLASS => parsed.class = Some(value.to_string()),
            TIME_ALLOWED => parsed.time_allowed_ms = Some(parse_millis(TIME_ALLOWED, value)?),
            ISSUED => parsed.issued_ms = Some(parse_millis(ISSUED, value)?),
            KEY => parsed.key = Some(parse_key(value)?),
            _ => {}
        }
    }
    Ok(parsed)
}

fn parse_millis(header: &str, value: &str) -> Result<u64, Fault> {
    value.parse().map_err(|_| {
        let detail = format!("header {header} is `{value}`; expected whole milliseconds");
        Fault::new(Kind::BadRequest, detail)
    })
}

fn parse_key(value: &str) -> Result<String, Fault> {
    if value.is_empty() || value.len() > MAX_KEY_BYTES {
        let detail = format!(
            "header {KEY} has {} bytes; expected 1 to {MAX_KEY_BYTES}",
            value.len()
        );
        return Err(Fault::new(Kind::BadRequest, detail));
    }
    Ok(value.to_string())
}

/// Returns the fault for a body larger than [`MAX_BODY_BYTES`].
pub fn body_too_large() -> Fault {
    let detail = format!("the body is larger than {MAX_BODY_BYTES} bytes");
    Fault::new(Kind::TooLarge, detail)
}

/// Parses the body of `POST /v1/generate`.
///
/// # Errors
///
/// Returns a fault if the body isn't JSON, or a field is unknown, missing or of the wrong type.
pub fn generate(body: &[u8]) -> Result<Generate, Fault> {
    serde_json::from_slice(body)
        .map_err(|cause| Fault::new(Kind::BadRequest, format!("the body can't be read: {cause}")))
}
