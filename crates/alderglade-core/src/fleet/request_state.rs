//! The state of a request with regard to backend servers, as a typestate.
//!
//! `Waiting → Sent → Waiting → …`. A refusal can only be created while the request waits, and whether it reports
//! that the request may have run follows from the outcome of each send. A request that was sent waits again only
//! after one of three outcomes: nothing was sent, the server disclaimed it, or contact was lost.

use crate::error::{Kind, Ran};
use crate::request::Refusal;
use std::time::Duration;

/// No send is open.
#[derive(Debug)]
pub struct Waiting {
    may_have_run: bool,
}

/// The request was sent to a server that has not reported an outcome.
#[derive(Debug)]
pub struct Sent {
    may_have_run: bool,
}

/// A request in one of its states.
#[derive(Debug)]
pub struct RequestState<S> {
    state: S,
}

impl RequestState<Waiting> {
    /// Creates the state of a request that was not sent to any server.
    pub fn new() -> RequestState<Waiting> {
        RequestState {
            state: Waiting {
                may_have_run: false,
            },
        }
    }

    /// Records that the request is about to be sent.
    pub fn send(self) -> RequestState<Sent> {
        RequestState {
            state: Sent {
                may_have_run: self.state.may_have_run,
            },
        }
    }

    /// Returns whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        self.state.may_have_run
    }

    /// Creates the refusal of the request. `kind` applies if the request did not run. If it may have run, the refusal
    /// has a kind that says so instead.
    pub fn refuse(&self, kind: Kind, retry_after: Duration) -> Refusal {
        let row = kind.row();
        let kind = match (self.state.may_have_run, row.ran) {
            (true, Ran::No) if kind == Kind::ExpiredWaiting => Kind::ExpiredRunning,
            (true, Ran::No) => Kind::ContactLost,
            _ => kind,
        };
        Refusal::new(kind, retry_after)
    }
}

impl Default for RequestState<Waiting> {
    fn default() -> RequestState<Waiting> {
        RequestState::new()
    }
}

impl RequestState<Sent> {
    /// Records that no byte of the request was sent.
    pub fn never_sent(self) -> RequestState<Waiting> {
        self.wait_again(false)
    }

    /// Records that the server stated that it did not run the request.
    pub fn disclaimed(self) -> RequestState<Waiting> {
        self.wait_again(false)
    }

    /// Records that the request ran, or that it is unknown whether it did.
    pub fn lost(self) -> RequestState<Waiting> {
        self.wait_again(true)
    }

    fn wait_again(self, may_have_run: bool) -> RequestState<Waiting> {
        RequestState {
            state: Waiting {
                may_have_run: self.state.may_have_run || may_have_run,
            },
        }
    }
}
