//! Writes answers: a line for each token as it comes, and a closing line.

use alderglade_core::request::{Id, Refusal};
use serde::Serialize;
use std::io::Write;
use std::time::Duration;
use tiny_http::{Request, Response};

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

/// An answer that is being written.
pub struct Answer {
    state: State,
}

enum State {
    Fresh(Request),
    Streaming(Box<dyn Write + Send>),
    Over,
}

impl Answer {
    /// Starts an answer; nothing is sent yet.
    pub fn new(request: Request) -> Answer {
        Answer {
            state: State::Fresh(request),
        }
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
            State::Fresh(request) => respond(request, status, closing),
            State::Streaming(writer) => {
                self.state = State::Streaming(writer);
                let sent = self.line(closing) && self.raw(b"0\r\n\r\n");
                self.state = State::Over;
                sent
            }
            State::Over => false,
        }
    }

    /// Sends the answer of a plain service as it is.
    pub fn pass_on(&mut self, request_id: Id, status: u16, body: &str) -> bool {
        let State::Fresh(request) = std::mem::replace(&mut self.state, State::Over) else {
            return false;
        };
        let response = Response::from_string(body).with_status_code(status);
        let response = with(response, "content-type", "application/json");
        let response = with(response, "x-alderglade-request", &request_id.to_string());
        let response = with(response, "x-alderglade-ran", "yes");
        request.respond(response).is_ok()
    }

    fn open(&mut self) {
        match std::mem::replace(&mut self.state, State::Over) {
            State::Fresh(request) => {
                self.state = State::Streaming(request.into_writer());
                self.raw(HEAD);
            }
            state => self.state = state,
        }
    }

    fn line(&mut self, line: &impl Serialize) -> bool {
        let Ok(mut text) = serde_json::to_vec(line) else {
            return false;
        };
        text.push(b'\n');
        let mut chunk = format!("{:x}\r\n", text.len()).into_bytes();
        chunk.extend_from_slice(&text);
        chunk.extend_from_slice(b"\r\n");
        self.raw(&chunk)
    }

    fn raw(&mut self, bytes: &[u8]) -> bool {
        let State::Streaming(writer) = &mut self.state else {
            return false;
        };
        writer
            .write_all(bytes)
            .and_then(|()| writer.flush())
            .is_ok()
    }
}

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\n\
    Cache-Control: no-store\r\nTransfer-Encoding: chunked\r\n\r\n";

fn respond(request: Request, status: u16, closing: &Closing) -> bool {
    let text = serde_json::to_string(closing).unwrap_or_default();
    let response = Response::from_string(text + "\n").with_status_code(status);
    let mut response = with(response, "content-type", "application/json");
    if let Some(after) = closing.retry_after_ms {
        let seconds = Duration::from_millis(after).as_secs_f64().ceil();
        response = with(response, "retry-after", &format!("{seconds:.0}"));
    }
    request.respond(response).is_ok()
}

/// Adds a header, unless its value can't stand in one.
fn with(response: Text, name: &str, value: &str) -> Text {
    match tiny_http::Header::from_bytes(name.as_bytes(), value.as_bytes()) {
        Ok(header) => response.with_header(header),
        Err(()) => response,
    }
}

type Text = Response<std::io::Cursor<Vec<u8>>>;
