//! Handles one request from a caller's connection: admits it, determines its route and has it served.

use crate::answer::{self, Content as Answer};
use crate::body;
use crate::clock;
use crate::event::{self, Record, Requester};
use crate::job::Job;
use crate::memory::Portion;
use crate::node::{Node, Progress, RequestGuard};
use crate::translate::RequestInfo;
use crate::{generate, unary};
use alderglade_core::Name;
use alderglade_core::error::Kind as ErrorKind;
use alderglade_core::fleet::config::{Access, Config, Kind, Route};
use alderglade_core::fleet::fingerprint::{Content, Fingerprint};
use alderglade_core::fleet::quarantine::Identity;
use alderglade_core::request::Refusal;
use alderglade_core::time::Time;
use bytes::{Bytes, BytesMut};
use http::request::Parts;
use http::{HeaderValue, Response};
use hyper::body::Incoming;
use rand::RngExt;
use std::rc::Rc;
use std::time::Duration;

/// Retry delay for callers of a host that cannot serve yet, is disconnected from the store or is stopping: about the
/// time in which the balancer notices and routes them to another host.
const RETRY_ELSEWHERE_DELAY: Duration = Duration::from_millis(300);

/// How long a request waits at a host that has just started for its configuration and its first list of servers. When
/// all hosts start at once, the store delivers them to each host within about 300 ms.
const STARTUP_TIMEOUT: Duration = Duration::from_millis(500);

/// Answers one request.
pub async fn serve(node: Rc<Node>, head: Parts, body: Incoming) -> Response<Answer> {
    let in_flight = node.track_request();
    let arrived = in_flight.progress.arrived;
    let info = match read_head(&node, &head) {
        Ok(info) => info,
        Err(refusal) => return refuse(&node, &Subject::unadmitted("", arrived), &refusal),
    };
    let id = info.id.clone();
    in_flight.progress.set_id(&id);
    let mut guard = CallerLeftGuard {
        progress: in_flight.progress.clone(),
        done: false,
    };
    let result = tokio::select! {
        biased;
        result = admit_request(&node, head, body, info, &in_flight) => result,
        // The body is still incomplete.
        () = node.wait_for_request_end() => {
            Err(Refusal::new(ErrorKind::Draining, RETRY_ELSEWHERE_DELAY))
        }
    };
    let mut response = match result {
        Err(refusal) => refuse(&node, &Subject::unadmitted(&id, arrived), &refusal),
        Ok(job) => answer(&node, job, in_flight).await,
    };
    guard.done = true;
    if !node.is_ready() {
        end_connection(&mut response);
    }
    response
}

/// Serves an admitted request. If the host is about to stop before there is a response, the caller is informed that
/// it is unknown whether the request ran.
async fn answer(node: &Rc<Node>, job: Box<Job>, in_flight: RequestGuard) -> Response<Answer> {
    let id = job.info.id.clone();
    let subject = Subject {
        id: &id,
        ..Subject::from(&*job)
    };
    let tokens = subject.prompt.unwrap_or(0);
    node.metrics
        .by_requester
        .observe(&subject.requester, tokens);
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
            refuse(node, &subject, &refusal)
        }
    }
}

/// Closes the caller's connection after the response. A caller that kept its connection would return to a host that
/// is about to refuse it.
fn end_connection(response: &mut Response<Answer>) {
    let close = HeaderValue::from_static("close");
    let headers = response.headers_mut();
    headers.insert(http::header::CONNECTION, close);
}

/// Logs that a caller left if a request is dropped before it is done, unless the stop of the host cut it off.
struct CallerLeftGuard {
    progress: Rc<Progress>,
    done: bool,
}

impl Drop for CallerLeftGuard {
    fn drop(&mut self) {
        if !self.done && !self.progress.is_cut_off() {
            let id = self.progress.id();
            event::write(&Record::CallerLeft { id: &id });
        }
    }
}

/// The request that a refusal concerns.
pub struct Subject<'a> {
    id: &'a str,
    requester: Requester,
    /// Its fingerprint, if it was admitted.
    asked: Option<Fingerprint>,
    /// The length of its prompt in tokens, if it was admitted and has one.
    prompt: Option<u64>,
    arrived: Time,
}

