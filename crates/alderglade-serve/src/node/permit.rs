//! Leave to send something to a server: whether it takes requests now, and whether this one is within its limit.
//!
//! Nothing is sent without a [`Permit`], so that what a server has said of itself binds each way to it: a first send, a
//! repeat, a stream that goes on elsewhere, a part of a long prompt.

use super::{Letter, Node};
use crate::clock;
use alderglade_core::Name;
use alderglade_core::fleet::incarnation::Key;
use alderglade_core::fleet::message::Message;
use alderglade_core::fleet::placement::Plan;
use alderglade_core::fleet::rate_limit::{self, Grant, Request, View};
use std::collections::HashMap;
use std::time::Duration;
use tokio::sync::oneshot;

/// How long the owner of a limit may take to answer: some times the way there and back between failure domains, for a busy
/// host.
const ANSWER: Duration = Duration::from_millis(50);
/// How long a host asks no more for a grant after the owner gave no answer: about until it is known to be gone.
const NO_ANSWER: Duration = Duration::from_millis(300);

/// Leave to send one request to a server.
#[derive(Debug)]
pub struct Permit {
    server: Key,
    /// Whether the server had a limit, and this request is within it.
    granted: bool,
}

/// A server takes no request of this host now.
#[derive(Debug)]
pub struct Closed;

/// Questions for grants that are not answered yet, by their numbers.
#[derive(Debug, Default)]
pub(super) struct Claims {
    open: HashMap<u64, oneshot::Sender<Grant>>,
}

impl Claims {
    /// Opens a question; gives its number, which no other lifetime of this host has used, and where the answer comes.
    fn open(&mut self) -> (u64, oneshot::Receiver<Grant>) {
        self.open.retain(|_, answer| !answer.is_closed());
        let number = rand::random();
        let (sender, receiver) = oneshot::channel();
        self.open.insert(number, sender);
        (number, receiver)
    }

    fn answer(&mut self, grant: Grant) {
        let answer = self.open.remove(&grant.number);
        if answer.is_none_or(|answer| answer.send(grant).is_err()) {
            log::debug!("a grant came too late");
        }
    }
}

impl Node {
    /// Gives leave to send one request to a server. Where the server has a limit, that takes a way to the limit's owner and
    /// back.
    ///
    /// # Errors
    ///
    /// Where the server takes none now; it is not among those to choose from until it does.
    pub async fn permit(&self, server: Key) -> Result<Permit, Closed> {
        if !self.takes_work(server) {
            return Err(Closed);
        }
        let wait = self.claim(server).await;
        if let Some(wait) = wait.filter(|wait| !wait.is_zero()) {
            let mut state = self.state.borrow_mut();
            state.limits.deny(server, wait, clock::now());
            return Err(Closed);
        }
        Ok(Permit {
            server,
            granted: wait.is_some(),
        })
    }

    /// Gives leave to send a prompt by a plan: every engine that reads a part of it or holds memory for it takes it.
    ///
    /// # Errors
    ///
    /// Where one of them takes nothing now.
    pub async fn permit_plan(&self, plan: &Plan) -> Result<Permit, Closed> {
        let readers = plan.helpers.iter();
        let lenders = plan.shares.iter().map(|share| &share.server);
        let mut others: Vec<Key> = readers.chain(lenders).copied().collect();
        others.sort();
        others.dedup();
        for other in others.into_iter().filter(|other| *other != plan.first) {
            self.permit(other).await?;
        }
        self.permit(plan.first).await
    }

    /// Says whether a permit still holds: the server may have said something of itself since.
    pub fn honours(&self, permit: &Permit) -> bool {
        let now = clock::now();
        let limited = self.state.borrow().limits.bound(permit.server, now);
        let limited = limited.is_some();
        (permit.granted || !limited) && self.takes_work(permit.server)
    }

    /// Says whether new work may go to a server as far as is known.
    fn takes_work(&self, server: Key) -> bool {
        let state = self.state.borrow();
        let rests = !state.backoffs.left(server, clock::now()).is_zero();
        !rests && state.directory.get(server).is_some()
    }

    /// Asks the owner of a server's limit for leave to send one request; gives how long to wait, or `None` where there is no
    /// limit.
    async fn claim(&self, server: Key) -> Option<Duration> {
        let now = clock::now();
        self.state.borrow().limits.bound(server, now)?;
        let own = &self.settings.host;
        let owner = self.limit_owner(server);
        let ask = |number| {
            let state = self.state.borrow();
            state.limits.ask(server, own, number, clock::now())
        };
        if owner == *own {
            return Some(self.grant(&ask(0)?).wait());
        }
        let to = self.state.borrow().hosts.get(&owner);
        let Some(to) = to else {
            return Some(NO_ANSWER);
        };
        let (number, answer) = self.claims.borrow_mut().open();
        self.write_letter(Letter {
            to,
            message: Message::Claim(ask(number)?),
        });
        let grant = clock::timeout(ANSWER, answer).await;
        Some(match grant {
            Ok(Ok(grant)) => grant.wait(),
            _ => NO_ANSWER,
        })
    }

    /// Answers a host that wants to send a request to a server with a limit.
    pub fn grant(&self, request: &Request) -> Grant {
        let owner = self.limit_owner(request.server);
        let view = View {
            own: &self.settings.host,
            owner: &owner,
            majority: self.hears_majority(),
        };
        let mut state = self.state.borrow_mut();
        state.limits.grant(request, &view, clock::now())
    }

    /// Says whether this host hears of most of the hosts that there are.
    fn hears_majority(&self) -> bool {
        let now = clock::now();
        let state = self.state.borrow();
        let heard = state.book.heard(&self.settings.domain, now).count() + 1;
        2 * heard > state.hosts.len()
    }

    /// Takes the answer of a limit's owner.
    pub fn take_grant(&self, grant: Grant) {
        self.claims.borrow_mut().answer(grant);
    }

    /// Gives the host that owns a server's limit, as this one sees it.
    pub(super) fn limit_owner(&self, server: Key) -> Name {
        let now = clock::now();
        let own = &self.settings.host;
        let state = self.state.borrow();
        let heard = state.book.heard(&self.settings.domain, now);
        let hosts = heard.map(|host| host.name).chain([own]);
        rate_limit::owner(server, hosts).unwrap_or(own).clone()
    }
}
