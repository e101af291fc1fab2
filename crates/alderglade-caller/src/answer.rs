//! Writes answers: a line for each token as soon as it is available, and a closing line.

use crate::listen::Request;
use alderglade_core::request::{Id, Refusal};
use alderglade_serve::answer::{Content, Part};
use bytes::Bytes;
use http::header::{CACHE_CONTROL, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use serde::Serialize;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// One token of an answer.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Token<'a> {
    /// Position of the token in the answer, from `0`.
    pub sequence: u64,
    /// Text of the token.
    pub token: &'a str,
}

/// Resources that a request used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Usage {
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Length of the answer in tokens.
    pub output_tokens: u64,
    /// Number of attempts.
    pub attempts: u32,
}

/// Closing line of an answer.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Closing {
    /// Id of the request.
    pub request: String,
    /// Whether the answer is complete.
    pub finished: bool,
    /// Why the answer isn't complete: the label of the error kind.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub kind: Option<&'static str>,
    /// Whether the request ran: `no`, `yes` or `unknown`.
    pub ran: &'static str,
    /// Time after which to retry, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Description of the error.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
    /// Resources that the request used.
    pub usage: Usage,
}

impl Closing {
    /// Creates the closing line of a complete answer.
    pub fn finished(request: Id, usage: Usage) -> Closing {
        Closing {
            request: request.to_string(),
            finished: true,
            kind: None,
            ran: "yes",
            retry_after_ms: None,
            detail: None,
            usage,
        }
    }

    /// Creates the closing line of a failed answer.
    pub fn failed(request: Id, refusal: Refusal, detail: Option<String>, usage: Usage) -> Closing {
        Closing {
            request: request.to_string(),
            finished: false,
            kind: Some(refusal.kind.label()),
            ran: refusal.ran.label(),
            retry_after_ms: refusal.retry_after.map(|after| after.as_millis() as u64),
            detail,
            usage,
        }
    }
}

/// Maximum number of lines queued for a slow caller; beyond that the thread that writes the answer blocks.
const MAX_QUEUED_LINES: usize = 64;
/// Content type of a streamed answer: one JSON object per line.
const NDJSON_TYPE: HeaderValue = HeaderValue::from_static("application/x-ndjson");
/// Content type of an answer with a single JSON object.
const JSON_TYPE: HeaderValue = HeaderValue::from_static("application/json");

/// Answer to send if the process stops before the request's own answer has begun; empty until it is set.
#[derive(Debug, Clone, Default)]
pub struct Fallback(Arc<Mutex<Option<(u16, Closing)>>>);

impl Fallback {
    fn set(&self, status: u16, closing: Closing) {
        let mut stored = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *stored = Some((status, closing));
    }

    /// Takes the status and closing line, if set, as a complete response.
    pub(crate) fn take(&self) -> Option<Response<Content>> {
        let mut stored = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let (status, closing) = stored.take()?;
        Some(complete_response(status, &closing))
    }
}

/// Writer of the answer to one request.
pub struct Answer {
    state: State,
    fallback: Fallback,
}

enum State {
    Pending(oneshot::Sender<Response<Content>>),
    /// Without its end, which follows the closing line, the answer is broken off.
    Streaming(mpsc::Sender<Part>),
    Done,
}

impl Answer {
    /// Creates the writer for the answer to `request`; nothing is sent yet.
    pub fn new(request: Request) -> Answer {
        Answer {
            state: State::Pending(request.answer),
            fallback: request.fallback,
        }
    }

    /// Sets the answer that the caller receives if the process stops before this one has begun.
    pub fn set_fallback(&self, status: u16, closing: Closing) {
        self.fallback.set(status, closing);
    }

    /// Sends a token; returns whether the caller is still connected.
    pub fn token(&mut self, token: &Token<'_>) -> bool {
        self.start_stream();
        self.send_line(token)
    }

    /// Sends the closing line, or a complete answer with `status` if nothing was sent yet.
    ///
    /// Returns false if the caller has disconnected or the answer is already closed.
    pub fn close(&mut self, status: u16, closing: &Closing) -> bool {
        match std::mem::replace(&mut self.state, State::Done) {
            State::Pending(answer) => answer.send(complete_response(status, closing)).is_ok(),
            State::Streaming(lines) => {
                self.state = State::Streaming(lines);
                let sent = self.send_line(closing) && self.send(Part::End);
                self.state = State::Done;
                sent
            }
            State::Done => false,
        }
    }

    /// Sends the response of a plain service unchanged; returns whether the caller is still connected.
    ///
    /// Sends nothing and returns false if the answer has already begun.
    pub fn pass_on(&mut self, request_id: Id, status: u16, body: &str) -> bool {
        let State::Pending(answer) = std::mem::replace(&mut self.state, State::Done) else {
            return false;
        };
        let mut response = json_response(status, body.to_string());
        let headers = response.headers_mut();
        headers.insert("x-alderglade-ran", HeaderValue::from_static("yes"));
        set_header(headers, "x-alderglade-request", &request_id.to_string());
        answer.send(response).is_ok()
    }

    fn start_stream(&mut self) {
        match std::mem::replace(&mut self.state, State::Done) {
            State::Pending(answer) => {
                let (lines, body) = mpsc::channel(MAX_QUEUED_LINES);
                let mut response = Response::new(Content::Stream(body));
                let headers = response.headers_mut();
                headers.insert(CONTENT_TYPE, NDJSON_TYPE);
                headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
                if answer.send(response).is_ok() {
                    self.state = State::Streaming(lines);
                }
            }
            state => self.state = state,
        }
    }

    fn send_line(&mut self, line: &impl Serialize) -> bool {
        let Ok(mut text) = serde_json::to_vec(line) else {
            return false;
        };
        text.push(b'\n');
        self.send(Part::Chunk(Bytes::from(text).into()))
    }

    fn send(&self, part: Part) -> bool {
        match &self.state {
            State::Streaming(parts) => parts.blocking_send(part).is_ok(),
            State::Pending(_) | State::Done => false,
        }
    }
}

fn complete_response(status: u16, closing: &Closing) -> Response<Content> {
    let text = serde_json::to_string(closing).unwrap_or_default();
    let mut response = json_response(status, text + "\n");
    if let Some(after) = closing.retry_after_ms {
        let seconds = Duration::from_millis(after).as_secs_f64().ceil();
        set_header(
            response.headers_mut(),
            "retry-after",
            &format!("{seconds:.0}"),
        );
    }
    response
}

fn json_response(status: u16, body: String) -> Response<Content> {
    let mut response = Response::new(Content::Whole(Some(Bytes::from(body).into())));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response.headers_mut().insert(CONTENT_TYPE, JSON_TYPE);
    response
}

/// Sets a header, or logs a warning if the value isn't a valid header value.
fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => {
            headers.insert(name, value);
        }
        Err(cause) => log::warn!("omitting header {name} because its value is invalid: {cause}"),
    }
}
