//! A request that was let in: what its caller wants, and how long it waits.

use crate::clock;
use crate::memory::Portion;
use crate::node::{Node, Progress};
use crate::translate::{Prompt, RequestInfo};
use alderglade_core::Name;
use alderglade_core::error::Kind as ErrorKind;
use alderglade_core::fleet::caller;
use alderglade_core::fleet::config::Route;
use alderglade_core::fleet::fingerprint::Fingerprint;
use alderglade_core::fleet::homes::Homes;
use alderglade_core::fleet::life::{Life, Waiting};
use alderglade_core::fleet::load_table::PauseClass;
use alderglade_core::request::Refusal;
use alderglade_core::time::Time;
use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use std::rc::Rc;
use std::time::Duration;

/// What a prompt counts as whose caller says nothing of it: an ordinary short one.
const ORDINARY: Prompt = Prompt {
    tokens: 5_000,
    max_output: 1_000,
    output_estimate: None,
};

/// A request that was read whole and let in.
pub struct Job {
    /// What its caller says.
    pub info: RequestInfo,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// The headers as they came.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The memory that it takes.
    pub kept: Portion,
    /// What was asked, which stays the same when the caller comes back.
    pub fingerprint: Fingerprint,
    /// Its route.
    pub route: Route,
    /// The service that it goes to.
    pub service: Name,
    /// The workspace that it is served for.
    pub workspace: Option<Name>,
    /// Where it may run.
    pub homes: Homes,
    /// The version of the configuration that let it in.
    pub config: u64,
    /// How far it has come.
    pub progress: Rc<Progress>,
    /// When it must be over.
    pub ends: Time,
}

impl Job {
    /// Waits until nothing is about to be judged of the request, and refuses it where it is barred from servers.
    ///
    /// # Errors
    ///
    /// Where it is barred.
    pub async fn cleared(&self, node: &Node, life: &Life<Waiting>) -> Result<(), Refusal> {
        node.wait_for_verdict(self.fingerprint).await;
        match node.barred_for(self.fingerprint) {
            Some(left) => Err(life.refuse(ErrorKind::Quarantined, left)),
            None => Ok(()),
        }
    }

    /// Gives the time that is left.
    pub fn left(&self) -> Duration {
        self.ends.left(clock::now())
    }

    /// Gives when its head came.
    pub fn arrived(&self) -> Time {
        self.progress.arrived
    }

    /// Gives the time since it came.
    pub fn waited(&self) -> Duration {
        clock::now().since(self.arrived())
    }

    /// Gives how long its caller waits for the first or the next event.
    pub fn caller_timeout(&self) -> Duration {
        let longest_pause = self.route.kind.longest_pause();
        caller::response_timeout(
            self.route.objective,
            longest_pause.unwrap_or(Duration::ZERO),
        )
    }

    /// Says whether its caller has probably asked before: it waits for less time than the route allows.
    pub fn is_retry(&self) -> bool {
        /// How much less counts. Callers whose time is as long as their route's say so to the millisecond.
        const SURE: Duration = Duration::from_millis(100);
        let limit = self.info.time_limit;
        limit.is_some_and(|limit| limit + SURE < self.route.time_limit)
    }

    /// Gives what the caller says of the prompt; one that says nothing counts as an ordinary short one.
    pub fn prompt(&self) -> Prompt {
        self.info.prompt.unwrap_or(ORDINARY)
    }

    /// Gives the pauses that its answer bears.
    pub fn pauses(&self) -> PauseClass {
        let longest_pause = self.route.kind.longest_pause();
        longest_pause.map_or(PauseClass::Long, PauseClass::of)
    }
}
