//! Responses whose body is still to come.

use super::socket::Activity;
use super::{Connection, Error, OpenConnection, Question, Standby};
use crate::body;
use alderglade_core::fleet::ending::{Evidence, Framing, ServerState};
use bytes::{Bytes, BytesMut};
use http::header::TRANSFER_ENCODING;
use http::{Response, Version};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};

/// Maximum length of a response that is buffered as a whole, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// A response whose head has arrived, and whose body is still to come.
pub struct Exchange {
    /// Status and headers of the response.
    pub head: http::response::Parts,
    /// The body that is still to come.
    pub body: ResponseBody,
    /// The connection, to be recycled after the last byte.
    pub connection: Connection,
}

/// The body of a response, and the evidence on whether its end is one.
pub struct ResponseBody {
    incoming: Incoming,
    /// How the server marks the end of the body.
    pub framing: Framing,
    /// The connection on which the server is asked after the end, if the body ends with its connection.
    standby: Option<Standby>,
    activity: Activity,
}

impl ResponseBody {
    /// Begins a body that arrives on a connection with this activity.
    pub(super) fn new(incoming: Incoming, framing: Framing, activity: Activity) -> ResponseBody {
        ResponseBody {
            incoming,
            framing,
            standby: None,
            activity,
        }
    }

    /// Asks the server, after the end, for its state. Returns `None` if there is no standby connection to it.
    pub async fn server_state(&mut self) -> Option<(ServerState, Evidence)> {
        let alive_at = self.activity.alive_at()?;
        let standby = self.standby.take()?.inquire().await;
        let state = ServerState::judge(&standby, alive_at);
        log::debug!("{state:?} after a response that was alive at {alive_at:?}: {standby:?}");
        Some((state, standby.evidence))
    }

    /// Waits for the next bytes; returns `None` after the last ones.
    ///
    /// # Errors
    ///
    /// Returns an error if the response breaks off.
    pub async fn next(&mut self) -> Result<Option<Bytes>, hyper::Error> {
        body::next(self).await
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        Pin::new(&mut self.incoming).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

impl Exchange {
    /// Holds a standby connection to the server until the response has ended, if the response ends with its connection.
    /// `link` is a connection to the server that is already open; `question` is called only if the connection is needed.
    pub fn hold_standby(
        &mut self,
        link: Option<OpenConnection>,
        question: impl FnOnce() -> Option<Question>,
    ) {
        let Connection {
            client, address, ..
        } = &self.connection;
        if self.body.framing == Framing::Close
            && let Some(question) = question()
        {
            let response = self.body.activity.clone();
            let standby = Standby::hold(client.clone(), *address, response, link, question);
            self.body.standby = Some(standby);
        } else if let Some(link) = link {
            client.keep(link);
        }
    }

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
            Collected::Whole(response, _) => Ok(response),
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
        Ok(Collected::Whole(response, remaining.body))
    }

    /// Reads the rest of the response and returns the connection, if the response is no longer than `max_bytes` and the
    /// other side leaves the connection open.
    pub(super) async fn reclaim(mut self, max_bytes: usize) -> Option<OpenConnection> {
        let mut length = 0;
        while let Some(data) = self.body.next().await.ok()? {
            length += data.len();
            if length > max_bytes {
                return None;
            }
        }
        self.connection.reclaim().await
    }
}

/// A response that was read completely or in part.
pub enum Collected {
    /// The whole response, and its body at the end.
    Whole(Response<Bytes>, ResponseBody),
    /// The beginning of the response, and the rest that is still to be read.
    Partial(Response<Bytes>, RemainingBody),
}

/// The part of a response that is still to be read.
pub struct RemainingBody {
    /// The body that is still to come.
    pub body: ResponseBody,
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
        let next = self.body.next().await;
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
