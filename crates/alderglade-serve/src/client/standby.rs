//! Connections that are held beside responses which end with their connections, to find out after the end whether the
//! process that sent the response is still alive.

use super::socket::Activity;
use super::{Client, Error, Exchange, OpenConnection, settle};
use crate::clock;
use alderglade_core::fleet::ending::{self, Evidence};
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
            known: Cell::default(),
            is_uninformed: Cell::new(false),
        };
        tokio::task::spawn_local(holder.run(link, inquiry));
        Standby { inquiries }
    }

    /// Asks whether the process is alive, and returns what is known after 100 ms at the latest. Called after the end of
    /// the response.
    pub async fn inquire(self) -> ending::Standby {
        let (reply, answer) = oneshot::channel();
        if self.inquiries.send(reply).is_err() {
            return ending::Standby::default();
        }
        answer.await.unwrap_or_default()
    }
}

/// The task that holds a connection.
struct Holder {
    client: Rc<Client>,
    address: SocketAddr,
    /// The connection of the response.
    response: Activity,
    question: Question,
    /// What is known of the connection during the response.
    known: Cell<ending::Standby>,
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
            let alive_at = self.response.alive_at().unwrap_or(now);
            let until = match self.known.get().is_outlived(alive_at) {
                true => refresh_at,
                false => refresh_at.min(now + SIGN_INTERVAL),
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

    /// Asks on a connection so that the server does not close it as idle, and opens another one if it has been closed.
    async fn renew(&self, link: Option<OpenConnection>) -> Option<OpenConnection> {
        let link = link.filter(|link| !link.is_closed());
        let Some(link) = link else {
            return self.connect().await;
        };
        if self.is_uninformed.get() {
            return Some(link);
        }
        let (opened, known) = (link.opened(), self.known.get());
        if let Some(answer) = self.ask(link).await {
            return match answer.reclaim(MAX_ANSWER_BYTES).await {
                Some(link) => Some(link),
                None => self.connect().await,
            };
        }
        self.record_close(opened);
        match self.ask_again().await {
            Ok(Some(answer)) => answer.reclaim(MAX_ANSWER_BYTES).await,
            Ok(None) => {
                self.is_uninformed.set(true);
                self.known.set(known);
                self.connect().await
            }
            Err(_) => None,
        }
    }

    async fn connect(&self) -> Option<OpenConnection> {
        let connected = self.client.connect(self.address).await;
        if let Err(error) = &connected {
            log::debug!("no standby connection to {}: {error}", self.address);
            if matches!(error, Error::Closed { .. }) {
                let mut known = self.known.get();
                known.refused_at.get_or_insert(clock::now());
                self.known.set(known);
            }
        }
        connected.ok()
    }

    /// Records that the server closed a connection, if that says something of the server.
    fn record_close(&self, opened: Time) {
        if has_settled(opened) {
            let mut known = self.known.get();
            known.closed_at.get_or_insert(clock::now());
            self.known.set(known);
        }
    }

    /// Sends the state of the connection to whoever asked for it, or releases the connection if nobody did.
    async fn conclude(
        &self,
        reply: Option<oneshot::Sender<ending::Standby>>,
        renewal: impl Future<Output = Option<OpenConnection>>,
    ) {
        let mut standby = self.known.get();
        let needed = reply.is_some();
        let conclusion = async {
            let link = renewal.await;
            // The renewal may have found the connection closed.
            standby.closed_at = self.known.get().closed_at;
            match link {
                link if needed => self.collect_evidence(link, &mut standby).await,
                Some(link) => self.client.keep(link),
                None => {}
            }
        };
        if clock::timeout(ANSWER_TIMEOUT, conclusion).await.is_err() {
            log::debug!("{} is slow to answer: {standby:?}", self.address);
            standby.closed_at = self.known.get().closed_at;
        }
        if reply.is_some_and(|reply| reply.send(standby).is_err()) {
            log::debug!("nobody waits for the state of {}", self.address);
        }
    }

    /// Asks on the connection, or on new ones as long as they show nothing, until the evidence is conclusive.
    ///
    /// A connection that is closed without an answer shows that the process has ended, unless the server does not know the
    /// question.
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
                standby.evidence = match answer.head.status {
                    StatusCode::MISDIRECTED_REQUEST => Evidence::Misdirected,
                    _ => Evidence::Answered,
                };
                self.keep(answer);
                return;
            }
            if has_settled(opened) && standby.closed_at.is_none() {
                standby.evidence = Evidence::Closed;
                clock::sleep(RETRY_DELAY).await;
                match self.ask_again().await {
                    Ok(Some(answer)) => self.keep(answer),
                    Ok(None) => standby.evidence = Evidence::Silent,
                    Err(_) => {}
                }
                return;
            }
            clock::sleep(RETRY_DELAY).await;
        }
    }

    /// Asks on another connection, after the server has closed one without an answer. Returns `None` if it closes this one,
    /// too, when it is asked there: it does not know the question.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection can be opened, or if it is closed before the server is asked.
    async fn ask_again(&self) -> Result<Option<Exchange>, Error> {
        let next = settle(self.client.connect(self.address).await).await;
        let next = next.inspect_err(|error| log::debug!("{} is gone: {error}", self.address))?;
        Ok(self.ask(next).await)
    }

    /// Keeps the connection of an answer for another request.
    fn keep(&self, answer: Exchange) {
        let client = self.client.clone();
        tokio::task::spawn_local(async move {
            if let Some(link) = answer.reclaim(MAX_ANSWER_BYTES).await {
                client.keep(link);
            }
        });
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

/// Returns whether a connection was open for long enough for its end to say something of its server.
fn has_settled(opened: Time) -> bool {
    clock::now().since(opened) >= MIN_OPEN_TIME
}