impl<'a> Subject<'a> {
    /// Returns a request that was not admitted; `id` is empty if it is not known.
    fn unadmitted(id: &'a str, arrived: Time) -> Subject<'a> {
        Subject {
            id,
            requester: Requester::default(),
            asked: None,
            prompt: None,
            arrived,
        }
    }
}

impl<'a> From<&'a Job> for Subject<'a> {
    fn from(job: &'a Job) -> Subject<'a> {
        Subject {
            id: &job.info.id,
            requester: job.into(),
            asked: Some(job.identity.fingerprint),
            prompt: job.info.prompt.map(|prompt| prompt.tokens),
            arrived: job.arrived(),
        }
    }
}

/// Logs a refusal and builds its response.
pub fn refuse(node: &Node, subject: &Subject<'_>, refusal: &Refusal) -> Response<Answer> {
    let row = refusal.kind.row();
    let now = clock::now();
    let store_age = node.state.borrow().freshness.age(now);
    node.metrics.answers.with_label_values(&[row.label]).inc();
    node.metrics.by_requester.count_refused(&subject.requester);
    event::write(&Record::Refused {
        id: subject.id,
        kind: row.label,
        number: row.event,
        ran: refusal.ran.label(),
        took_ms: now.since(subject.arrived).as_millis() as u64,
        store_age_ms: store_age.map(|age| age.as_millis() as u64),
        stopping_ms: node.stopping_ms(),
        requester: &subject.requester,
        reason: refusal.reason,
        asked: subject.asked.map(|asked| asked.to_string()),
        prompt: subject.prompt,
    });
    answer::refusal(refusal)
}

/// Logs the refusal of an admitted request and builds its response.
pub fn refuse_job(node: &Node, job: &Job, refusal: &Refusal) -> Response<Answer> {
    refuse(node, &job.into(), refusal)
}

/// Admits a request: checks that it may be served, reads its body and determines its service.
async fn admit_request(
    node: &Rc<Node>,
    head: Parts,
    body: Incoming,
    info: RequestInfo,
    in_flight: &RequestGuard,
) -> Result<Box<Job>, Refusal> {
    let config = node.wait_for_config(STARTUP_TIMEOUT).await;
    let config = config.ok_or_else(|| Refusal::new(ErrorKind::NotReady, RETRY_ELSEWHERE_DELAY))?;
    let ranks = node.state.borrow().ranks.clone();
    let Admission { route, workspace } = check_access(node, &config, &head, &info)?;
    let time_limit = info.time_limit.unwrap_or(route.time_limit);
    let progress = in_flight.progress.clone();
    let deadline = progress.arrived + time_limit.min(route.time_limit);
    let mut memory = Portion::new(&node.memory);
    let body = read_body(body, config.limits.max_body_bytes, deadline, &mut memory).await?;
    // The body may arrive long after the head; the host may have begun to stop in the meantime.
    if !node.accepts_requests() {
        return Err(Refusal::new(ErrorKind::Draining, RETRY_ELSEWHERE_DELAY));
    }
    let random = rand::rng().random::<f64>();
    let service = route.target(random).map(|target| target.service.clone());
    let service =
        service.ok_or_else(|| Refusal::new(ErrorKind::NoCapacity, RETRY_ELSEWHERE_DELAY))?;
    let identity = Identity {
        fingerprint: fingerprint(&head, workspace.as_deref(), &body),
        parts: info.parts.clone(),
    };
    node.check_bars(&identity, |left| Refusal::new(ErrorKind::Quarantined, left))?;
    let homes = config.homes(&route, workspace.as_deref());
    let rank = ranks.rank(&service, route.priority, workspace.as_deref());
    Ok(Box::new(Job {
        info,
        identity,
        method: head.method,
        target: head.uri,
        headers: head.headers,
        body,
        memory,
        route,
        service,
        workspace,
        rank,
        homes,
        config: config.version,
        progress,
        deadline,
    }))
}

/// Returns the request's fingerprint.
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

/// Returns the `Host` header of a request, or an empty string.
fn host(head: &Parts) -> &str {
    let host = head.headers.get(http::header::HOST);
    host.and_then(|host| host.to_str().ok()).unwrap_or_default()
}

/// The result of the access check.
struct Admission {
    /// The route that the request takes.
    route: Route,
    /// The workspace that the request is for; `None` on a public route.
    workspace: Option<Name>,
}

/// Finds the route and checks the key. A host whose store data is too old to trust keys answers
/// `platform_unavailable` wherever the result would depend on that data, and denies nothing.
fn check_access(
    node: &Node,
    config: &Config,
    head: &Parts,
    info: &RequestInfo,
) -> Result<Admission, Refusal> {
    let trusted = node.trusts_keys();
    let store_disconnected = || Refusal::new(ErrorKind::PlatformUnavailable, RETRY_ELSEWHERE_DELAY);
    let Some(route) = config.route(host(head), head.uri.path()) else {
        return Err(if trusted {
            Refusal::new(ErrorKind::NotFound, Duration::ZERO)
        } else {
            store_disconnected()
        });
    };
    match config.access(route, info.key.as_deref()) {
        Access::Open => Ok(Admission {
            route: route.clone(),
            workspace: None,
        }),
        _ if !trusted => Err(store_disconnected()),
        Access::Workspace(name) => Ok(Admission {
            route: route.clone(),
            workspace: Some(name),
        }),
        Access::Denied => Err(Refusal::new(ErrorKind::Unauthorized, Duration::ZERO)),
    }
}

/// Parses a request's head.
fn read_head(node: &Node, head: &Parts) -> Result<RequestInfo, Refusal> {
    node.translator.ask(&head.headers).map_err(|problem| {
        log::debug!("malformed request head: {problem}");
        Refusal::new(ErrorKind::BadRequest, Duration::ZERO)
    })
}

/// Reads a whole body within its size limit, its deadline and the host's memory.
pub(crate) async fn read_body(
    body: Incoming,
    max_bytes: usize,
    deadline: Time,
    memory: &mut Portion,
) -> Result<Bytes, Refusal> {
    match clock::timeout_at(deadline, collect_body(body, max_bytes, memory)).await {
        Ok(collected) => collected,
        Err(_) => Err(Refusal::new(
            ErrorKind::ExpiredWaiting,
            RETRY_ELSEWHERE_DELAY,
        )),
    }
}

async fn collect_body(
    mut body: Incoming,
    max_bytes: usize,
    memory: &mut Portion,
) -> Result<Bytes, Refusal> {
    let mut collected = BytesMut::new();
    let broke_off = |error| {
        log::debug!("request body broke off: {error}");
        Refusal::new(ErrorKind::BadRequest, Duration::ZERO)
    };
    while let Some(data) = body::next(&mut body).await.map_err(broke_off)? {
        if collected.len() + data.len() > max_bytes {
            return Err(Refusal::new(ErrorKind::TooLarge, Duration::ZERO));
        }
        if !memory.grow(data.len()) {
            return Err(Refusal::new(ErrorKind::HostBusy, RETRY_ELSEWHERE_DELAY));
        }
        collected.extend_from_slice(&data);
    }
    Ok(collected.freeze())
}
