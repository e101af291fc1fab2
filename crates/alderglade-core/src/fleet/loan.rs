//! Requests for loans from the retry budgets of other hosts.
//!
//! An answer counts once, and only while its loan may be used. An answer that is duplicated, late, or meant for a
//! previous incarnation of this host yields nothing, and its loan is lost.

use super::budget::LOAN_LIFETIME;
use super::request_number::RequestNumbers;
use crate::Name;
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a host asks nobody again after it got no loan. When no host has anything left, requests only cost all of
/// them.
const REFUSAL_PAUSE: Duration = Duration::from_millis(200);

/// Asks another host for a part of its budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// The number of this request, which the answer repeats.
    pub number: u64,
    /// The service that retries are sent to.
    pub service: Name,
    /// The units that are missing for a retry.
    pub missing: u32,
}

/// The answer to a [`LoanRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// The number of the request.
    pub number: u64,
    /// The units lent, or `0` if nothing remains.
    pub part: u32,
}

/// A loan that may be added to the budget.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Deposit {
    /// The service.
    pub service: Name,
    /// How many units were lent.
    pub part: u32,
    /// Until when they may be used.
    pub until: Time,
}

/// A request that has no answer yet.
#[derive(Debug)]
struct OpenRequest {
    service: Name,
    until: Time,
}

/// The open loan requests of one host.
#[derive(Debug)]
pub struct LoanRequests {
    numbers: RequestNumbers,
    open: BTreeMap<u64, OpenRequest>,
    /// Until when no request is made, by service.
    refused_until: BTreeMap<Name, Time>,
}

impl LoanRequests {
    /// Creates a state without open requests.
    pub fn new(numbers: RequestNumbers) -> LoanRequests {
        LoanRequests {
            numbers,
            open: BTreeMap::new(),
            refused_until: BTreeMap::new(),
        }
    }

    /// Returns whether a loan may be requested for a service.
    pub fn may_request(&self, service: &str, now: Time) -> bool {
        self.refused_until
            .get(service)
            .is_none_or(|until| *until <= now)
    }

    /// Records that none of the hosts that were asked has lent enough.
    pub fn record_refusal(&mut self, service: &Name, now: Time) {
        self.refused_until
            .insert(service.clone(), now + REFUSAL_PAUSE);
    }

    /// Creates a request.
    pub fn create(&mut self, service: &Name, missing: u32, now: Time) -> LoanRequest {
        self.open.retain(|_, request| request.until >= now);
        let number = self.numbers.take();
        let request = OpenRequest {
            service: service.clone(),
            until: now + LOAN_LIFETIME,
        };
        self.open.insert(number, request);
        LoanRequest {
            number,
            service: service.clone(),
            missing,
        }
    }

    /// Returns whether a request has no answer yet.
    pub fn is_open(&self, number: u64) -> bool {
        self.open.contains_key(&number)
    }

    /// Applies an answer. Returns its loan, if there is one that may still be used.
    pub fn answer(&mut self, loan: Loan, now: Time) -> Option<Deposit> {
        let request = self.open.remove(&loan.number)?;
        let is_usable = request.until >= now && loan.part > 0;
        is_usable.then_some(Deposit {
            service: request.service,
            part: loan.part,
            until: request.until,
        })
    }
}
