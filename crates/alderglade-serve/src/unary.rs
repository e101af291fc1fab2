//! Requests that are answered at once by plain backend servers.

use crate::answer::{Chunk, Content};
use crate::attempt::{self, Miss};
use crate::body_sender::{BodySender, CallerGone};
use crate::client::{Collected, Exchange, Rest};
use crate::clock;
use crate::event::{self, Record};
use crate::forward;
use crate::job::Job;
use crate::memory::Portion;
use crate::node::{Node, Permit, Stage, Unavailability};
use crate::translate::Reply;
use alderglade_core::Name;
use alderglade_core::error::Kind as ErrorKind;
use alderglade_core::fleet::directory::Server;
use alderglade_core::fleet::health::Outcome;
use alderglade_core::fleet::incarnation::Key;
use alderglade_core::fleet::life::{Life, Waiting};
use alderglade_core::request::Refusal;
use alderglade_core::time::Time;
use http::{Response, StatusCode};
use std::rc::Rc;
use std::time::Duration;

/// When a caller should come back if no server took its request.
const COME_BACK: Duration = Duration::from_millis(250);
/// Servers that are tried for one request at most, those counted to which nothing could be sent.
const MOST_CONNECTS: usize = 4;
/// The part of its time that a repeatable request gives one server while others are left.
const FIRST_TRY: f64 = 0.4;

/// A server, and the leave to send it the request.
struct Choice {
    server: Server,
    permit: Permit,
}

/// A server's answer: all of it, or as much as the host has memory for.
struct Taken {
    first: Chunk,
    /// What is still to come.
    rest: Option<Rest>,
}

impl Taken {
    /// Gives the body of the caller's answer. What is still to come is passed on as the caller takes it.
    fn content(self, node: &Rc<Node>, job: &Job) -> Content {
        let Some(rest) = self.rest else {
            return Content::Whole(Some(self.first));
        };
        let (body_sender, receiver) = BodySender::open(&node.memory);
        body_sender.begin(self.first);
        let flow = Flow {
            node: node.clone(),
            id: job.info.id.clone(),
            ends: job.ends,
            body_sender,
            rest,
        };
        tokio::task::spawn_local(flow.run());
        Content::Stream(receiver)
    }
}

/// What is told of an answer whose caller has left.
const LEFT: &str = "the caller has left";

/// The rest of an answer that is too large to be taken as a whole, on its way to its caller.
struct Flow {
    node: Rc<Node>,
    id: Name,
    ends: Time,
    body_sender: BodySender,
    rest: Rest,
}

impl Flow {
    async fn run(mut self) {
        let node = self.node.clone();
        let ends = self.ends;
        let passed_on = tokio::select! {
            biased;
            passed_on = self.pass_on() => passed_on,
            () = node.wait_for_request_end() => Err("the host stops".to_string()),
            () = clock::sleep_until(ends) => Err("the time is over".to_string()),
        };
        match passed_on {
            Ok(()) => self.rest.connection.recycle(),
            Err(problem) => {
                log::info!("the answer to {} was broken off: {problem}", self.id);
                self.body_sender.break_off();
            }
        }
    }

    async fn pass_on(&mut self) -> Result<(), String> {
        loop {
            self.body_sender.room().await;
            let data = tokio::select! {
                biased;
                data = self.rest.next() => data.map_err(|error| error.to_string())?,
                () = self.body_sender.closed() => return Err(LEFT.to_string()),
            };
            let Some(data) = data else {
                return Ok(());
            };
            let sent = self.body_sender.hand_on(data).await;
            sent.map_err(|CallerGone| LEFT.to_string())?;
        }
    }
}

/// How one try ended.
enum Try {
    /// The server's answer is there as a whole.
    Whole(Response<Taken>),
    /// Nothing was sent; it doesn't count as an attempt.
    NotSent(Life<Waiting>),
    /// It was sent, and there is no answer that counts.
    Missed(Life<Waiting>),
    /// The server is silent, and this other one can take the request.
    Replaced(Life<Waiting>, Choice),
    /// The request's time is over.
    Expired(Life<Waiting>),
}

/// Serves a request whose answer is taken as a whole.
pub async fn serve(node: &Rc<Node>, job: Job) -> Response<Content> {
    let result = run(node, &job).await;
    match result {
        Ok(response) => finish(node, &job, response),
        Err(refusal) => forward::refuse(node, &job.info.id, &refusal, job.arrived()),
    }
}

/// Gives a server's answer. Where it is a failure that was worth another try, and none of these came
/// to an answer, the caller gets that failure.
async fn run(node: &Rc<Node>, job: &Job) -> Result<Response<Taken>, Refusal> {
    let mut failed = None;
    node.record_first_send(&job.service);
    let result = try_servers(node, job, &mut failed).await;
    result.or_else(|refusal| failed.ok_or(refusal))
}

