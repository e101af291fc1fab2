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

/// The life of a request in one of its states.
#[derive(Debug)]
pub struct Life<S> {
    state: S,
}

impl Life<Waiting> {
    /// Creates the life of a request that was not sent to any server.
    pub fn new() -> Life<Waiting> {
        Life {
            state: Waiting {
                may_have_run: false,
            },
        }
    }

    /// Records that the request is about to be sent.
    pub fn send(self) -> Life<Sent> {
        Life {
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

impl Default for Life<Waiting> {
    fn default() -> Life<Waiting> {
        Life::new()
    }
}

impl Life<Sent> {
    /// Records that no byte of the request was sent.
    pub fn never_sent(self) -> Life<Waiting> {
        self.wait_again(false)
    }

    /// Records that the server stated that it did not run the request.
    pub fn disclaimed(self) -> Life<Waiting> {
        self.wait_again(false)
    }

    /// Records that the request ran, or that it is unknown whether it did.
    pub fn lost(self) -> Life<Waiting> {
        self.wait_again(true)
    }

    fn wait_again(self, may_have_run: bool) -> Life<Waiting> {
        Life {
            state: Waiting {
                may_have_run: self.state.may_have_run || may_have_run,
            },
        }
    }
}
