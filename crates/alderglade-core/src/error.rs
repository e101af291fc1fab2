//! The closed list of error kinds, and the table that maps each kind to its answer.
//!
//! An error answer tells the caller three things: the kind, whether the work ran, and when to retry.
//! Every refusal uses a [`Kind`], and only the table determines the status.

use serde::{Deserialize, Serialize};

/// Whether the work of a request ran at a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// The work did not run. A retry is safe.
    No,
    /// The work ran, completely or in part.
    Yes,
    /// It is unknown whether the work ran, because contact was lost after the request was sent.
    Unknown,
}

impl Ran {
    /// Returns the label used in answers.
    pub fn label(self) -> &'static str {
        match self {
            Ran::No => "no",
            Ran::Yes => "yes",
            Ran::Unknown => "unknown",
        }
    }
}

/// The reason why a request was refused or failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request can't be parsed, or a field has an invalid value.
    BadRequest,
    /// The token is missing or belongs to no workspace.
    Unauthorized,
    /// The model, service or path doesn't exist, or isn't available to the workspace.
    NotFound,
    /// The body or the prompt is larger than allowed.
    TooLarge,
    /// The workspace exceeds its rate limit.
    LimitExceeded,
    /// The entry host has reached its limit of connections or requests.
    HostBusy,
    /// The request can't finish within its time limit behind the work already admitted.
    Overloaded,
    /// The entry host is about to stop.
    Draining,
    /// No live engine or server of any reachable failure domain can take the request.
    NoCapacity,
    /// The entry host has no settings yet that it may use.
    NotReady,
    /// A non-repeatable request can't be recorded because the platform is unreachable.
    PlatformUnavailable,
    /// The time limit expired before the request was sent to a backend server.
    ExpiredWaiting,
    /// The time limit expired while the request was running.
    ExpiredRunning,
    /// The backend server failed the request.
    BackendFailed,
    /// Contact with the backend server was lost after a non-repeatable request was sent.
    ContactLost,
    /// The first request with this key is still running.
    KeyInFlight,
    /// The key was used before with another body.
    KeyReused,
    /// The key is older than the retention time of keys.
    KeyExpired,
    /// The caller has disconnected.
    CallerGone,
    /// An internal error of alderglade.
    Internal,
    /// Backend servers have terminated while processing the request, so it is no longer sent to any.
    Quarantined,
    /// No backend server of the service is in a region where the request may run.
    NoHome,
}

/// One row of the table: the answer to the caller and the log event for a kind.
#[derive(Debug, Clone, Copy)]
pub struct Row {
    /// The kind that this row describes.
    pub kind: Kind,
    /// The label in answers and metrics.
    pub label: &'static str,
    /// The HTTP status.
    pub status: u16,
    /// Whether the work ran.
    pub ran: Ran,
    /// Whether the answer contains a retry time.
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

/// The answers to all kinds, in the order of [`Kind`].
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
    /// Returns the row of the table for this kind.
    pub fn row(self) -> &'static Row {
        &TABLE[self as usize]
    }

    /// Returns the label used in answers and metrics.
    pub fn label(self) -> &'static str {
        self.row().label
    }

    /// Returns whether the answer describes an earlier request with the same key, which may have run
    /// although this request was not sent.
    pub fn is_about_earlier(self) -> bool {
        matches!(
            self,
            Kind::KeyInFlight | Kind::KeyExpired | Kind::ContactLost
        )
    }
}