/// Tries one server after the other. Leaves the last failure that was worth another try in `failed`.
async fn try_servers(
    node: &Rc<Node>,
    job: &Job,
    failed: &mut Option<Response<Taken>>,
) -> Result<Response<Taken>, Refusal> {
    let mut life = Life::new();
    let mut tried: Vec<Key> = Vec::new();
    let mut sends = 0;
    let mut found = None;
    loop {
        let choice = match found.take() {
            Some(choice) => choice,
            None => next_server(node, job, &life, &tried, sends).await?,
        };
        job.cleared(node, &life).await?;
        tried.push(choice.server.key());
        sends += 1;
        let more = sends < job.route.max_attempts;
        match one_try(node, job, choice, life, &tried, sends).await {
            Try::Whole(response) if more && worth_retrying(job, &response) => {
                life = Life::new().send().lost();
                *failed = Some(response);
            }
            Try::Whole(response) => return Ok(response),
            Try::NotSent(waiting) => {
                life = waiting;
                sends -= 1;
                if sends > 0 {
                    node.refund_retry(&job.service);
                }
            }
            Try::Missed(waiting) if waiting.may_have_run() && !job.route.kind.is_repeatable() => {
                return Err(waiting.refuse(ErrorKind::ContactLost, COME_BACK));
            }
            Try::Missed(waiting) => life = waiting,
            Try::Replaced(waiting, other) => {
                life = waiting;
                found = Some(other);
            }
            Try::Expired(waiting) => {
                return Err(waiting.refuse(ErrorKind::ExpiredWaiting, COME_BACK));
            }
        }
    }
}

/// Picks the server of the next try, or refuses where there is none or no try is left.
async fn next_server(
    node: &Node,
    job: &Job,
    life: &Life<Waiting>,
    tried: &[Key],
    sends: u32,
) -> Result<Choice, Refusal> {
    if !life.may_have_run() && !node.accepts_requests() {
        return Err(life.refuse(ErrorKind::Draining, COME_BACK));
    }
    let Some(choice) = permitted(node, job, tried).await else {
        return Err(no_server(node, job, life));
    };
    let used_up = sends >= job.route.max_attempts.max(1) || tried.len() >= MOST_CONNECTS;
    if used_up || (sends > 0 && !node.spend_retry(&job.info.id, &job.service).await) {
        return Err(life.refuse(ErrorKind::Overloaded, COME_BACK));
    }
    Ok(choice)
}

/// Picks a server that takes the request now, if there is one.
async fn permitted(node: &Node, job: &Job, tried: &[Key]) -> Option<Choice> {
    while !job.left().is_zero() {
        let server = node.pick_server(&job.service, &job.homes, tried)?;
        // One that takes nothing now isn't picked the next time.
        if let Ok(permit) = node.permit(server.key()).await {
            return Some(Choice { server, permit });
        }
    }
    None
}

/// Refuses a request that no server takes now. Where that is for a while only, its caller hears for how long.
fn no_server(node: &Node, job: &Job, life: &Life<Waiting>) -> Refusal {
    match node.unavailability(&job.service, &job.homes) {
        Some(Unavailability { kind, after }) => life.refuse(kind, after),
        None => life.refuse(ErrorKind::NoCapacity, COME_BACK),
    }
}

/// Sends a request to one server and waits for its whole answer. A server that is silent for its part of the time is left
/// where another one can take the request; else it has all of the time. `sends` counts this send.
async fn one_try(
    node: &Rc<Node>,
    job: &Job,
    choice: Choice,
    life: Life<Waiting>,
    tried: &[Key],
    sends: u32,
) -> Try {
    let Choice { server, permit } = choice;
    let server = &server;
    let _call = node.track_call(server.key());
    tell_placed(node, job, server, sends);
    job.progress.set_stage(Stage::Sent(server.id().clone()));
    let more = sends < job.route.max_attempts && job.route.kind.is_repeatable();
    let sent = life.send();
    let exchange = attempt::send(node, job, server, permit, Vec::new(), None, sends);
    let whole = async {
        let (exchange, reply) = exchange.await?;
        collect(node, job, server, sends, exchange, &reply).await
    };
    tokio::select! {
        // An answer that is there goes before any sign that there was none.
        biased;
        answer = whole => match answer {
            Ok(response) => Try::Whole(response),
            Err(Miss::NotSent | Miss::Closed) => Try::NotSent(sent.never_sent()),
            Err(Miss::Disclaimed(_)) => Try::Missed(sent.disclaimed()),
            Err(Miss::Lost) => Try::Missed(sent.lost()),
        },
        other = find_other(node, job, server, tried, sends), if more => {
            Try::Replaced(sent.lost(), other)
        }
        () = attempt::over(node, job, server, sends) => Try::Missed(sent.lost()),
        () = clock::patience(job.left()) => {
            attempt::note_silent(node, job, server, sends, attempt::NO_ANSWER);
            Try::Expired(sent.lost())
        }
    }
}

