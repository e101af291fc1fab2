//! Writes answers: a line for each token as it comes, and a closing line.

use crate::listen::Request;
use alderglade_core::request::{Id, Refusal};
use alderglade_serve::answer::{BrokenOff, Chunk, Content};
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
    /// Its position, from `0`.
    pub sequence: u64,
    /// Its text.
    pub token: &'a str,
}

/// What was used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub output_tokens: u64,
    /// Tries that were needed.
    pub attempts: u32,
}

/// The closing line.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Closing {
    /// The request.
    pub request: String,
    /// Whether the answer is whole.
    pub finished: bool,
    /// Why it isn't.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub kind: Option<&'static str>,
    /// Whether the request ran: `no`, `yes` or `unknown`.
    pub ran: &'static str,
    /// When to come back, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// What is wrong, in words.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
    /// What was used.
    pub usage: Usage,
}

impl Closing {
    /// The closing line of a whole answer.
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

    /// The closing line of an answer that failed.
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

/// Lines that wait for a slow caller before the answer's thread is held up.
const LINES: usize = 64;
/// The type of a streamed answer: one JSON object a line.
const LINES_TYPE: HeaderValue = HeaderValue::from_static("application/x-ndjson");
/// The type of a whole answer.
const JSON_TYPE: HeaderValue = HeaderValue::from_static("application/json");

/// What a caller is told whose answer can't be waited for any more; nothing until it is set.
#[derive(Debug, Clone, Default)]
pub struct Fallback(Arc<Mutex<Option<(u16, Closing)>>>);

impl Fallback {
    fn set(&self, status: u16, closing: Closing) {
        let mut kept = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *kept = Some((status, closing));
    }

    /// Takes it as a whole answer.
    pub(crate) fn take(&self) -> Option<Response<Content>> {
        let mut kept = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let (status, closing) = kept.take()?;
        Some(whole(status, &closing))
    }
}

/// An answer that is being written.
pub struct Answer {
    state: State,
    fallback: Fallback,
}

enum State {
    Fresh(oneshot::Sender<Response<Content>>),
    Streaming(mpsc::Sender<Result<Chunk, BrokenOff>>),
    Over,
}

impl Answer {
    /// Starts the answer of a request; nothing is sent yet.
    pub fn new(request: Request) -> Answer {
        Answer {
            state: State::Fresh(request.answer),
            fallback: request.fallback,
        }
    }

    /// Sets what the caller is told if the process ends before the answer is begun.
    pub fn set_fallback(&self, status: u16, closing: Closing) {
        self.fallback.set(status, closing);
    }

    /// Sends a token; says whether the caller still listens.
    pub fn token(&mut self, token: &Token<'_>) -> bool {
        self.open();
        self.line(token)
    }

    /// Sends the closing line, or a whole answer with a status where nothing was sent yet.
    ///
    /// Says whether the caller took it.
    pub fn close(&mut self, status: u16, closing: &Closing) -> bool {
        match std::mem::replace(&mut self.state, State::Over) {
            State::Fresh(answer) => answer.send(whole(status, closing)).is_ok(),
            State::Streaming(lines) => {
                self.state = State::Streaming(lines);
                let sent = self.line(closing);
                self.state = State::Over;
                sent
            }
            State::Over => false,
        }
    }

    /// Sends the answer of a plain service as it is.
    pub fn pass_on(&mut self, request_id: Id, status: u16, body: &str) -> bool {
        let State::Fresh(answer) = std::mem::replace(&mut self.state, State::Over) else {
            return false;
        };
        let mut response = json(status, body.to_string());
        let headers = response.headers_mut();
        headers.insert("x-alderglade-ran", HeaderValue::from_static("yes"));
        set(headers, "x-alderglade-request", &request_id.to_string());
        answer.send(response).is_ok()
    }

    fn open(&mut self) {
        match std::mem::replace(&mut self.state, State::Over) {
            State::Fresh(answer) => {
                let (lines, body) = mpsc::channel(LINES);
                let mut response = Response::new(Content::Stream(body));
                let headers = response.headers_mut();
                headers.insert(CONTENT_TYPE, LINES_TYPE);
                headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
                if answer.send(response).is_ok() {
                    self.state = State::Streaming(lines);
                }
            }
            state => self.state = state,
        }
    }

    fn line(&mut self, line: &impl Serialize) -> bool {
        let State::Streaming(lines) = &self.state else {
            return false;
        };
        let Ok(mut text) = serde_json::to_vec(line) else {
            return false;
        };
        text.push(b'\n');
        lines.blocking_send(Ok(Bytes::from(text).into())).is_ok()
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        if let State::Streaming(lines) = &self.state {
            // Without its closing line an answer must not look whole; the caller may have left.
            let _ = lines.try_send(Err(BrokenOff));
        }
    }
}

fn whole(status: u16, closing: &Closing) -> Response<Content> {
    let text = serde_json::to_string(closing).unwrap_or_default();
    let mut response = json(status, text + "\n");
    if let Some(after) = closing.retry_after_ms {
        let seconds = Duration::from_millis(after).as_secs_f64().ceil();
        set(
            response.headers_mut(),
            "retry-after",
            &format!("{seconds:.0}"),
        );
    }
    response
}

fn json(status: u16, body: String) -> Response<Content> {
    let mut response = Response::new(Content::Whole(Some(Bytes::from(body).into())));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response.headers_mut().insert(CONTENT_TYPE, JSON_TYPE);
    response
}

/// Sets a header, unless its value can't stand in one.
fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => {
            headers.insert(name, value);
        }
        Err(cause) => log::warn!("header {name} is left out: {cause}"),
    }
}
