//! Generations: places a prompt, sends it, and starts to pass its stream on.

use crate::answer::Content;
use crate::attempt::{self, Job, Miss};
use crate::client::Exchange;
use crate::event::{self, Record};
use crate::forward;
use crate::node::{Held, InFlight, Node};
use crate::relay;
use crate::ticket::Tickets;
use crate::translate::{Helper, Prompt};
use alderglade_core::Name;
use alderglade_core::error::Kind as ErrorKind;
use alderglade_core::fleet::book::{Hold, Holding, Load, PauseClass};
use alderglade_core::fleet::config::Kind;
use alderglade_core::fleet::directory::Server;
use alderglade_core::fleet::health::Outcome;
use alderglade_core::fleet::life::{Life, Waiting};
use alderglade_core::fleet::pass::Figures;
use alderglade_core::fleet::placement::{self, Decision, Plan, Shared, Work};
use alderglade_core::request::Refusal;
use http::Response;
use std::rc::Rc;
use std::time::Duration;

/// When a caller should come back if its stream could not be started.
const COME_BACK: Duration = Duration::from_millis(300);
/// Sends that are tried for one request where servers disclaim it or can't be reached, at most.
const MOST_SENDS: u32 = 5;
/// How long a first event may be late, beside a multiple of the time expected, before a stream that
/// may be resumed is taken elsewhere; over the time that a dead server's work stands still.
const LATE: Duration = Duration::from_millis(2_000);
/// The multiple of the time expected.
const LATE_FACTOR: u32 = 3;

/// What a stride of an answer's tokens takes, at most, where engines are busy.
const STRIDE: Duration = Duration::from_millis(75);
/// A host that stops hands prompts that still wait back to their callers when it has less time left
/// than this, which is about what reading and answering a long prompt takes.
const STOP_PATIENCE: Duration = Duration::from_millis(5_000);

/// A stream that has begun at a server.
pub struct Open {
    /// The answer as it comes.
    pub exchange: Exchange,
    /// The server.
    pub server: Server,
    /// The placement in the book.
    pub held: Held,
    /// Memory that was set aside.
    pub tickets: Option<Tickets>,
    /// How long the stream may stay silent before it is taken elsewhere.
    pub silence: Duration,
}

/// What is kept over the tries of one generation.
pub struct Tries {
    /// Sends that reached a server, or may have.
    pub sends: u32,
    /// Sends of any kind.
    pub all: u32,
    /// Servers that have failed the request.
    pub avoid: Vec<Name>,
}

/// Serves a generation. `in_flight` goes with the stream.
pub async fn serve(node: &Rc<Node>, job: Job, in_flight: InFlight) -> Response<Content> {
    node.first_send(&job.service);
    let mut tries = Tries {
        sends: 0,
        all: 0,
        avoid: Vec::new(),
    };
    let last_event = job.ask.last_event.clone();
    match open(node, &job, &mut tries, last_event).await {
        Err(refusal) => forward::refuse(node, &job.ask.id, &refusal, job.arrived),
        Ok(opened) => relay::start(node, job, tries, opened, in_flight).await,
    }
}

/// Places and sends a generation until a server begins to answer it.
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
    loop {
        let plan = place(node, job, tries, &life).await?;
        if tries.all > 0 && !node.spend_repeat(&job.service) {
            return Err(life.refuse(ErrorKind::Overloaded, COME_BACK));
        }
        let Some(server) = node.server(&plan.first) else {
            tries.avoid.push(plan.first.clone());
            continue;
        };
        let hold = hold(job, &plan);
        let mut held = node.hold(hold);
        held.expect_parts(&plan.helpers);
        let tickets = match set_aside(node, job, &plan, tries).await {
            Ok(tickets) => tickets,
            Err(NoMemory) => {
                drop(held);
                tokio::time::sleep(NO_MEMORY_PAUSE).await;
                continue;
            }
        };
        let helpers = helpers(node, &plan, tickets.as_ref());
        tries.all += 1;
        tell_placed(job, &plan, tries.all, node);
        let sent = life.send();
        let silence = plan.first_event * LATE_FACTOR + LATE;
        let more = tries.sends + 1 < job.route.max_attempts && job.route.kind.repeatable();
        let patience = if more {
            silence.min(job.left())
        } else {
            job.left()
        };
        let send = attempt::send(node, job, &server, helpers, last_event.clone(), tries.all);
        let answer = tokio::time::timeout(patience, send).await;
        match answer {
            Ok(Ok((exchange, reply))) => {
                let status = exchange.head.status;
                if status.is_success() && reply.genuine {
                    tries.sends += 1;
                    return Ok(Open {
                        exchange,
                        server,
                        held,
                        tickets,
                        silence,
                    });
                }
                tries.sends += 1;
                node.note(&server.id, Outcome::Failed);
                attempt::tell(job, &server, tries.all, status.as_str());
                life = sent.lost();
            }
            Ok(Err(Miss::NotSent)) => life = sent.never_sent(),
            Ok(Err(Miss::Disclaimed(at_fault))) => {
                if let Some(other) = at_fault {
                    node.note(&other, Outcome::Silent);
                    tries.avoid.push(other);
                }
                life = sent.disclaimed();
            }
            Ok(Err(Miss::Lost)) => {
                tries.sends += 1;
                life = sent.lost();
            }
            Err(_) => {
                attempt::tell(job, &server, tries.all, "no answer in the time allowed");
                node.note(&server.id, Outcome::Silent);
                tries.sends += 1;
                life = sent.lost();
            }
        }
        tries.avoid.push(server.id.clone());
        give_up(job, tries, &life)?;
    }
}

