//! Permits to send a request to a server: whether the server accepts requests now, and whether this request is within
//! its rate limit.
//!
//! Nothing is sent without a [`Permit`], so that what a server has said about itself applies to every path to it: a
//! first send, a retry, a stream that is resumed elsewhere, a part of a long prompt.

use super::{Envelope, Node};
use crate::clock;
use alderglade_core::Name;
use alderglade_core::fleet::incarnation::Key;
use alderglade_core::fleet::message::Message;
use alderglade_core::fleet::placement::Plan;
use alderglade_core::fleet::rate_limit::{self, Grant, GrantRequest, OwnerView};
use std::collections::HashMap;
use std::time::Duration;
use tokio::sync::oneshot;

/// How long the owner of a limit may take to answer: several round trips between failure domains, for a busy host.
const GRANT_TIMEOUT: Duration = Duration::from_millis(50);
/// How long a host stops requesting grants after the owner gave no answer: about the time until the owner is known to
/// be gone.
const UNANSWERED_DELAY: Duration = Duration::from_millis(300);

/// Permission to send one request to a server.
#[derive(Debug)]
pub struct Permit {
    server: Key,
    /// Whether the server had a limit and this request is within it.
    granted: bool,
}

/// The server accepts no request from this host now.
#[derive(Debug)]
pub struct NotPermitted;

/// A permit that may still wait for a grant.
struct PendingPermit {
    server: Key,
    /// The grant that was requested; `None` if the server's rate is unlimited.
    pending_grant: Option<PendingGrant>,
}

/// A grant that was requested from the owner of a server's limit.
struct PendingGrant {
    owner: Name,
    /// Receives the owner's answer.
    answer: oneshot::Receiver<Grant>,
}

/// Grant requests that have no answer yet, by number.
#[derive(Debug, Default)]
pub(super) struct OpenGrantRequests {
    open: HashMap<u64, oneshot::Sender<Grant>>,
}

impl OpenGrantRequests {
    /// Registers a request. Returns the receiver of its answer.
    fn register(&mut self, number: u64) -> oneshot::Receiver<Grant> {
        self.open.retain(|_, answer| !answer.is_closed());
        let (sender, receiver) = oneshot::channel();
        self.open.insert(number, sender);
        receiver
    }

    fn deliver(&mut self, grant: Grant) {
        let answer = self.open.remove(&grant.number);
        if answer.is_none_or(|answer| answer.send(grant).is_err()) {
            log::debug!("ignored a grant that arrived after its timeout");
        }
    }
}

impl Node {
    /// Acquires a permit to send one request to a server. If the server's rate is limited, this takes a round trip to
    /// the owner of the limit.
    ///
    /// # Errors
    ///
    /// Returns an error if the server accepts no request now. The server is then no candidate until it does.
    pub async fn permit(&self, server: Key) -> Result<Permit, NotPermitted> {
        let pending = self.request_permit(server)?;
        self.complete_permit(pending).await
    }

