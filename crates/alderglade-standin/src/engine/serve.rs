//! The engine's calls over HTTP.

use super::{Shared, lock};
use crate::batch::{Emitted, Job};
use crate::engine::model::Wish;
use crate::http;
use alderglade_backend::wire::{
    Completion, Confirmed, Export, Line, Order, Prefill, Reason, Refusal, Requests, Reserve,
};
use alderglade_core::gang::RESERVATION_TIMEOUT;
use alderglade_core::request::Id;
use serde::de::DeserializeOwned;
use std::io::Write;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::thread;
use std::time::Duration;
use tiny_http::Request;

/// Letters of the prompt that each token repeats.
pub const ECHO: usize = 16;
/// Memory of a stream is freed this long after the request's time is over.
const OVERTIME: Duration = Duration::from_secs(2);
/// How often a waiting stream looks whether the engine is frozen.
const LOOK: Duration = Duration::from_millis(20);

impl Shared {
    pub(super) fn serve(&self, request: Request) {
        self.wait_while_frozen();
        match request.url() {
            "/v1/completions" => self.read(request, Shared::complete),
            "/v1/prefill" => self.read(request, Shared::prefill),
            "/v1/reserve" => self.read(request, Shared::reserve),
            "/v1/renew" => self.read(request, Shared::renew),
            "/v1/cancel" => self.read(request, Shared::cancel),
            "/v1/orders" => self.read(request, Shared::order),
            "/v1/load" => self.load(request),
            _ => http::json(request, 404, &"no such call"),
        }
    }

    fn read<T: DeserializeOwned>(&self, mut request: Request, serve: fn(&Shared, Request, T)) {
        match http::read(&mut request) {
            Some(body) => serve(self, request, body),
            None => http::json(request, 400, &"unreadable body"),
        }
    }

    fn wait_while_frozen(&self) {
        while lock(&self.state).model.faults.frozen {
            thread::sleep(LOOK);
        }
    }

    fn complete(&self, request: Request, body: Completion) {
        let need = body.prompt_tokens + body.max_tokens;
        let job = Job {
            id: body.request,
            prompt: body.prompt_tokens,
            output: body.max_tokens,
            first: body.resume_from,
            need: 0,
            priority: body.priority,
            prefix: body.prefix,
        };
        let wish = Wish {
            id: body.request,
            holder: body.holder.clone(),
            tokens: need,
            lease: Duration::from_millis(body.time_left_ms) + OVERTIME,
        };
        match self.open(job, wish) {
            Ok(tokens) => self.stream(request, &body, &tokens),
            Err(reason) => refuse(request, reason),
        }
    }

    fn open(&self, job: Job, wish: Wish) -> Result<Receiver<Emitted>, Reason> {
        let id = job.id;
        let now = self.now();
        let mut state = lock(&self.state);
        state.model.start(job, wish, now)?;
        Ok(state.listen(id))
    }