/// Finds another server for a request whose server has been silent for its part of the time; waits on where there is
/// none, or where the host ends before that one would have had its time.
async fn find_other(node: &Node, job: &Job, silent: &Server, tried: &[Key], sends: u32) -> Choice {
    clock::patience(job.left().mul_f64(FIRST_TRY)).await;
    attempt::note_silent(node, job, silent, sends, attempt::NO_ANSWER);
    loop {
        let other = node.pick_server(&job.service, &job.homes, tried);
        let other = other.filter(|server| !tried.contains(&server.key()));
        let cut_short = node.ends_in().is_some_and(|left| left < job.left());
        let room = tried.len() < MOST_CONNECTS && !cut_short;
        if let Some(server) = other.filter(|_| room)
            && let Ok(permit) = node.permit(server.key()).await
            && node.spend_retry(&job.info.id, &job.service).await
        {
            return Choice { server, permit };
        }
        clock::sleep(attempt::LOOK_AGAIN).await;
    }
}

fn tell_placed(node: &Node, job: &Job, server: &Server, attempt: u32) {
    event::write(&Record::Placed {
        id: &job.info.id,
        asked: job.fingerprint,
        server: server.id(),
        attempt,
        prompt: 0,
        helpers: 0,
        shares: 0,
        waited_ms: job.waited().as_millis() as u64,
        expected_ms: job.route.objective.as_millis() as u64,
        config: job.config,
        stopping_ms: node.stopping_ms(),
    });
}

/// Reads the whole answer and judges whether it can be passed on.
async fn collect(
    node: &Rc<Node>,
    job: &Job,
    server: &Server,
    number: u32,
    exchange: Exchange,
    reply: &Reply,
) -> Result<Response<Taken>, Miss> {
    let genuine = reply.genuine;
    let mut kept = Portion::new(&node.memory);
    let collected = exchange.collect_while(|bytes| kept.grow(bytes)).await;
    let (response, rest) = match collected {
        Ok(Collected::Whole(response)) => (response, None),
        Ok(Collected::Partly(response, rest)) => (response, Some(rest)),
        Err(error) => {
            attempt::tell(job, server, number, &error.to_string());
            node.record_outcome(server.key(), Outcome::Failed);
            attempt::broken_off(node, job, server, None).await;
            return Err(Miss::Lost);
        }
    };
    let status = response.status();
    // A refusal without the server's word that it did not run promises nothing, whatever its status.
    let promises = matches!(status.as_u16(), 408 | 421 | 429 | 503);
    if promises || (status.is_success() && !genuine) {
        attempt::tell(job, server, number, "the answer can't be trusted");
        node.record_outcome(server.key(), Outcome::Failed);
        return Err(Miss::Lost);
    }
    let failed = status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT;
    let outcome = if failed {
        Outcome::Failed
    } else {
        Outcome::Sound
    };
    node.record_outcome(server.key(), outcome);
    if outcome == Outcome::Sound {
        node.record_success(job.fingerprint);
    }
    Ok(response.map(|body| Taken {
        first: Chunk::new(body, kept),
        rest,
    }))
}

/// Says whether a server's failure may be tried again elsewhere.
fn worth_retrying(job: &Job, response: &Response<Taken>) -> bool {
    job.route.kind.is_repeatable() && response.status().is_server_error()
}

/// Writes down how an answer went and makes what the caller gets.
fn finish(node: &Rc<Node>, job: &Job, response: Response<Taken>) -> Response<Content> {
    tell_answered(node, job, response.status());
    let (head, taken) = response.into_parts();
    let mut answer = Response::new(taken.content(node, job));
    *answer.status_mut() = head.status;
    *answer.headers_mut() = node.translator.give_back(&head.headers);
    answer
}

fn tell_answered(node: &Node, job: &Job, status: StatusCode) {
    let took = clock::now().since(job.arrived());
    let in_time = took <= job.route.objective && status.is_success();
    let met = if in_time { "yes" } else { "no" };
    node.metrics.aims.with_label_values(&[met]).inc();
    node.metrics.first.observe(took.as_secs_f64());
    let class = if status.is_success() {
        "served"
    } else {
        "server_failed"
    };
    node.metrics.answers.with_label_values(&[class]).inc();
    event::write(&Record::Answered {
        id: &job.info.id,
        status: status.as_u16(),
        took_ms: took.as_millis() as u64,
        first_ms: took.as_millis() as u64,
        longest_pause_ms: 0,
        aim_ms: job.route.objective.as_millis() as u64,
        pause_aim_ms: None,
    });
}
