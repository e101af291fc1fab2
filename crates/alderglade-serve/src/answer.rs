//! Answers to callers: a backend server's own, or one of the product's error kinds.

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

/// The body of an answer.
pub enum Content {
    /// All of it is there.
    Whole(Option<Bytes>),
    /// It comes in pieces.
    Stream(mpsc::Receiver<Result<Bytes, BrokenOff>>),
}

impl Body for Content {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match &mut *self {
            Content::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Content::Stream(pieces) => pieces
                .poll_recv(context)
                .map(|piece| piece.map(|result| result.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Content::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Content::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
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
    let mut response = Response::new(Content::Whole(Some(body.into())));
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
