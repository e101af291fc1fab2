//! A request's life as its own thread sees it.
//!
//! The types of [`alderglade_core::request`] decide what may be said: as long as nothing was sent, a
//! failure says that the request did not run, whatever the kind's row of the table says.

use alderglade_core::Name;
use alderglade_core::request::{Admitted, Answered, Dispatched, Refusal, Request};

/// Where a request is in its life.
#[derive(Debug)]
pub(super) enum Life {
    /// Let in; nothing was sent.
    Unsent(Request<Admitted>),
    /// Sent at least once.
    Sent(Request<Dispatched>),
    /// Answered.
    Over(Request<Answered>),
}

impl Life {
    /// Notes that the request is being sent.
    pub(super) fn dispatch(self, to: &[Name]) -> Life {
        match self {
            Life::Unsent(request) => Life::Sent(request.place(to.to_vec()).dispatch()),
            later => later,
        }
    }

    /// Ends the request with its whole answer.
    pub(super) fn finish(self) -> Life {
        match self {
            Life::Sent(request) => Life::Over(request.finish()),
            other => other,
        }
    }

    /// Ends the request with a failure.
    pub(super) fn fail(self, refusal: Refusal) -> Life {
        match self {
            Life::Unsent(request) => Life::Over(request.refuse(refusal)),
            Life::Sent(request) => Life::Over(request.fail(refusal)),
            Life::Over(request) => Life::Over(request),
        }
    }

    /// Gives the failure that the request ended with.
    pub(super) fn failure(&self) -> Option<Refusal> {
        match self {
            Life::Over(request) => request.state.failure,
            Life::Unsent(_) | Life::Sent(_) => None,
        }
    }

    /// Says whether the request was ever sent.
    pub(super) fn is_sent(&self) -> bool {
        matches!(self, Life::Sent(_))
    }
}
