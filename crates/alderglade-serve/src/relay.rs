//! Relays a stream to its caller event by event, and continues it on another server when its server fails.

mod end;
mod failover;
mod part;
mod take_over;

use crate::answer::Content;
use crate::attempt;
use crate::body_sender::{BodySender, CallerGone};
use crate::clock;
use crate::generate::{OpenStream, SendState};
use crate::job::Job;
use crate::node::{Node, RequestGuard, Stage};
use crate::slowdown;
use alderglade_core::fleet::caller;
use alderglade_core::fleet::config::Kind;
use alderglade_core::fleet::health::Outcome;
use alderglade_core::fleet::sse::Splitter;
use alderglade_core::time::Time;
use bytes::Bytes;
use end::End;
use failover::Failover;
use http::Response;
use part::{Failure, Received, ServerPart};
use std::rc::Rc;
use std::time::Duration;

/// Longest event that is buffered until it is complete, in bytes; events of the deployments have a few hundred.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Longest silence of a running stream before it moves to another server, if its caller waits for much longer. Work
/// on a dead server stalls for one and a half seconds.
const MAX_SILENCE: Duration = Duration::from_millis(1_900);

/// A stream that is being relayed to its caller.
struct Relay {
    node: Rc<Node>,
    job: Box<Job>,
    state: SendState,
    body_sender: BodySender,
    /// The id of the last event that was relayed.
    last_event: Option<String>,
    /// Whether the caller has data of events after that one, which another server would send again.
    has_later_data: bool,
    /// When the first event was relayed.
    first_event_at: Option<Time>,
    /// When the last event was relayed.
    last_event_at: Option<Time>,
    /// Whether no more events could be relayed since the last ones.
    events_pending: bool,
    longest_pause: Duration,
    /// The change of servers since whose begin no event was relayed.
    failover: Option<Failover>,
    _in_flight: RequestGuard,
}

/// Why a server's part of a stream does not continue.
enum Interruption {
    /// The server exceeded its silence limit, and may still continue.
    Silent,
    /// The server failed.
    Failed(Failure),
    /// The stream has ended.
    End(End),
}

/// Starts to relay a stream and returns the head of the response.
pub fn start(
    node: &Rc<Node>,
    job: Box<Job>,
    state: SendState,
    open: OpenStream,
    in_flight: RequestGuard,
) -> Response<Content> {
    let (body_sender, receiver) = BodySender::open(&node.memory);
    let mut response = Response::new(Content::Stream(receiver));
    *response.status_mut() = open.exchange.head.status;
    *response.headers_mut() = node.translator.give_back(&open.exchange.head.headers);
    response.headers_mut().remove(http::header::CONTENT_LENGTH);
    // Boxed, as a task holds what it is given more than once, for as long as its caller reads.
    let relay = Box::new(Relay {
        node: node.clone(),
        last_event: job.info.last_event.clone(),
        job,
        state,
        body_sender,
        has_later_data: false,
        first_event_at: None,
        last_event_at: None,
        events_pending: false,
        longest_pause: Duration::ZERO,
        failover: None,
        _in_flight: in_flight,
    });
    let part = relay.begin(open);
    tokio::task::spawn_local(relay.run(part));
    response
}

impl Relay {
    /// Relays the stream until it ends or the host is about to stop.
    async fn run(mut self: Box<Self>, part: Box<ServerPart>) {
        let node = self.node.clone();
        let end = tokio::select! {
            biased;
            end = self.relay_stream(part) => end,
            () = node.wait_for_request_end() => End::HostStopping,
        };
        match end {
            End::Complete => {
                self.body_sender.finish();
                self.log_answered();
            }
            End::CallerLeft => self.log_caller_left(),
            End::Expired => self.log_broken_off("the time is over"),
            End::HostStopping => self.log_broken_off("the host stops"),
            End::Failed(problem) => self.log_broken_off(&problem),
        }
    }

