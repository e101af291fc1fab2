//! Connections that are held beside responses which end with their connections, to find out after the end whether the
//! process that sent the response is still alive.

use super::socket::Activity;
use super::{Client, Error, Exchange, OpenConnection, settle};
use crate::clock;
use alderglade_core::fleet::ending::{self, Evidence, MAX_EXIT_TIME};
use alderglade_core::time::Time;
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// How long a server may take to answer after the end of a response.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval at which a server is asked during a long response, so that it does not close the connection as idle. Servers
/// state their idle timeouts in whole seconds.
pub(super) const REFRESH_INTERVAL: Duration = Duration::from_millis(750);
/// Interval at which it is found out whether a response goes on.
const SIGN_INTERVAL: Duration = Duration::from_millis(25);
/// How long a new connection must have been open for its end to say something of the server: one that accepts no more
/// connections closes them at once.
const MIN_OPEN_TIME: Duration = Duration::from_millis(20);
/// Delay before a connection is opened in place of one that could not be.
const RETRY_DELAY: Duration = Duration::from_millis(10);
/// Maximum length of an answer whose connection is used again, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// A request that makes a server answer without doing any work, and that other servers refuse as misdirected.
pub type Question = Request<Full<Bytes>>;

/// A standby connection. It is closed, or kept for another request, when it is dropped.
pub struct Standby {
    inquiries: oneshot::Sender<oneshot::Sender<ending::Standby>>,
}

impl Standby {
    /// Holds a connection to a server beside a response; `link` is one that is already open.
    pub(super) fn hold(
        client: Rc<Client>,
        address: SocketAddr,
        response: Activity,
        link: Option<OpenConnection>,
        question: Question,
    ) -> Standby {
        let (inquiries, inquiry) = oneshot::channel();
        let holder = Holder {
            client,
            address,
            response,
            question,
            closed_at: Cell::new(None),
            refused_at: Cell::new(None),
            is_uninformed: Cell::new(false),
        };
        tokio::task::spawn_local(holder.run(link, inquiry));
        Standby { inquiries }
    }

    /// Asks whether the process is alive, and returns what is known after 100 ms at the latest. Called after the end of
    /// the response.
    pub async fn inquire(self) -> ending::Standby {
        let (reply, answer) = oneshot::channel();
        let nothing = ending::Standby {
            opened: None,
            closed_at: None,
            refused_at: None,
            evidence: Evidence::Unreachable,
        };
        if self.inquiries.send(reply).is_err() {
            return nothing;
        }
        answer.await.unwrap_or(nothing)
    }
}

/// The task that holds a connection.
struct Holder {
    client: Rc<Client>,
    address: SocketAddr,
    /// The connection of the response.
    response: Activity,
    question: Question,
    /// When the server first closed the connection.
    closed_at: Cell<Option<Time>>,
    /// When the server's machine first refused the connection.
    refused_at: Cell<Option<Time>>,
    /// Whether the server closes a connection on which it is asked.
    is_uninformed: Cell<bool>,
}

impl Holder {
    /// Holds the connection until the response has ended, and then asks the server.
    async fn run(
        self,
        mut link: Option<OpenConnection>,
        mut inquiry: oneshot::Receiver<oneshot::Sender<ending::Standby>>,
    ) {
        let mut refresh_at = clock::now();
        if link.is_some() {
            refresh_at = refresh_at + REFRESH_INTERVAL;
        }
        loop {
            tokio::select! {
                biased;
                reply = &mut inquiry => {
                    return self.conclude(reply.ok(), std::future::ready(link)).await;
                }
                () = self.wait(&mut link, refresh_at) => {}
            }
            let mut renewal = Box::pin(self.renew(link.take()));
            tokio::select! {
                biased;
                reply = &mut inquiry => return self.conclude(reply.ok(), renewal).await,
                renewed = &mut renewal => link = renewed,
            }
            refresh_at = clock::now() + REFRESH_INTERVAL;
        }
    }

    /// Waits until the connection is to be renewed. After a loss it is found out whether the response goes on.
    async fn wait(&self, link: &mut Option<OpenConnection>, refresh_at: Time) {
        loop {
            self.response.refresh();
            let now = clock::now();
            let until = match self.needs_sign_of_life() {
                true => refresh_at.min(now + SIGN_INTERVAL),
                false => refresh_at,
            };
            match link {
                Some(link) => tokio::select! {
                    () = link.closed() => {
                        self.record_close(link.opened());
                        return;
                    }
                    () = clock::sleep_until(until) => {}
                },
                None => clock::sleep_until(until).await,
            }
            if until == refresh_at {
                return;
            }
        }
    }

    /// Returns whether the response has not yet outlived the loss of a standby connection.
    fn needs_sign_of_life(&self) -> bool {
        let losses = [self.closed_at.get(), self.refused_at.get()];
        let last_loss = losses.into_iter().max().flatten();
        last_loss.is_some_and(|loss| self.response.alive_at() < Some(loss + MAX_EXIT_TIME))
    }

