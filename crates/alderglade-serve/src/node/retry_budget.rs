//! Sends beyond the first of a request: from this host's part of the budget, or from what others lend.

use super::{Envelope, Node, State};
use crate::clock;
use crate::event::{self, Record};
use alderglade_core::Name;
use alderglade_core::fleet::budget::{Budget, UNITS_PER_RETRY};
use alderglade_core::fleet::loan::{Loan, Request};
use alderglade_core::fleet::message::Message;
use alderglade_core::time::Time;
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use std::time::Duration;

/// Hosts that are asked for a part of their budget, one after the other, before a repeat is given up.
const ASKED: usize = 4;
/// How long one of them may take: some times the way there and back within a failure domain, for a busy host.
const ANSWER: Duration = Duration::from_millis(25);

impl Node {
    /// Notes the first send of a request to a service.
    pub fn record_first_send(&self, service: &Name) {
        self.with_budget(service, |budget, now, _| budget.request(now));
    }

    /// Takes one repeated send to a service from the budget; asks other hosts where this one's part is used up.
    pub async fn spend_retry(&self, id: &str, service: &Name) -> bool {
        if self.spend_own(service) {
            return true;
        }
        let lenders = self.lenders(service);
        let asked = lenders.len();
        for lender in lenders {
            self.borrow_from(lender, service).await;
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

    /// Takes back a repeated send that reached no server.
    pub fn refund_retry(&self, service: &Name) {
        self.with_budget(service, |budget, _, _| budget.refund());
    }

    /// Takes one repeated send from what this host has.
    fn spend_own(&self, service: &Name) -> bool {
        let spent = self.with_budget(service, |budget, now, hosts| budget.spend(now, hosts));
        if spent {
            self.metrics.repeats.inc();
        }
        spent
    }

    /// Names the hosts to ask: some of the own failure domain, and one of any.
    fn lenders(&self, service: &Name) -> Vec<SocketAddr> {
        let now = clock::now();
        let state = self.state.borrow();
        if !state.loan_requests.may_ask(service, now) {
            return Vec::new();
        }
        let mut rng = rand::rng();
        let heard = state.loads.live_hosts(&self.settings.domain, now);
        let near = heard.clone().filter(|host| host.same_domain);
        let near = near.sample(&mut rng, ASKED - 1);
        let any = heard.choose(&mut rng);
        let mut names: Vec<&Name> = near.iter().chain(&any).map(|host| host.name).collect();
        names.dedup();
        names
            .into_iter()
            .filter_map(|name| state.hosts.get(name))
            .collect()
    }

    /// Asks a host for what is missing for one repeat, and waits for its answer.
    async fn borrow_from(&self, lender: SocketAddr, service: &Name) {
        let missing = self.with_budget(service, |budget, now, hosts| budget.missing(now, hosts));
        let request = {
            let mut state = self.state.borrow_mut();
            state.loan_requests.ask(service, missing, clock::now())
        };
        let number = request.number;
        self.queue_envelope(Envelope {
            to: lender,
            message: Message::LoanRequest(request),
        });
        let answered = async {
            loop {
                let lent = self.lent.notified();
                if !self.state.borrow().loan_requests.is_open(number) {
                    return;
                }
                lent.await;
            }
        };
        // In vain or not, what has come by then counts.
        let _ = tokio::time::timeout(ANSWER, answered).await;
    }

    /// Lends a host what it asks for, as far as there is something left.
    pub fn lend(&self, request: &Request) -> Loan {
        let lent = |budget: &mut Budget, now, hosts| budget.lend(request.missing, now, hosts);
        let part = self.with_budget(&request.service, lent);
        self.metrics
            .lent
            .inc_by(f64::from(part) / f64::from(UNITS_PER_RETRY));
        Loan {
            number: request.number,
            part,
        }
    }

    /// Takes what another host has lent.
    pub fn take_loan(&self, loan: Loan) {
        let now = clock::now();
        let deposit = self.state.borrow_mut().loan_requests.answer(loan, now);
        if let Some(deposit) = deposit {
            self.with_budget(&deposit.service, |budget, _, _| {
                budget.deposit(deposit.part, deposit.until);
            });
        }
        self.lent.notify_waiters();
    }

    /// Gives what is left of this host's own parts, in repeats, where it is least.
    pub(super) fn retries_left(&self, state: &mut State, now: Time) -> f64 {
        let hosts = state.known_hosts();
        let budgets = state.budgets.values_mut();
        let left = budgets.map(|budget| budget.remaining(now, hosts));
        left.min()
            .map_or(0.0, |least| f64::from(least) / f64::from(UNITS_PER_RETRY))
    }

    fn with_budget<T>(&self, service: &Name, act: impl FnOnce(&mut Budget, Time, usize) -> T) -> T {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let hosts = state.known_hosts();
        let bound = self.settings.retries;
        let began = self.began;
        let budget = state
            .budgets
            .entry(service.clone())
            .or_insert_with(|| Budget::new(bound, began));
        act(budget, now, hosts)
    }
}
