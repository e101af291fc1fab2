//! An admitted request: what its caller wants and how long it waits.

use crate::clock;
use crate::event::{self, Record};
use crate::memory::Portion;
use crate::node::{Node, Progress};
use crate::translate::{Prompt, RequestInfo};
use alderglade_core::Name;
use alderglade_core::error::Kind as ErrorKind;
use alderglade_core::fleet::caller::{self, Expectation};
use alderglade_core::fleet::config::Route;
use alderglade_core::fleet::homes::Homes;
use alderglade_core::fleet::load_table::PauseClass;
use alderglade_core::fleet::quarantine::Identity;
use alderglade_core::fleet::rank::Rank;
use alderglade_core::fleet::request_state::{RequestState, Waiting};
use alderglade_core::request::Refusal;
use alderglade_core::time::Time;
use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use std::rc::Rc;
use std::time::Duration;

/// Prompt assumed if the caller describes none: an ordinary short one.
const DEFAULT_PROMPT: Prompt = Prompt {
    tokens: 5_000,
    max_output: 1_000,
    output_estimate: None,
};

/// A request that was read completely and admitted.
pub struct Job {
    /// What the caller states in the request head.
    pub info: RequestInfo,
    /// The request method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// The headers as the caller sent them.
    pub headers: HeaderMap,
    /// The request body.
    pub body: Bytes,
    /// The memory that the body occupies.
    pub memory: Portion,
    /// The request, as it is the same for each retry by the caller, and the parts of its prompt.
    pub identity: Identity,
    /// The route that the request takes.
    pub route: Route,
    /// The service that the request is sent to.
    pub service: Name,
    /// The workspace that the request is served for, if any.
    pub workspace: Option<Name>,
    /// The rank of the request among those of its service.
    pub rank: Rank,
    /// The regions that the request may run in.
    pub homes: Homes,
    /// The version of the configuration that admitted the request.
    pub config: u64,
    /// The progress of the request, as other parts of the host observe it.
    pub progress: Rc<Progress>,
    /// When the request must be answered.
    pub deadline: Time,
}

impl Job {
    /// Waits for a pending quarantine verdict on the request and refuses the request if it is quarantined.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request is quarantined.
    pub async fn check_quarantine(
        &self,
        node: &Node,
        request_state: &RequestState<Waiting>,
    ) -> Result<(), Refusal> {
        node.wait_for_verdict(&self.identity).await;
        node.check_bars(&self.identity, |left| {
            request_state.refuse(ErrorKind::Quarantined, left)
        })
    }

    /// Frees the request body, which will not be sent again.
    pub fn drop_body(&mut self) {
        self.body = Bytes::new();
        self.memory.release();
    }

    /// Logs and counts that the response was broken off before its end.
    pub fn log_broken_off(&self, node: &Node, problem: &str) {
        event::write(&Record::BrokenOff {
            id: &self.info.id,
            problem,
            took_ms: self.waited().as_millis() as u64,
            stopping_ms: node.stopping_ms(),
        });
        let answers = &node.metrics.answers;
        answers.with_label_values(&["broken_off"]).inc();
    }

    /// Returns the remaining time; zero after the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.left(clock::now())
    }

    /// Returns when the request's head arrived.
    pub fn arrived(&self) -> Time {
        self.progress.arrived
    }

    /// Returns the time since the request's head arrived.
    pub fn waited(&self) -> Duration {
        clock::now().since(self.arrived())
    }

    /// Returns the event that the caller waits for: the next one since `waits_since`, or else the first.
    pub fn expectation(&self, waits_since: Option<Time>) -> Expectation {
        match waits_since.zip(self.route.kind.longest_pause()) {
            Some((since, longest_pause)) => Expectation::next(since, longest_pause),
            None => Expectation::first(self.arrived(), self.route.objective),
        }
    }

    /// Returns how long the caller waits for the first or the next event.
    pub fn caller_timeout(&self) -> Duration {
        let longest_pause = self.route.kind.longest_pause();
        caller::response_timeout(
            self.route.objective,
            longest_pause.unwrap_or(Duration::ZERO),
        )
    }

    /// Returns how long before this attempt the caller's first one arrived: a caller that retries states its remaining time.
    pub fn time_since_first_attempt(&self) -> Duration {
        let limit = self.info.time_limit.unwrap_or(self.route.time_limit);
        self.route.time_limit.saturating_sub(limit)
    }

    /// Returns whether this is probably a retry by the caller: it allows less time than the route does.
    pub fn is_retry(&self) -> bool {
        /// Smallest difference that counts. Callers whose time equals that of their route state it to the
        /// millisecond.
        const MIN_DIFFERENCE: Duration = Duration::from_millis(100);
        self.time_since_first_attempt() > MIN_DIFFERENCE
    }

    /// Returns whether the caller was refused before and has waited for as long as it was told.
    pub fn has_waited_to_retry(&self) -> bool {
        /// The age of the first attempt from which on a retry counts: 0.9 of the shortest delay that a caller is told
        /// under overload, one second. Retrying earlier gains nothing.
        const MIN_AGE: Duration = Duration::from_millis(900);
        self.time_since_first_attempt() >= MIN_AGE
    }

    /// Returns the caller's description of the prompt, or an ordinary short prompt if there is none.
    pub fn prompt(&self) -> Prompt {
        self.info.prompt.unwrap_or(DEFAULT_PROMPT)
    }

    /// Returns the class of pauses that the response tolerates.
    pub fn pause_class(&self) -> PauseClass {
        let longest_pause = self.route.kind.longest_pause();
        longest_pause.map_or(PauseClass::Long, PauseClass::of)
    }
}