    /// Asks on a connection so that the server does not close it as idle, and opens another one if it has been closed.
    async fn renew(&self, link: Option<OpenConnection>) -> Option<OpenConnection> {
        let link = link.filter(|link| !link.is_closed());
        let Some(link) = link else {
            return self.connect().await;
        };
        if self.is_uninformed.get() {
            return Some(link);
        }
        let (opened, closed_before) = (link.opened(), self.closed_at.get());
        if let Some(answer) = self.ask(link).await {
            return match answer.reclaim(MAX_ANSWER_BYTES).await {
                Some(link) => Some(link),
                None => self.connect().await,
            };
        }
        self.record_close(opened);
        let next = settle(self.client.connect(self.address).await).await;
        if let Some(answer) = self.ask(next.ok()?).await {
            return answer.reclaim(MAX_ANSWER_BYTES).await;
        }
        // A server that does not know the question closes the next connection as well, once it is asked there.
        self.is_uninformed.set(true);
        self.closed_at.set(closed_before);
        self.connect().await
    }

    async fn connect(&self) -> Option<OpenConnection> {
        let connected = self.client.connect(self.address).await;
        if let Err(error) = &connected {
            log::debug!("no standby connection to {}: {error}", self.address);
            if matches!(error, Error::Closed { .. }) {
                record_first(&self.refused_at);
            }
        }
        connected.ok()
    }

    /// Records that the server closed a connection, if that says something of the server.
    fn record_close(&self, opened: Time) {
        if has_settled(opened) {
            record_first(&self.closed_at);
        }
    }

    /// Sends the state of the connection to whoever asked for it, or releases the connection if nobody did.
    async fn conclude(
        &self,
        reply: Option<oneshot::Sender<ending::Standby>>,
        renewal: impl Future<Output = Option<OpenConnection>>,
    ) {
        let mut standby = ending::Standby {
            opened: None,
            closed_at: self.closed_at.get(),
            refused_at: self.refused_at.get(),
            evidence: Evidence::Unreachable,
        };
        let needed = reply.is_some();
        let conclusion = async {
            let link = renewal.await;
            // The renewal may have found the connection closed.
            standby.closed_at = self.closed_at.get();
            match link {
                link if needed => self.collect_evidence(link, &mut standby).await,
                Some(link) => self.client.keep(link),
                None => {}
            }
        };
        if clock::timeout(ANSWER_TIMEOUT, conclusion).await.is_err() {
            log::debug!("{} is slow to answer: {standby:?}", self.address);
            standby.closed_at = self.closed_at.get();
        }
        if reply.is_some_and(|reply| reply.send(standby).is_err()) {
            log::debug!("nobody waits for the state of {}", self.address);
        }
    }

    /// Asks on the connection, or on new ones as long as they show nothing, until the evidence is conclusive.
    ///
    /// A server may close a connection because it does not understand the question. It does so again, and its machine
    /// neither refuses the next connection nor closes it before it is asked on.
    async fn collect_evidence(
        &self,
        mut link: Option<OpenConnection>,
        standby: &mut ending::Standby,
    ) {
        loop {
            let open = match link.take() {
                Some(open) => open,
                None => match self.client.connect(self.address).await {
                    Ok(open) => open,
                    Err(Error::Closed { .. }) => {
                        standby.evidence = Evidence::Refused;
                        clock::sleep(RETRY_DELAY).await;
                        continue;
                    }
                    Err(error) => {
                        log::debug!("no standby connection to {}: {error}", self.address);
                        return;
                    }
                },
            };
            let opened = open.opened();
            standby.opened = Some(opened);
            standby.evidence = Evidence::Silent;
            if let Some(answer) = self.ask(open).await {
                standby.evidence = self.keep_answer(answer);
                return;
            }
            if has_settled(opened) && standby.closed_at.is_none() {
                standby.evidence = Evidence::Closed;
                if self.closes_on_question().await {
                    standby.evidence = Evidence::Silent;
                }
                return;
            }
            clock::sleep(RETRY_DELAY).await;
        }
    }

    /// Returns whether the server takes another connection, and closes it only when it is asked there: it does not know the
    /// question.
    async fn closes_on_question(&self) -> bool {
        clock::sleep(RETRY_DELAY).await;
        let next = settle(self.client.connect(self.address).await).await;
        match next {
            Ok(next) => match self.ask(next).await {
                Some(answer) => {
                    self.keep_answer(answer);
                    false
                }
                None => true,
            },
            Err(_) => false,
        }
    }

    /// Keeps the connection of an answer for another request, and returns what the answer shows.
    fn keep_answer(&self, answer: Exchange) -> Evidence {
        let evidence = match answer.head.status {
            StatusCode::MISDIRECTED_REQUEST => Evidence::Misdirected,
            _ => Evidence::Answered,
        };
        tokio::task::spawn_local(keep(self.client.clone(), answer));
        evidence
    }

    /// Asks the server and waits for the head of its answer. Returns `None` if the connection is closed first.
    async fn ask(&self, link: OpenConnection) -> Option<Exchange> {
        let answer = self.client.send_on(link, self.question.clone()).await;
        if let Err(error) = &answer {
            log::debug!("no answer from {}: {error}", self.address);
        }
        answer.ok()
    }
}

/// Keeps the connection of an answer for another request.
async fn keep(client: Rc<Client>, answer: Exchange) {
    if let Some(link) = answer.reclaim(MAX_ANSWER_BYTES).await {
        client.keep(link);
    }
}

/// Records that something happened now, unless it happened before.
fn record_first(at: &Cell<Option<Time>>) {
    at.set(at.get().or_else(|| Some(clock::now())));
}

/// Returns whether a connection was open for long enough for its end to say something of its server.
fn has_settled(opened: Time) -> bool {
    clock::now().since(opened) >= MIN_OPEN_TIME
}