    /// Relays the stream to its end, and continues it on other servers if the route allows that.
    async fn relay_stream(&mut self, mut part: Box<ServerPart>) -> End {
        loop {
            match self.relay_events(&mut part).await {
                Ok(()) => {
                    part.record_end(&self.node, &self.job.info.id, "closed");
                    self.node
                        .record_outcome(part.server.key(), Outcome::Success);
                    self.node.record_success(self.job.identity.fingerprint);
                    if let Some(began) = part.first_event_at {
                        self.node.record_sound(&self.job.identity.parts, began);
                    }
                    part.connection.recycle();
                    return End::Complete;
                }
                Err(Interruption::Silent) => match self.find_replacement(&mut part).await {
                    Ok(None) => {
                        self.failover = None;
                        part.reservation.resume();
                        self.record_stage(&part);
                    }
                    Ok(Some(open)) => part = self.continue_with(open),
                    Err(end) => return end,
                },
                Err(Interruption::Failed(failure)) => {
                    let problem = failure.to_string();
                    part.record_end(&self.node, &self.job.info.id, failure.outcome());
                    self.record_failure(&part, &problem);
                    attempt::handle_broken_off(
                        &self.node,
                        &self.job,
                        &part.server,
                        part.first_event_at,
                    )
                    .await;
                    // The resources at this server are released before another one is looked for.
                    drop(part);
                    if !self.may_resume() {
                        return End::Failed(problem);
                    }
                    part = match self.reopen().await {
                        Ok(open) => self.continue_with(open),
                        Err(end) => return end,
                    };
                }
                Err(Interruption::End(end)) => return end,
            }
        }
    }

    /// Begins with a server's part of the stream.
    fn begin(&self, open: OpenStream) -> Box<ServerPart> {
        let part = Box::new(ServerPart::new(open, self.last_event.is_some()));
        self.record_stage(&part);
        part
    }

    /// Begins with the part of a server that continues the stream.
    fn continue_with(&mut self, open: OpenStream) -> Box<ServerPart> {
        let now = clock::now();
        if let Some(failover) = &mut self.failover {
            failover.begin(self.state.placed_at.unwrap_or(now), now);
        }
        self.begin(open)
    }

    /// Records in the request's progress that this server's part is being relayed.
    fn record_stage(&self, part: &ServerPart) {
        let stage = Stage::Forwarding(part.server.id().clone());
        self.job.progress.set_stage(stage);
    }

    /// Records and logs that a server failed the stream.
    fn record_failure(&mut self, part: &ServerPart, problem: &str) {
        let now = clock::now();
        let waiting_since = self.job.expectation(self.state.waits_since).since;
        self.failover
            .get_or_insert_with(|| Failover::detected(waiting_since, now));
        attempt::log_failure(&self.job, &part.server, self.state.total, problem);
        self.node.record_outcome(part.server.key(), Outcome::Failed);
        self.state.avoid.push(part.server.key());
    }

    fn may_resume(&self) -> bool {
        let resumable = matches!(
            self.job.route.kind,
            Kind::Stream {
                resumable: true,
                ..
            }
        );
        resumable && !self.has_later_data && self.state.sends < self.job.route.max_attempts
    }

    /// Relays each event as soon as it is complete, and the bytes after the last one.
    async fn relay_events(&mut self, part: &mut ServerPart) -> Result<(), Interruption> {
        while let Some(data) = self.next_when_writable(part).await? {
            let complete = self.complete_events(&mut part.splitter, &data);
            // Otherwise the connection's read buffer stays allocated while the caller does not read.
            drop(data);
            if part.splitter.rest().len() > MAX_EVENT_BYTES {
                return Err(Interruption::Failed(Failure::EventTooLong));
            }
            if complete.is_empty() {
                continue;
            }
            self.record_events(part);
            self.send(complete).await?;
        }
        if part.has_broken_off(&self.node).await {
            return Err(Interruption::Failed(Failure::Ended));
        }
        let rest = part.splitter.rest().to_vec();
        if rest.is_empty() {
            return Ok(());
        }
        self.send(rest).await
    }

    /// Sends bytes to the caller, until the deadline of the request.
    async fn send(&self, bytes: Vec<u8>) -> Result<(), Interruption> {
        tokio::select! {
            biased;
            result = self.body_sender.send(bytes.into()) => {
                result.map_err(|CallerGone| Interruption::End(End::CallerLeft))
            }
            () = clock::sleep_until(self.job.deadline) => Err(Interruption::End(End::Expired)),
        }
    }