    /// Waits for the grant of a permit. If the owner is in another group and gives no answer, asks the next owner: a
    /// host receives no notices from the hosts of other groups, so it can't know which of them are gone.
    ///
    /// # Errors
    ///
    /// Returns an error if no owner grants the request now.
    async fn complete_permit(&self, mut pending: PendingPermit) -> Result<Permit, NotPermitted> {
        /// Maximum number of owners that are asked, one after the other.
        const MAX_OWNERS: usize = 3;
        let server = pending.server;
        let mut wait = UNANSWERED_DELAY;
        for owners_left in (0..MAX_OWNERS).rev() {
            let Some(PendingGrant { owner, answer }) = pending.pending_grant else {
                return Ok(Permit {
                    server,
                    granted: false,
                });
            };
            if let Ok(Ok(grant)) = clock::timeout(GRANT_TIMEOUT, answer).await {
                wait = grant.wait();
                break;
            }
            if !self.mark_owner_silent(owner) || owners_left == 0 {
                break;
            }
            pending = self.request_permit(server)?;
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

    /// Records that an owner gave no answer. Returns whether another host can be asked instead.
    fn mark_owner_silent(&self, owner: Name) -> bool {
        /// A process that was killed has restarted within this time.
        const SILENT_OWNER_TIME: Duration = Duration::from_millis(5_000);
        let mut state = self.state.borrow_mut();
        let same_group = state.groups.same_group(&self.settings.host, &owner);
        if !same_group {
            state
                .silent_owners
                .extend(owner, SILENT_OWNER_TIME, clock::now());
        }
        !same_group
    }

    /// Records that nothing is sent to a server for `wait`. If the server is in another group, this host doesn't know
    /// whether it has a limit, so the wait is recorded as a backoff.
    fn deny(&self, server: Key, wait: Duration) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        if state.groups.has_server(&self.settings.host, server) {
            state.limits.deny(server, wait, now);
        } else {
            state.backoffs.extend(server, wait, now);
        }
    }

    /// Acquires a permit to send a prompt according to a plan. Every engine that reads a part of the prompt or holds
    /// memory for it must accept it. All owners are asked at the same time.
    ///
    /// # Errors
    ///
    /// Returns an error if one of the engines accepts nothing now.
    pub async fn permit_plan(&self, plan: &Plan) -> Result<Permit, NotPermitted> {
        let readers = plan.helpers.iter();
        let lenders = plan.shares.iter().map(|share| &share.server);
        let mut others: Vec<Key> = readers.chain(lenders).copied().collect();
        others.sort();
        others.dedup();
        let others = others.into_iter().filter(|other| *other != plan.primary);
        let others: Result<Vec<PendingPermit>, NotPermitted> =
            others.map(|other| self.request_permit(other)).collect();
        let (others, primary) = (others?, self.request_permit(plan.primary)?);
        for other in others {
            self.complete_permit(other).await?;
        }
        self.complete_permit(primary).await
    }

    /// Returns whether a permit is still valid. The server may have reported a limit or a backoff since.
    pub fn is_valid(&self, permit: &Permit) -> bool {
        let now = clock::now();
        let limited = self
            .state
            .borrow()
            .limits
            .effective_limit(permit.server, now);
        let limited = limited.is_some();
        (permit.granted || !limited) && self.accepts_work(permit.server)
    }

    /// Returns whether new work may be sent to a server, as far as this host knows.
    fn accepts_work(&self, server: Key) -> bool {
        let now = clock::now();
        let state = self.state.borrow();
        let backing_off = !state.backoffs.remaining(&server, now).is_zero();
        // Servers are chosen by the same criterion: one that is chosen again and never permitted would be asked for without end.
        !backing_off && state.directory.get(server).is_some()
    }

    /// Requests a grant from the owner of a server's limit if there may be a limit. The state of a server of another
    /// group is known in that group only, so its owner is always asked.
    ///
    /// # Errors
    ///
    /// Returns an error if the server accepts no request now.
    fn request_permit(&self, server: Key) -> Result<PendingPermit, NotPermitted> {
        if !self.accepts_work(server) {
            return Err(NotPermitted);
        }
        let own = &self.settings.host;
        let now = clock::now();
        let request = {
            let state = &mut *self.state.borrow_mut();
            let (limits, number) = (&state.limits, state.grant_numbers.take());
            if state.groups.has_server(own, server) {
                limits.request_if_limited(server, own, number, now)
            } else {
                Some(limits.request(server, own, number, now))
            }
        };
        let pending_grant = request.map(|request| self.request_grant(request));
        Ok(PendingPermit {
            server,
            pending_grant,
        })
    }

    /// Sends a grant request to the owner of a server's limit, which may be this host.
    fn request_grant(&self, request: GrantRequest) -> PendingGrant {
        let answer = self.grant_requests.borrow_mut().register(request.number);
        let owner = self.limit_owner(request.server);
        let address = self.state.borrow().hosts.get(&owner);
        if owner == self.settings.host {
            let grant = self.grant(&request);
            self.apply_grant(grant);
        } else if let Some(to) = address {
            let message = Message::GrantRequest(request);
            self.queue_envelope(Envelope { to, message });
        } else {
            log::debug!("cannot request a grant from {owner}: its address is unknown");
        }
        PendingGrant { owner, answer }
    }

    /// Answers a grant request of a host that wants to send to a server with a limit.
    pub fn grant(&self, request: &GrantRequest) -> Grant {
        let own = &self.settings.host;
        if !self.state.borrow().groups.has_server(own, request.server) {
            return Grant::not_owner(request);
        }
        let owner = self.limit_owner(request.server);
        let view = OwnerView {
            own,
            owner: &owner,
            hears_majority: self.sees_majority(),
        };
        let mut state = self.state.borrow_mut();
        state.limits.grant(request, &view, clock::now())
    }

    /// Returns whether this host receives notices from a majority of the hosts in its group.
    fn sees_majority(&self) -> bool {
        let now = clock::now();
        let state = self.state.borrow();
        let own = &self.settings.host;
        let live = state.live_group_hosts(own, &self.settings.domain, now);
        let live = live.count() + 1;
        let listed = self.startup_sync.knows_hosts().then(|| {
            let listed = state.hosts.names();
            let group_hosts = listed.filter(|name| state.groups.same_group(own, name));
            group_hosts.count()
        });
        rate_limit::is_majority(live, listed)
    }

    /// Applies the answer of a limit's owner.
    pub fn apply_grant(&self, grant: Grant) {
        self.grant_requests.borrow_mut().deliver(grant);
    }

    /// Returns the host that owns a server's limit, from this host's point of view.
    pub(super) fn limit_owner(&self, server: Key) -> Name {
        let now = clock::now();
        let own = &self.settings.host;
        let state = self.state.borrow();
        let owner = if state.groups.has_server(own, server) {
            let live = state.live_group_hosts(own, &self.settings.domain, now);
            rate_limit::owner(server, live.map(|host| host.name).chain([own]))
        } else {
            let group = state.groups.of_server(server);
            let listed = state.hosts.names();
            let group_hosts = listed.filter(|name| state.groups.of_host(name) == group);
            let is_answering = |name: &&Name| state.silent_owners.remaining(name, now).is_zero();
            rate_limit::owner(server, group_hosts.filter(is_answering))
        };
        owner.unwrap_or(own).clone()
    }
}