/// How long a prompt waits after memory could not be set aside for it; a few events' time.
const NO_MEMORY_PAUSE: Duration = Duration::from_millis(120);

/// Memory could not be set aside.
struct NoMemory;

async fn set_aside(
    node: &Rc<Node>,
    job: &Job,
    plan: &Plan,
    tries: &Tries,
) -> Result<Option<Tickets>, NoMemory> {
    if plan.shares.is_empty() {
        return Ok(None);
    }
    let name = format!("{}-{}", job.ask.id, tries.all);
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
    let again = !life.may_have_run() || job.route.kind.repeatable();
    let sends_left = tries.sends < job.route.max_attempts && tries.all < MOST_SENDS;
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

/// Waits until the prompt should be sent.
async fn place(
    node: &Rc<Node>,
    job: &Job,
    tries: &Tries,
    life: &Life<Waiting>,
) -> Result<Plan, Refusal> {
    loop {
        if job.left().is_zero() {
            return Err(life.refuse(ErrorKind::ExpiredWaiting, COME_BACK));
        }
        let ends_in = node.ends_in();
        match decide(node, job, tries) {
            Decision::Send(plan)
                if ends_in.is_some_and(|left| answer_time(node, job, &plan) > left) =>
            {
                return Err(life.refuse(ErrorKind::Draining, COME_BACK));
            }
            Decision::Send(plan) => return Ok(plan),
            Decision::Wait(_) if ends_in.is_some_and(|left| left < STOP_PATIENCE) => {
                return Err(life.refuse(ErrorKind::Draining, COME_BACK));
            }
            Decision::Refuse(after) => return Err(life.refuse(ErrorKind::Overloaded, after)),
            Decision::Wait(pause) => tokio::time::sleep(pause).await,
        }
    }
}

/// Gives the longest that an answer is expected to take from now to its end.
fn answer_time(node: &Node, job: &Job, plan: &Plan) -> Duration {
    let stride = figures(node, job).map_or(1, |figures| u64::from(figures.stride.max(1)));
    let strides = prompt(job).most_out / stride + 1;
    plan.first_event + STRIDE * u32::try_from(strides).unwrap_or(u32::MAX)
}

/// Gives the timing of the engines that serve a job, if its service states it.
fn figures(node: &Node, job: &Job) -> Option<Figures> {
    let config = node.state.borrow().config.clone()?;
    config.service(&job.service)?.engine
}

fn decide(node: &Node, job: &Job, tries: &Tries) -> Decision {
    let Some(figures) = figures(node, job) else {
        return without_figures(node, job, tries);
    };
    let work = work(job, tries, figures.stride);
    let engines = node.engines(&job.service, figures);
    let shared = Shared {
        giants: node.state.borrow().book.giants(),
        pressure: node.pressure(placement::pressure(&engines)),
    };
    placement::choose(&work, &engines, &shared)
}

/// Places a stream of a service that states no figures for its engines: least own calls first.
fn without_figures(node: &Node, job: &Job, tries: &Tries) -> Decision {
    match node.pick(&job.service, &tries.avoid) {
        None => Decision::Refuse(COME_BACK),
        Some(server) => Decision::Send(Plan {
            first: server.id,
            helpers: Vec::new(),
            shares: Vec::new(),
            part: 0.0,
            first_event: job.route.aim,
            giant: false,
        }),
    }
}

fn work(job: &Job, tries: &Tries, stride: u32) -> Work {
    let prompt = prompt(job);
    let expected = prompt.expected_out.unwrap_or(prompt.most_out);
    let out = expected.max(u64::from(stride)).min(prompt.most_out.max(1));
    Work {
        prompt: prompt.tokens,
        memory: prompt.tokens + out,
        aim: job.route.aim,
        waited: job.waited(),
        left: job.left(),
        worth: placement::worth(prompt.tokens),
        pauses: pauses(job),
        avoid: tries.avoid.clone(),
    }
}

/// Gives what the caller says of the prompt; one that says nothing counts as an ordinary short one.
fn prompt(job: &Job) -> Prompt {
    job.ask.prompt.unwrap_or(Prompt {
        tokens: 5_000,
        most_out: 1_000,
        expected_out: None,
    })
}

fn pauses(job: &Job) -> PauseClass {
    match job.route.kind {
        Kind::Stream { longest_pause, .. } => PauseClass::of(longest_pause),
        Kind::Idempotent | Kind::NonIdempotent => PauseClass::Long,
    }
}

/// Gives what a plan takes at each engine.
fn hold(job: &Job, plan: &Plan) -> Hold {
    let prompt = prompt(job);
    let reading = (plan.part * 1_000.0) as i64;
    let expected = prompt.expected_out.unwrap_or(prompt.most_out);
    let shared: u64 = plan.shares.iter().map(|share| share.tokens).sum();
    let memory = (prompt.tokens + expected).saturating_sub(shared);
    let mut at_risk = [0; 3];
    at_risk[pauses(job) as usize] = (placement::worth(prompt.tokens) * 1_000.0) as i64;
    let own_share = share_at(plan, &plan.first);
    let load = Load {
        reading,
        memory: memory as i64 + own_share,
        running: 1,
        at_risk,
    };
    let others = plan
        .helpers
        .iter()
        .map(|part| &part.server)
        .chain(plan.shares.iter().map(|share| &share.server));
    let mut helpers: Vec<Holding> = Vec::new();
    for server in others {
        let known = helpers.iter().any(|holding| holding.server == *server);
        if known || *server == plan.first {
            continue;
        }
        helpers.push(Holding {
            server: server.clone(),
            load: Load {
                reading: if plan.helpers.iter().any(|part| part.server == *server) {
                    reading
                } else {
                    0
                },
                memory: share_at(plan, server),
                ..Load::default()
            },
        });
    }
    Hold {
        first: plan.first.clone(),
        load,
        helpers,
        giant: plan.giant,
    }
}

fn share_at(plan: &Plan, server: &Name) -> i64 {
    let share = plan.shares.iter().find(|share| share.server == *server);
    share.map_or(0, |share| share.tokens as i64)
}

/// Lists the servers that read a part or hold memory; the answering server's own ticket goes first.
fn helpers(node: &Node, plan: &Plan, tickets: Option<&Tickets>) -> Vec<Helper> {
    let taken = tickets.map(Tickets::taken).unwrap_or_default();
    let mut list: Vec<Helper> = taken
        .iter()
        .filter(|one| one.server == plan.first)
        .chain(taken.iter().filter(|one| one.server != plan.first))
        .map(|one| Helper {
            address: one.address,
            ticket: Some(one.name.clone()),
        })
        .collect();
    for part in &plan.helpers {
        if taken.iter().any(|one| one.server == part.server) {
            continue;
        }
        if let Some(server) = node.server(&part.server) {
            list.push(Helper {
                address: server.address,
                ticket: None,
            });
        }
    }
    list.truncate(placement::MOST_PARTS - 1);
    list
}

fn tell_placed(job: &Job, plan: &Plan, attempt: u32, node: &Node) {
    let waited = job.waited();
    node.metrics.waited.observe(waited.as_secs_f64());
    event::write(&Record::Placed {
        id: &job.ask.id,
        server: &plan.first,
        attempt,
        prompt: prompt(job).tokens,
        helpers: plan.helpers.len(),
        shares: plan.shares.len(),
        waited_ms: waited.as_millis() as u64,
        expected_ms: plan.first_event.as_millis() as u64,
        config: job.config,
    });
}
