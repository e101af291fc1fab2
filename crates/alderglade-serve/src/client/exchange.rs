//! Responses whose body is still to come.

use super::{Connection, Error};
use crate::body;
use alderglade_core::fleet::ending::Framing;
use bytes::{Bytes, BytesMut};
use http::header::TRANSFER_ENCODING;
use http::{Response, Version};
use hyper::body::{Body, Incoming};

/// Maximum length of a response that is buffered as a whole, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// A response whose head has arrived, and whose body is still to come.
pub struct Exchange {
    /// Status and headers of the response.
    pub head: http::response::Parts,
    /// The body that is still to come.
    pub body: Incoming,
    /// How the server marks the end of the body.
    pub framing: Framing,
    /// The connection, to be recycled after the last byte.
    pub connection: Connection,
}

impl Exchange {
    /// Reads the rest of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the response breaks off or is too long.
    pub async fn collect(self) -> Result<Response<Bytes>, Error> {
        let mut length = 0;
        let within_limit = |bytes| {
            length += bytes;
            length <= MAX_RESPONSE_BYTES
        };
        match self.collect_while(within_limit).await? {
            Collected::Whole(response) => Ok(response),
            Collected::Partial(..) => Err(Error::Lost {
                reason: "the answer is too long".to_string(),
            }),
        }
    }

    /// Reads the rest of the response until `grow` returns `false`. `grow` is called with the length of each piece
    /// that was read.
    ///
    /// # Errors
    ///
    /// Returns an error if the response breaks off.
    pub async fn collect_while(
        self,
        mut grow: impl FnMut(usize) -> bool,
    ) -> Result<Collected, Error> {
        let mut remaining = RemainingBody {
            body: self.body,
            connection: self.connection,
        };
        let mut collected = BytesMut::new();
        while let Some(data) = remaining.next().await? {
            collected.extend_from_slice(&data);
            if !grow(data.len()) {
                let response = Response::from_parts(self.head, collected.freeze());
                return Ok(Collected::Partial(response, remaining));
            }
        }
        remaining.connection.recycle();
        let response = Response::from_parts(self.head, collected.freeze());
        Ok(Collected::Whole(response))
    }
}

/// A response that was read completely or in part.
pub enum Collected {
    /// The whole response.
    Whole(Response<Bytes>),
    /// The beginning of the response, and the rest that is still to be read.
    Partial(Response<Bytes>, RemainingBody),
}

/// The part of a response that is still to be read.
pub struct RemainingBody {
    body: Incoming,
    /// The connection, to be recycled after the last byte.
    pub connection: Connection,
}

impl RemainingBody {
    /// Waits for the next bytes; returns `None` after the last ones.
    ///
    /// # Errors
    ///
    /// Returns an error if the response breaks off.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        let next = body::next(&mut self.body).await;
        next.map_err(|error| Error::Lost {
            reason: error.to_string(),
        })
    }
}

/// Returns how a server marks the end of a response's body.
pub(super) fn framing(head: &http::response::Parts, body: &Incoming) -> Framing {
    if body.is_end_stream() || body.size_hint().exact().is_some() {
        return Framing::Length;
    }
    // HTTP/1.0 has no transfer codings.
    if head.version < Version::HTTP_11 {
        return Framing::Close;
    }
    let mut codings = head.headers.get_all(TRANSFER_ENCODING).iter();
    let last = codings.next_back();
    let last = last.and_then(|value| value.to_str().ok());
    let last = last.and_then(|codings| codings.rsplit(',').next());
    match last {
        Some(coding) if coding.trim().eq_ignore_ascii_case("chunked") => Framing::Chunked,
        _ => Framing::Close,
    }
}
