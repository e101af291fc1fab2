//! The life of a request towards backend servers, by typestate.
//!
//! `Waiting → Sent → Waiting → …`. A refusal can only be made while the request waits, and what it
//! says of having run follows from what became of each send. A request that was sent waits again
//! only through one of three words: nothing was sent, the server disclaimed it, or contact was lost.

use crate::error::{Kind, Ran};
use crate::request::Refusal;
use std::time::Duration;

/// No send is open.
#[derive(Debug)]
pub struct Waiting {
    may_have_run: bool,
}

/// The request was sent to a server that has not told how it ended.
#[derive(Debug)]
pub struct Sent {
    may_have_run: bool,
}

/// A request's life in one of its states.
#[derive(Debug)]
pub struct Life<S> {
    state: S,
}

impl Life<Waiting> {
    /// Starts the life of a request that nobody has been sent.
    pub fn new() -> Life<Waiting> {
        Life {
            state: Waiting {
                may_have_run: false,
            },
        }
    }

    /// Notes that the request is about to be sent.
    pub fn send(self) -> Life<Sent> {
        Life {
            state: Sent {
                may_have_run: self.state.may_have_run,
            },
        }
    }

    /// Says whether it may have run.
    pub fn may_have_run(&self) -> bool {
        self.state.may_have_run
    }

    /// Gives up. `kind` is what is answered where the request did not run; where it may have run, the
    /// answer says so instead.
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
    /// Notes that no byte of the request was sent.
    pub fn never_sent(self) -> Life<Waiting> {
        self.back(false)
    }

    /// Notes that the server said that it did not run the request.
    pub fn disclaimed(self) -> Life<Waiting> {
        self.back(false)
    }

    /// Notes that the request ran, or that nobody can say whether it did.
    pub fn lost(self) -> Life<Waiting> {
        self.back(true)
    }

    fn back(self, may_have_run: bool) -> Life<Waiting> {
        Life {
            state: Waiting {
                may_have_run: self.state.may_have_run || may_have_run,
            },
        }
    }
}
