//! A caller: sends one request and reads its whole answer.

use serde::Deserialize;
use serde_json::json;
use std::io::{BufRead, BufReader};
use std::time::{Duration, Instant};

/// What to ask for.
#[derive(Debug, Clone)]
pub struct Ask<'a> {
    /// The entry host's address.
    pub host: &'a str,
    /// The bearer token.
    pub token: &'a str,
    /// The model.
    pub model: &'a str,
    /// The caller class.
    pub class: &'a str,
    /// The prompt's text.
    pub prompt: &'a str,
    /// The prompt's length in tokens.
    pub tokens: u64,
    /// The most tokens of the answer.
    pub output: u64,
}

/// An answer, read to its end.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// The HTTP status; `0` where there was no answer.
    pub status: u16,
    /// The tokens with their sequence numbers, as they came.
    pub tokens: Vec<(u64, String)>,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// Time to the closing line.
    pub whole: Duration,
    /// The closing line.
    pub closing: Option<Closing>,
    /// The `Retry-After` header in seconds.
    pub retry_after: Option<u64>,
}

/// The closing line.
#[derive(Debug, Clone, Deserialize)]
pub struct Closing {
    /// The request.
    pub request: String,
    /// Whether the answer is whole.
    pub finished: bool,
    /// Why it isn't.
    pub kind: Option<String>,
    /// Whether the request ran.
    pub ran: String,
    /// When to come back.
    pub retry_after_ms: Option<u64>,
    /// What is wrong, in words.
    pub detail: Option<String>,
}

impl Answer {
    /// Says whether the answer is whole.
    pub fn is_finished(&self) -> bool {
        self.closing
            .as_ref()
            .is_some_and(|closing| closing.finished)
    }

    /// Gives the kind of failure, empty where it is whole.
    pub fn kind(&self) -> &str {
        let kind = self
            .closing
            .as_ref()
            .and_then(|closing| closing.kind.as_deref());
        kind.unwrap_or_default()
    }

    /// Gives whether it ran, as the closing line says.
    pub fn ran(&self) -> &str {
        self.closing.as_ref().map_or("", |closing| &closing.ran)
    }
}

#[derive(Deserialize)]
struct Token {
    sequence: u64,
    token: String,
}

/// Makes an agent that reports statuses as answers.
pub fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into()
}

/// Sends a prompt and reads the answer.
pub fn generate(agent: &ureq::Agent, ask: &Ask<'_>) -> Answer {
    let body = json!({
        "model": ask.model,
        "prompt": ask.prompt,
        "prompt_tokens": ask.tokens,
        "max_tokens": ask.output,
        "class": ask.class,
    });
    let began = Instant::now();
    let sent = agent
        .post(format!("http://{}/v1/generate", ask.host))
        .header("authorization", format!("Bearer {}", ask.token))
        .send_json(body);
    let mut answer = Answer::default();
    if let Ok(response) = sent {
        read(response, began, &mut answer);
    }
    answer.whole = began.elapsed();
    answer
}

fn read(response: ureq::http::Response<ureq::Body>, began: Instant, answer: &mut Answer) {
    answer.status = response.status().as_u16();
    let header = response.headers().get("retry-after");
    answer.retry_after = header.and_then(|value| value.to_str().ok()?.parse().ok());
    let lines = BufReader::new(response.into_body().into_reader()).lines();
    for line in lines.map_while(Result::ok) {
        if let Ok(token) = serde_json::from_str::<Token>(&line) {
            answer.first_token.get_or_insert_with(|| began.elapsed());
            answer.tokens.push((token.sequence, token.token));
        } else {
            answer.closing = serde_json::from_str(&line).ok();
        }
    }
}

/// A call to a plain service that may run at most once.
#[derive(Debug, Clone)]
pub struct Booking<'a> {
    /// The entry host's address.
    pub host: &'a str,
    /// The bearer token.
    pub token: &'a str,
    /// The service and path.
    pub path: &'a str,
    /// The key.
    pub key: &'a str,
    /// When it was issued, in milliseconds of the Unix epoch.
    pub issued_ms: u64,
    /// The body.
    pub body: &'a str,
    /// The time allowed in milliseconds.
    pub time_allowed_ms: u64,
}

/// What a call was answered.
#[derive(Debug, Clone, Default)]
pub struct Booked {
    /// The HTTP status; `0` where there was no answer.
    pub status: u16,
    /// The body.
    pub body: String,
    /// The closing line, where the call failed.
    pub closing: Option<Closing>,
}

/// Sends a call to a plain service.
pub fn book(agent: &ureq::Agent, booking: &Booking<'_>) -> Booked {
    let sent = agent
        .post(format!(
            "http://{}/v1/services/{}",
            booking.host, booking.path
        ))
        .header("authorization", format!("Bearer {}", booking.token))
        .header("idempotency-key", booking.key)
        .header("idempotency-issued-ms", booking.issued_ms.to_string())
        .header("x-time-allowed-ms", booking.time_allowed_ms.to_string())
        .send(booking.body);
    let Ok(mut response) = sent else {
        return Booked::default();
    };
    let status = response.status().as_u16();
    let body = response.body_mut().read_to_string().unwrap_or_default();
    Booked {
        status,
        closing: serde_json::from_str(&body).ok(),
        body,
    }
}
