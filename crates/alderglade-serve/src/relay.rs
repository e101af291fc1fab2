//! Passes a stream on, event by event, and takes it up elsewhere when its server fails.

mod end;
mod part;
mod take_over;

use crate::answer::Content;
use crate::attempt;
use crate::body_sender::{BodySender, CallerGone};
use crate::clock;
use crate::generate::{Open, Tries};
use crate::job::Job;
use crate::node::{InFlight, Node, Stage};
use crate::slowdown;
use alderglade_core::fleet::caller;
use alderglade_core::fleet::config::Kind;
use alderglade_core::fleet::health::Outcome;
use alderglade_core::fleet::sse::Splitter;
use alderglade_core::time::Time;
use bytes::Bytes;
use end::End;
use http::Response;
use part::{Frame, Part};
use std::rc::Rc;
use std::time::Duration;

/// The longest event that is kept until it is whole, in bytes; those of the deployments have some hundred.
const LONGEST_EVENT: usize = 1024 * 1024;
/// How long a stream that runs may stay silent before it is taken elsewhere, where its caller waits for much longer:
/// a dead server's work stands still for one and a half seconds.
const SILENCE: Duration = Duration::from_millis(1_900);

/// A stream on its way to its caller.
struct Relay {
    node: Rc<Node>,
    job: Job,
    tries: Tries,
    body_sender: BodySender,
    /// The id of the last event that was passed on.
    last_event: Option<String>,
    /// When the first event left.
    first_at: Option<Time>,
    /// When the last event left.
    last_at: Option<Time>,
    longest_pause: Duration,
    _in_flight: InFlight,
}

/// Why a server's part of a stream doesn't go on.
enum Break {
    /// The server has been silent for as long as it may, and may still go on.
    Silent,
    /// The server failed.
    Failed(String),
    /// The stream is over.
    End(End),
}

/// Starts passing a stream on and gives the head of the answer.
pub fn start(
    node: &Rc<Node>,
    job: Job,
    tries: Tries,
    open: Open,
    in_flight: InFlight,
) -> Response<Content> {
    let (body_sender, receiver) = BodySender::open(&node.memory);
    let mut response = Response::new(Content::Stream(receiver));
    *response.status_mut() = open.exchange.head.status;
    *response.headers_mut() = node.translator.give_back(&open.exchange.head.headers);
    response.headers_mut().remove(http::header::CONTENT_LENGTH);
    let relay = Relay {
        node: node.clone(),
        last_event: job.info.last_event.clone(),
        job,
        tries,
        body_sender,
        first_at: None,
        last_at: None,
        longest_pause: Duration::ZERO,
        _in_flight: in_flight,
    };
    tokio::task::spawn_local(relay.run(open));
    response
}

impl Relay {
    /// Passes the stream on until it ends, or the host is about to.
    async fn run(mut self, open: Open) {
        let node = self.node.clone();
        let end = tokio::select! {
            biased;
            end = self.pass_on(open) => end,
            () = node.wait_for_request_end() => End::HostStops,
        };
        match end {
            End::Whole => self.tell_answered(),
            End::CallerLeft => self.tell_caller_left(),
            End::Expired => self.break_off("the time is over"),
            End::HostStops => self.break_off("the host stops"),
            End::Failed(problem) => self.break_off(&problem),
        }
    }

    /// Passes the stream on to its end, and has other servers go on with it where the route allows it.
    async fn pass_on(&mut self, open: Open) -> End {
        let mut part = self.begin(open);
        loop {
            match self.pass_on_events(&mut part).await {
                Ok(()) => {
                    self.node.record_outcome(part.server.key(), Outcome::Sound);
                    self.node.record_success(self.job.fingerprint);
                    part.connection.recycle();
                    return End::Whole;
                }
                Err(Break::Silent) => match self.take_over(&mut part).await {
                    Ok(None) => {
                        part.held.resume();
                        self.note_stage(&part);
                    }
                    Ok(Some(open)) => part = self.begin(open),
                    Err(end) => return end,
                },
                Err(Break::Failed(problem)) => {
                    self.note_failed(&part, &problem);
                    attempt::broken_off(&self.node, &self.job, &part.server, part.began).await;
                    // What was taken up at the server is given back before another one is looked for.
                    drop(part);
                    if !self.may_resume() {
                        return End::Failed(problem);
                    }
                    part = match self.reopen().await {
                        Ok(open) => self.begin(open),
                        Err(end) => return end,
                    };
                }
                Err(Break::End(end)) => return end,
            }
        }
    }

