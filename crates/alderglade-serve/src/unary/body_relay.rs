//! Relays the rest of a response that is too large to be buffered.

use super::{log_answered, outcome, record_broken_off, record_end, record_outcome};
use crate::answer::{Chunk, Content};
use crate::attempt;
use crate::body_sender::{BodySender, CallerGone};
use crate::client::RemainingBody;
use crate::clock;
use crate::event::{self, Record};
use crate::job::Job;
use crate::node::Node;
use alderglade_core::fleet::directory::Server;
use alderglade_core::fleet::health::Outcome;
use http::StatusCode;
use std::rc::Rc;

/// The rest of a server's response.
pub(super) struct Rest {
    /// The body that is still to come.
    pub body: RemainingBody,
    /// The server that sends it.
    pub server: Server,
    /// The number of the attempt.
    pub attempt: u32,
}

/// The relay of the rest of a response.
struct BodyRelay {
    node: Rc<Node>,
    job: Box<Job>,
    status: StatusCode,
    body_sender: BodySender,
    rest: Rest,
}

/// How a relay ended.
enum End {
    /// The whole response was relayed.
    Complete,
    /// The server broke off the response.
    BrokenOff(String),
    /// The request's deadline has passed.
    Expired,
    /// The host is about to end.
    HostStopping,
    /// The caller disconnected.
    CallerLeft,
}

/// Starts to relay a response whose first bytes have arrived, and returns its body.
pub(super) fn start(
    node: &Rc<Node>,
    mut job: Box<Job>,
    status: StatusCode,
    first_chunk: Chunk,
    rest: Rest,
) -> Content {
    let (body_sender, receiver) = BodySender::open(&node.memory);
    body_sender.send_first(first_chunk);
    job.drop_body();
    let relay = Box::new(BodyRelay {
        node: node.clone(),
        job,
        status,
        body_sender,
        rest,
    });
    tokio::task::spawn_local(relay.run());
    Content::Stream(receiver)
}

impl BodyRelay {
    async fn run(mut self: Box<Self>) {
        let node = self.node.clone();
        let deadline = self.job.deadline;
        let end = tokio::select! {
            biased;
            end = self.relay_rest() => end,
            () = node.wait_for_request_end() => End::HostStopping,
            () = clock::sleep_until(deadline) => End::Expired,
        };
        match end {
            End::Complete => self.finish(),
            End::BrokenOff(problem) => self.break_off(&problem).await,
            End::Expired => self.log_broken_off("the time is over"),
            End::HostStopping => self.log_broken_off("the host stops"),
            End::CallerLeft => {
                let id = &self.job.info.id;
                event::write(&Record::CallerLeft { id });
            }
        }
    }

    async fn relay_rest(&mut self) -> End {
        loop {
            self.body_sender.writable().await;
            let next = tokio::select! {
                biased;
                next = self.rest.body.next() => next,
                () = self.body_sender.closed() => return End::CallerLeft,
            };
            let data = match next {
                Ok(Some(data)) => data,
                Ok(None) => return self.confirm_end().await,
                Err(error) => return End::BrokenOff(error.to_string()),
            };
            if let Err(CallerGone) = self.body_sender.send(data).await {
                return End::CallerLeft;
            }
        }
    }

    /// Returns how the relay of a response ends that ended without an error.
    async fn confirm_end(&mut self) -> End {
        let Rest { body, server, .. } = &mut self.rest;
        if attempt::has_broken_off(&self.node, server, &mut body.body).await {
            return End::BrokenOff(attempt::ENDED.to_string());
        }
        End::Complete
    }

    fn finish(mut self) {
        self.body_sender.finish();
        let BodyRelay {
            node,
            job,
            status,
            rest,
            ..
        } = self;
        record_end(&node, &job, &rest.server, rest.body.body.framing, "closed");
        // That of a failure was recorded with its head.
        if outcome(status) == Outcome::Success {
            record_outcome(&node, &job, &rest.server, Outcome::Success);
        }
        log_answered(&node, &job, status);
        rest.body.connection.recycle();
    }

    async fn break_off(self, problem: &str) {
        self.log_broken_off(problem);
        let BodyRelay {
            node, job, rest, ..
        } = self;
        let framing = rest.body.body.framing;
        let Rest {
            server, attempt, ..
        } = rest;
        record_broken_off(&node, &job, &server, attempt, framing, problem).await;
    }

    fn log_broken_off(&self, problem: &str) {
        self.job.log_broken_off(&self.node, problem);
    }
}
