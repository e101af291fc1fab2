//! Generations: places a prompt, sends it, and starts to pass its stream on.

mod place;
mod take;

use crate::answer::Content;
use crate::attempt::{self, Miss};
use crate::client::Exchange;
use crate::clock;
use crate::event::{self, Record};
use crate::forward;
use crate::job::Job;
use crate::node::{InFlight, Node, Permit, ReservationGuard, Stage};
use crate::relay;
use crate::slowdown::Reading;
use crate::ticket::Tickets;
use crate::translate::{Helper, Reply};
use alderglade_core::error::Kind as ErrorKind;
use alderglade_core::fleet::caller;
use alderglade_core::fleet::directory::Server;
use alderglade_core::fleet::health::Outcome;
use alderglade_core::fleet::incarnation::Key;
use alderglade_core::fleet::life::{Life, Sent, Waiting};
use alderglade_core::fleet::placement::{Plan, Reason};
use alderglade_core::request::Refusal;
use http::Response;
use std::rc::Rc;
use std::time::Duration;

/// When a caller should come back if its stream could not be started.
const COME_BACK: Duration = Duration::from_millis(300);
/// Sends that are tried for one request where servers disclaim it or can't be reached, at most.
const MOST_SENDS: u32 = 5;
/// Servers at whose address nobody listens that are tried for one request beside those, at most. Each costs a way there and
/// back, and where a third of many servers has crashed at once, five in a row are soon such.
const MOST_CLOSED: u32 = 12;
/// How long a first event may be late, beside a multiple of the time expected, before a stream that
/// may be resumed is taken elsewhere; over the time that a dead server's work stands still.
const LATE: Duration = Duration::from_millis(2_000);
/// The multiple of the time expected.
const LATE_FACTOR: u32 = 3;
/// How long a prompt waits after memory could not be set aside for it; a few events' time.
const NO_MEMORY_PAUSE: Duration = Duration::from_millis(120);

/// A stream that has begun at a server.
pub struct Open {
    /// The answer as it comes.
    pub exchange: Exchange,
    /// The server.
    pub server: Server,
    /// The placement in the book.
    pub held: ReservationGuard,
    /// Memory that was set aside.
    pub tickets: Option<Tickets>,
    /// Who reads the prompt.
    pub reading: Reading,
    /// How long the stream may stay silent before it is taken elsewhere.
    pub silence: Duration,
}

/// A plan, and the leave to send the prompt by it.
struct Choice {
    plan: Plan,
    permit: Permit,
}

/// A generation for which all is taken up that its plan needs.
struct Placed {
    /// The server that answers.
    server: Server,
    /// The servers that read parts or hold memory.
    helpers: Vec<Helper>,
    /// The placement in the book.
    held: ReservationGuard,
    /// Memory that was set aside.
    tickets: Option<Tickets>,
    /// Who reads the prompt.
    reading: Reading,
}

impl Placed {
    /// Gives the stream that has begun. `silence` is how long it may stay silent.
    fn open(self, exchange: Exchange, silence: Duration) -> Open {
        Open {
            exchange,
            server: self.server,
            held: self.held,
            tickets: self.tickets,
            reading: self.reading,
            silence,
        }
    }
}

/// What is kept over the tries of one generation.
#[derive(Default)]
pub struct Tries {
    /// Sends that reached a server, or may have.
    pub sends: u32,
    /// Sends that arrived at a server, or may have, whether it ran them or not; each beyond the first is a repeat.
    pub arrivals: u32,
    /// Sends of any kind.
    pub all: u32,
    /// Sends among them for which nobody listened.
    pub closed: u32,
    /// Sets of memory that were asked for.
    pub reserves: u32,
    /// Servers that have failed the request.
    pub avoid: Vec<Key>,
    /// Servers that read parts of it now, beside the one that answers.
    readers: Vec<Key>,
    /// Servers that read it together when nothing came of it.
    pub stalled: Vec<Key>,
    /// Why it has been held back so far, which is written once for each reason.
    pub held_for: Vec<Reason>,
}