    /// Begins with the part of a server.
    fn begin(&self, open: Open) -> Part {
        let part = Part::new(open);
        self.note_stage(&part);
        part
    }

    /// Notes that a server's part is what is passed on.
    fn note_stage(&self, part: &Part) {
        let stage = Stage::PassesOn(part.server.id().clone());
        self.job.progress.set_stage(stage);
    }

    /// Notes that a server has failed the stream.
    fn note_failed(&mut self, part: &Part, problem: &str) {
        attempt::tell(&self.job, &part.server, self.tries.all, problem);
        self.node.record_outcome(part.server.key(), Outcome::Failed);
        self.tries.avoid.push(part.server.key());
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

    /// Passes on each event as it becomes whole, and what follows the last one.
    async fn pass_on_events(&mut self, part: &mut Part) -> Result<(), Break> {
        while let Some(data) = self.next_with_room(part).await? {
            let ready = self.take_events(&mut part.splitter, &data);
            if part.splitter.rest().len() > LONGEST_EVENT {
                return Err(Break::Failed("an event is too long".to_string()));
            }
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

    /// Gives bytes to the caller, for as long as the request has.
    async fn hand_on(&self, bytes: Vec<u8>) -> Result<(), Break> {
        tokio::select! {
            biased;
            sent = self.body_sender.hand_on(bytes.into()) => {
                sent.map_err(|CallerGone| Break::End(End::CallerLeft))
            }
            () = clock::sleep_until(self.job.ends) => Err(Break::End(End::Expired)),
        }
    }

    /// Waits for the next bytes of a server, as soon as the caller can be given some.
    async fn next_with_room(&self, part: &mut Part) -> Result<Option<Bytes>, Break> {
        tokio::select! {
            biased;
            () = self.body_sender.room() => {}
            () = clock::sleep_until(self.job.ends) => return Err(Break::End(End::Expired)),
        }
        self.next(part).await
    }

    /// Waits for the next bytes of a server; gives `None` after the last ones. Silence counts only where the stream may
    /// be resumed elsewhere.
    async fn next(&self, part: &mut Part) -> Result<Option<Bytes>, Break> {
        loop {
            let frame = match part.pending.take() {
                Some(frame) => frame,
                None => self.next_frame(part).await?,
            };
            let frame = match frame {
                None => return Ok(None),
                Some(Err(error)) => return Err(Break::Failed(error.to_string())),
                Some(Ok(frame)) => frame,
            };
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
    }

    /// Waits for the next frame of a server.
    async fn next_frame(&self, part: &mut Part) -> Result<Frame, Break> {
        let ends = self.job.ends;
        let (silence, may_resume) = (part.silence, self.may_resume());
        tokio::select! {
            // What is there goes before any sign that there was nothing.
            biased;
            frame = part.live_frame(&self.node) => frame.ok_or_else(|| {
                Break::Failed(attempt::STARTED_AGAIN.to_string())
            }),
            () = clock::patience(silence), if may_resume => Err(Break::Silent),
            () = self.body_sender.closed() => Err(Break::End(End::CallerLeft)),
            () = clock::sleep_until(ends) => Err(Break::End(End::Expired)),
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
        if part.began.is_none() {
            part.began = Some(clock::now());
            part.silence = SILENCE.min(caller::silence_timeout(self.job.caller_timeout()));
            part.held.mark_read();
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
        let server = part.server.key();
        let Some(idle_pass) = self.node.state.borrow().loads.idle_pass(server) else {
            return;
        };
        let pause = pause.as_secs_f64() * 1_000.0;
        if part.suspicion.note(pause, idle_pass) {
            slowdown::inspect(&self.node, server);
        }
    }
}
