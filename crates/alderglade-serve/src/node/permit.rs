//! Leave to send something to a server: whether it takes requests now, and whether this one is within its limit.
//!
//! Nothing is sent without a [`Permit`], so that what a server has said of itself binds each way to it: a first send, a
//! repeat, a stream that goes on elsewhere, a part of a long prompt.

use super::{Envelope, Node};
use crate::clock;
use alderglade_core::Name;
use alderglade_core::fleet::incarnation::Key;
use alderglade_core::fleet::message::Message;
use alderglade_core::fleet::placement::Plan;
use alderglade_core::fleet::rate_limit::{self, Grant, OwnerView, Request};
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
pub struct NotPermitted;

/// What was asked for one request to a server.
struct Claim {
    server: Key,
    /// The question to an owner; `None` where there is no bound on what the server takes.
    question: Option<Question>,
}

/// A question to the owner of the bound on what a server takes.
struct Question {
    owner: Name,
    /// Where its answer comes.
    answer: oneshot::Receiver<Grant>,
}

/// Questions for grants that are not answered yet, by their numbers.
#[derive(Debug, Default)]
pub(super) struct Claims {
    open: HashMap<u64, oneshot::Sender<Grant>>,
}

impl Claims {
    /// Opens a question with a number that no other one has; gives where the answer comes.
    fn open(&mut self, number: u64) -> oneshot::Receiver<Grant> {
        self.open.retain(|_, answer| !answer.is_closed());
        let (sender, receiver) = oneshot::channel();
        self.open.insert(number, sender);
        receiver
    }

    fn answer(&mut self, grant: Grant) {
        let answer = self.open.remove(&grant.number);
        if answer.is_none_or(|answer| answer.send(grant).is_err()) {
            log::debug!("a grant came too late");
        }
    }
}

impl Node {
    /// Gives leave to send one request to a server. Where there is a bound on what the server takes, that takes a way to the
    /// bound's owner and back.
    ///
    /// # Errors
    ///
    /// Where the server takes none now; it is not among those to choose from until it does.
    pub async fn permit(&self, server: Key) -> Result<Permit, NotPermitted> {
        let claim = self.claim(server)?;
        self.settle(claim).await
    }

    /// Waits for the answer to a claim; asks others where an owner of another group, of whose hosts nothing is heard, gives none.
    ///
    /// # Errors
    ///
    /// Where none grants it now.
    async fn settle(&self, mut claim: Claim) -> Result<Permit, NotPermitted> {
        /// Owners that are asked, one after the other.
        const OWNERS: usize = 3;
        let server = claim.server;
        let mut wait = NO_ANSWER;
        for others in (0..OWNERS).rev() {
            let Some(Question { owner, answer }) = claim.question else {
                return Ok(Permit {
                    server,
                    granted: false,
                });
            };
            if let Ok(Ok(grant)) = clock::timeout(ANSWER, answer).await {
                wait = grant.wait();
                break;
            }
            if !self.pass_over(owner) || others == 0 {
                break;
            }
            claim = self.claim(server)?;
        }
        if wait.is_zero() {
            return Ok(Permit {
                server,
                granted: true,
            });
        }
        self.deny(server, wait);
        Err(NotPermitted)
    }

    /// Takes that an owner gave no answer; says whether another one can be asked in its place.
    fn pass_over(&self, owner: Name) -> bool {
        /// A process that was killed is back by then.
        const SPAN: Duration = Duration::from_millis(5_000);
        let mut state = self.state.borrow_mut();
        let together = state.groups.same_group(&self.settings.host, &owner);
        if !together {
            state.silent.note(owner, SPAN, clock::now());
        }
        !together
    }