impl Tries {
    /// Says whether another send may be tried, where a route allows so many that arrive.
    fn are_left(&self, most: u32) -> bool {
        let others = self.all - self.closed;
        self.sends < most && others < MOST_SENDS && self.closed < MOST_CLOSED
    }
}

/// Serves a generation. `in_flight` goes with the stream.
pub async fn serve(node: &Rc<Node>, job: Job, in_flight: InFlight) -> Response<Content> {
    node.record_first_send(&job.service);
    let mut tries = Tries::default();
    let last_event = job.info.last_event.clone();
    match open(node, &job, &mut tries, last_event).await {
        Err(refusal) => forward::refuse(node, &job.info.id, &refusal, job.arrived()),
        Ok(opened) => relay::start(node, job, tries, opened, in_flight),
    }
}

/// Places and sends a generation until a server begins to answer it.
///
/// Dropped before that, `tries` counts a send that may have reached a server.
///
/// # Errors
///
/// Gives the refusal to be answered where no server does.
pub async fn open(
    node: &Rc<Node>,
    job: &Job,
    tries: &mut Tries,
    last_event: Option<String>,
) -> Result<Open, Refusal> {
    let mut life: Life<Waiting> = Life::new();
    let mut found = None;
    loop {
        job.progress.set_stage(Stage::Waits);
        let Choice { plan, permit } = match found.take() {
            Some(choice) => choice,
            None => next_choice(node, job, tries, &life).await?,
        };
        let Some(mut placed) = take_up(node, job, &plan, tries).await else {
            continue;
        };
        // Memory that is set aside and a budget that is asked for take a while.
        job.cleared(node, &life).await?;
        tries.all += 1;
        tries.readers.clone_from(&plan.helpers);
        tell_placed(node, job, &placed.server, &plan, tries.all);
        job.progress
            .set_stage(Stage::Sent(placed.server.id().clone()));
        tries.sends += 1;
        tries.arrivals += 1;
        let sent = life.send();
        let silence = silence(job, &plan);
        let attempt = Attempt {
            permit,
            last_event: last_event.clone(),
            silence,
        };
        life = match send(node, job, tries, &mut placed, attempt).await {
            Sending::Answered(exchange) => {
                placed.held.resume();
                return Ok(placed.open(exchange, silence));
            }
            Sending::Missed(miss) => note_miss(node, job, tries, &placed.server, sent, miss),
            Sending::Replaced(choice) => {
                found = Some(choice);
                sent.lost()
            }
        };
        if found.is_none() {
            tries.avoid.push(placed.server.key());
            give_up(job, tries, &life)?;
        }
    }
}

/// Gives the plan of the next send, where the budget allows one more.
async fn next_choice(
    node: &Rc<Node>,
    job: &Job,
    tries: &mut Tries,
    life: &Life<Waiting>,
) -> Result<Choice, Refusal> {
    let choice = permitted(node, job, tries, life).await?;
    if tries.arrivals > 0 && !node.spend_retry(&job.info.id, &job.service).await {
        return Err(life.refuse(ErrorKind::Overloaded, COME_BACK));
    }
    Ok(choice)
}

/// Gives a plan by which the prompt may be sent.
async fn permitted(
    node: &Rc<Node>,
    job: &Job,
    tries: &mut Tries,
    life: &Life<Waiting>,
) -> Result<Choice, Refusal> {
    loop {
        let plan = place::place(node, job, tries, life).await?;
        // An engine that takes nothing now isn't chosen the next time.
        if let Ok(permit) = node.permit_plan(&plan).await {
            return Ok(Choice { plan, permit });
        }
    }
}

