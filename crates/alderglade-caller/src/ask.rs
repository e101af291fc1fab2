//! Understands what a caller asks for: headers and JSON.

use alderglade_core::error::Kind;
use http::HeaderMap;
use serde::Deserialize;

/// The largest body: a prompt of a million tokens and some room.
pub const MOST_BYTES: usize = 12 << 20;
/// Bytes of a token where the caller doesn't count: a cautious average.
const BYTES_PER_TOKEN: u64 = 4;

/// Why a request can't be taken, in words for the caller.
#[derive(Debug, Clone, PartialEq)]
pub struct Fault {
    /// The kind of answer.
    pub kind: Kind,
    /// What is wrong and what was expected.
    pub detail: String,
}

impl Fault {
    /// Makes a fault.
    pub fn new(kind: Kind, detail: impl Into<String>) -> Fault {
        Fault {
            kind,
            detail: detail.into(),
        }
    }
}

/// A shared beginning, as a caller names it.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Prefix {
    /// Names the shared text.
    pub key: String,
    /// Its length in tokens.
    pub tokens: u64,
}

/// The body of `POST /v1/generate`.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Generate {
    /// The model.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Its length in tokens; counted from its bytes where it is left out.
    #[serde(default)]
    pub prompt_tokens: Option<u64>,
    /// The most tokens of the answer; the settings' largest where it is left out.
    #[serde(default)]
    pub max_tokens: Option<u64>,
    /// The caller class; the settings' common values where it is left out.
    #[serde(default)]
    pub class: String,
    /// The time allowed in milliseconds; the settings' where it is left out or longer.
    #[serde(default)]
    pub time_allowed_ms: Option<u64>,
    /// A beginning that other prompts share.
    #[serde(default)]
    pub prefix: Option<Prefix>,
    /// Whether it may be sent again after it may have run.
    #[serde(default = "yes")]
    pub repeatable: bool,
}

impl Generate {
    /// Gives the prompt's length in tokens.
    pub fn tokens(&self) -> u64 {
        let counted = (self.prompt.len() as u64).div_ceil(BYTES_PER_TOKEN);
        self.prompt_tokens.unwrap_or(counted).max(1)
    }
}

fn yes() -> bool {
    true
}

/// What the headers say.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Headers {
    /// The bearer token.
    pub token: Option<String>,
    /// The caller class, for calls to plain services.
    pub class: Option<String>,
    /// The time allowed in milliseconds, for calls to plain services.
    pub time_allowed_ms: Option<u64>,
    /// The key of a request that may run at most once.
    pub key: Option<String>,
    /// When the key was issued, in milliseconds of the Unix epoch.
    pub issued_ms: Option<u64>,
}

/// The header with the key of a request that may run at most once.
pub const KEY: &str = "idempotency-key";
/// The header with the time at which the key was issued.
pub const ISSUED: &str = "idempotency-issued-ms";
/// The header with the caller class.
pub const CLASS: &str = "x-caller-class";
/// The header with the time allowed.
pub const TIME_ALLOWED: &str = "x-time-allowed-ms";
/// The longest key.
const MOST_KEY_BYTES: usize = 200;

/// Reads the headers.
///
/// # Errors
///
/// Where a number isn't one or a key is too long.
pub fn headers(headers: &HeaderMap) -> Result<Headers, Fault> {
    let mut found = Headers::default();
    for (name, value) in headers {
        let Ok(value) = value.to_str() else {
            let detail = format!("header {name} holds what is no text");
            return Err(Fault::new(Kind::BadRequest, detail));
        };
        match name.as_str() {
            "authorization" => {
                found.token = value.strip_prefix("Bearer ").map(str::to_string);
            }
            CLASS => found.class = Some(value.to_string()),
            TIME_ALLOWED => found.time_allowed_ms = Some(number(TIME_ALLOWED, value)?),
            ISSUED => found.issued_ms = Some(number(ISSUED, value)?),
            KEY => found.key = Some(key(value)?),
            _ => {}
        }
    }
    Ok(found)
}

fn number(header: &str, value: &str) -> Result<u64, Fault> {
    value.parse().map_err(|_| {
        let detail = format!("header {header} is `{value}`; expected whole milliseconds");
        Fault::new(Kind::BadRequest, detail)
    })
}

fn key(value: &str) -> Result<String, Fault> {
    if value.is_empty() || value.len() > MOST_KEY_BYTES {
        let detail = format!(
            "header {KEY} has {} bytes; expected 1 to {MOST_KEY_BYTES}",
            value.len()
        );
        return Err(Fault::new(Kind::BadRequest, detail));
    }
    Ok(value.to_string())
}

/// Makes the fault of a body that is too large.
pub fn too_large() -> Fault {
    let detail = format!("the body is larger than {MOST_BYTES} bytes");
    Fault::new(Kind::TooLarge, detail)
}

/// Reads the body of `POST /v1/generate`.
///
/// # Errors
///
/// Where it is no JSON, or a field is unknown, missing or of the wrong type.
pub fn generate(body: &[u8]) -> Result<Generate, Fault> {
    serde_json::from_slice(body)
        .map_err(|cause| Fault::new(Kind::BadRequest, format!("the body can't be read: {cause}")))
}
