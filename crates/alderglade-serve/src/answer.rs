//! Responses to callers: that of a backend server, or one of the product's error kinds.

use alderglade_core::request::Refusal;
use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode};
use hyper::body::{Body, Frame, SizeHint};
use serde::Serialize;
use snafu::Snafu;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// The response ends early. The caller's connection is closed so that the response does not look complete.
#[derive(Debug, Snafu)]
#[snafu(display("the answer was broken off"))]
pub struct BrokenOff;

/// Bytes that are being sent to a caller, and the resource that is released when the caller's connection has written them.
#[derive(Debug)]
pub struct Chunk(Bytes);

/// Bytes with the resource that they hold.
struct OwnedBytes<R> {
    bytes: Bytes,
    _resource: R,
}

impl<R> AsRef<[u8]> for OwnedBytes<R> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Chunk {
    /// Creates a chunk that holds a resource until it is written.
    pub fn new(bytes: Bytes, resource: impl Send + 'static) -> Chunk {
        Chunk(Bytes::from_owner(OwnedBytes {
            bytes,
            _resource: resource,
        }))
    }

    /// Converts the chunk into the frame that the caller's connection writes.
    fn into_frame(self) -> Frame<Bytes> {
        Frame::data(self.0)
    }
}

impl From<Bytes> for Chunk {
    /// Creates a small chunk that holds no resource.
    fn from(bytes: Bytes) -> Chunk {
        Chunk(bytes)
    }
}

/// A part of a body that arrives in chunks.
#[derive(Debug)]
pub enum Part {
    /// The next bytes.
    Chunk(Chunk),
    /// The body is complete. Without this part it is broken off.
    End,
}

/// The body of a response.
pub enum Content {
    /// The whole body; `None` after it was taken.
    Whole(Option<Chunk>),
    /// A body that arrives in chunks.
    Stream(mpsc::Receiver<Part>),
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
            Content::Stream(parts) => parts.poll_recv(context).map(|part| match part {
                Some(Part::Chunk(chunk)) => Some(Ok(chunk.into_frame())),
                Some(Part::End) => None,
                None => Some(Err(BrokenOff)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Content::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Content::Whole(chunk) => {
                let length = chunk.as_ref().map_or(0, |chunk| chunk.0.len());
                SizeHint::with_exact(length as u64)
            }
            Content::Stream(_) => SizeHint::default(),
        }
    }
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
    ran: &'a str,
}

/// Builds the response to a refusal, as the table of error kinds defines it.
pub fn refusal(refusal: &Refusal) -> Response<Content> {
    let row = refusal.kind.row();
    let body = ErrorBody {
        error: row.label,
        ran: refusal.ran.label(),
    };
    let bytes = serde_json::to_vec(&body).unwrap_or_default();
    let mut response = Response::new(Content::Whole(Some(Bytes::from(bytes).into())));
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