/// Takes up what a plan needs; gives `None` where its server is gone or the memory can't be set aside, and another
/// plan must be made.
async fn take_up(node: &Rc<Node>, job: &Job, plan: &Plan, tries: &mut Tries) -> Option<Placed> {
    let Some(server) = node.server(plan.primary) else {
        tries.avoid.push(plan.primary);
        return None;
    };
    let held = node.reserve(take::hold(job, plan));
    let Ok(tickets) = set_aside(node, job, plan, tries).await else {
        drop(held);
        tokio::time::sleep(NO_MEMORY_PAUSE).await;
        return None;
    };
    Some(Placed {
        helpers: take::helpers(node, plan, tickets.as_ref()),
        server,
        held,
        tickets,
        reading: Reading::begin(plan),
    })
}

/// Gives how long a server may stay silent before its first event: until that is too late, or its caller might leave
/// before another server begins.
fn silence(job: &Job, plan: &Plan) -> Duration {
    let late = plan.first_event * LATE_FACTOR + LATE;
    let patience = job.caller_timeout().saturating_sub(job.waited());
    caller::silence_timeout(patience).min(late)
}

/// One send of a generation.
struct Attempt {
    /// The leave to send it.
    permit: Permit,
    /// The last event that its caller already has.
    last_event: Option<String>,
    /// How long the server may say nothing before another one is looked for.
    silence: Duration,
}

/// What became of a send.
enum Sending {
    /// The head of an answer that counts has come.
    Answered(Exchange),
    /// There is no such answer.
    Missed(Miss),
    /// The server is silent, and another one can take the request by this plan.
    Replaced(Choice),
}

/// Sends a generation to one server and waits for the head of an answer that counts. A server that says nothing for as long
/// as it may is left where another one is found; else it has as long as the caller waits.
async fn send(
    node: &Rc<Node>,
    job: &Job,
    tries: &mut Tries,
    placed: &mut Placed,
    attempt: Attempt,
) -> Sending {
    let Attempt {
        permit,
        last_event,
        silence,
    } = attempt;
    let server = &placed.server;
    let sends_left = tries.are_left(job.route.max_attempts);
    let more = sends_left && job.route.kind.is_repeatable();
    let number = tries.all;
    let helpers = placed.helpers.clone();
    let answer = attempt::send(node, job, server, permit, helpers, last_event, number);
    let answer = async { judge(node, job, server, number, answer.await) };
    tokio::select! {
        // An answer that is there goes before any sign that there was none.
        biased;
        sending = answer => sending,
        choice = find_other(node, job, tries, server, &mut placed.held, silence), if more => {
            Sending::Replaced(choice)
        }
        () = attempt::over(node, job, server, number) => Sending::Missed(Miss::Lost),
        () = clock::patience(job.left()) => {
            attempt::note_silent(node, job, server, number, attempt::NO_ANSWER);
            Sending::Missed(Miss::Lost)
        }
    }
}

/// Finds another server for a generation whose server has said nothing for `silence`; waits on where there is none that
/// can take it, as on a host that is about to end.
async fn find_other(
    node: &Rc<Node>,
    job: &Job,
    tries: &mut Tries,
    silent: &Server,
    held: &mut ReservationGuard,
    silence: Duration,
) -> Choice {
    clock::patience(silence).await;
    note_standstill(node, job, tries, silent);
    held.suspend();
    let life = Life::new().send().lost();
    loop {
        let plan = place::place(node, job, tries, &life).await;
        let other = plan.ok().filter(|plan| plan.primary != silent.key());
        if let Some(plan) = other
            && let Ok(permit) = node.permit_plan(&plan).await
            && node.spend_retry(&job.info.id, &job.service).await
        {
            return Choice { plan, permit };
        }
        clock::sleep(attempt::LOOK_AGAIN).await;
    }
}

