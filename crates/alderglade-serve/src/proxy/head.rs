//! The headers between a host and its proxy.

use alderglade_core::fleet::ending::Framing;
use alderglade_core::fleet::incarnation::Key;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use std::fmt;
use std::str::FromStr;

/// The server that a request is for, and how it is to be sent.
pub const TARGET: HeaderName = HeaderName::from_static("alderglade-proxy-target");
/// What became of a request at the proxy. A response without it is not from a proxy.
pub const OUTCOME: HeaderName = HeaderName::from_static("alderglade-proxy-outcome");

/// How the server marks the end of its response, if the proxy marks it in another way.
pub const FRAMING: HeaderName = HeaderName::from_static("alderglade-proxy-framing");

/// Notes the server's framing in the head of a response, in place of one that the server sent.
pub fn set_framing(framing: Framing, head: &mut HeaderMap) {
    head.remove(FRAMING);
    if framing == Framing::Close {
        head.insert(FRAMING, HeaderValue::from_static(framing.label()));
    }
}

/// Removes the framing from the head of a proxy's response and returns it, if the proxy has changed it.
pub fn take_framing(head: &mut HeaderMap) -> Option<Framing> {
    let value = head.remove(FRAMING)?;
    (value == Framing::Close.label()).then_some(Framing::Close)
}

/// What is sent to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// A caller's request, which only a server that accepts work may get.
    Request,
    /// A call apart from requests, such as the release of memory.
    Order,
    /// Nothing: the proxy only connects.
    Check,
}

/// The server that a request is for, and how it is to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// The server.
    pub server: Key,
    /// What is sent to it.
    pub purpose: Purpose,
    /// Whether to use a new connection.
    pub fresh: bool,
}

/// Error for a text that is not a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidTarget;

impl fmt::Display for Target {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let purpose = match self.purpose {
            Purpose::Request => "request",
            Purpose::Order => "order",
            Purpose::Check => "check",
        };
        let connection = if self.fresh { "fresh" } else { "any" };
        write!(formatter, "{purpose} {connection} {}", self.server)
    }
}

impl FromStr for Target {
    type Err = InvalidTarget;

    fn from_str(text: &str) -> Result<Target, InvalidTarget> {
        let words: Vec<&str> = text.split(' ').collect();
        let [purpose, connection, server] = words[..] else {
            return Err(InvalidTarget);
        };
        Ok(Target {
            server: server.parse().map_err(|_| InvalidTarget)?,
            purpose: match purpose {
                "request" => Purpose::Request,
                "order" => Purpose::Order,
                "check" => Purpose::Check,
                _ => return Err(InvalidTarget),
            },
            fresh: match connection {
                "fresh" => true,
                "any" => false,
                _ => return Err(InvalidTarget),
            },
        })
    }
}

/// What became of a request at the proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The server answered; status, headers and body are its own. A check has connected.
    Answered,
    /// The server's machine refused the connection.
    Refused,
    /// The server could not be connected to.
    Unreachable,
    /// The connection was lost after the request, or a part of it, was sent.
    Lost,
    /// The proxy doesn't send to this server now; nothing was sent.
    Declined,
    /// The proxy carries nothing now; nothing was sent.
    Unavailable,
}

impl Outcome {
    /// All outcomes.
    const ALL: [Outcome; 6] = [
        Outcome::Answered,
        Outcome::Refused,
        Outcome::Unreachable,
        Outcome::Lost,
        Outcome::Declined,
        Outcome::Unavailable,
    ];

    /// Returns the outcome's name in the header and in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::Refused => "refused",
            Outcome::Unreachable => "unreachable",
            Outcome::Lost => "lost",
            Outcome::Declined => "declined",
            Outcome::Unavailable => "unavailable",
        }
    }

    /// Returns the status of a response with this outcome that no server has produced.
    pub fn status(self) -> StatusCode {
        match self {
            Outcome::Answered => StatusCode::NO_CONTENT,
            Outcome::Declined | Outcome::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
            Outcome::Refused | Outcome::Unreachable | Outcome::Lost => StatusCode::BAD_GATEWAY,
        }
    }

    /// Sets the outcome in the head of a response, in place of one that the server sent.
    pub fn set(self, head: &mut HeaderMap) {
        head.insert(OUTCOME, HeaderValue::from_static(self.label()));
    }

    /// Removes the outcome from the head of a proxy's response and returns it.
    pub fn take(head: &mut HeaderMap) -> Option<Outcome> {
        let value = head.remove(OUTCOME)?;
        let mut all = Outcome::ALL.into_iter();
        all.find(|outcome| value == outcome.label())
    }
}