    /// Waits until the caller can accept more, then for the next bytes of a server. The time in which a slow caller and
    /// scarce memory stop the relay is no pause of the server.
    async fn next_when_writable(
        &mut self,
        part: &mut ServerPart,
    ) -> Result<Option<Bytes>, Interruption> {
        tokio::select! {
            biased;
            () = self.body_sender.writable() => {}
            () = clock::sleep_until(self.job.deadline) => {
                return Err(Interruption::End(End::Expired));
            }
        }
        if std::mem::take(&mut self.events_pending) {
            self.state.waits_since = Some(clock::now());
        }
        self.next(part).await
    }

    /// Waits for the next bytes of a server; returns `None` after the last ones.
    async fn next(&self, part: &mut ServerPart) -> Result<Option<Bytes>, Interruption> {
        let received = match part.pending.take() {
            Some(received) => received,
            None => self.receive(part).await?,
        };
        received.map_err(Interruption::Failed)
    }

    /// Waits until a server sends something. The silence limit applies only if the stream may be resumed elsewhere.
    async fn receive(&self, part: &mut ServerPart) -> Result<Received, Interruption> {
        let deadline = self.job.deadline;
        let (silence, may_resume) = (part.silence, self.may_resume());
        let (server, since) = (part.server.key(), clock::now());
        let is_direct = !part.connection.is_proxied();
        tokio::select! {
            // Data that has arrived takes precedence over any sign of its absence.
            biased;
            received = part.receive_unless_restarted(&self.node) => Ok(received),
            () = clock::sleep_and_yield(silence), if may_resume => Err(Interruption::Silent),
            () = self.node.wait_until_path_lost(server, since), if may_resume && is_direct => {
                Err(Interruption::Silent)
            }
            () = self.body_sender.closed() => Err(Interruption::End(End::CallerLeft)),
            () = clock::sleep_until(deadline) => Err(Interruption::End(End::Expired)),
        }
    }

    /// Returns the events that these bytes complete, and stores the id of the last one for a server that may have to
    /// continue after it.
    fn complete_events(&mut self, splitter: &mut Splitter, data: &Bytes) -> Vec<u8> {
        let mut complete = Vec::new();
        for event in splitter.push(data) {
            complete.extend_from_slice(&event.bytes);
            if event.id.is_some() {
                self.last_event = event.id;
                self.has_later_data = false;
            } else {
                self.has_later_data |= event.has_data();
            }
        }
        complete
    }

    /// Records that events of a server were relayed. The first events show that the prompt has been read; later ones
    /// show how long the server pauses.
    fn record_events(&mut self, part: &mut ServerPart) {
        if let Some(pause) = self.record_pause() {
            self.check_slowness(part, pause);
        }
        if let Some(failover) = self.failover.take() {
            self.log_failover(part, &failover);
        }
        if part.first_event_at.is_none() {
            part.first_event_at = Some(clock::now());
            part.silence = MAX_SILENCE.min(caller::silence_timeout(self.job.caller_timeout()));
            part.reservation.mark_read();
            part.reading.end(&self.node);
        }
        if let Some(began) = part.newly_sound(clock::now()) {
            self.node.record_sound(&self.job.identity.parts, began);
        }
    }

    /// Records when events are relayed, for the log line at the end of the stream. Returns the pause before these
    /// events, unless they are the first.
    fn record_pause(&mut self) -> Option<Duration> {
        let now = clock::now();
        self.events_pending = true;
        self.first_event_at.get_or_insert(now);
        let last = self.last_event_at.replace(now)?;
        let pause = now.since(last);
        self.longest_pause = self.longest_pause.max(pause);
        Some(pause)
    }

    /// Logs where the time of a change of servers went.
    fn log_failover(&self, part: &ServerPart, failover: &Failover) {
        let phases = failover.phases(clock::now());
        log::debug!(
            "{} continues {}: break detected after {} ms, server chosen after {} ms, head after {} ms, event after {} ms",
            part.server.id(),
            self.job.info.id,
            phases.detection.as_millis(),
            phases.choice.as_millis(),
            phases.head.as_millis(),
            phases.first_event.as_millis(),
        );
    }

    /// Starts a check of the engine if its pauses are those of a slow one.
    fn check_slowness(&self, part: &mut ServerPart, pause: Duration) {
        let server = part.server.key();
        let Some(idle_pass) = self.node.state.borrow().loads.idle_pass(server) else {
            return;
        };
        let pause = pause.as_secs_f64() * 1_000.0;
        if part.pause_monitor.record_pause(pause, idle_pass) {
            slowdown::inspect(&self.node, server);
        }
    }
}
