//! Answers to callers: a backend server's own, or one of the product's error kinds.

use crate::body_sender::Flight;
use crate::memory::Portion;
use alderglade_core::request::Refusal;
use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode};
use hyper::body::{Body, Frame, SizeHint};
use serde::Serialize;
use snafu::Snafu;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// The answer ends early; the caller's connection is closed so that it doesn't look whole.
#[derive(Debug, Snafu)]
#[snafu(display("the answer was broken off"))]
pub struct BrokenOff;

/// Bytes on their way to a caller.
#[derive(Debug)]
pub struct Chunk {
    bytes: Bytes,
    /// What is given back when the caller's connection has written them.
    held: Option<Held>,
}

/// What is held for a piece.
#[derive(Debug)]
enum Held {
    /// The host's memory for a whole answer.
    Memory(#[expect(dead_code, reason = "dropped with the piece")] Portion),
    /// A piece of a stream that is under way.
    Flight(#[expect(dead_code, reason = "dropped with the piece")] Flight),
}

/// Bytes with what is held for them.
struct Carried {
    bytes: Bytes,
    _held: Held,
}

impl AsRef<[u8]> for Carried {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Chunk {
    /// Makes a whole answer whose memory is given back when it is written.
    pub fn new(bytes: Bytes, kept: Portion) -> Chunk {
        Chunk {
            bytes,
            held: Some(Held::Memory(kept)),
        }
    }

    /// Makes a piece of a stream.
    pub(crate) fn under_way(bytes: Bytes, flight: Flight) -> Chunk {
        Chunk {
            bytes,
            held: Some(Held::Flight(flight)),
        }
    }

    /// Gives the frame that the caller's connection writes.
    fn into_frame(self) -> Frame<Bytes> {
        Frame::data(match self.held {
            None => self.bytes,
            Some(held) => Bytes::from_owner(Carried {
                bytes: self.bytes,
                _held: held,
            }),
        })
    }
}

impl From<Bytes> for Chunk {
    /// Makes a small piece, for which nothing is held.
    fn from(bytes: Bytes) -> Chunk {
        Chunk { bytes, held: None }
    }
}

/// The body of an answer.
pub enum Content {
    /// All of it is there.
    Whole(Option<Chunk>),
    /// It comes in pieces.
    Stream(mpsc::Receiver<Result<Chunk, BrokenOff>>),
}

impl Body for Content {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match &mut *self {
            Content::Whole(chunk) => Poll::Ready(chunk.take().map(|chunk| Ok(chunk.into_frame()))),
            Content::Stream(chunks) => chunks
                .poll_recv(context)
                .map(|chunk| chunk.map(|result| result.map(Chunk::into_frame))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Content::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Content::Whole(chunk) => {
                let length = chunk.as_ref().map_or(0, |chunk| chunk.bytes.len());
                SizeHint::with_exact(length as u64)
            }
            Content::Stream(_) => SizeHint::default(),
        }
    }
}

#[derive(Serialize)]
struct Explanation<'a> {
    error: &'a str,
    ran: &'a str,
}

/// Makes the answer that the table of error kinds holds for a refusal.
pub fn refusal(refusal: &Refusal) -> Response<Content> {
    let row = refusal.kind.row();
    let explanation = Explanation {
        error: row.label,
        ran: refusal.ran.label(),
    };
    let body = serde_json::to_vec(&explanation).unwrap_or_default();
    let mut response = Response::new(Content::Whole(Some(Bytes::from(body).into())));
    *response.status_mut() =
        StatusCode::from_u16(row.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(
        http::header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    if let Some(after) = refusal.retry_after
        && let Ok(value) = HeaderValue::from_str(&format!("{:.2}", after.as_secs_f64()))
    {
        headers.insert(http::header::RETRY_AFTER, value);
    }
    response
}