/// Notes that nothing has come from a server. Where others read parts, any of them may be the one at fault: the server is not
/// told of as silent, and the next engines are others, so that the same one doesn't hold the prompt up again.
fn note_standstill(node: &Node, job: &Job, tries: &mut Tries, silent: &Server) {
    if tries.readers.is_empty() {
        attempt::note_silent(node, job, silent, tries.all, "silence");
    } else {
        attempt::tell(job, silent, tries.all, "silence");
        tries.stalled.push(silent.key());
        tries.stalled.append(&mut tries.readers);
    }
    tries.avoid.push(silent.key());
}

/// Says whether what a server has answered counts.
fn judge(
    node: &Node,
    job: &Job,
    server: &Server,
    number: u32,
    answer: Result<(Exchange, Reply), Miss>,
) -> Sending {
    let (exchange, reply) = match answer {
        Ok(answer) => answer,
        Err(miss) => return Sending::Missed(miss),
    };
    let status = exchange.head.status;
    if status.is_success() && reply.genuine {
        return Sending::Answered(exchange);
    }
    node.record_outcome(server.key(), Outcome::Failed);
    attempt::tell(job, server, number, status.as_str());
    Sending::Missed(Miss::Lost)
}

/// Notes what became of a send without an answer; the request waits again.
fn note_miss(
    node: &Node,
    job: &Job,
    tries: &mut Tries,
    server: &Server,
    sent: Life<Sent>,
    miss: Miss,
) -> Life<Waiting> {
    match miss {
        Miss::NotSent | Miss::Closed => {
            tries.closed += u32::from(matches!(miss, Miss::Closed));
            tries.sends -= 1;
            tries.arrivals -= 1;
            if tries.arrivals > 0 {
                node.refund_retry(&job.service);
            }
            sent.never_sent()
        }
        Miss::Disclaimed(at_fault) => {
            tries.sends -= 1;
            let refusing =
                at_fault.and_then(|address| node.record_refusing_server(address, server));
            tries.avoid.extend(refusing);
            sent.disclaimed()
        }
        Miss::Lost => sent.lost(),
    }
}

/// Memory could not be set aside.
struct NoMemory;

/// Sets the memory aside that no single engine has, where the plan says so.
async fn set_aside(
    node: &Rc<Node>,
    job: &Job,
    plan: &Plan,
    tries: &mut Tries,
) -> Result<Option<Tickets>, NoMemory> {
    if plan.shares.is_empty() {
        return Ok(None);
    }
    // A name is used once: what a refused set gives back late must not end the next one.
    tries.reserves += 1;
    let name = format!("{}-{}", job.info.id, tries.reserves);
    match Tickets::take(node, &name, &plan.shares).await {
        Some(tickets) => Ok(Some(tickets)),
        None => Err(NoMemory),
    }
}

/// Says no where the request may not be sent again.
fn give_up(job: &Job, tries: &Tries, life: &Life<Waiting>) -> Result<(), Refusal> {
    if job.left().is_zero() {
        return Err(life.refuse(ErrorKind::ExpiredWaiting, COME_BACK));
    }
    let again = !life.may_have_run() || job.route.kind.is_repeatable();
    let sends_left = tries.are_left(job.route.max_attempts);
    if again && sends_left {
        return Ok(());
    }
    let kind = if life.may_have_run() {
        ErrorKind::ContactLost
    } else {
        ErrorKind::Overloaded
    };
    Err(life.refuse(kind, COME_BACK))
}

fn tell_placed(node: &Node, job: &Job, server: &Server, plan: &Plan, attempt: u32) {
    let waited = job.waited();
    node.metrics.waited.observe(waited.as_secs_f64());
    event::write(&Record::Placed {
        id: &job.info.id,
        asked: job.fingerprint,
        server: server.id(),
        attempt,
        prompt: job.prompt().tokens,
        helpers: plan.helpers.len(),
        shares: plan.shares.len(),
        waited_ms: waited.as_millis() as u64,
        expected_ms: plan.first_event.as_millis() as u64,
        config: job.config,
        stopping_ms: node.stopping_ms(),
    });
}
