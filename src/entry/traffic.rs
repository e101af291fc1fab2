//! Callers' requests, each on a thread of its own, from the first byte to the closing line.
//!
//! A thread waits for instructions no longer than its request has time: whatever happens to the
//! control thread, the home, the engine or the platform, the caller gets an answer in time.

mod call;
mod generate;
mod life;

use super::control::{Input, Instruction};
use super::engines::Engines;
use super::snapshot::{Published, Snapshot};
use alderglade_caller::answer::{Answer, Closing, Usage};
use alderglade_caller::ask::{self, Fault, Headers};
use alderglade_caller::listen::{Handler, Request};
use alderglade_clock::Instant;
use alderglade_core::Name;
use alderglade_core::error::Kind;
use alderglade_core::fleet::fingerprint::{Content, Fingerprint};
use alderglade_core::fleet::part::Part;
use alderglade_core::fleet::quarantine::Identity;
use alderglade_core::inflight::{Submission, Work};
use alderglade_core::lane::Lane;
use alderglade_core::ledger::Claim;
use alderglade_core::limit::Rate;
use alderglade_core::node::{AttemptResult, Event};
use alderglade_core::request::{self, Id, Prefix, Refusal, Ticket};
use alderglade_core::time::Time;
use alderglade_operator::event;
use alderglade_operator::metrics::Metrics;
use http::Method;
use life::Life;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// The control thread answers a request at its deadline; only if it doesn't does the request's
/// own thread, this much later.
const GRACE: Duration = Duration::from_millis(250);
/// The time to come back after for requests that were turned away unread.
const COME_BACK: Duration = Duration::from_secs(1);
/// The key under which services' limits and classes are looked up in place of a model.
const NO_MODEL: &str = "";

/// What the threads of requests share.
pub(crate) struct Traffic {
    /// The host's name.
    pub own: Name,
    /// The host's incarnation.
    pub incarnation: u64,
    /// Counts requests.
    pub serial: AtomicU64,
    /// The control thread.
    pub control: Sender<Input>,
    /// The picture.
    pub published: Published,
    /// Engines.
    pub engines: Engines,
    /// Metrics.
    pub metrics: Metrics,
}

/// What a request is made of, whatever it asks for.
struct Shape {
    work: Work,
    workspace: Name,
    class: Name,
    model: Name,
    prompt: u64,
    output: Option<u64>,
    time_allowed_ms: Option<u64>,
    prefix: Option<Prefix>,
    fingerprint: Fingerprint,
    repeatable: bool,
    claim: Option<Claim>,
}

/// A request that the control thread has in hand, as its own thread sees it.
struct Pending {
    id: Id,
    deadline: Instant,
    instructions: Receiver<Instruction>,
    output_cap: u64,
    priority: u8,
    usage: Usage,
    life: Option<Life>,
}

impl Handler for Traffic {
    fn handle(&self, request: Request) {
        match self.read(&request) {
            Ok(Asked::Generate(ask)) => generate::serve(self, Answer::new(request), *ask),
            Ok(Asked::Call(ask)) => call::serve(self, Answer::new(request), *ask),
            Err(fault) => self.fault(request, fault),
        }
    }

    fn turn_away(&self, request: Request) {
        let detail = "the host has as many requests in hand as it takes";
        self.fault(request, Fault::new(Kind::HostBusy, detail));
    }
}

/// What was asked, read and authenticated.
enum Asked {
    Generate(Box<generate::Ask>),
    Call(Box<call::Ask>),
}

impl Traffic {
    fn read(&self, request: &Request) -> Result<Asked, Fault> {
        let snapshot = self.published.load_full();
        if !snapshot.ready {
            return Err(not_ready(&snapshot));
        }
        let headers = ask::headers(&request.headers)?;
        let workspace = authenticate(&snapshot, &headers)?;
        let (method, path) = (&request.method, request.target.as_str());
        let service = path.strip_prefix("/v1/services/");
        match (method, path, service) {
            (&Method::POST, "/v1/generate", _) => {
                let body = ask::generate(&request.body.clone()?)?;
                let ask = generate::Ask::check(&snapshot, workspace, headers, body)?;
                Ok(Asked::Generate(Box::new(ask)))
            }
            (&Method::POST, _, Some(rest)) => {
                let body = request.body.clone()?.to_vec();
                let ask = call::Ask::check(&snapshot, workspace, headers, rest, body)?;
                Ok(Asked::Call(Box::new(ask)))
            }
            _ => Err(Fault::new(
                Kind::NotFound,
                format!(
                    "no such call: {method} {path}; there are POST /v1/generate and POST /v1/services/NAME/..."
                ),
            )),
        }
    }

