//! The closed list of error kinds and the one table from a kind to its answer.
//!
//! A caller learns three things from an answer that failed: the kind, whether the work ran, and
//! when to come back. Every refusal in the product picks a [`Kind`]; nothing else decides a status.

use serde::{Deserialize, Serialize};

/// Whether the work of a request ran at a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// It did not run; sending it again is safe.
    No,
    /// It ran, wholly or in part.
    Yes,
    /// Contact was lost after it was sent; nobody can say.
    Unknown,
}

impl Ran {
    /// Gives the word used in answers.
    pub fn label(self) -> &'static str {
        match self {
            Ran::No => "no",
            Ran::Yes => "yes",
            Ran::Unknown => "unknown",
        }
    }
}

/// What went wrong with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request can't be read, or a field has a bad value.
    BadRequest,
    /// The token is missing or belongs to no workspace.
    Unauthorized,
    /// The model, service or path isn't there, or isn't open to the workspace.
    NotFound,
    /// The body or the prompt is larger than allowed.
    TooLarge,
    /// The workspace is over its rate.
    LimitExceeded,
    /// The entry host has as many connections or requests as it takes.
    HostBusy,
    /// The request can't finish within its time behind the work already admitted.
    Overloaded,
    /// The entry host is about to stop.
    Draining,
    /// No live engine or server of any reachable failure domain can take the request.
    NoCapacity,
    /// The entry host has no settings yet that it may serve by.
    NotReady,
    /// A non-repeatable request can't be recorded because the platform is out of reach.
    PlatformUnavailable,
    /// The time allowed ran out before the request was sent to a backend server.
    ExpiredWaiting,
    /// The time allowed ran out while the request ran.
    ExpiredRunning,
    /// The backend server failed the request.
    BackendFailed,
    /// Contact with the backend server was lost after a non-repeatable request was sent.
    ContactLost,
    /// The first request with this key is still running.
    KeyInFlight,
    /// The key was used before with another body.
    KeyReused,
    /// The key is older than keys are kept.
    KeyExpired,
    /// The caller went away.
    CallerGone,
    /// A fault of alderglade itself.
    Internal,
    /// Backend servers have ended under the request, and it is sent to none any more.
    Quarantined,
    /// No backend server of the service is in a region in which the request may run.
    NoHome,
}

/// One row of the table: what a kind means for the caller and the operator.
#[derive(Debug, Clone, Copy)]
pub struct Row {
    /// The kind that the row is about.
    pub kind: Kind,
    /// The label in answers and metrics.
    pub label: &'static str,
    /// The HTTP status.
    pub status: u16,
    /// Whether the work ran.
    pub ran: Ran,
    /// Whether the answer says when to come back.
    pub retry_after: bool,
    /// The number of the log event.
    pub event: u16,
}

const fn row(
    kind: Kind,
    label: &'static str,
    status: u16,
    ran: Ran,
    retry_after: bool,
    event: u16,
) -> Row {
    Row {
        kind,
        label,
        status,
        ran,
        retry_after,
        event,
    }
}

/// The table from kind to answer, in the order of [`Kind`].
pub const TABLE: [Row; 22] = [
    row(Kind::BadRequest, "bad_request", 400, Ran::No, false, 2001),
    row(
        Kind::Unauthorized,
        "unauthorized",
        401,
        Ran::No,
        false,
        2002,
    ),
    row(Kind::NotFound, "not_found", 404, Ran::No, false, 2003),
    row(Kind::TooLarge, "too_large", 413, Ran::No, false, 2004),
    row(
        Kind::LimitExceeded,
        "limit_exceeded",
        429,
        Ran::No,
        true,
        2005,
    ),
    row(Kind::HostBusy, "host_busy", 503, Ran::No, true, 2006),
    row(Kind::Overloaded, "overloaded", 503, Ran::No, true, 2007),
    row(Kind::Draining, "draining", 503, Ran::No, true, 2008),
    row(Kind::NoCapacity, "no_capacity", 503, Ran::No, true, 2009),
    row(Kind::NotReady, "not_ready", 503, Ran::No, true, 2010),
    row(
        Kind::PlatformUnavailable,
        "platform_unavailable",
        503,
        Ran::No,
        true,
        2011,
    ),
    row(
        Kind::ExpiredWaiting,
        "expired_waiting",
        503,
        Ran::No,
        true,
        2012,
    ),
    row(
        Kind::ExpiredRunning,
        "expired_running",
        504,
        Ran::Unknown,
        true,
        2013,
    ),
    row(
        Kind::BackendFailed,
        "backend_failed",
        502,
        Ran::Yes,
        true,
        2014,
    ),
    row(
        Kind::ContactLost,
        "contact_lost",
        502,
        Ran::Unknown,
        false,
        2015,
    ),
    row(
        Kind::KeyInFlight,
        "key_in_flight",
        409,
        Ran::Unknown,
        true,
        2016,
    ),
    row(Kind::KeyReused, "key_reused", 422, Ran::No, false, 2017),
    row(
        Kind::KeyExpired,
        "key_expired",
        409,
        Ran::Unknown,
        false,
        2018,
    ),
    row(
        Kind::CallerGone,
        "caller_gone",
        499,
        Ran::Unknown,
        false,
        2019,
    ),
    row(Kind::Internal, "internal", 500, Ran::Unknown, false, 2020),
    row(Kind::Quarantined, "quarantined", 503, Ran::No, true, 2021),
    row(Kind::NoHome, "no_home", 503, Ran::No, true, 2022),
];

impl Kind {
    /// Gives the kind's row of the table.
    pub fn row(self) -> &'static Row {
        &TABLE[self as usize]
    }

    /// Gives the label used in answers and metrics.
    pub fn label(self) -> &'static str {
        self.row().label
    }

    /// Says whether the answer speaks of an earlier request with the same key, which may have run
    /// although this one was not sent.
    pub fn is_about_earlier(self) -> bool {
        matches!(
            self,
            Kind::KeyInFlight | Kind::KeyExpired | Kind::ContactLost
        )
    }
}
