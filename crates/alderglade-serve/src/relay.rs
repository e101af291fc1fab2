//! Passes a stream on, event by event, and takes it up elsewhere when its server fails.

mod end;

use crate::answer::{BrokenOff, Content};
use crate::attempt;
use crate::clock;
use crate::generate::{self, Open, Tries};
use crate::job::Job;
use crate::node::{Held, InFlight, Node, Stage};
use crate::slowdown::{self, Reading};
use alderglade_core::fleet::caller;
use alderglade_core::fleet::config::Kind;
use alderglade_core::fleet::directory::Server;
use alderglade_core::fleet::health::Outcome;
use alderglade_core::fleet::slowdown::Suspicion;
use alderglade_core::fleet::sse::Splitter;
use alderglade_core::request::Refusal;
use alderglade_core::time::Time;
use bytes::Bytes;
use end::End;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Pieces that wait for a slow caller before the server is slowed down.
const PIECES: usize = 8;
/// How long a stream that runs may stay silent before it is taken elsewhere, where its caller waits for much longer:
/// a dead server's work stands still for one and a half seconds.
const SILENCE: Duration = Duration::from_millis(1_900);

/// A stream on its way to its caller.
struct Relay {
    node: Rc<Node>,
    job: Job,
    tries: Tries,
    pieces: mpsc::Sender<Result<Bytes, BrokenOff>>,
    /// The id of the last event that was passed on.
    last_event: Option<String>,
    /// When the first event left.
    first_at: Option<Time>,
    /// When the last event left.
    last_at: Option<Time>,
    longest_pause: Duration,
    _in_flight: InFlight,
}

/// What one server sends of a stream.
struct Part {
    server: Server,
    body: Incoming,
    splitter: Splitter,
    /// The placement in the book.
    held: Held,
    /// Who reads the prompt.
    reading: Reading,
    /// Whether the prompt has been read: the first event has come.
    read: bool,
    /// How long the server may stay silent.
    silence: Duration,
    /// What its pauses say of the server.
    suspicion: Suspicion,
}

/// Starts passing a stream on and gives the head of the answer.
pub fn start(
    node: &Rc<Node>,
    job: Job,
    tries: Tries,
    open: Open,
    in_flight: InFlight,
) -> Response<Content> {
    let (pieces, receiver) = mpsc::channel(PIECES);
    let mut response = Response::new(Content::Stream(receiver));
    *response.status_mut() = open.exchange.head.status;
    *response.headers_mut() = node.translator.give_back(&open.exchange.head.headers);
    response.headers_mut().remove(http::header::CONTENT_LENGTH);
    let relay = Relay {
        node: node.clone(),
        last_event: job.ask.last_event.clone(),
        job,
        tries,
        pieces,
        first_at: None,
        last_at: None,
        longest_pause: Duration::ZERO,
        _in_flight: in_flight,
    };
    tokio::task::spawn_local(relay.run(open));
    response
}

impl Relay {
    /// Passes the stream on until it ends, taking it up elsewhere where a server fails and the route
    /// allows it.
    async fn run(mut self, mut open: Open) {
        loop {
            let server = open.server.clone();
            let problem = match self.pass_on(open).await {
                End::Whole => {
                    self.node.note(&server.id, Outcome::Sound);
                    return self.tell_answered();
                }
                End::CallerLeft => return self.tell_caller_left(),
                End::Expired => return self.break_off("the time is over").await,
                End::Failed(problem) => problem,
            };
            attempt::tell(&self.job, &server, self.tries.all, &problem);
            self.node.note(&server.id, Outcome::Failed);
            self.tries.avoid.push(server.id.clone());
            if !self.may_resume() {
                return self.break_off(&problem).await;
            }
            open = match self.reopen().await {
                Some(Ok(next)) => next,
                Some(Err(refusal)) => return self.break_off(refusal.kind.label()).await,
                None => return self.tell_caller_left(),
            };
        }
    }

    /// Has another server go on after the last event; gives `None` where the caller leaves meanwhile.
    async fn reopen(&mut self) -> Option<Result<Open, Refusal>> {
        let last_event = self.last_event.clone();
        let reopen = generate::open(&self.node, &self.job, &mut self.tries, last_event);
        tokio::select! {
            reopened = reopen => Some(reopened),
            () = self.pieces.closed() => None,
        }
    }

