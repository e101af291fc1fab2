//! Takes one request from a caller's connection: who it is for, what it may do, who serves it.

use crate::answer::{self, Content as Answer};
use crate::body;
use crate::clock;
use crate::event::{self, Record};
use crate::job::Job;
use crate::memory::Portion;
use crate::node::{InFlight, Node, Progress};
use crate::translate::RequestInfo;
use crate::{generate, unary};
use alderglade_core::Name;
use alderglade_core::error::Kind as ErrorKind;
use alderglade_core::fleet::config::{Access, Config, Kind, Route};
use alderglade_core::fleet::fingerprint::{Content, Fingerprint};
use alderglade_core::request::Refusal;
use alderglade_core::time::Time;
use bytes::{Bytes, BytesMut};
use http::request::Parts;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use rand::RngExt;
use std::rc::Rc;
use std::time::Duration;

/// When a caller should come back to a host that can't serve yet, is cut off or stops: about when the
/// balancer has noticed and sends it elsewhere.
const ELSEWHERE: Duration = Duration::from_millis(300);

/// How long a request waits at a host that has just started for its configuration and its first list of
/// servers. Where all hosts start at once, the store gives them to each within about 300 ms.
const START_PATIENCE: Duration = Duration::from_millis(500);

/// Answers one request.
pub async fn serve(node: Rc<Node>, request: Request<Incoming>) -> Response<Answer> {
    let (head, body) = request.into_parts();
    let in_flight = node.track_request();
    let arrived = in_flight.progress.arrived;
    let info = match read_head(&node, &head) {
        Ok(info) => info,
        Err(refusal) => return refuse(&node, "", &refusal, arrived),
    };
    let id = info.id.clone();
    in_flight.progress.set_id(&id);
    let mut guard = Guard {
        progress: in_flight.progress.clone(),
        done: false,
    };
    let result = tokio::select! {
        biased;
        result = let_in(&node, head, body, info, &in_flight) => result,
        // Its body has not come to its end.
        () = node.wait_for_request_end() => Err(Refusal::new(ErrorKind::Draining, ELSEWHERE)),
    };
    let mut response = match result {
        Err(refusal) => refuse(&node, &id, &refusal, arrived),
        Ok(job) => answer(&node, job, in_flight).await,
    };
    guard.done = true;
    if !node.ready() {
        end_connection(&mut response);
    }
    response
}

/// Has a request served. One that has no answer when the host is about to end gets one too: that nobody knows whether it
/// ran.
async fn answer(node: &Rc<Node>, job: Job, in_flight: InFlight) -> Response<Answer> {
    let (id, arrived) = (job.info.id.clone(), job.arrived());
    let served = async {
        match job.route.kind {
            Kind::Stream { .. } => generate::serve(node, job, in_flight).await,
            Kind::Idempotent | Kind::NonIdempotent => unary::serve(node, job).await,
        }
    };
    tokio::select! {
        biased;
        response = served => response,
        () = node.wait_for_request_end() => {
            let refusal = Refusal::new(ErrorKind::ContactLost, Duration::ZERO);
            refuse(node, &id, &refusal, arrived)
        }
    }
}

/// Has a caller's connection closed after an answer: a caller whose connection stays here would come back to a host
/// that is about to refuse it.
fn end_connection(response: &mut Response<Answer>) {
    let close = HeaderValue::from_static("close");
    let headers = response.headers_mut();
    headers.insert(http::header::CONNECTION, close);
}

/// Writes that a caller has left, where a request is dropped before it is done and not cut off by the end of the host.
struct Guard {
    /// The request.
    progress: Rc<Progress>,
    done: bool,
}

impl Drop for Guard {
    fn drop(&mut self) {
        if !self.done && !self.progress.is_cut_off() {
            let id = self.progress.id();
            event::write(&Record::CallerLeft { id: &id });
        }
    }
}

/// Writes down a refusal and makes its answer.
pub fn refuse(node: &Node, id: &str, refusal: &Refusal, arrived: Time) -> Response<Answer> {
    let row = refusal.kind.row();
    let now = clock::now();
    let age = node.state.borrow().freshness.age(now);
    node.metrics.answers.with_label_values(&[row.label]).inc();
    event::write(&Record::Refused {
        id,
        kind: row.label,
        number: row.event,
        ran: refusal.ran.label(),
        took_ms: now.since(arrived).as_millis() as u64,
        store_age_ms: age.map(|age| age.as_millis() as u64),
        stopping_ms: node.stopping_ms(),
    });
    answer::refusal(refusal)
}