    /// Sends tokens as they come. A caller that has gone frees its memory.
    fn stream(&self, request: Request, body: &Completion, tokens: &Receiver<Emitted>) {
        let mut lines = Lines::new(request.into_writer(), body);
        let mut sent = 0;
        loop {
            self.wait_while_frozen();
            let faults = lock(&self.state).model.faults;
            let token = match tokens.recv_timeout(LOOK) {
                Ok(token) => token,
                Err(RecvTimeoutError::Timeout) => continue,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            if faults.drop_after.is_some_and(|after| sent >= after)
                || !lines.token(token, faults.shuffled)
            {
                lock(&self.state).model.free(body.request);
                return;
            }
            sent += 1;
            if token.last {
                lines.end(token.sequence + 1);
                return;
            }
        }
    }

    fn prefill(&self, request: Request, body: Prefill) {
        let job = Job {
            id: body.request,
            prompt: body.tokens,
            output: 1,
            first: 0,
            need: 0,
            priority: LONG_PRIORITY,
            prefix: None,
        };
        let wish = Wish {
            id: body.request,
            holder: body.holder,
            tokens: body.tokens,
            lease: RESERVATION_TIMEOUT,
        };
        lock(&self.state).keep.insert(body.request);
        let result = self.open(job, wish);
        let done = match result {
            Ok(tokens) => tokens.recv().map_err(|_| Reason::Failed),
            Err(reason) => Err(reason),
        };
        lock(&self.state).keep.remove(&body.request);
        match done {
            Ok(_) => {
                let handle = format!("{}/{}", self.name, body.request);
                http::json(request, 200, &Export { handle });
            }
            Err(reason) => refuse(request, reason),
        }
    }

    fn reserve(&self, request: Request, body: Reserve) {
        let wish = Wish {
            id: body.request,
            holder: body.holder,
            tokens: body.tokens,
            lease: Duration::from_millis(body.lease_ms),
        };
        let result = lock(&self.state).model.reserve(wish, self.now());
        self.confirm(request, result);
    }

    fn renew(&self, request: Request, body: Requests) {
        let lease = Duration::from_millis(body.lease_ms);
        let now = self.now();
        let mut state = lock(&self.state);
        let renewed = |id: &Id| state.model.renew(*id, lease, now);
        let held = body.requests.into_iter().filter(renewed).collect();
        drop(state);
        http::json(request, 200, &Confirmed { held });
    }

    fn cancel(&self, request: Request, body: Requests) {
        let mut state = lock(&self.state);
        for id in body.requests {
            state.model.free(id);
            state.streams.remove(&id);
        }
        drop(state);
        http::json(request, 200, &Confirmed { held: Vec::new() });
    }

    fn order(&self, request: Request, body: Order) {
        let result = lock(&self.state).model.order(body);
        self.confirm(request, result);
    }

    fn confirm(&self, request: Request, result: Result<(), Reason>) {
        match result {
            Ok(()) => http::json(request, 200, &Confirmed { held: Vec::new() }),
            Err(reason) => refuse(request, reason),
        }
    }

    /// Gives the load as it was a while ago.
    fn load(&self, request: Request) {
        match &lock(&self.state).report {
            Some(report) => http::json(request, 200, report),
            None => http::json(request, 503, &"no report yet"),
        }
    }
}

/// Priority of a gang's parts.
const LONG_PRIORITY: u8 = 2;

fn refuse(request: Request, reason: Reason) {
    http::json(request, 503, &Refusal { reason });
}

/// Writes the lines of one answer.
struct Lines<'a> {
    writer: Box<dyn Write + Send>,
    body: &'a Completion,
    echo: String,
    held_back: Option<Emitted>,
}

impl<'a> Lines<'a> {
    fn new(mut writer: Box<dyn Write + Send>, body: &'a Completion) -> Lines<'a> {
        let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let _ = writer.write_all(head);
        Lines {
            writer,
            body,
            echo: body.prompt.chars().take(ECHO).collect(),
            held_back: None,
        }
    }

    fn token(&mut self, token: Emitted, shuffled: bool) -> bool {
        if !shuffled {
            return self.send(token, self.body.attempt);
        }
        // A frame of an earlier try, then every second token late, and all of them twice.
        let mut sent = self.send(token, self.body.attempt.wrapping_sub(1));
        match self.held_back.take() {
            None if !token.last => self.held_back = Some(token),
            None => sent &= self.send(token, self.body.attempt),
            Some(earlier) => {
                for token in [token, earlier, token, earlier] {
                    sent &= self.send(token, self.body.attempt);
                }
            }
        }
        sent
    }

    fn send(&mut self, token: Emitted, attempt: u32) -> bool {
        self.line(&Line::Token {
            request: self.body.request,
            attempt,
            sequence: token.sequence,
            text: format!("{}.{}", self.echo, token.sequence),
        })
    }

    fn end(&mut self, tokens: u64) {
        if let Some(token) = self.held_back.take() {
            self.send(token, self.body.attempt);
        }
        self.line(&Line::End {
            request: self.body.request,
            attempt: self.body.attempt,
            tokens,
        });
        let _ = self.writer.write_all(b"0\r\n\r\n");
        let _ = self.writer.flush();
    }

    fn line(&mut self, line: &Line) -> bool {
        let text = serde_json::to_string(line).unwrap_or_default();
        let chunk = format!("{:x}\r\n{text}\n\r\n", text.len() + 1);
        let written = self.writer.write_all(chunk.as_bytes());
        written.and_then(|()| self.writer.flush()).is_ok()
    }
}