    fn may_resume(&self) -> bool {
        let resumable = matches!(
            self.job.route.kind,
            Kind::Stream {
                resumable: true,
                ..
            }
        );
        resumable && self.tries.sends < self.job.route.max_attempts
    }

    /// Passes on what one server sends.
    async fn pass_on(&mut self, open: Open) -> End {
        let Open {
            exchange,
            server,
            held,
            tickets: _tickets,
            reading,
            silence,
        } = open;
        let stage = Stage::PassesOn(server.id.clone());
        self.job.progress.turn(stage);
        let mut part = Part {
            server,
            body: exchange.body,
            splitter: Splitter::default(),
            held,
            reading,
            read: false,
            silence,
            suspicion: Suspicion::default(),
        };
        if let Err(end) = self.pass_on_events(&mut part).await {
            return end;
        }
        exchange.connection.recycle();
        End::Whole
    }

    /// Passes on each event as it becomes whole, and what follows the last one.
    async fn pass_on_events(&mut self, part: &mut Part) -> Result<(), End> {
        while let Some(data) = self.next(part).await? {
            let ready = self.take_events(&mut part.splitter, &data);
            if ready.is_empty() {
                continue;
            }
            self.note_events(part);
            self.hand_on(ready).await?;
        }
        let rest = part.splitter.rest().to_vec();
        if rest.is_empty() {
            return Ok(());
        }
        self.hand_on(rest).await
    }

    /// Gives bytes to the caller.
    async fn hand_on(&self, bytes: Vec<u8>) -> Result<(), End> {
        let sent = self.pieces.send(Ok(bytes.into())).await;
        sent.map_err(|_| End::CallerLeft)
    }

    /// Waits for the next bytes of a server; gives `None` after the last ones. Silence ends the
    /// server's part only where the stream may be resumed elsewhere.
    async fn next(&self, part: &mut Part) -> Result<Option<Bytes>, End> {
        let ends = clock::instant(self.job.ends);
        let may_resume = self.may_resume();
        loop {
            let frame = tokio::select! {
                frame = tokio::time::timeout(part.silence, part.body.frame()) => frame,
                () = self.pieces.closed() => return Err(End::CallerLeft),
                () = tokio::time::sleep_until(ends) => return Err(End::Expired),
            };
            let frame = match frame {
                Err(_) if may_resume => return Err(End::Failed("silence".to_string())),
                Err(_) => continue,
                Ok(None) => return Ok(None),
                Ok(Some(Err(error))) => return Err(End::Failed(error.to_string())),
                Ok(Some(Ok(frame))) => frame,
            };
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
    }

    /// Gives the events that these bytes make whole, and keeps the id of the last one for a server that
    /// may have to go on after it.
    fn take_events(&mut self, splitter: &mut Splitter, data: &Bytes) -> Vec<u8> {
        let mut ready = Vec::new();
        for event in splitter.push(data) {
            if event.id.is_some() {
                self.last_event = event.id;
            }
            ready.extend_from_slice(&event.bytes);
        }
        ready
    }

    /// Notes that events of a server leave: the first ones show that the prompt has been read, later ones how long
    /// the server pauses.
    fn note_events(&mut self, part: &mut Part) {
        if let Some(pause) = self.note_pause() {
            self.suspect(part, pause);
        }
        if !part.read {
            part.read = true;
            part.silence = SILENCE.min(caller::silence(self.job.patience()));
            part.held.read();
            part.reading.end(&self.node);
        }
    }

    /// Notes when events leave, for what is told of the stream at its end. Gives the pause before these, where they
    /// aren't the first.
    fn note_pause(&mut self) -> Option<Duration> {
        let now = clock::now();
        self.first_at.get_or_insert(now);
        let last = self.last_at.replace(now)?;
        let pause = now.since(last);
        self.longest_pause = self.longest_pause.max(pause);
        Some(pause)
    }

    /// Has the engine looked at where its pauses are those of a slow one.
    fn suspect(&self, part: &mut Part, pause: Duration) {
        let id = &part.server.id;
        let Some(idle_pass) = self.node.state.borrow().book.idle_pass(id) else {
            return;
        };
        let pause = pause.as_secs_f64() * 1_000.0;
        if part.suspicion.note(pause, idle_pass) {
            slowdown::inspect(&self.node, id);
        }
    }
}