/// Takes a request in: it may be served, its body has come, and its service is known.
async fn let_in(
    node: &Rc<Node>,
    head: Parts,
    body: Incoming,
    info: RequestInfo,
    in_flight: &InFlight,
) -> Result<Job, Refusal> {
    let config = node.wait_for_config(START_PATIENCE).await;
    let config = config.ok_or_else(|| Refusal::new(ErrorKind::NotReady, ELSEWHERE))?;
    let Admission { route, workspace } = admit(node, &config, &head, &info)?;
    let asked = info.time_limit.unwrap_or(route.time_limit);
    let progress = in_flight.progress.clone();
    let ends = progress.arrived + asked.min(route.time_limit);
    let mut kept = Portion::new(&node.memory);
    let body = read_body(body, config.limits.max_body_bytes, ends, &mut kept).await?;
    // The body may have come long after its head: the host may stop by now.
    if !node.accepts_requests() {
        return Err(Refusal::new(ErrorKind::Draining, ELSEWHERE));
    }
    let draw = rand::rng().random::<f64>();
    let service = route.target(draw).map(|target| target.service.clone());
    let service = service.ok_or_else(|| Refusal::new(ErrorKind::NoCapacity, ELSEWHERE))?;
    let asked = fingerprint(&head, workspace.as_deref(), &body);
    if let Some(left) = node.barred_for(asked) {
        return Err(Refusal::new(ErrorKind::Quarantined, left));
    }
    let homes = config.homes(&route, workspace.as_deref());
    Ok(Job {
        info,
        fingerprint: asked,
        method: head.method,
        target: head.uri,
        headers: head.headers,
        body,
        kept,
        route,
        service,
        workspace,
        homes,
        config: config.version,
        progress,
        ends,
    })
}

/// Gives the digest of what was asked.
fn fingerprint(head: &Parts, workspace: Option<&str>, body: &[u8]) -> Fingerprint {
    let target = head.uri.path_and_query();
    let content = Content {
        workspace,
        method: head.method.as_str(),
        host: host(head),
        target: target.map_or("", |target| target.as_str()),
        body,
    };
    content.fingerprint()
}

/// Gives the name of the host that a request is sent to.
fn host(head: &Parts) -> &str {
    let host = head.headers.get(http::header::HOST);
    host.and_then(|host| host.to_str().ok()).unwrap_or_default()
}

/// What a request may do.
struct Admission {
    /// The route that it takes.
    route: Route,
    /// The workspace that it is for; none on a public route.
    workspace: Option<Name>,
}

/// Finds the route and checks the key. A host whose word of the store is too old to trust keys
/// refuses what it would have to judge by them, and denies nothing.
fn admit(
    node: &Node,
    config: &Config,
    head: &Parts,
    info: &RequestInfo,
) -> Result<Admission, Refusal> {
    let trusted = node.trusts_keys();
    let cut_off = || Refusal::new(ErrorKind::PlatformUnavailable, ELSEWHERE);
    let Some(route) = config.route(host(head), head.uri.path()) else {
        return Err(if trusted {
            Refusal::new(ErrorKind::NotFound, Duration::ZERO)
        } else {
            cut_off()
        });
    };
    match config.access(route, info.key.as_deref()) {
        Access::Open => Ok(Admission {
            route: route.clone(),
            workspace: None,
        }),
        _ if !trusted => Err(cut_off()),
        Access::Workspace(name) => Ok(Admission {
            route: route.clone(),
            workspace: Some(name),
        }),
        Access::Denied => Err(Refusal::new(ErrorKind::Unauthorized, Duration::ZERO)),
    }
}

/// Gives what a request's head says.
fn read_head(node: &Node, head: &Parts) -> Result<RequestInfo, Refusal> {
    node.translator.ask(&head.headers).map_err(|problem| {
        log::debug!("a head can't be read: {problem}");
        Refusal::new(ErrorKind::BadRequest, Duration::ZERO)
    })
}

/// Takes a whole body, within its bound, its time and the host's memory.
async fn read_body(
    body: Incoming,
    most: usize,
    ends: Time,
    kept: &mut Portion,
) -> Result<Bytes, Refusal> {
    match clock::timeout_at(ends, collect_body(body, most, kept)).await {
        Ok(collected) => collected,
        Err(_) => Err(Refusal::new(ErrorKind::ExpiredWaiting, ELSEWHERE)),
    }
}

async fn collect_body(
    mut body: Incoming,
    most: usize,
    kept: &mut Portion,
) -> Result<Bytes, Refusal> {
    let mut collected = BytesMut::new();
    let broke_off = |error| {
        log::debug!("a body broke off: {error}");
        Refusal::new(ErrorKind::BadRequest, Duration::ZERO)
    };
    while let Some(data) = body::next(&mut body).await.map_err(broke_off)? {
        if collected.len() + data.len() > most {
            return Err(Refusal::new(ErrorKind::TooLarge, Duration::ZERO));
        }
        if !kept.grow(data.len()) {
            return Err(Refusal::new(ErrorKind::HostBusy, ELSEWHERE));
        }
        collected.extend_from_slice(&data);
    }
    Ok(collected.freeze())
}
