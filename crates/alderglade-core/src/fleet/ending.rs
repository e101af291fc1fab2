//! Ends of responses: whether what a server has sent is all that it had to send.

/// How the end of a response's body is marked (RFC 9112, section 6.3).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By its stated length, or because there is no body.
    Length,
    /// By the last chunk.
    Chunked,
    /// By the end of the connection.
    Close,
}

impl Framing {
    /// Returns the name of the framing in logs.
    pub fn label(self) -> &'static str {
        match self {
            Framing::Length => "length",
            Framing::Chunked => "chunked",
            Framing::Close => "close",
        }
    }
}