    /// Answers a request that never came to the control thread.
    fn fault(&self, request: Request, fault: Fault) {
        let refusal = Refusal::new(fault.kind, COME_BACK);
        let detail = Some(fault.detail);
        self.answer_failure(
            &mut Answer::new(request),
            self.new_id(),
            refusal,
            detail,
            Usage::default(),
        );
    }

    fn answer_failure(
        &self,
        answer: &mut Answer,
        id: Id,
        refusal: Refusal,
        detail: Option<String>,
        usage: Usage,
    ) {
        self.metrics.count_answer(refusal.kind.label());
        event::write_failure(refusal.kind, &format!("{id} ran={}", refusal.ran.label()));
        let closing = Closing::failed(id, refusal, detail, usage);
        answer.close(refusal.kind.row().status, &closing);
    }

    /// Sets the answer of a caller whose request is still at a backend server when the process ends.
    fn set_fallback(&self, answer: &Answer, pending: &Pending) {
        let refusal = Refusal::new(Kind::ExpiredRunning, COME_BACK);
        let closing = Closing::failed(pending.id, refusal, None, pending.usage);
        answer.set_fallback(refusal.kind.row().status, closing);
    }

    fn new_id(&self) -> Id {
        Id {
            incarnation: self.incarnation,
            serial: self.serial.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Hands a request to the control thread.
    fn submit(&self, snapshot: &Snapshot, shape: Shape) -> Pending {
        let id = self.new_id();
        let submission = submission(snapshot, id, shape);
        let (thread, instructions) = channel();
        let deadline = Instant::now() + submission.ticket.time_left;
        let usage = Usage {
            prompt_tokens: submission.ticket.prompt,
            ..Usage::default()
        };
        let received = request::Request::receive(submission.ticket.clone(), Time::NEVER);
        let submission = Box::new(submission);
        self.tell(Input::Submit { submission, thread });
        Pending {
            id,
            deadline,
            instructions,
            output_cap: received.ticket.output_cap,
            priority: received.ticket.lane.engine_priority(),
            usage,
            life: Some(Life::Unsent(received.admit())),
        }
    }

    fn tell(&self, input: Input) {
        // The control thread lives as long as requests are taken.
        let _ = self.control.send(input);
    }

    fn ended(&self, request: Id, attempt: u32, ended: AttemptResult) {
        self.tell(Input::Event(Event::AttemptEnded {
            request,
            attempt,
            ended,
        }));
    }

    fn gone(&self, request: Id) {
        self.tell(Input::Event(Event::CallerGone { request }));
    }
}

impl Pending {
    fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Waits for what to do next until a little after the time is up. The wait stands still while the host is suspended, the
    /// time doesn't: it is looked at in between.
    fn receive(&self) -> Result<Instruction, RecvTimeoutError> {
        loop {
            let left = self.left();
            let wait = if left.is_zero() {
                GRACE
            } else {
                left.min(GRACE)
            };
            match self.instructions.recv_timeout(wait) {
                Err(RecvTimeoutError::Timeout) if !left.is_zero() => {}
                received => return received,
            }
        }
    }

    /// Moves the request's life on.
    fn turn(&mut self, turn: impl FnOnce(Life) -> Life) {
        self.life = self.life.take().map(turn);
    }

    /// Ends the request with a failure and gives what is to be said of it.
    fn fail(&mut self, refusal: Refusal) -> Refusal {
        self.turn(|life| life.fail(refusal));
        let said = self.life.as_ref().and_then(Life::failure);
        said.unwrap_or(refusal)
    }

    /// Waits for what to do next; the time being up is an answer, and so is the end of the control thread.
    fn next(&self) -> Instruction {
        let sent = self.life.as_ref().is_some_and(Life::is_sent);
        let kind = match self.receive() {
            Ok(instruction) => return instruction,
            Err(_) if sent => Kind::ExpiredRunning,
            Err(RecvTimeoutError::Timeout) => Kind::ExpiredWaiting,
            // Let in by a picture from before the stop, and found nobody who decides any more.
            Err(RecvTimeoutError::Disconnected) => Kind::Draining,
        };
        Instruction::Refuse(Refusal::new(kind, COME_BACK))
    }
}

fn not_ready(snapshot: &Snapshot) -> Fault {
    if snapshot.draining {
        return Fault::new(
            Kind::Draining,
            "this host is about to stop; another one will serve",
        );
    }
    let detail = "this host has no settings yet that it may serve by";
    Fault::new(Kind::NotReady, detail)
}

fn authenticate(snapshot: &Snapshot, headers: &Headers) -> Result<Name, Fault> {
    let wrong = |detail: &str| Fault::new(Kind::Unauthorized, detail);
    let token = headers.token.as_deref();
    let token = token.ok_or_else(|| wrong("no token; expected `Authorization: Bearer TOKEN`"))?;
    let found = snapshot.tokens.workspace(token);
    found.ok_or_else(|| wrong("the token belongs to no workspace"))
}

/// Says whether a workspace may reach something; an empty list allows all.
fn allows(list: &[Name], wanted: &str) -> bool {
    list.is_empty() || list.iter().any(|name| &**name == wanted)
}

/// Checks that a caller class exists; none stands for the common values.
fn check_class(snapshot: &Snapshot, class: &str) -> Result<(), Fault> {
    if class.is_empty() || snapshot.tree.fleet.classes.contains_key(class) {
        return Ok(());
    }
    let classes: Vec<&str> = snapshot
        .tree
        .fleet
        .classes
        .keys()
        .map(|name| &**name)
        .collect();
    let detail = format!("no class `{class}`; there are {}", classes.join(", "));
    Err(Fault::new(Kind::BadRequest, detail))
}

/// Makes the claim of a request with a key; the claimant is filled in when it has its identity.
fn claim(
    host: &str,
    workspace: &Name,
    headers: &Headers,
    body: &[u8],
) -> Result<Option<Claim>, Fault> {
    let Some(key) = &headers.key else {
        return Ok(None);
    };
    let Some(issued_ms) = headers.issued_ms else {
        let detail = format!("a request with {} needs {} as well", ask::KEY, ask::ISSUED);
        return Err(Fault::new(Kind::BadRequest, detail));
    };
    Ok(Some(Claim {
        key: format!("{workspace}/{key}").into(),
        body: xxh3_64(body),
        issued_ms,
        claimant: Id::default(),
        host: host.into(),
    }))
}

/// Returns the fingerprint of a request of a workspace for a model or service.
fn fingerprint(workspace: &str, target: &str, body: &[u8]) -> Fingerprint {
    let content = Content {
        workspace: Some(workspace),
        method: Method::POST.as_str(),
        host: "",
        target,
        body,
    };
    content.fingerprint()
}

fn submission(snapshot: &Snapshot, id: Id, shape: Shape) -> Submission {
    let resolved = snapshot
        .tree
        .resolve(&shape.workspace, &shape.class, &shape.model);
    let whole = snapshot.tree.resolve(&shape.workspace, NO_MODEL, NO_MODEL);
    let output = shape.output.unwrap_or(resolved.max_output_tokens);
    let output = output.clamp(1, resolved.max_output_tokens);
    let asked = shape.time_allowed_ms.map(Duration::from_millis);
    let time_left = asked.map_or(resolved.time_allowed, |time| {
        time.min(resolved.time_allowed)
    });
    let claim = shape.claim.map(|claim| Claim {
        claimant: id,
        ..claim
    });
    Submission {
        ticket: Ticket {
            id,
            workspace: shape.workspace,
            model: shape.model,
            lane: Lane::of(resolved.priority, shape.prompt),
            weight: resolved.weight,
            prompt: shape.prompt,
            output_cap: output,
            output_expected: output,
            prefix: shape.prefix,
            time_left,
            attempt: 1,
            avoid: None,
        },
        identity: Identity {
            fingerprint: shape.fingerprint,
            parts: shape
                .prefix
                .iter()
                .map(|prefix| Part::from_id(&prefix.id()))
                .collect(),
        },
        work: shape.work,
        class: shape.class,
        rate: Rate::new(whole.requests_per_second, whole.tokens_per_second),
        first_token: resolved.first_token,
        objective_per_mille: resolved.objective_per_mille,
        repeatable: shape.repeatable,
        claim,
    }
}

/// Starts taking requests.
///
/// # Errors
///
/// Where the address is taken.
pub(crate) fn open(
    address: std::net::SocketAddr,
    most: usize,
    traffic: Arc<Traffic>,
) -> Result<alderglade_caller::listen::Door, alderglade_caller::listen::Error> {
    alderglade_caller::listen::Door::open(address, most, traffic)
}