    /// Notes that nothing goes to a server for a while. Where it is of another group, this host doesn't know of a bound.
    fn deny(&self, server: Key, wait: Duration) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        if state.groups.has_server(&self.settings.host, server) {
            state.limits.deny(server, wait, now);
        } else {
            state.backoffs.note(server, wait, now);
        }
    }

    /// Gives leave to send a prompt by a plan: every engine that reads a part of it or holds memory for it takes it. All owners
    /// are asked at the same time.
    ///
    /// # Errors
    ///
    /// Where one of them takes nothing now.
    pub async fn permit_plan(&self, plan: &Plan) -> Result<Permit, NotPermitted> {
        let readers = plan.helpers.iter();
        let lenders = plan.shares.iter().map(|share| &share.server);
        let mut others: Vec<Key> = readers.chain(lenders).copied().collect();
        others.sort();
        others.dedup();
        let others = others.into_iter().filter(|other| *other != plan.primary);
        let others: Result<Vec<Claim>, NotPermitted> =
            others.map(|other| self.claim(other)).collect();
        let (others, first) = (others?, self.claim(plan.primary)?);
        for other in others {
            self.settle(other).await?;
        }
        self.settle(first).await
    }

    /// Says whether a permit still holds: the server may have said something of itself since.
    pub fn is_valid(&self, permit: &Permit) -> bool {
        let now = clock::now();
        let limited = self
            .state
            .borrow()
            .limits
            .effective_limit(permit.server, now);
        let limited = limited.is_some();
        (permit.granted || !limited) && self.takes_work(permit.server)
    }

    /// Says whether new work may go to a server as far as is known.
    fn takes_work(&self, server: Key) -> bool {
        let state = self.state.borrow();
        let rests = !state.backoffs.left(&server, clock::now()).is_zero();
        !rests && state.directory.get(server).is_some()
    }

    /// Asks the owner of the bound on what a server takes, if there may be one, for leave to send one request. What is known of a
    /// server of another group is known there, so that its owner is asked each time.
    ///
    /// # Errors
    ///
    /// Where the server takes none now.
    fn claim(&self, server: Key) -> Result<Claim, NotPermitted> {
        if !self.takes_work(server) {
            return Err(NotPermitted);
        }
        let own = &self.settings.host;
        let now = clock::now();
        let request = {
            let state = self.state.borrow();
            let (limits, number) = (&state.limits, rand::random());
            if state.groups.has_server(own, server) {
                limits.request_if_limited(server, own, number, now)
            } else {
                Some(limits.request(server, own, number, now))
            }
        };
        let question = request.map(|request| self.ask_owner(request));
        Ok(Claim { server, question })
    }

    /// Asks the owner of the bound on what a server takes, which may be this host.
    fn ask_owner(&self, request: Request) -> Question {
        let answer = self.claims.borrow_mut().open(request.number);
        let owner = self.limit_owner(request.server);
        let to = self.state.borrow().hosts.get(&owner);
        if owner == self.settings.host {
            let grant = self.grant(&request);
            self.apply_grant(grant);
        } else if let Some(to) = to {
            let message = Message::GrantRequest(request);
            self.queue_envelope(Envelope { to, message });
        } else {
            log::debug!("{owner} can't be asked for a grant: no address");
        }
        Question { owner, answer }
    }

    /// Answers a host that wants to send a request to a server with a limit.
    pub fn grant(&self, request: &Request) -> Grant {
        let own = &self.settings.host;
        if !self.state.borrow().groups.has_server(own, request.server) {
            return Grant::not_owner(request);
        }
        let owner = self.limit_owner(request.server);
        let view = OwnerView {
            own,
            owner: &owner,
            majority: self.hears_majority(),
        };
        let mut state = self.state.borrow_mut();
        state.limits.grant(request, &view, clock::now())
    }

    /// Says whether this host hears of most of the hosts that there are in its group.
    fn hears_majority(&self) -> bool {
        let now = clock::now();
        let state = self.state.borrow();
        let own = &self.settings.host;
        let heard = state.heard_in_group(own, &self.settings.domain, now);
        let heard = heard.count() + 1;
        let listed = self.startup_sync.knows_hosts().then(|| {
            let listed = state.hosts.names();
            let of_group = listed.filter(|name| state.groups.same_group(own, name));
            of_group.count()
        });
        rate_limit::is_majority(heard, listed)
    }

    /// Takes the answer of a limit's owner.
    pub fn apply_grant(&self, grant: Grant) {
        self.claims.borrow_mut().answer(grant);
    }

    /// Gives the host that owns a server's limit, as this one sees it.
    pub(super) fn limit_owner(&self, server: Key) -> Name {
        let now = clock::now();
        let own = &self.settings.host;
        let state = self.state.borrow();
        let owner = if state.groups.has_server(own, server) {
            let heard = state.heard_in_group(own, &self.settings.domain, now);
            rate_limit::owner(server, heard.map(|host| host.name).chain([own]))
        } else {
            let group = state.groups.of_server(server);
            let listed = state.hosts.names();
            let of_group = listed.filter(|name| state.groups.of_host(name) == group);
            let answers = |name: &&Name| state.silent.left(name, now).is_zero();
            rate_limit::owner(server, of_group.filter(answers))
        };
        owner.unwrap_or(own).clone()
    }
}
