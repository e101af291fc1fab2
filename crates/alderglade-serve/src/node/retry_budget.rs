//! Retries of requests, paid from this host's part of the retry budget or from loans of other hosts.

use super::{Envelope, Node, State};
use crate::clock;
use crate::event::{self, Record};
use alderglade_core::Name;
use alderglade_core::fleet::budget::{Budget, UNITS_PER_RETRY};
use alderglade_core::fleet::loan::{Loan, LoanRequest};
use alderglade_core::fleet::message::Message;
use alderglade_core::time::Time;
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of hosts that are asked for a loan, one after the other, before a retry is given up.
const MAX_LENDERS: usize = 4;
/// How long one of them may take: several round trips within a failure domain, for a busy host.
const LOAN_TIMEOUT: Duration = Duration::from_millis(25);

impl Node {
    /// Records the first send of a request to a service.
    pub fn record_first_send(&self, service: &Name) {
        self.with_budget(service, |budget, now, _| budget.record_request(now));
    }

    /// Spends one retry for a service; asks other hosts for loans if this host's part is used up. Returns whether the
    /// retry is allowed.
    pub async fn spend_retry(&self, id: &str, service: &Name) -> bool {
        if self.spend_own(service) {
            return true;
        }
        let lenders = self.lenders(service);
        let asked = lenders.len();
        for lender in lenders {
            self.request_loan(lender, service).await;
            if self.spend_own(service) {
                return true;
            }
        }
        let mut state = self.state.borrow_mut();
        if asked > 0 {
            state.loan_requests.record_refusal(service, clock::now());
        }
        drop(state);
        self.metrics.repeats_refused.inc();
        event::write(&Record::RepeatRefused { id, service, asked });
        false
    }

    /// Refunds a retry that reached no server.
    pub fn refund_retry(&self, service: &Name) {
        self.with_budget(service, |budget, _, _| budget.refund());
    }

    /// Spends one retry from this host's own part.
    fn spend_own(&self, service: &Name) -> bool {
        let spent = self.with_budget(service, |budget, now, hosts| budget.spend(now, hosts));
        if spent {
            self.metrics.repeats.inc();
        }
        spent
    }

    /// Returns the hosts to ask for a loan: some of the own failure domain, and one of any.
    fn lenders(&self, service: &Name) -> Vec<SocketAddr> {
        let now = clock::now();
        let state = self.state.borrow();
        if !state.loan_requests.may_request(service, now) {
            return Vec::new();
        }
        let mut rng = rand::rng();
        let live = state.loads.live_hosts(&self.settings.domain, now);
        let same_domain = live.clone().filter(|host| host.same_domain);
        let same_domain = same_domain.sample(&mut rng, MAX_LENDERS - 1);
        let any = live.choose(&mut rng);
        let mut names: Vec<&Name> = same_domain
            .iter()
            .chain(&any)
            .map(|host| host.name)
            .collect();
        names.dedup();
        names
            .into_iter()
            .filter_map(|name| state.hosts.get(name))
            .collect()
    }

    /// Requests the missing part of one retry from a host and waits for the answer.
    async fn request_loan(&self, lender: SocketAddr, service: &Name) {
        let missing = self.with_budget(service, |budget, now, hosts| budget.missing(now, hosts));
        let request = {
            let mut state = self.state.borrow_mut();
            state.loan_requests.create(service, missing, clock::now())
        };
        let number = request.number;
        self.queue_envelope(Envelope {
            to: lender,
            message: Message::LoanRequest(request),
        });
        let answered = async {
            loop {
                let answered = self.loan_answered.notified();
                if !self.state.borrow().loan_requests.is_open(number) {
                    return;
                }
                answered.await;
            }
        };
        // After a timeout, a loan that arrived by then still counts.
        let _ = tokio::time::timeout(LOAN_TIMEOUT, answered).await;
    }

    /// Lends a host what it requests, as far as this host has something left.
    pub fn lend(&self, request: &LoanRequest) -> Loan {
        let lend = |budget: &mut Budget, now, hosts| budget.lend(request.missing, now, hosts);
        let part = self.with_budget(&request.service, lend);
        self.metrics
            .lent
            .inc_by(f64::from(part) / f64::from(UNITS_PER_RETRY));
        Loan {
            number: request.number,
            part,
        }
    }

    /// Deposits a loan of another host.
    pub fn accept_loan(&self, loan: Loan) {
        let now = clock::now();
        let deposit = self.state.borrow_mut().loan_requests.answer(loan, now);
        if let Some(deposit) = deposit {
            self.with_budget(&deposit.service, |budget, _, _| {
                budget.deposit(deposit.part, deposit.until);
            });
        }
        self.loan_answered.notify_waiters();
    }

    /// Returns the smallest remainder of this host's own parts over all services, in retries.
    pub(super) fn retries_left(&self, state: &mut State, now: Time) -> f64 {
        let hosts = state.known_host_count();
        let budgets = state.budgets.values_mut();
        let left = budgets.map(|budget| budget.remaining(now, hosts));
        left.min()
            .map_or(0.0, |least| f64::from(least) / f64::from(UNITS_PER_RETRY))
    }

    fn with_budget<T>(
        &self,
        service: &Name,
        apply: impl FnOnce(&mut Budget, Time, usize) -> T,
    ) -> T {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let hosts = state.known_host_count();
        let bound = self.settings.retries;
        let started = self.started;
        let budget = state
            .budgets
            .entry(service.clone())
            .or_insert_with(|| Budget::new(bound, started));
        apply(budget, now, hosts)
    }
}
